package overload

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/dotterelseam/dotterelseam/refusal"
)

const (
	headerKey       = "Dotterel-Key"
	headerContext   = "Dotterel-Context"
	headerRequestID = "Dotterel-Request-Id"
	prefixCallers   = "/callers"
	prefixLocal     = "/local"
	prefixPeer      = "/peer"
	// forwardTimeout bounds each call, because calls carry no deadline in modes none
	// and static.
	forwardTimeout = 5 * time.Second
	// maxConns bounds the connections of one HTTP client to one address. Without the
	// bound, mode none exhausted a limit of 20,000 file descriptors.
	maxConns = 256
	// gatewayAttempts is the number of attempts that a gateway makes per call.
	gatewayAttempts = 2
)

// gateway replaces the node on the host of a backend server in modes none and
// static. It forwards each call to the gateway of a random server of the service
// and retries every failed call. It serves callers, its backend server and other
// gateways on one listener.
type gateway struct {
	service      string
	url, backend string // base URLs
	client       *http.Client
	peers        map[string][]*gateway // by service
	inFlight     chan struct{}         // fixed limit; nil means none
}

// response is the HTTP response to a call.
type response struct {
	status int
	body   []byte
}

func (res *response) failed() bool { return res.status >= http.StatusInternalServerError }

func newClient() *http.Client {
	dialer := &net.Dialer{Timeout: time.Second}
	return &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: maxConns, MaxConnsPerHost: maxConns, DisableCompression: true,
	}}
}

func (g *gateway) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(prefixCallers+"/", g.route(prefixCallers))
	mux.HandleFunc(prefixLocal+"/", g.route(prefixLocal))
	mux.HandleFunc(prefixPeer+"/", g.deliver)
	return mux
}

// route returns a handler that sends a call from a caller or from the backend
// server to a random gateway of the called service. The context header carries
// the caller's request ID through the chain.
func (g *gateway) route(prefix string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(headerContext)
		if prefix == prefixCallers {
			id = r.Header.Get(headerRequestID)
		}
		service, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, prefix+"/"), "/")
		servers := g.peers[service]
		if len(servers) == 0 {
			http.NotFound(w, r)
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), forwardTimeout)
		defer cancel()
		var res response
		for range gatewayAttempts {
			res = g.exchange(ctx, servers[rand.IntN(len(servers))].url+prefixPeer+"/", id)
			if !res.failed() || ctx.Err() != nil {
				break
			}
		}
		res.write(w)
	}
}

// deliver sends a call to the gateway's own backend server. It refuses the call if
// the fixed limit is reached.
func (g *gateway) deliver(w http.ResponseWriter, r *http.Request) {
	if g.inFlight != nil {
		select {
		case g.inFlight <- struct{}{}:
			defer func() { <-g.inFlight }()
		default:
			refusal.Write(w, refusal.New(refusal.Overload, "fixed limit reached"))
			return
		}
	}
	res := g.exchange(r.Context(), g.backend+"/item", r.Header.Get(headerRequestID))
	res.write(w)
}

func (res *response) write(w http.ResponseWriter) {
	w.WriteHeader(res.status)
	// A write error means that the caller closed the connection.
	_, _ = w.Write(res.body)
}

// exchange sends one request and reads the whole response. If that fails, it returns
// a 5xx status, which counts as a failed call: 500 if the request is invalid, else
// 502.
func (g *gateway) exchange(ctx context.Context, target, id string) response {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return response{status: http.StatusInternalServerError}
	}
	req.Header.Set(headerContext, id)
	req.Header.Set(headerRequestID, id)
	resp, err := g.client.Do(req)
	if err != nil {
		return response{status: http.StatusBadGateway}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return response{status: http.StatusBadGateway}
	}
	return response{resp.StatusCode, body}
}

// gatewayTestbed is the testbed of modes none and static.
type gatewayTestbed struct {
	serverGroup
	gateways []*gateway
	peers    map[string][]*gateway
}

func newGatewayTestbed(fixedLimit bool) (testbed, error) {
	tb := &gatewayTestbed{peers: map[string][]*gateway{}}
	for _, t := range chain {
		for range t.servers {
			if err := tb.add(t, fixedLimit); err != nil {
				tb.close()
				return nil, err
			}
		}
	}
	return tb, nil
}

func (tb *gatewayTestbed) add(t tier, fixedLimit bool) error {
	g := &gateway{service: t.service, client: newClient(), peers: tb.peers}
	if fixedLimit {
		g.inFlight = make(chan struct{}, t.slots)
	}
	address, err := tb.serve(g.handler(), nil)
	if err != nil {
		return err
	}
	g.url = "http://" + address
	b, err := tb.addBackend(t, g.url+prefixLocal)
	if err != nil {
		return err
	}
	g.backend = "http://" + b
	tb.peers[t.service] = append(tb.peers[t.service], g)
	tb.gateways = append(tb.gateways, g)
	return nil
}

func (tb *gatewayTestbed) entries() []string {
	var urls []string
	for _, g := range tb.gateways {
		urls = append(urls, g.url+prefixCallers)
	}
	return urls
}

func (tb *gatewayTestbed) close() {
	tb.serverGroup.close()
	for _, g := range tb.gateways {
		g.client.CloseIdleConnections()
	}
}
