// Command 13 shows what becomes of the acknowledgement that a server has left, when the
// store comes back from a copy that is some seconds old and the node is killed after that.
package main

import (
	"fmt"
	"sync"
	"time"

	"github.com/dotterelseam/dotterelseam/review/lab3"
)

const (
	slots       = 20
	work        = 20 * time.Millisecond
	setUpLimit  = 10 * time.Second
	ackLimit    = 4 * time.Second
	copyAge     = 2 * time.Second // of the copy when the store goes away
	awayTime    = 500 * time.Millisecond
	restartTime = 200 * time.Millisecond // from the end of a process to the next one
	lateAfter   = 500 * time.Millisecond // from the start of the process to the late heartbeat
	watched     = 2 * time.Second        // how long requests are watched for after the node is in touch
	sendPause   = 20 * time.Millisecond
	deadline    = 2 * time.Second
)

var configuration = lab3.Configuration{
	Version: 1, Services: []string{"stock", "front"}, Tenants: []lab3.Tenant{{Name: "farm", Key: "farmkey0farmkey0", Rate: 500, Burst: 500}},
	Routes: []lab3.Route{{Name: "stock", Host: "shop.example", Kind: "idempotent", Service: "stock", TimeoutMS: 1000, ObjectiveMS: 1500, Priority: 2}},
}

func main() { lab3.Main(run) }

func run(l *lab3.Lab) (bool, error) {
	l.Store.Configure(&configuration)
	nodes := map[string]*lab3.Node{}
	servers := map[string]*lab3.Server{}
	for i, m := range []struct{ name, zone, service string }{{"leaving", "north", "stock"}, {"staying", "south", "stock"}, {"entry", "north", "front"}} {
		host := fmt.Sprintf("127.13.0.%d", i+1)
		n, err := l.NewNode(m.name, m.zone, m.service, host)
		if err != nil {
			return false, err
		}
		if err := n.Run(); err != nil {
			return false, err
		}
		nodes[m.name], servers[m.name] = n, lab3.StartServer(n, slots, work)
	}
	for _, n := range nodes {
		if err := n.AwaitReady(setUpLimit); err != nil {
			return false, err
		}
	}
	stopClients := startClients(l, nodes["entry"], nodes["leaving"])
	defer stopClients()
	time.Sleep(lab3.Contact + time.Second)
	kept, taken := l.Store.Take(), time.Now()
	l.Record.Line("copy", "ver", l.Store.Ver())
	time.Sleep(copyAge / 2)

	leaving, node := servers["leaving"], nodes["leaving"]
	late := leaving.Heartbeat() // sent before the server leaves, and delayed
	acknowledged, ok := leaving.Deregister(ackLimit)
	if !ok {
		return false, fmt.Errorf("the server's leaving was not acknowledged")
	}
	l.Record.Line("leaving_acknowledged")
	time.Sleep(time.Until(taken.Add(copyAge)))
	if l.Trouble {
		l.Record.Line("store_away", "ver", l.Store.Ver())
		l.Store.GoAway()
		time.Sleep(awayTime)
		l.Store.ComeBack(&kept)
		l.Record.Line("store_back", "ver", l.Store.Ver())
	}
	if l.Trouble {
		l.Record.Line("killed", "node", node.Name)
		node.Kill()
		time.Sleep(restartTime)
		if err := node.Run(); err != nil {
			return false, err
		}
	}
	time.Sleep(lateAfter)
	l.Record.Line("late_heartbeat", "acknowledged", leaving.Deliver(late))
	inTouch := time.Now().Add(lab3.Contact)
	time.Sleep(time.Until(inTouch.Add(watched)))
	sent := stopClients()
	count, last := 0, acknowledged
	for _, r := range leaving.Runs() {
		if at, known := sent[r.ID]; known && at.After(inTouch) && r.At.After(acknowledged.Add(lab3.DrainBound)) {
			count, last = count+1, r.At
		}
	}
	l.Say("%d requests, sent when all machines were in touch again, reached the server later than %v after the acknowledgement that it leaves, the last %.1f s after it",
		count, lab3.DrainBound, last.Sub(acknowledged).Seconds())
	return count > 0, nil
}

// startClients lets clients at the nodes send requests until the returned function is called,
// which returns when each request was sent.
func startClients(l *lab3.Lab, nodes ...*lab3.Node) (stop func() map[string]time.Time) {
	const clients = 4 // at all nodes together
	var mu sync.Mutex
	sent := map[string]time.Time{}
	var running sync.WaitGroup
	ended := make(chan struct{})
	for i := range clients {
		client := l.NewClient(nodes[i%len(nodes)])
		running.Go(func() {
			for {
				select {
				case <-ended:
					return
				case <-time.After(sendPause):
				}
				s := client.Do(lab3.Request{Method: "GET", Host: "shop.example", Path: "/stock/a", Key: configuration.Tenants[0].Key, Deadline: deadline})
				mu.Lock()
				sent[s.ID] = s.At
				mu.Unlock()
			}
		})
	}
	return sync.OnceValue(func() map[string]time.Time {
		close(ended)
		running.Wait()
		return sent
	})
}
