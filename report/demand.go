package report

import "time"

// demand holds the requests that workspaces sent to all nodes in total, by bucket.
type demand struct {
	limits map[string]Workspace    // current rate and burst of each workspace
	lowest map[demandKey]Workspace // lowest rate and burst that were in force in a bucket
	sent   map[demandKey]uint64
	peaks  map[demandKey]map[int64]uint64 // by second: sum of the counts of the nodes whose busiest second in the bucket this is
	since  time.Time                      // when the oldest node started to count
	until  time.Time                      // time of the latest node report
}

// demandKey identifies a bucket of a workspace; start is Unix time in seconds.
type demandKey struct {
	workspace string
	width     time.Duration
	start     int64
}

// demandOf adds up the requests of callers at all nodes. It leaves out onward calls,
// because the request that they belong to is already counted.
func demandOf(nodes []*Node) *demand {
	d := &demand{limits: map[string]Workspace{}, lowest: map[demandKey]Workspace{}, sent: map[demandKey]uint64{}, peaks: map[demandKey]map[int64]uint64{}}
	version := uint64(0)
	for _, n := range nodes {
		if d.since.IsZero() || n.Since.Before(d.since) {
			d.since = n.Since
		}
		if n.At.After(d.until) {
			d.until = n.At
		}
		for _, w := range n.Workspaces {
			if _, known := d.limits[w.Name]; !known || n.Version >= version {
				d.limits[w.Name] = w
			}
		}
		version = max(version, n.Version)
		for i := range n.Series {
			if s := &n.Series[i]; !s.Onward {
				d.add(s.Workspace, FineWidth, s.Fine)
				d.add(s.Workspace, CoarseWidth, s.Coarse)
			}
		}
		for i := range n.Peaks {
			d.addPeaks(n.Peaks[i].Workspace, FineWidth, n.Peaks[i].Fine)
			d.addPeaks(n.Peaks[i].Workspace, CoarseWidth, n.Peaks[i].Coarse)
		}
	}
	return d
}

func (d *demand) add(workspace string, width time.Duration, buckets []Bucket) {
	for _, b := range buckets {
		for _, count := range b.Counts {
			d.sent[demandKey{workspace, width, b.Start}] += count
		}
	}
}

func (d *demand) addPeaks(workspace string, width time.Duration, peaks []Peak) {
	for _, p := range peaks {
		seconds := int64(width / time.Second)
		key := demandKey{workspace, width, p.Second / seconds * seconds}
		if d.peaks[key] == nil {
			d.peaks[key] = map[int64]uint64{}
		}
		d.peaks[key][p.Second] += p.Count
		if known, ok := d.lowest[key]; p.Rate > 0 && (!ok || p.Rate < known.Rate) {
			d.lowest[key] = Workspace{Name: workspace, Rate: p.Rate, Burst: p.Burst}
		}
	}
}

// maxClockSkewSeconds is the tolerated difference between the clocks of hosts. Peaks
// at several nodes that are at most this far apart are added up as one burst.
const maxClockSkewSeconds = 1

// exceedsBurst reports whether the requests in the busiest seconds of the nodes add
// up to more than the rate and burst allow in that time. The sum leaves out nodes
// that were busiest at another time, so it never exceeds the number of requests sent.
func (d *demand) exceedsBurst(key demandKey, limit Workspace) bool {
	peaks := d.peaks[key]
	for second := range peaks {
		sum := uint64(0)
		for s := second - maxClockSkewSeconds; s <= second+maxClockSkewSeconds; s++ {
			sum += peaks[s]
		}
		if float64(sum) > limit.Burst+limit.Rate*(2*maxClockSkewSeconds+1) {
			return true
		}
	}
	return false
}

// withinRate reports whether a workspace kept to its quota in a bucket: it sent no
// more than its rate on average and did not exceed its burst. It returns false if the
// rate of the workspace is not known.
func (d *demand) withinRate(workspace string, width time.Duration, start int64) bool {
	key := demandKey{workspace, width, start}
	limit, ok := d.lowest[key]
	if !ok {
		limit, ok = d.limits[workspace]
	}
	if !ok || d.exceedsBurst(key, limit) {
		return false
	}
	from := time.Unix(start, 0)
	to := from.Add(width)
	if d.since.After(from) {
		from = d.since
	}
	if d.until.Before(to) {
		to = d.until
	}
	return float64(d.sent[key]) <= limit.Rate*to.Sub(from).Seconds()
}
