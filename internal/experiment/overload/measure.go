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

// Result holds the measures of one mode. Goodput is the number of operations that
// succeeded per second.
type Result struct {
	Mode string `json:"mode"`
	// GoodputRatio is the goodput at the surge divided by the best sustained goodput
	// of any mode, before the surge or at full load.
	GoodputRatio float64 `json:"goodput_ratio"`
	// WeightedGoodputRatio is the goodput at the surge, weighted by importance,
	// divided by the highest weighted goodput that the best sustained goodput allows.
	WeightedGoodputRatio float64 `json:"weighted_goodput_ratio"`
	// RecoveryS is the larger of RecoverySurgeS and RecoverySlowS, in seconds.
	RecoveryS      float64 `json:"recovery_s"`
	RecoverySurgeS float64 `json:"recovery_surge_s"`
	RecoverySlowS  float64 `json:"recovery_slow_s"`
	// Recovered is false if, after the surge or the slow phase, the success ratio did
	// not return to 95% of that before the surge within the phase. The recovery time
	// is then the length of the phase.
	Recovered bool `json:"recovered"`
	// AttemptsPerRequestMax is the highest number of deliveries (attempts that reached
	// a backend server) of one request to the backend servers of one service.
	// AttemptsPerRequestMean is the mean over all requests and the services that they
	// reached. Each attempt of a client is a request of its own here.
	AttemptsPerRequestMax  int     `json:"attempts_per_request_max"`
	AttemptsPerRequestMean float64 `json:"attempts_per_request_mean"`
	// AttemptsPerTreeMax is the highest number of deliveries in the whole call
	// tree of one request, which is 3 without retries.
	AttemptsPerTreeMax int `json:"attempts_per_tree_max"`
	// WorstWorkspaceRatio is the lowest ratio of a workspace's goodput at the surge
	// to its fair share.
	WorstWorkspaceRatio float64 `json:"worst_workspace_ratio"`
	// ImportantShedWhileLessImportantServed counts the failed client attempts, shed or
	// failed otherwise, of the operations that arrived in the surge, during which a
	// less important attempt started that was served.
	ImportantShedWhileLessImportantServed int `json:"important_shed_while_less_important_served"`
	// CriticalShedWhileLessImportantServed counts those of importance critical.
	CriticalShedWhileLessImportantServed int `json:"critical_shed_while_less_important_served"`
	// WastedWorkRatio is the fraction of the backend servers' service time that was
	// spent on requests that did not succeed.
	WastedWorkRatio float64 `json:"wasted_work_ratio"`
	// Goodput in the phases, in operations per second.
	GoodputBefore     float64 `json:"goodput_before"`
	GoodputFull       float64 `json:"goodput_full"`
	GoodputSurge      float64 `json:"goodput_surge"`
	GoodputAfterSurge float64 `json:"goodput_after_surge"`
	GoodputSlow       float64 `json:"goodput_slow"`
	GoodputAfterSlow  float64 `json:"goodput_after_slow"`
	// ClientAttemptsMean is the mean number of attempts of a client per operation,
	// over the whole run.
	ClientAttemptsMean float64 `json:"client_tries_mean"`
	SuccessfulCritical float64 `json:"successful_critical"` // fraction of the critical operations at the surge
	// FailuresAtSurge counts failed client attempts by importance and refusal reason,
	// status or error.
	FailuresAtSurge map[string]int `json:"failures_at_surge"`
}

const (
	// recoveryWindow is the length of the sliding window of arrivals whose success
	// ratio decides on recovery, and recoveryStep is the step by which it moves.
	recoveryWindow = 200 * time.Millisecond
	recoveryStep   = 50 * time.Millisecond
	// recoveredFraction is the fraction of the success ratio in phase "before" at
	// which a window counts as recovered.
	recoveredFraction = 0.95
)

// modeRecord holds what was observed during the run of one mode.
type modeRecord struct {
	mode       string
	phases     []phase
	operations []*operation
	servers    map[string][]standin.BackendStats // by service
}

func (rec *modeRecord) phaseIndex(name string) int {
	for i, p := range rec.phases {
		if p.name == name {
			return i
		}
	}
	return -1
}

// phaseStart returns when a phase starts, relative to the start of the run.
func (rec *modeRecord) phaseStart(index int) time.Duration {
	d := time.Duration(0)
	for _, p := range rec.phases[:index] {
		d += p.length
	}
	return d
}

// operationsIn returns the operations that arrived in a phase, in order of arrival.
func (rec *modeRecord) operationsIn(name string) []*operation {
	var ops []*operation
	i := rec.phaseIndex(name)
	for _, o := range rec.operations {
		if o.phase == i {
			ops = append(ops, o)
		}
	}
	return ops
}

// goodput returns the operations per second that were completed during a phase,
// whenever they arrived.
func (rec *modeRecord) goodput(name string) float64 {
	return rec.weightedGoodput(name, func(*operation) float64 { return 1 })
}

// weightedGoodput returns the sum of the weights per second of the operations that
// were completed during a phase.
func (rec *modeRecord) weightedGoodput(name string, weight func(*operation) float64) float64 {
	i := rec.phaseIndex(name)
	from := rec.phaseStart(i)
	to := from + rec.phases[i].length
	sum := 0.0
	for _, o := range rec.operations {
		if attempts := o.attempts; o.succeeded() && attempts[len(attempts)-1].end >= from && attempts[len(attempts)-1].end < to {
			sum += weight(o)
		}
	}
	return sum / rec.phases[i].length.Seconds()
}

// successRatio returns the fraction of the operations that succeeded.
func successRatio(ops []*operation) float64 {
	n := 0
	for _, o := range ops {
		if o.succeeded() {
			n++
		}
	}
	return float64(n) / float64(max(len(ops), 1))
}

// recoveryTime returns the time from the start of a phase after which all windows
// of arrivals reach recoveredFraction of the success ratio in phase "before". If no
// such time leaves a whole window in the phase, it returns the length of the phase
// and false.
func (rec *modeRecord) recoveryTime(name string) (time.Duration, bool) {
	ops := rec.operationsIn(name)
	i := rec.phaseIndex(name)
	from, length := rec.phaseStart(i), rec.phases[i].length
	want := recoveredFraction * successRatio(rec.operationsIn("before"))
	recovered := time.Duration(0)
	for at := time.Duration(0); at+recoveryWindow <= length; at += recoveryStep {
		if successRatio(arrivedBetween(ops, from+at, from+at+recoveryWindow)) < want {
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

// countFailedWhileLowerServed counts the failed attempts (shed or failed otherwise) of
// the given importance during which a less important attempt started that was
// served.
func countFailedWhileLowerServed(ops []*operation, at config.Importance) int {
	var served [config.ImportanceLevels][]time.Duration
	for _, o := range ops {
		if o.succeeded() {
			served[o.importance] = append(served[o.importance], o.attempts[len(o.attempts)-1].start)
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
		for _, t := range o.attempts {
			if !t.succeeded && anyStartedDuring(served[:at], t) {
				n++
			}
		}
	}
	return n
}

func anyStartedDuring(lessImportant [][]time.Duration, attempt clientAttempt) bool {
	for _, starts := range lessImportant {
		i := sort.Search(len(starts), func(i int) bool { return starts[i] > attempt.start })
		if i < len(starts) && starts[i] < attempt.end {
			return true
		}
	}
	return false
}

// addDeliveryCounts fills in the measures of deliveries to backend servers.
func (rec *modeRecord) addDeliveryCounts(r *Result) {
	tree := map[string]int{}
	deliveries, reached := 0, 0
	for _, servers := range rec.servers {
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

// wastedWorkRatio returns the fraction of the service time that was not needed for
// the successful operations.
func (rec *modeRecord) wastedWorkRatio() float64 {
	spent, useful := 0.0, 0.0
	for _, t := range chain {
		for _, st := range rec.servers[t.service] {
			spent += float64(st.Runs) * t.serviceTime.Seconds()
		}
		for _, o := range rec.operations {
			if o.succeeded() {
				useful += t.serviceTime.Seconds()
			}
		}
	}
	if spent == 0 {
		return 0
	}
	return max(0, 1-useful/spent)
}

// measure returns the measures that do not depend on other modes.
func (rec *modeRecord) measure() Result {
	r := Result{
		Mode: rec.mode, GoodputBefore: rec.goodput("before"), GoodputFull: rec.goodput("full"), GoodputSurge: rec.goodput("surge"),
		GoodputAfterSurge: rec.goodput("after surge"), GoodputSlow: rec.goodput("slow"), GoodputAfterSlow: rec.goodput("after slow"),
		WastedWorkRatio: rec.wastedWorkRatio(),
	}
	surge, okSurge := rec.recoveryTime("after surge")
	slow, okSlow := rec.recoveryTime("after slow")
	r.RecoverySurgeS, r.RecoverySlowS = surge.Seconds(), slow.Seconds()
	r.RecoveryS, r.Recovered = max(r.RecoverySurgeS, r.RecoverySlowS), okSurge && okSlow
	rec.addDeliveryCounts(&r)
	ops := rec.operationsIn("surge")
	for i := config.Normal; i <= config.Critical; i++ {
		r.ImportantShedWhileLessImportantServed += countFailedWhileLowerServed(ops, i)
	}
	r.CriticalShedWhileLessImportantServed = countFailedWhileLowerServed(ops, config.Critical)
	r.FailuresAtSurge = countFailures(ops)
	r.ClientAttemptsMean, r.SuccessfulCritical = meanAttempts(rec.operations), successRatio(withImportance(ops, config.Critical))
	return r
}

func meanAttempts(ops []*operation) float64 {
	n := 0
	for _, o := range ops {
		n += len(o.attempts)
	}
	return float64(n) / float64(max(len(ops), 1))
}

func withImportance(ops []*operation, i config.Importance) []*operation {
	var out []*operation
	for _, o := range ops {
		if o.importance == i {
			out = append(out, o)
		}
	}
	return out
}

// countFailures counts the failed attempts of operations by importance and cause.
func countFailures(ops []*operation) map[string]int {
	m := map[string]int{}
	for _, o := range ops {
		for _, t := range o.attempts {
			if !t.succeeded {
				m[o.importance.String()+" "+t.failure]++
			}
		}
	}
	return m
}
