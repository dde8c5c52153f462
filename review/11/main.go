// Command 11 shows what becomes of uploads while servers send some of their answers twice.
package main

import (
	"fmt"
	"sync"
	"time"

	"github.com/dotterelseam/dotterelseam/review/lab3"
)

const (
	slots       = 108
	work        = 5 * time.Millisecond
	extraDelay  = 400 * time.Microsecond
	setUpLimit  = 10 * time.Second
	extraShare  = 30 // thousandths of the answers of a server in trouble
	troubles    = 8
	troubleTime = 5 * time.Second
	calmTime    = time.Second
	clients     = 24 // at each machine
	length      = 70 << 10
	deadline    = 3 * time.Second
)

var configuration = lab3.Configuration{
	Version: 1, Services: []string{"certvault"}, Tenants: []lab3.Tenant{{Name: "farm", Key: "farmkey0farmkey0"}},
	Routes: []lab3.Route{{Name: "certs", Host: "shop.example", Kind: "idempotent", Service: "certvault", TimeoutMS: 3000, ObjectiveMS: 800, Priority: 2}},
}

func main() { lab3.Main(run) }

func run(l *lab3.Lab) (bool, error) {
	l.Store.Configure(&configuration)
	var nodes []*lab3.Node
	var servers []*lab3.UploadServer
	for i, zone := range []string{"north", "south", "west", "east"} {
		host := fmt.Sprintf("127.11.0.%d", i+1)
		n, err := l.NewNode(fmt.Sprintf("m%d", i+1), zone, "certvault", host)
		if err != nil {
			return false, err
		}
		if err := n.Run(); err != nil {
			return false, err
		}
		nodes, servers = append(nodes, n), append(servers, lab3.StartUploadServer(n, slots, work, extraDelay))
	}
	for _, n := range nodes {
		if err := n.AwaitReady(setUpLimit); err != nil {
			return false, err
		}
	}
	time.Sleep(lab3.Contact)
	statuses := sendUploads(l, nodes, servers)
	total, changed, extras := 0, 0, int64(0)
	for _, s := range servers {
		extras += s.Extras.Load()
		for _, r := range s.Received() {
			total++
			if !r.Whole {
				changed++
				l.Say("server %s ran upload %s with %d bytes; its client sent %d and got status %d", s.Instance, r.ID, r.Bytes, length, statuses[r.ID])
			}
		}
	}
	l.Say("%d uploads sent, %d run, %d second answers, %d run with another body", len(statuses), total, extras, changed)
	return changed > 0, nil
}

// sendUploads sends uploads while half of the servers are in trouble for some times. It
// returns the statuses of the answers.
func sendUploads(l *lab3.Lab, nodes []*lab3.Node, servers []*lab3.UploadServer) map[string]int {
	var mu sync.Mutex
	statuses := map[string]int{}
	var running sync.WaitGroup
	ended := make(chan struct{})
	for _, n := range nodes {
		for range clients {
			client := l.NewClient(n)
			running.Go(func() {
				for {
					select {
					case <-ended:
						return
					default:
					}
					s := client.Upload("shop.example", "/certs/", configuration.Tenants[0].Key, length, deadline)
					mu.Lock()
					statuses[s.ID] = s.Status
					mu.Unlock()
				}
			})
		}
	}
	for range troubles {
		for _, s := range servers[:len(servers)/2] {
			if l.Trouble {
				s.ExtraShare.Store(extraShare)
			}
		}
		time.Sleep(troubleTime)
		for _, s := range servers {
			s.ExtraShare.Store(0)
		}
		time.Sleep(calmTime)
	}
	close(ended)
	running.Wait()
	return statuses
}
