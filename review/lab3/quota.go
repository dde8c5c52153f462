package lab3

import (
	"slices"
	"time"
)

// MostInWindow returns the largest number of a tenant's requests that were both sent and
// began to run within one window of the length QuotaWindow, and when that window begins.
func MostInWindow(sent map[string]time.Time, runs []Run, tenant string) (most int, from time.Time) {
	type span struct{ sent, ran time.Time }
	var spans []span
	for _, r := range runs {
		if at, ok := sent[r.ID]; ok && r.Tenant == tenant {
			spans = append(spans, span{at, r.At})
		}
	}
	slices.SortFunc(spans, func(a, b span) int { return a.sent.Compare(b.sent) })
	for i, first := range spans {
		end, n := first.sent.Add(QuotaWindow), 0
		for _, s := range spans[i:] {
			if s.sent.After(end) {
				break
			}
			if !s.ran.After(end) {
				n++
			}
		}
		if n > most {
			most, from = n, first.sent
		}
	}
	return most, from
}

// MostPermitted returns how many requests of a tenant may run in a window of the length
// QuotaWindow.
func MostPermitted(t Tenant) int {
	bound := float64(t.Rate)*QuotaWindow.Seconds() + float64(t.Burst)
	return int(bound*(1+QuotaOverrun)) + QuotaSlack
}
