package config

import (
	"fmt"
	"math"
	"net/http"
	"time"
)

// Limits and defaults of the values in operators' files.
const (
	MaxAttempts        = 1024
	MaxTimeout         = 5 * time.Minute
	MaxCutOffLimit     = 24 * time.Hour
	DefaultCutOffLimit = 10 * time.Second
	DefaultMaxBody     = 1 << 20 // bytes
	shareSumTolerance  = 1e-9    // allows for rounding in the sum of the data centres' shares
)

// Validate checks what a node relies on; Load checks more. The error is of class
// ErrInvalid and describes the first problem.
func (d *Document) Validate() error {
	if err := d.Fleet.validate(); err != nil {
		return err
	}
	seen := map[string]bool{}
	for i := range d.Services {
		s := &d.Services[i]
		if s.Name == "" || seen[s.Name] {
			return ErrInvalid.New("service %q is unnamed or stated twice", s.Name)
		}
		seen[s.Name] = true
		if err := s.validate(); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) validate() error {
	if len(f.DataCentres) == 0 {
		return ErrInvalid.New("no data centre is stated")
	}
	sum, seen := 0.0, map[string]bool{}
	for _, dc := range f.DataCentres {
		if dc.Name == "" || seen[dc.Name] {
			return ErrInvalid.New("data centre %q is unnamed or stated twice", dc.Name)
		}
		seen[dc.Name] = true
		if !(dc.Share >= 0 && dc.Share <= 1) {
			return ErrInvalid.New("data centre %q: share %v is not between 0 and 1", dc.Name, dc.Share)
		}
		sum += dc.Share
	}
	if sum > 1+shareSumTolerance {
		return ErrInvalid.New("shares of the data centres add up to %v, more than 1", sum)
	}
	if f.Keys.CutOffLimit <= 0 || f.Keys.CutOffLimit > MaxCutOffLimit {
		return ErrInvalid.New("keys: cut_off_limit %v is not between 0 and %v", f.Keys.CutOffLimit, MaxCutOffLimit)
	}
	return f.validateWorkspaces()
}

func (f *Fleet) validateWorkspaces() error {
	seen := map[string]bool{}
	for _, w := range f.Workspaces {
		if w.Name == "" || seen[w.Name] {
			return ErrInvalid.New("workspace %q is unnamed or stated twice", w.Name)
		}
		seen[w.Name] = true
		if !positive(w.Rate) || !positive(w.Burst) {
			return ErrInvalid.New("workspace %q: rate %v and burst %v must be positive", w.Name, w.Rate, w.Burst)
		}
	}
	return nil
}

func positive(v float64) bool { return v > 0 && !math.IsInf(v, 0) }

func (s *Service) validate() error {
	for i := range s.Routes {
		if err := s.Routes[i].validate(); err != nil {
			return ErrInvalid.New("service %q, route %q: %v", s.Name, s.Routes[i].Pattern, err)
		}
	}
	if err := s.validatePatterns(); err != nil {
		return ErrInvalid.New("service %q: %v", s.Name, err)
	}
	return nil
}

// validatePatterns returns an error for patterns that net/http rejects, for which
// ServeMux panics.
func (s *Service) validatePatterns() (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("%v", p)
		}
	}()
	mux := http.NewServeMux()
	for i := range s.Routes {
		mux.Handle(s.Routes[i].Pattern, routeHandler{})
	}
	return nil
}

func (r *Route) validate() error {
	switch {
	case r.Importance > Critical:
		return fmt.Errorf("importance %d does not exist", r.Importance)
	case r.Attempts < 1 || r.Attempts > MaxAttempts:
		return fmt.Errorf("attempts %d is not between 1 and %d", r.Attempts, MaxAttempts)
	case r.Timeout <= 0 || r.Timeout > MaxTimeout:
		return fmt.Errorf("timeout %v is not between 0 and %v", r.Timeout, MaxTimeout)
	case r.MaxBody < 0:
		return fmt.Errorf("max_body %d is negative", r.MaxBody)
	case r.AtMostOnce && r.Idempotent:
		return fmt.Errorf("at_most_once and idempotent exclude each other")
	case r.Objective.Availability < 0 || r.Objective.Availability >= 1:
		return fmt.Errorf("objective availability %v is not between 0 and 1", r.Objective.Availability)
	}
	return nil
}
