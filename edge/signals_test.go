package edge

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a malformed limit that is taken for none, or for a number.
func TestReadSignals(t *testing.T) {
	for value, want := range map[string]Signals{
		"":       {RateLimit: NoRateLimit},
		"24.5":   {RateLimit: 24.5},
		"0":      {RateLimit: 0},
		"1e3":    {RateLimit: 1000},
		"-1":     {UnreadableLimit: "-1"},
		"NaN":    {UnreadableLimit: "NaN"},
		"+Inf":   {UnreadableLimit: "+Inf"},
		"1e999":  {UnreadableLimit: "1e999"},
		"24,5":   {UnreadableLimit: "24,5"},
		"24.5/s": {UnreadableLimit: "24.5/s"},
		" ":      {UnreadableLimit: " "},
	} {
		t.Run(value, func(t *testing.T) { assert.Equal(t, ReadSignals(value, ""), want) })
	}
}

// Guards against a backend server that is taken for leaving because of a malformed value.
func TestReadLeaving(t *testing.T) {
	for value, want := range map[string]Signals{
		"":     {RateLimit: NoRateLimit},
		"1":    {RateLimit: NoRateLimit, Leaving: true},
		"true": {RateLimit: NoRateLimit, Leaving: true},
		"0":    {RateLimit: NoRateLimit},
		"soon": {RateLimit: NoRateLimit, UnreadableLeaving: "soon"},
		"11":   {RateLimit: NoRateLimit, UnreadableLeaving: "11"},
	} {
		t.Run(value, func(t *testing.T) { assert.Equal(t, ReadSignals("", value), want) })
	}
}
