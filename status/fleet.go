package status

import (
	"context"
	"net/http"
	"sort"
	"sync"
)

// Result is the outcome of asking one node.
type Result struct {
	Address string // of the operators listener
	Node    Node   // valid if Err is nil
	Err     error  // class ErrUnreachable
}

// FetchAll asks all nodes at the same time and returns the results in the order
// of the addresses.
func FetchAll(ctx context.Context, client *http.Client, addresses []string) []Result {
	results := make([]Result, len(addresses))
	var wg sync.WaitGroup
	for i, address := range addresses {
		wg.Go(func() {
			n, err := Fetch(ctx, client, address)
			results[i] = Result{Address: address, Node: n, Err: err}
		})
	}
	wg.Wait()
	return results
}

// Rollout tells where a configuration version is in force.
type Rollout struct {
	Version     uint64              `json:"version"`
	Complete    bool                `json:"complete"`     // every node asked has the version
	DataCentres []DataCentreRollout `json:"data_centres"` // in the order of their names
	Unreachable []string            `json:"unreachable"`  // addresses of nodes without an answer
}

// DataCentreRollout counts the nodes of one data centre.
type DataCentreRollout struct {
	Name    string   `json:"name"`
	Nodes   int      `json:"nodes"`    // nodes that answered
	InForce int      `json:"in_force"` // those with the version or a higher one
	Behind  []string `json:"behind"`   // names of the others
}

// Summarise counts where version, or a higher one, is in force.
func Summarise(version uint64, results []Result) Rollout {
	out := Rollout{Version: version, Complete: true, DataCentres: []DataCentreRollout{}, Unreachable: []string{}}
	byName := map[string]*DataCentreRollout{}
	for _, r := range results {
		if r.Err != nil {
			out.Unreachable = append(out.Unreachable, r.Address)
			out.Complete = false
			continue
		}
		dc := byName[r.Node.DataCentre]
		if dc == nil {
			dc = &DataCentreRollout{Name: r.Node.DataCentre, Behind: []string{}}
			byName[dc.Name] = dc
		}
		dc.Nodes++
		if r.Node.Version >= version {
			dc.InForce++
			continue
		}
		dc.Behind = append(dc.Behind, r.Node.Node)
		out.Complete = false
	}
	for _, dc := range byName {
		out.DataCentres = append(out.DataCentres, *dc)
	}
	sort.Slice(out.DataCentres, func(i, j int) bool { return out.DataCentres[i].Name < out.DataCentres[j].Name })
	return out
}

// Asked returns the number of nodes that were asked.
func (f Rollout) Asked() int {
	n := len(f.Unreachable)
	for _, dc := range f.DataCentres {
		n += dc.Nodes
	}
	return n
}
