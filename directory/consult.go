package directory

import (
	"cmp"
	"context"
	"encoding/base64"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/dotterelseam/dotterelseam/balancer"
	"github.com/dotterelseam/dotterelseam/edge"
	"github.com/dotterelseam/dotterelseam/internal/fleetview"
	"github.com/dotterelseam/dotterelseam/internal/nodecall"
	"github.com/dotterelseam/dotterelseam/internal/pause"
	"github.com/dotterelseam/dotterelseam/internal/rendezvous"
)

// A store that comes back from a copy may have lost the departures that were acknowledged last.
// Each is therefore told to some other nodes too, and a process that starts in a later era asks
// them what they know.
const (
	toldNodes   = 4 // nodes that are told of a departure
	neededTold  = 2 // of them, that have to answer before it is acknowledged
	tellTimeout = 300 * time.Millisecond
	// askedNodes is above toldNodes, as the nodes change between the two.
	askedNodes      = 8
	consultInterval = 500 * time.Millisecond
	// Parameters of requests at EndpointsPath: knownParameter asks for a fleetview.Known,
	// departuresParameter holds the edge.Departures of the node in nodeParameter, as CBOR in
	// base64.
	knownParameter      = "known"
	departuresParameter = "departures"
)

// nodesInCharge returns the peers addresses of up to n other nodes that remember the departures
// of this node.
func (d *Directory) nodesInCharge(n int) []string {
	others := slices.DeleteFunc(slices.Clone(d.knownMembers()), func(e balancer.Endpoint) bool { return e.Node == d.cfg.Node })
	rank := func(e balancer.Endpoint) uint64 { return rendezvous.Hash(d.cfg.Node, e.Node) }
	slices.SortFunc(others, func(a, b balancer.Endpoint) int { return cmp.Compare(rank(b), rank(a)) })
	var addresses []string
	for _, e := range others[:min(n, len(others))] {
		addresses = append(addresses, e.PeerAddress)
	}
	return addresses
}

// tell tells other nodes of the departures on this host, and returns when enough of them have
// answered, or all, or after tellTimeout. It returns how many have. The store has the departures
// too, so it is no error if nobody answers.
func (d *Directory) tell(departures edge.Departures) (told int) {
	raw, err := cbor.Marshal(departures)
	if err != nil {
		d.cfg.Log.Error(err, "departures_not_encoded")
		return 0
	}
	query := url.Values{nodeParameter: {d.cfg.Node}, departuresParameter: {base64.RawURLEncoding.EncodeToString(raw)}}
	addresses := d.nodesInCharge(toldNodes)
	answered := make(chan bool, len(addresses))
	for _, address := range addresses {
		go func() { answered <- d.tellNode(address, query) }()
	}
	for range addresses {
		if <-answered {
			told++
		}
		if told == neededTold {
			break
		}
	}
	d.cfg.Log.Info("departure_told", "nodes", told, "of", len(addresses))
	return told
}

// tellNode reports whether the node at address has answered within tellTimeout. The request does
// not end with the call of the backend server that leaves.
func (d *Directory) tellNode(address string, query url.Values) bool {
	ctx, cancel := context.WithTimeout(context.Background(), tellTimeout)
	defer cancel()
	_, err := nodecall.Do(ctx, d.cfg.Client, http.MethodPost, address, EndpointsPath+"?"+query.Encode(), 0)
	return err == nil
}

// serveTold handles the request of tell.
func (d *Directory) serveTold(w http.ResponseWriter, r *http.Request) {
	node := r.URL.Query().Get(nodeParameter)
	raw, err := base64.RawURLEncoding.DecodeString(r.URL.Query().Get(departuresParameter))
	var departures edge.Departures
	if err == nil {
		err = cbor.Unmarshal(raw, &departures)
	}
	if err != nil || node == "" || len(departures.Others) > edge.MaxOtherDepartures {
		http.Error(w, "the request names no departures of a node", http.StatusBadRequest)
		return
	}
	d.mu.Lock()
	d.view.NoteDepartures(node, departures)
	d.mu.Unlock()
}

// serveKnown responds with what this node knows, as a fleetview.Known.
func (d *Directory) serveKnown(w http.ResponseWriter) {
	d.mu.Lock()
	known := d.view.Known(time.Now())
	d.mu.Unlock()
	d.respond(w, &known)
}

// requestConsultation makes consultLoop ask other nodes what the store has lost.
func (d *Directory) requestConsultation() {
	select {
	case d.consultRequested <- struct{}{}:
	default:
	}
}

// consultLoop asks other nodes on request, until it is known what earlier processes of this
// node have stored. It runs until ctx ends.
func (d *Directory) consultLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.consultRequested:
		}
		d.consult(ctx)
		for !d.knowsOwnRow() {
			if !pause.For(ctx, consultInterval) {
				return
			}
			d.consult(ctx)
		}
		d.requestRecovery(false)
	}
}

// consult asks other nodes once. All rows count as read after that. What this process has read
// itself counts as an answer too, if that was long enough ago.
func (d *Directory) consult(ctx context.Context) {
	answers := d.askNodes(ctx)
	d.update(func(v *fleetview.View) {
		for i := range answers {
			v.ApplyKnown(&answers[i])
		}
		answers = append(answers, v.Known(time.Now()))
		d.loaded = true
	})
	remembering := 0
	d.noteOwn(func(r *fleetview.Recall) { remembering = r.NoteAnswers(answers, d.cfg.Node) })
	d.cfg.Log.Info("nodes_consulted", "era", uint64(d.cfg.Table.Era()), "answers", len(answers)-1, "remembering", remembering)
}

// askNodes returns what the other nodes that answer within fetchTimeout know.
func (d *Directory) askNodes(ctx context.Context) []fleetview.Known {
	if d.cfg.Client == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	var mu sync.Mutex
	var answers []fleetview.Known
	var asking sync.WaitGroup
	for _, address := range d.nodesInCharge(askedNodes) {
		asking.Go(func() {
			known, err := d.askNode(ctx, address)
			if err != nil {
				d.cfg.Log.Info("node_not_consulted", "address", address, "error", err.Error())
				return
			}
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, known)
		})
	}
	asking.Wait()
	return answers
}

func (d *Directory) askNode(ctx context.Context, address string) (known fleetview.Known, err error) {
	raw, err := nodecall.Do(ctx, d.cfg.Client, http.MethodGet, address, EndpointsPath+"?"+url.Values{knownParameter: {"1"}}.Encode(), maxFetchBytes)
	if err != nil {
		return known, Error.Wrap(err)
	}
	return known, Error.Wrap(cbor.Unmarshal(raw, &known))
}
