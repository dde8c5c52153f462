package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Figures of the case of a server that leaves.
const (
	lookGap      = 20 * time.Millisecond
	lookWork     = 20 * time.Millisecond
	killDuration = 3 * time.Second // from the kill of the node to its next start
	leaveAfter   = 500 * time.Millisecond
	leaveRepeat  = time.Second
	lateAfter    = time.Second // from the acknowledgement to the arrival of the late heartbeat
	serveOn      = 9 * time.Second
)

// arrivals are the requests that reached the leaving server.
type arrivals struct {
	mu    sync.Mutex
	times []time.Time
}

func (a *arrivals) add(t time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.times = append(a.times, t)
}

// after returns how many requests arrived later than t.
func (a *arrivals) after(t time.Time) (n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, at := range a.times {
		if at.After(t) {
			n++
		}
	}
	return n
}

// workAfterLeaving plays a server that leaves while the process of its node is restarted,
// and one of its heartbeats that arrives late.
func workAfterLeaving(s *stage) (bool, error) {
	var reached arrivals
	handle := func(r *run) {
		s.runLook(r, &reached)
	}
	leaving, err := s.add("brum-a-1", "brum-a", "stockroom", handle)
	if err != nil {
		return false, err
	}
	if _, err := s.add("wolves-a-1", "wolves-a", "stockroom", handle); err != nil {
		return false, err
	}
	s.platform.Configure(configuration())
	if err := s.startAll(); err != nil {
		return false, err
	}
	if err := awaitServed(s.nodes, lookHost, 20*time.Second); err != nil {
		return false, err
	}
	go s.sendLooks(leaving)
	time.Sleep(contactBound)

	late := leaving.server.nextHeartbeat()
	s.record.say("the server sends a heartbeat that will arrive late")
	leaving.server.silence()
	restarted := make(chan error, 1)
	if s.trouble {
		leaving.kill()
		go func() { time.Sleep(killDuration); restarted <- leaving.start() }()
	} else {
		restarted <- nil
	}
	time.Sleep(leaveAfter)
	for !leaving.server.send(names.Deregister, nil) {
		s.record.add("the server leaves: not acknowledged")
		time.Sleep(leaveRepeat)
	}
	acknowledged := time.Now()
	s.record.say("the server leaves: acknowledged")
	if err := <-restarted; err != nil {
		return false, err
	}
	time.Sleep(lateAfter)
	s.record.say("the late heartbeat arrives, acknowledged: %v", leaving.server.send(names.Heartbeat, late))
	time.Sleep(time.Until(acknowledged.Add(serveOn)))
	return s.checkLeaving(leaving, &reached, acknowledged), nil
}

// runLook runs a look-up and notes that it reached the leaving server, which is the one of
// the first machine.
func (s *stage) runLook(r *run, reached *arrivals) {
	if r.server.machine == s.nodes[0] {
		reached.add(r.at)
	}
	s.record.addAt(r.at, "server %s runs %s", r.server.instance, r.id)
	time.Sleep(lookWork)
	r.answer([]byte("in stock"))
}

// checkLeaving reports whether a request reached the leaving server later than the bound
// after the acknowledgement, when the process of its node had run for long enough.
func (s *stage) checkLeaving(leaving *machine, reached *arrivals, acknowledged time.Time) bool {
	leaving.mu.Lock()
	inTouch := leaving.started.Add(contactBound)
	leaving.mu.Unlock()
	bound := acknowledged.Add(drainBound)
	s.record.say("requests that reached the server later than %v after the acknowledgement: %d; of these, once the node had run for %v: %d",
		drainBound, reached.after(bound), contactBound, reached.after(maxTime(bound, inTouch)))
	return reached.after(maxTime(bound, inTouch)) > 0
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// sendLooks sends look-ups to a node until the case ends.
func (s *stage) sendLooks(m *machine) {
	for n := 0; ; n++ {
		select {
		case <-s.stop:
			return
		case <-time.After(lookGap):
		}
		go func() {
			o := &outgoing{method: http.MethodGet, host: lookHost, id: fmt.Sprintf("look-%d", n), deadline: time.Second}
			s.record.add("client at %s sends %s", m.name, o.id)
			got, err := ask(m, o)
			s.record.add("client at %s gets %v, %v for %s", m.name, got, err, o.id)
		}()
	}
}
