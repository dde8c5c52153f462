package status

import (
	"context"
	"net/http"
	"sort"
	"sync"
)

// Result is the result of reading the status of one node.
type Result struct {
	Address string // of the operators listener
	Node    Node   // valid if Err is nil
	Err     error  // class ErrUnreachable
}

// FetchAll reads the status of all nodes in parallel and returns the results in
// the order of the addresses.
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

// Rollout is the progress of a configuration version across the nodes that were
// asked.
type Rollout struct {
	Version     uint64              `json:"version"`
	Complete    bool                `json:"complete"`     // every node asked has the version
	DataCentres []DataCentreRollout `json:"data_centres"` // in the order of their names
	Unreachable []string            `json:"unreachable"`  // addresses of nodes without a valid response
}

// DataCentreRollout is the progress of a configuration version in one data centre.
type DataCentreRollout struct {
	Name    string   `json:"name"`
	Nodes   int      `json:"nodes"`    // nodes that gave a valid response
	InForce int      `json:"in_force"` // nodes with the version or a higher one in force
	Behind  []string `json:"behind"`   // names of the nodes with a lower version
}

// Summarise counts, by data centre, the nodes on which version or a higher one is
// in force.
func Summarise(version uint64, results []Result) Rollout {
	out := Rollout{Version: version, Complete: true, DataCentres: []DataCentreRollout{}, Unreachable: []string{}}
	byDataCentre := map[string]*DataCentreRollout{}
	for _, r := range results {
		if r.Err != nil {
			out.Unreachable = append(out.Unreachable, r.Address)
			out.Complete = false
			continue
		}
		dc := byDataCentre[r.Node.DataCentre]
		if dc == nil {
			dc = &DataCentreRollout{Name: r.Node.DataCentre, Behind: []string{}}
			byDataCentre[dc.Name] = dc
		}
		dc.Nodes++
		if r.Node.Version >= version {
			dc.InForce++
			continue
		}
		dc.Behind = append(dc.Behind, r.Node.Node)
		out.Complete = false
	}
	for _, dc := range byDataCentre {
		out.DataCentres = append(out.DataCentres, *dc)
	}
	sort.Slice(out.DataCentres, func(i, j int) bool { return out.DataCentres[i].Name < out.DataCentres[j].Name })
	return out
}

// Asked returns the number of nodes that were asked, including unreachable ones.
func (r Rollout) Asked() int {
	n := len(r.Unreachable)
	for _, dc := range r.DataCentres {
		n += dc.Nodes
	}
	return n
}
