package overload

import (
	"sort"
	"time"

	"github.com/dotterelseam/dotterelseam/config"
	"github.com/dotterelseam/dotterelseam/internal/standin"
)

// Results is the outcome of a run.
type Results struct {
	Results []Result `json:"results"`
}

// Result holds the measures of one mode. Goodput counts complete requests.
type Result struct {
	Mode string `json:"mode"`
	// GoodputRatio is the goodput at the surge over the best sustained goodput of
	// any mode at or near full load.
	GoodputRatio float64 `json:"goodput_ratio"`
	// WeightedGoodputRatio is the goodput at the surge weighted by worth, over the
	// highest weighted goodput that the best sustained goodput allows.
	WeightedGoodputRatio float64 `json:"weighted_goodput_ratio"`
	// RecoveryS is the longer one of the next two, seconds.
	RecoveryS      float64 `json:"recovery_s"`
	RecoverySurgeS float64 `json:"recovery_surge_s"`
	RecoverySlowS  float64 `json:"recovery_slow_s"`
	// Recovered is false if 95% of the goodput before were not reached within the
	// phase; the recovery times are then the length of the phase.
	Recovered bool `json:"recovered"`
	// AttemptsPerRequestMax is the highest number of deliveries of one request to
	// the backend servers of one service; AttemptsPerRequestMean is the average
	// over the services that a request reached.
	AttemptsPerRequestMax  int     `json:"attempts_per_request_max"`
	AttemptsPerRequestMean float64 `json:"attempts_per_request_mean"`
	// AttemptsPerTreeMax is the highest number of deliveries in the whole call
	// tree of one request; 3 without a retry.
	AttemptsPerTreeMax int `json:"attempts_per_tree_max"`
	// WorstWorkspaceRatio is the lowest ratio of a workspace's goodput at the surge
	// to its fair entitlement.
	WorstWorkspaceRatio float64 `json:"worst_workspace_ratio"`
	// ImportantShedWhileLessImportantServed counts exchanges that failed in the
	// surge while a less important one that started later was served.
	ImportantShedWhileLessImportantServed int `json:"important_shed_while_less_important_served"`
	// CriticalShedWhileLessImportantServed is the part of them of importance critical.
	CriticalShedWhileLessImportantServed int `json:"critical_shed_while_less_important_served"`
	// WastedWorkRatio is the part of the backend servers' work, as service time,
	// for requests that did not succeed.
	WastedWorkRatio float64 `json:"wasted_work_ratio"`
	// Goodput per second in the phases.
	GoodputBefore      float64 `json:"goodput_before"`
	GoodputFull        float64 `json:"goodput_full"`
	GoodputSurge       float64 `json:"goodput_surge"`
	GoodputAfterSurge  float64 `json:"goodput_after_surge"`
	GoodputSlow        float64 `json:"goodput_slow"`
	GoodputAfterSlow   float64 `json:"goodput_after_slow"`
	ClientAttemptsMean float64 `json:"client_tries_mean"`
	SuccessfulCritical float64 `json:"successful_critical"` // part of the critical requests at the surge
	// FailuresAtSurge counts failed exchanges by importance and refusal reason,
	// status or error.
	FailuresAtSurge map[string]int `json:"failures_at_surge"`
}

const (
	// recoveryWindow and recoveryStep define the sliding window of the recovery.
	recoveryWindow = 200 * time.Millisecond
	recoveryStep   = 50 * time.Millisecond
	// recoveredPart is the part of the goodput before that counts as recovered.
	recoveredPart = 0.95
)

// sample is what one mode left behind.
type sample struct {
	mode       string
	phases     []phase
	operations []*operation
	servers    map[string][]standin.BackendStats // by service
}

func (s *sample) index(name string) int {
	for i, p := range s.phases {
		if p.name == name {
			return i
		}
	}
	return -1
}

// start returns the start of a phase since the start of the run.
func (s *sample) start(index int) time.Duration {
	d := time.Duration(0)
	for _, p := range s.phases[:index] {
		d += p.length
	}
	return d
}

// in returns the operations that arrived in a phase.
func (s *sample) in(name string) []*operation {
	var ops []*operation
	i := s.index(name)
	for _, o := range s.operations {
		if o.phase == i {
			ops = append(ops, o)
		}
	}
	return ops
}

// goodput returns the operations per second that were completed during a phase,
// whenever they arrived.
func (s *sample) goodput(name string) float64 {
	return s.goodputBy(name, func(*operation) float64 { return 1 })
}

func (s *sample) goodputBy(name string, worth func(*operation) float64) float64 {
	i := s.index(name)
	from := s.start(i)
	to := from + s.phases[i].length
	sum := 0.0
	for _, o := range s.operations {
		if end := o.tries; o.ok() && end[len(end)-1].end >= from && end[len(end)-1].end < to {
			sum += worth(o)
		}
	}
	return sum / s.phases[i].length.Seconds()
}

// success returns the part of the operations that succeeded.
func success(ops []*operation) float64 {
	n := 0
	for _, o := range ops {
		if o.ok() {
			n++
		}
	}
	return float64(n) / float64(max(len(ops), 1))
}

// recovery returns the time from the start of a phase until the success of all
// later windows of arrivals is at least recoveredPart of that before.
func (s *sample) recovery(name string) (time.Duration, bool) {
	ops := s.in(name)
	i := s.index(name)
	from, length := s.start(i), s.phases[i].length
	want := recoveredPart * success(s.in("before"))
	recovered := time.Duration(0)
	for at := time.Duration(0); at+recoveryWindow <= length; at += recoveryStep {
		if success(arrivedBetween(ops, from+at, from+at+recoveryWindow)) < want {
			recovered = at + recoveryStep
		}
	}
	if recovered+recoveryWindow > length {
		return length, false
	}
	return recovered, true
}

func arrivedBetween(ops []*operation, from, to time.Duration) []*operation {
	lo := sort.Search(len(ops), func(i int) bool { return ops[i].arrival >= from })
	hi := sort.Search(len(ops), func(i int) bool { return ops[i].arrival >= to })
	return ops[lo:hi]
}

// inversions counts failed exchanges during which a less important one started
// that was served.
func inversions(ops []*operation, at config.Importance) int {
	var served [config.ImportanceLevels][]time.Duration
	for _, o := range ops {
		if o.ok() {
			served[o.importance] = append(served[o.importance], o.tries[len(o.tries)-1].start)
		}
	}
	for i := range served {
		sort.Slice(served[i], func(a, b int) bool { return served[i][a] < served[i][b] })
	}
	n := 0
	for _, o := range ops {
		if o.importance != at {
			continue
		}
		for _, t := range o.tries {
			if !t.ok && anyStarted(served[:at], t) {
				n++
			}
		}
	}
	return n
}

func anyStarted(less [][]time.Duration, t try) bool {
	for _, starts := range less {
		i := sort.Search(len(starts), func(i int) bool { return starts[i] > t.start })
		if i < len(starts) && starts[i] < t.end {
			return true
		}
	}
	return false
}

// attempts fills in the measures of deliveries to backend servers.
func (s *sample) attempts(r *Result) {
	tree := map[string]int{}
	deliveries, reached := 0, 0
	for _, servers := range s.servers {
		perRequest := map[string]int{}
		for _, st := range servers {
			for id, n := range st.RunsByRequest {
				perRequest[id] += n
			}
		}
		for id, n := range perRequest {
			tree[id] += n
			deliveries += n
			reached++
			r.AttemptsPerRequestMax = max(r.AttemptsPerRequestMax, n)
		}
	}
	for _, n := range tree {
		r.AttemptsPerTreeMax = max(r.AttemptsPerTreeMax, n)
	}
	r.AttemptsPerRequestMean = float64(deliveries) / float64(max(reached, 1))
}

// wasted returns the part of the work that did not serve a successful request.
func (s *sample) wasted() float64 {
	spent, useful := 0.0, 0.0
	for _, t := range chain {
		for _, st := range s.servers[t.service] {
			spent += float64(st.Runs) * t.work.Seconds()
		}
		for _, o := range s.operations {
			if o.ok() {
				useful += t.work.Seconds()
			}
		}
	}
	if spent == 0 {
		return 0
	}
	return max(0, 1-useful/spent)
}

// measure returns the measures that need only this mode.
func (s *sample) measure() Result {
	r := Result{
		Mode: s.mode, GoodputBefore: s.goodput("before"), GoodputFull: s.goodput("full"), GoodputSurge: s.goodput("surge"),
		GoodputAfterSurge: s.goodput("after surge"), GoodputSlow: s.goodput("slow"), GoodputAfterSlow: s.goodput("after slow"),
		WastedWorkRatio: s.wasted(),
	}
	surge, okSurge := s.recovery("after surge")
	slow, okSlow := s.recovery("after slow")
	r.RecoverySurgeS, r.RecoverySlowS = surge.Seconds(), slow.Seconds()
	r.RecoveryS, r.Recovered = max(r.RecoverySurgeS, r.RecoverySlowS), okSurge && okSlow
	s.attempts(&r)
	ops := s.in("surge")
	for i := config.Normal; i <= config.Critical; i++ {
		r.ImportantShedWhileLessImportantServed += inversions(ops, i)
	}
	r.CriticalShedWhileLessImportantServed = inversions(ops, config.Critical)
	r.FailuresAtSurge = failures(ops)
	r.ClientAttemptsMean, r.SuccessfulCritical = triesMean(s.operations), success(ofImportance(ops, config.Critical))
	return r
}

func triesMean(ops []*operation) float64 {
	n := 0
	for _, o := range ops {
		n += len(o.tries)
	}
	return float64(n) / float64(max(len(ops), 1))
}

func ofImportance(ops []*operation, i config.Importance) []*operation {
	var out []*operation
	for _, o := range ops {
		if o.importance == i {
			out = append(out, o)
		}
	}
	return out
}

// failures counts the failed exchanges of operations by importance and cause.
func failures(ops []*operation) map[string]int {
	m := map[string]int{}
	for _, o := range ops {
		for _, t := range o.tries {
			if !t.ok {
				m[o.importance.String()+" "+t.failure]++
			}
		}
	}
	return m
}
