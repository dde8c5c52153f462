package admission

import (
	"sync"
	"time"

	"github.com/dotterelseam/dotterelseam/config"
	"github.com/dotterelseam/dotterelseam/refusal"
)

// classCount is the number of priority classes of the queue: two for each
// importance, of which the higher one holds requests of call trees that have already
// been admitted. A higher class is served first.
const classCount = config.ImportanceLevels * 2

func classOf(i config.Importance, admitted bool) int {
	class := int(min(i, config.ImportanceLevels-1)) * 2
	if admitted {
		class++
	}
	return class
}

// decision tells a waiter that it was admitted or refused.
type decision struct {
	start int64            // time of admission, nanoseconds
	err   *refusal.Refusal // nil if admitted
}

// waiter is a queued request. Its times are in nanoseconds.
type waiter struct {
	decided    chan decision
	timer      *time.Timer
	arrived    int64
	expires    int64 // when it is refused if it is still in the queue
	deadline   int64 // 0 means none
	importance config.Importance
	class      int
	usage      *usage
	queued     bool
}

// waiterPool reuses waiters with their channels and timers.
type waiterPool struct{ pool sync.Pool }

func (p *waiterPool) get() *waiter {
	if w, ok := p.pool.Get().(*waiter); ok {
		return w
	}
	t := time.NewTimer(time.Hour)
	t.Stop()
	return &waiter{decided: make(chan decision, 1), timer: t}
}

// put must be called only after w has left the queue and its decision, if any, has
// been received.
func (p *waiterPool) put(w *waiter) {
	w.timer.Stop()
	w.usage = nil
	p.pool.Put(w)
}

// flow holds the waiters of one workspace in one class, oldest first.
type flow struct {
	usage   *usage
	waiters []*waiter
}

// queue holds waiters by class and workspace.
type queue struct {
	length int
	flows  [classCount][]*flow
	counts [classCount]int // waiters in each class
}

// find returns the index of the flow of a workspace in a class, or -1.
func (q *queue) find(class int, u *usage) int {
	for i, f := range q.flows[class] {
		if f.usage == u {
			return i
		}
	}
	return -1
}

func (q *queue) push(w *waiter) {
	w.queued = true
	q.length++
	q.counts[w.class]++
	w.usage.queued++
	if i := q.find(w.class, w.usage); i >= 0 {
		f := q.flows[w.class][i]
		f.waiters = append(f.waiters, w)
		return
	}
	q.flows[w.class] = append(q.flows[w.class], &flow{usage: w.usage, waiters: []*waiter{w}})
}

func (q *queue) remove(w *waiter) {
	i := q.find(w.class, w.usage)
	f := q.flows[w.class][i]
	for j, other := range f.waiters {
		if other == w {
			f.waiters = append(f.waiters[:j], f.waiters[j+1:]...)
			break
		}
	}
	if len(f.waiters) == 0 {
		last := len(q.flows[w.class]) - 1
		q.flows[w.class][i] = q.flows[w.class][last]
		q.flows[w.class] = q.flows[w.class][:last]
	}
	w.queued = false
	q.length--
	q.counts[w.class]--
	w.usage.queued--
}

// next returns the waiter to admit next, or nil: the oldest one of the least served
// workspace in the highest class.
func (q *queue) next() *waiter {
	for class := classCount - 1; class >= 0; class-- {
		var first *flow
		for _, f := range q.flows[class] {
			if first == nil || f.usage.served < first.usage.served {
				first = f
			}
		}
		if first != nil {
			return first.waiters[0]
		}
	}
	return nil
}

// displacedBy returns the waiter that an arrival displaces from a full queue: the
// newest one of the workspace with the highest demand in the lowest class. It returns
// nil if no waiter ranks below the arrival.
func (q *queue) displacedBy(class int, u *usage) *waiter {
	for low := 0; low <= class; low++ {
		var last *flow
		for _, f := range q.flows[low] {
			if last == nil || f.usage.demand() > last.usage.demand() {
				last = f
			}
		}
		if last == nil {
			continue
		}
		if low == class && u.demand()+1 >= last.usage.demand() {
			return nil
		}
		return last.waiters[len(last.waiters)-1]
	}
	return nil
}

// countAhead estimates how many waiters are admitted before an arrival. Within the
// arrival's class, the workspaces are assumed to take turns.
func (q *queue) countAhead(class int, u *usage) int {
	n := 0
	for higher := class + 1; higher < classCount; higher++ {
		n += q.counts[higher]
	}
	own := 0
	if i := q.find(class, u); i >= 0 {
		own = len(q.flows[class][i].waiters)
	}
	return n + min(q.counts[class], (own+1)*len(q.flows[class]))
}
