package report

import (
	"bytes"
	_ "embed"
	"html"
	"html/template"
	"io"
	"time"

	"github.com/wcharczuk/go-chart/v2"
	"github.com/zeebo/errs"
)

// ErrRender is the class of pages that could not be drawn or written.
var ErrRender = errs.Class("report: page")

// Size of a plot in pixels.
const (
	plotWidth  = 900
	plotHeight = 300
)

//go:embed page.html
var pageText string

var page = template.Must(template.New("page").Funcs(template.FuncMap{
	"stamp": stamp, "percent": percent, "rate": rate, "text": OutcomeCount.text, "origin": func(o Origin) string { return originNames[o] },
	"alerts": func(b Burn) string { return b.alerts() },
	"row":    func(name string, b Burn) tableRow { return tableRow{workspaceName(name), b} },
}).Parse(pageText))

// tableRow is one line of a route's table.
type tableRow struct {
	Name string
	Burn
}

// servicePart is the part of the page about one service.
type servicePart struct {
	Name   string
	Plot   template.HTML // SVG, empty without enough data
	Routes []Route
}

// RenderHTML writes the report as one page that refers to no other file. The
// error is of class ErrRender.
func RenderHTML(w io.Writer, r Report) error {
	data := struct {
		Report
		Services []servicePart
		Rules    string
	}{Report: r, Rules: Rules}
	for first := 0; first < len(r.Routes); {
		next := first
		for next < len(r.Routes) && r.Routes[next].Service == r.Routes[first].Service {
			next++
		}
		part := servicePart{Name: r.Routes[first].Service, Routes: r.Routes[first:next]}
		plot, err := plotOf(part.Routes)
		if err != nil {
			return ErrRender.Wrap(err)
		}
		part.Plot = plot
		data.Services = append(data.Services, part)
		first = next
	}
	return ErrRender.Wrap(page.Execute(w, data))
}

// plotOf draws the burn rates of a service's routes, by the coarse buckets if
// there are two of them, otherwise by the fine ones.
func plotOf(routes []Route) (template.HTML, error) {
	if svg, err := plot(routes, func(r *Route) []Point { return r.Coarse }); err != nil || svg != "" {
		return svg, err
	}
	return plot(routes, func(r *Route) []Point { return r.Fine })
}

// plot returns an empty text if no route has two points.
func plot(routes []Route, points func(*Route) []Point) (template.HTML, error) {
	highest := 1.0
	var lines []chart.Series
	for i := range routes {
		line := chart.TimeSeries{Name: html.EscapeString(routes[i].Route)} // go-chart writes names as they are
		for _, p := range points(&routes[i]) {
			if p.BurnRate == nil {
				continue
			}
			line.XValues = append(line.XValues, time.Unix(p.Start, 0).UTC())
			line.YValues = append(line.YValues, *p.BurnRate)
			highest = max(highest, *p.BurnRate)
		}
		if len(line.XValues) > 1 {
			lines = append(lines, line)
		}
	}
	if len(lines) == 0 {
		return "", nil
	}
	c := chart.Chart{
		Width: plotWidth, Height: plotHeight, Series: lines,
		Background:     chart.Style{Padding: chart.Box{Top: 20, Left: 20, Right: 20, Bottom: 10}},
		XAxis:          chart.XAxis{ValueFormatter: chart.TimeValueFormatterWithFormat("15:04:05")},
		YAxis:          chart.YAxis{Name: "burn rate", Range: &chart.ContinuousRange{Min: 0, Max: 1.1 * highest}},
		YAxisSecondary: chart.HideYAxis(),
	}
	c.Elements = []chart.Renderable{chart.LegendLeft(&c)}
	var b bytes.Buffer
	if err := c.Render(chart.SVG, &b); err != nil {
		return "", err
	}
	return template.HTML(b.String()), nil // all text in it is escaped above or made by go-chart
}
