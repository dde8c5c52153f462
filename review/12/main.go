// Command 12 shows what becomes of the quota when the store comes back from a copy that is
// some seconds old, without the rows of machines that were added meanwhile.
package main

import (
	"fmt"
	"sync"
	"time"

	"github.com/dotterelseam/dotterelseam/review/lab3"
)

const (
	slots       = 100
	work        = 20 * time.Millisecond
	setUpLimit  = 10 * time.Second
	copyAge     = 4 * time.Second // of the copy when the store goes away
	awayTime    = 800 * time.Millisecond
	settle      = 4 * time.Second // after the drill, longer than the contact of the bounds
	surge       = 12 * time.Second
	sendPause   = 20 * time.Millisecond // between requests of one client
	deadline    = 2 * time.Second
	firstMember = 4 // machines at the start
)

var tenant = lab3.Tenant{Name: "farm", Key: "farmkey0farmkey0", Rate: 100, Burst: 100}

// services are those of the machines: two of each at the start, one more of each later.
var services = []string{"stock", "order", "stock", "order", "stock", "order"}

func configuration(version int) *lab3.Configuration {
	c := &lab3.Configuration{Version: version, Services: []string{"stock", "order"}, Tenants: []lab3.Tenant{tenant}}
	for _, service := range c.Services {
		c.Routes = append(c.Routes, lab3.Route{Name: service, Host: "shop.example", Kind: "idempotent", Service: service, TimeoutMS: 1000, ObjectiveMS: 1500, Priority: 2})
	}
	if version > 1 { // the changes add a route that nobody uses
		c.Routes = append(c.Routes, lab3.Route{Name: fmt.Sprintf("idle%d", version), Host: "shop.example", Kind: "idempotent", Service: "stock", TimeoutMS: 1000, ObjectiveMS: 1500, Priority: 2})
	}
	return c
}

// machine is a node with its server.
type machine struct {
	node   *lab3.Node
	server *lab3.Server
}

func main() { lab3.Main(run) }

func addMachine(l *lab3.Lab, i int) (m machine, err error) {
	name, host := fmt.Sprintf("m%d", i+1), fmt.Sprintf("127.12.0.%d", i+1)
	if m.node, err = l.NewNode(name, []string{"north", "south"}[i/2%2], services[i], host); err != nil {
		return m, err
	}
	if err = m.node.Run(); err != nil {
		return m, err
	}
	m.server = lab3.StartServer(m.node, slots, work)
	return m, nil
}

func run(l *lab3.Lab) (bool, error) {
	l.Store.Configure(configuration(1))
	var machines []machine
	add := func(from, to int) error {
		for i := from; i < to; i++ {
			m, err := addMachine(l, i)
			if err != nil {
				return err
			}
			machines = append(machines, m)
		}
		for _, m := range machines[from:] {
			if err := m.node.AwaitReady(setUpLimit); err != nil {
				return err
			}
		}
		return nil
	}
	if err := add(0, firstMember); err != nil {
		return false, err
	}
	time.Sleep(lab3.Contact)
	kept, taken := l.Store.Take(), time.Now()
	l.Record.Line("copy", "ver", l.Store.Ver())
	if err := add(firstMember, len(services)); err != nil {
		return false, err
	}
	time.Sleep(1500 * time.Millisecond) // the servers have sent a heartbeat
	l.Store.Configure(configuration(2))
	time.Sleep(500 * time.Millisecond)
	l.Store.Configure(configuration(3))
	time.Sleep(time.Until(taken.Add(copyAge)))
	if l.Trouble {
		l.Record.Line("store_away", "ver", l.Store.Ver())
		l.Store.GoAway()
		time.Sleep(awayTime)
		l.Store.ComeBack(&kept)
		l.Record.Line("store_back", "ver", l.Store.Ver())
	}
	time.Sleep(settle)
	sent := surgeAt(l, machines)
	var runs []lab3.Run
	for _, m := range machines {
		runs = append(runs, m.server.Runs()...)
	}
	most, from := lab3.MostInWindow(sent, runs, tenant.Name)
	permitted := lab3.MostPermitted(tenant)
	l.Say("most requests of the tenant sent and run in %v: %d from second %.1f, permitted %d; sent in all %d, run in all %d",
		lab3.QuotaWindow, most, l.Record.At(from), permitted, len(sent), len(runs))
	return most > permitted, nil
}

// surgeAt lets clients at all machines send requests of the tenant to both services. It
// returns when each request was sent.
func surgeAt(l *lab3.Lab, machines []machine) map[string]time.Time {
	var mu sync.Mutex
	sent := map[string]time.Time{}
	var clients sync.WaitGroup
	end := time.Now().Add(surge)
	for _, m := range machines {
		for _, service := range []string{"stock", "order"} {
			client := l.NewClient(m.node)
			clients.Go(func() {
				for time.Now().Before(end) {
					s := client.Do(lab3.Request{Method: "GET", Host: "shop.example", Path: "/" + service + "/a", Key: tenant.Key, Deadline: deadline})
					mu.Lock()
					sent[s.ID] = s.At
					mu.Unlock()
					time.Sleep(sendPause)
				}
			})
		}
	}
	clients.Wait()
	return sent
}
