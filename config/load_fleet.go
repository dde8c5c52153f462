package config

import "github.com/dotterelseam/dotterelseam/internal/strictyaml"

func readFleet(root strictyaml.Value) Fleet {
	f := Fleet{Keys: KeyPolicy{CutOffLimit: DefaultCutOffLimit}}
	m, ok := root.Mapping("data_centres", "workspaces", "keys")
	if !ok {
		return f
	}
	f.DataCentres = readDataCentres(m.Require("data_centres"))
	f.Workspaces = readWorkspaces(m.Require("workspaces"), f.owningDataCentres())
	if keys, ok := m.Get("keys").Mapping("cut_off_limit"); ok {
		v := keys.Require("cut_off_limit")
		if limit, ok := v.Duration(); ok {
			f.Keys.CutOffLimit = limit
			if limit > MaxCutOffLimit {
				v.Report("%v is more than %v", limit, MaxCutOffLimit)
			}
		}
	}
	return f
}

// owningDataCentres returns the number of data centres that have a share above 0 of the
// rate limits.
func (f *Fleet) owningDataCentres() (n int) {
	for _, dc := range f.DataCentres {
		if dc.Share > 0 {
			n++
		}
	}
	return n
}

func readDataCentres(list strictyaml.Value) []DataCentre {
	values, ok := list.List()
	if ok && len(values) == 0 {
		list.Report("no data centre is stated")
	}
	var out []DataCentre
	sum, names := 0.0, nameLines{}
	for _, v := range values {
		m, ok := v.Mapping("name", "region", "share")
		if !ok {
			continue
		}
		var dc DataCentre
		dc.Name = names.read(m, "data centre")
		dc.Region, _ = m.Require("region").Name()
		share := m.Require("share")
		dc.Share, ok = share.Float()
		if ok && (dc.Share < 0 || dc.Share > 1) {
			share.Report("%v is not between 0 and 1", dc.Share)
		} else if sum += dc.Share; ok && sum > 1+shareSumTolerance && sum-dc.Share <= 1+shareSumTolerance {
			share.Report("the shares of the data centres up to this one add up to %v, more than 1", sum)
		}
		out = append(out, dc)
	}
	return out
}

func readWorkspaces(list strictyaml.Value, dataCentres int) []Workspace {
	values, _ := list.List()
	var out []Workspace
	names := nameLines{}
	for _, v := range values {
		m, ok := v.Mapping("name", "rate", "burst")
		if !ok {
			continue
		}
		w := Workspace{Name: names.read(m, "workspace")}
		w.Rate = readPositive(m.Require("rate"))
		w.Burst = readPositive(m.Require("burst"))
		// A token bucket smaller than one request would refuse all requests.
		if w.Burst > 0 && w.Burst < 1 {
			m.Get("burst").Report("%v is less than one request", w.Burst)
		} else if w.Burst > 0 && w.Burst < float64(dataCentres) {
			// Bursts are divided into whole requests, so a data centre would get none.
			m.Get("burst").Report("%v is less than one request for each of %d data centres", w.Burst, dataCentres)
		}
		out = append(out, w)
	}
	return out
}

func readPositive(v strictyaml.Value) float64 {
	f, ok := v.Float()
	if ok && f <= 0 {
		v.Report("must be more than 0, not %v", f)
	}
	return f
}

// nameLines maps names to the lines of their first definition.
type nameLines map[string]int

// read returns the field "name" of m and reports a duplicate.
func (n nameLines) read(m strictyaml.Mapping, kind string) string {
	v := m.Require("name")
	name, ok := v.Name()
	if !ok {
		return ""
	}
	if line, twice := n[name]; twice {
		v.Report("%s %q is stated on line %d already", kind, name, line)
		return name
	}
	n[name] = v.Line()
	return name
}
