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
		"-1":     {Unreadable: "-1"},
		"NaN":    {Unreadable: "NaN"},
		"+Inf":   {Unreadable: "+Inf"},
		"1e999":  {Unreadable: "1e999"},
		"24,5":   {Unreadable: "24,5"},
		"24.5/s": {Unreadable: "24.5/s"},
		" ":      {Unreadable: " "},
	} {
		t.Run(value, func(t *testing.T) { assert.Equal(t, ReadSignals(value), want) })
	}
}
