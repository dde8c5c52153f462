package main

import (
	"fmt"
	"time"

	"github.com/dotterelseam/dotterelseam/internal/standin"
)

// Figures of the case of a forgotten departure.
const (
	otherLeavesBefore = 150 * time.Millisecond // the other server leaves so long before
	storeDown         = 4500 * time.Millisecond
	quickRestart      = time.Second
)

// workAfterForgetting plays two servers that leave shortly after each other. The node that
// has acknowledged the second one is killed, and the store is down for some seconds. A
// heartbeat of the second server arrives late.
func workAfterForgetting(s *stage) (bool, error) {
	var reached arrivals
	handle := func(r *run) { s.runLook(r, &reached) }
	leaving, err := s.add("brum-a-1", "brum-a", "stockroom", handle)
	if err != nil {
		return false, err
	}
	other, err := s.add("wolves-a-1", "wolves-a", "stockroom", handle)
	if err != nil {
		return false, err
	}
	if _, err := s.add("notts-a-1", "notts-a", "stockroom", handle); err != nil {
		return false, err
	}
	s.platform.Configure(configuration())
	if err := s.startAll(); err != nil {
		return false, err
	}
	if err := awaitServed(s.nodes, lookHost, 20*time.Second); err != nil {
		return false, err
	}
	for _, m := range s.nodes {
		go s.sendLooks(m)
	}
	time.Sleep(contactBound)

	late := leaving.server.nextHeartbeat()
	s.record.say("the server sends a heartbeat that will arrive late")
	leaving.server.silence()
	other.server.silence()
	if !other.server.send(names.Deregister, nil) {
		return false, fmt.Errorf("the other server's leaving is not acknowledged")
	}
	s.record.say("the other server leaves: acknowledged")
	time.Sleep(otherLeavesBefore)
	if !leaving.server.send(names.Deregister, nil) {
		return false, fmt.Errorf("the server's leaving is not acknowledged")
	}
	acknowledged := time.Now()
	if s.trouble {
		s.platform.SetFaults(standin.PlatformFaults{Down: true})
		leaving.kill()
		time.AfterFunc(storeDown, func() {
			s.platform.SetFaults(standin.PlatformFaults{})
			s.record.say("the store is back")
		})
	}
	s.record.say("the server leaves: acknowledged")
	time.Sleep(quickRestart)
	if s.trouble {
		if err := leaving.start(); err != nil {
			return false, err
		}
		s.record.say("the node runs again")
	}
	time.Sleep(lateAfter)
	s.record.say("the late heartbeat arrives, acknowledged: %v", leaving.server.send(names.Heartbeat, late))
	time.Sleep(time.Until(acknowledged.Add(serveOn)))
	s.record.say("of the requests that reached the server, later than %v after the end of the disruption of the store: %d",
		contactBound, reached.after(acknowledged.Add(storeDown+contactBound)))
	return s.checkLeaving(leaving, &reached, acknowledged), nil
}
