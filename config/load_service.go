package config

import (
	"fmt"
	"net/http"
	"strings"

	"github.com/dotterelseam/dotterelseam/internal/strictyaml"
)

// reservedService is the first segment of the nodes' own paths on the local listener,
// such as /v1/announce. Onward calls to services arrive on the same listener.
const reservedService = "v1"

// readService returns the service and the value that holds its name.
func readService(root strictyaml.Value) (Service, strictyaml.Value) {
	m, ok := root.Mapping("service", "routes")
	if !ok {
		return Service{}, root
	}
	var s Service
	name := m.Require("service")
	s.Name, _ = name.Name()
	if s.Name == reservedService {
		name.Report("%q is reserved for the nodes' own paths", s.Name)
	}
	list := m.Require("routes")
	values, ok := list.List()
	if ok && len(values) == 0 {
		list.Report("no route is stated")
	}
	patterns := patternSet{mux: http.NewServeMux()}
	for _, v := range values {
		if route, ok := readRoute(v, &patterns); ok {
			s.Routes = append(s.Routes, route)
		}
	}
	return s, name
}

func readRoute(v strictyaml.Value, patterns *patternSet) (Route, bool) {
	m, ok := v.Mapping("route", "importance", "idempotent", "at_most_once", "attempts", "timeout", "open", "max_body", "objective")
	if !ok {
		return Route{}, false
	}
	r := Route{MaxBody: DefaultMaxBody}
	r.Pattern = patterns.read(m.Require("route"))
	importance := m.Require("importance")
	valid := false
	if text, ok := importance.Text(); ok {
		if r.Importance, valid = ParseImportance(text); !valid {
			importance.Report("%q does not exist; the levels are critical, high, normal and low", text)
		}
	}
	r.Idempotent, _ = m.Require("idempotent").Bool()
	r.AtMostOnce, _ = m.Get("at_most_once").Bool()
	r.Open, _ = m.Get("open").Bool()
	readLimits(m, &r)
	r.Objective = readObjective(m.Get("objective"))
	checkAtMostOnce(m, r, valid)
	return r, true
}

func readLimits(m strictyaml.Mapping, r *Route) {
	attempts := m.Require("attempts")
	n, ok := attempts.Int()
	if ok && (n < 1 || n > MaxAttempts) {
		attempts.Report("%d is not between 1 and %d", n, MaxAttempts)
	}
	r.Attempts = n
	timeout := m.Require("timeout")
	d, ok := timeout.Duration()
	if ok && d > MaxTimeout {
		timeout.Report("%v is more than %v", d, MaxTimeout)
	}
	r.Timeout = d
	if size, ok := m.Get("max_body").Size(); ok {
		r.MaxBody = size
	}
}

func readObjective(v strictyaml.Value) Objective {
	m, ok := v.Mapping("availability", "latency")
	if !ok {
		return Objective{}
	}
	var o Objective
	availability := m.Get("availability")
	if f, ok := availability.Float(); ok {
		o.Availability = f
		if f <= 0 || f >= 1 {
			availability.Report("%v is not between 0 and 1; an objective of 1 leaves no budget", f)
		}
	}
	o.Latency, _ = m.Get("latency").Duration()
	if !availability.Exists() && !m.Get("latency").Exists() {
		v.Report("states neither availability nor latency")
	}
	return o
}

func checkAtMostOnce(m strictyaml.Mapping, r Route, importanceValid bool) {
	if !r.AtMostOnce {
		return
	}
	if r.Idempotent {
		m.Get("at_most_once").Report("excludes idempotent; a request runs at most once or may be repeated")
	}
	// Ledger rows belong to a workspace; callers of an open route have none and would
	// share their request IDs.
	if r.Open {
		m.Get("open").Report("excludes at_most_once; without a key there is no workspace to keep the request ID for")
	}
	// A request to an at-most-once route is written to the ledger before it can be
	// shed, so such routes must not be among the first to be shed.
	if importanceValid && r.Importance < High {
		m.Get("importance").Report("%q is below high, which an at-most-once route needs", r.Importance.String())
	}
}

// patternSet detects patterns that net/http rejects, alone or in combination.
type patternSet struct {
	mux        *http.ServeMux
	registered []registeredPattern
}

type registeredPattern struct {
	pattern string
	line    int
}

// read returns the pattern in v and reports an invalid or conflicting one.
func (p *patternSet) read(v strictyaml.Value) string {
	pattern, ok := v.Text()
	if !ok {
		return ""
	}
	path := pattern
	if _, afterMethod, found := strings.Cut(pattern, " "); found {
		path = strings.TrimLeft(afterMethod, " \t")
	}
	if !strings.HasPrefix(path, "/") {
		v.Report("%q must be [METHOD ]/path without a host, such as POST /orders", pattern)
		return pattern
	}
	if err := register(p.mux, pattern); err != nil {
		v.Report("%s", p.explain(pattern, err))
		return pattern
	}
	p.registered = append(p.registered, registeredPattern{pattern, v.Line()})
	return pattern
}

// register adds pattern to the mux and returns the reason if the mux panics because it
// rejects the pattern.
func register(mux *http.ServeMux, pattern string) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = fmt.Errorf("%v", cause)
		}
	}()
	mux.Handle(pattern, routeHandler{})
	return nil
}

// explain returns a message with the line of the other pattern in a conflict. The
// message of net/http would contain positions in this Go file instead.
func (p *patternSet) explain(pattern string, err error) string {
	for _, other := range p.registered {
		if other.pattern == pattern {
			return fmt.Sprintf("route %q is stated on line %d already", pattern, other.line)
		}
		pair := http.NewServeMux()
		if register(pair, other.pattern) == nil && register(pair, pattern) != nil && register(http.NewServeMux(), pattern) == nil {
			return fmt.Sprintf("%q conflicts with %q on line %d: some requests match both, and neither is more specific", pattern, other.pattern, other.line)
		}
	}
	return fmt.Sprintf("%q is not a net/http pattern: %v", pattern, err)
}
