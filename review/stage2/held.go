package main

import (
	"fmt"
	"syscall"
	"time"

	"github.com/dotterelseam/dotterelseam/internal/standin"
)

// Figures of the case of a held heartbeat.
const (
	leaveAfterStart = 2 * time.Second       // a heartbeat of the server reaches the new process before
	retryAtOnce     = 20 * time.Millisecond // the server repeats its call when it was not acknowledged
)

// workAfterHeldHeartbeat plays a planned restart of a node, whose store is down when it
// starts, and a server that leaves meanwhile.
func workAfterHeldHeartbeat(s *stage) (bool, error) {
	var reached arrivals
	handle := func(r *run) { s.runLook(r, &reached) }
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

	s.record.say("the node gets SIGTERM")
	if !leaving.terminate(graceBound) {
		return false, fmt.Errorf("the node did not exit in time")
	}
	if s.trouble {
		s.platform.SetFaults(standin.PlatformFaults{Down: true})
		s.record.say("the store is down")
		time.AfterFunc(storeDown, func() {
			s.platform.SetFaults(standin.PlatformFaults{})
			s.record.say("the store is back")
		})
	}
	if err := leaving.start(); err != nil {
		return false, err
	}
	s.record.say("the node runs again")
	time.Sleep(leaveAfterStart)
	leaving.server.silence()
	s.record.say("the server leaves")
	for !leaving.server.send(names.Deregister, nil) {
		s.record.add("not acknowledged")
		time.Sleep(retryAtOnce)
	}
	acknowledged := time.Now()
	s.record.say("acknowledged")
	time.Sleep(serveOn)
	s.record.say("of the requests that reached the server, later than %v after the acknowledgement and thus after the end of the disruption: %d",
		contactBound, reached.after(acknowledged.Add(contactBound)))
	return s.checkLeaving(leaving, &reached, acknowledged), nil
}

// terminate sends SIGTERM to the process of the node and reports whether it exited within
// the limit.
func (m *machine) terminate(limit time.Duration) bool {
	m.mu.Lock()
	c, exited := m.command, m.exited
	m.mu.Unlock()
	if err := c.Process.Signal(syscall.SIGTERM); err != nil {
		return false
	}
	select {
	case <-exited:
		return true
	case <-time.After(limit):
		return false
	}
}
