package node

import (
	"sync"
	"time"

	"github.com/dotterelseam/dotterelseam/config"
	"github.com/dotterelseam/dotterelseam/report"
)

// maxPeaks bounds the workspaces of one shard, 5 KB each.
const maxPeaks = 32

// peakTable holds the request count of the busiest second of each workspace in each
// bucket, by which the burn report detects workspaces that exceed their burst. It is
// safe for concurrent use.
type peakTable struct {
	mu         sync.Mutex
	workspaces map[string]*peaks
}

type peaks struct {
	second       int64 // current second, Unix time
	count        uint32
	fine, coarse peakRing
}

type peakRing [report.RingBuckets]peakBucket

type peakBucket struct {
	index, second int64
	count         uint32
	rate, burst   float64 // lowest rate in force during the bucket, with its burst
}

// record counts a request of workspace w, unless the table is full.
func (t *peakTable) record(w *config.Workspace, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.workspaces[w.Name]
	if p == nil {
		if len(t.workspaces) >= maxPeaks {
			return
		}
		p = &peaks{}
		t.workspaces[w.Name] = p
	}
	if second := now.Unix(); second > p.second {
		p.second, p.count = second, 0
	}
	p.count++
	p.fine.record(bucketIndex(now, report.FineWidth), p, w)
	p.coarse.record(bucketIndex(now, report.CoarseWidth), p, w)
}

func (r *peakRing) record(index int64, p *peaks, w *config.Workspace) {
	b := &r[index%report.RingBuckets]
	if index > b.index {
		*b = peakBucket{index: index, rate: w.Rate, burst: w.Burst}
	}
	if p.count > b.count {
		b.second, b.count = p.second, p.count
	}
	if w.Rate < b.rate {
		b.rate, b.burst = w.Rate, w.Burst
	}
}

// report returns the peaks of all workspaces.
func (t *peakTable) report(now time.Time) []report.Peaks {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := []report.Peaks{}
	for name, p := range t.workspaces {
		out = append(out, report.Peaks{
			Workspace: name, Fine: p.fine.list(now, report.FineWidth), Coarse: p.coarse.list(now, report.CoarseWidth),
		})
	}
	return out
}

func (r *peakRing) list(now time.Time, width time.Duration) []report.Peak {
	out := []report.Peak{}
	last := bucketIndex(now, width)
	for i := range r {
		if r[i].count > 0 && r[i].index > last-report.RingBuckets {
			out = append(out, report.Peak{
				Second: r[i].second, Count: uint64(r[i].count), Rate: r[i].rate, Burst: r[i].burst,
			})
		}
	}
	return out
}
