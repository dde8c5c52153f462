package partition

import (
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"time"

	"github.com/dotterelseam/dotterelseam/balancer"
	"github.com/dotterelseam/dotterelseam/internal/nodecall"
)

// LendPath is where nodes ask each other for tokens, on the peers listener.
const LendPath = "/v1/quota/lend"

const (
	// borrowLimit bounds the wait of a request for tokens of other nodes. It is a
	// few round trips between data centres.
	borrowLimit = 25 * time.Millisecond
	// borrowAsks is how many nodes are asked one after the other.
	borrowAsks = 6
	// borrowPause is the pause after asking in vain; it doubles up to
	// borrowMaxPause while nobody has any tokens.
	borrowPause    = 50 * time.Millisecond
	borrowMaxPause = 400 * time.Millisecond
	// lendPart of the tokens are lent at most, or one if that is more.
	lendPart = 0.5
	// borrowedTime is how long borrowed tokens may be used. In a window of the
	// bound, tokens of this much time before it may be spent besides.
	borrowedTime = 500 * time.Millisecond
	// wantTime is for how much of its demand a node borrows at a time.
	wantTime = 300 * time.Millisecond

	maxLendAnswer = 64 // bytes
)

// Lend takes up to the wanted number of tokens out of this node's part of a
// workspace's bound, for another node.
func (p *Quota) Lend(workspace string, want float64) float64 {
	now := p.cfg.Clock()
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.workspaces[workspace]
	if b == nil || b.bound.Rate == 0 {
		return 0
	}
	p.refill(b, now)
	lent := math.Floor(min(want, max(b.tokens*lendPart, min(b.tokens, 1))))
	if lent < 1 {
		return 0 // less than a token lets no request in
	}
	b.tokens -= lent
	return lent
}

// borrowing is one round of asking other nodes; done is closed at its end.
type borrowing struct{ done chan struct{} }

// borrow asks other nodes for tokens of a workspace and waits for the end of the
// round, which other requests may share. It returns false if no round is worth it
// at present. p.mu must not be held.
func (p *Quota) borrow(ctx context.Context, workspace string) bool {
	if p.cfg.Borrow == nil {
		return false
	}
	now := p.cfg.Clock()
	p.mu.Lock()
	b := p.workspaces[workspace]
	if b == nil || b.round == nil && now.Before(b.askAfter) {
		p.mu.Unlock()
		return false
	}
	round := b.round
	if round == nil {
		round = &borrowing{done: make(chan struct{})}
		b.round = round
		want := max(1, math.Ceil(b.demand*wantTime.Seconds()))
		go p.runRound(workspace, want, b.holders.others, round)
	}
	p.mu.Unlock()
	select {
	case <-round.done:
		return true
	case <-ctx.Done():
		return false
	}
}

func (p *Quota) runRound(workspace string, want float64, holders []balancer.Endpoint, round *borrowing) {
	ctx, cancel := context.WithTimeout(context.Background(), borrowLimit)
	defer cancel()
	got := p.cfg.Borrow(ctx, workspace, want, holders)
	now := p.cfg.Clock()
	p.mu.Lock()
	defer p.mu.Unlock()
	defer close(round.done)
	b := p.workspaces[workspace]
	if b == nil {
		return
	}
	b.round = nil
	p.refill(b, now)
	b.borrowed += got
	b.borrowedUntil = now.Add(borrowedTime)
	if got > 0 {
		b.pause = 0
		return
	}
	b.pause = min(max(2*b.pause, borrowPause), borrowMaxPause)
	b.askAfter = now.Add(b.pause)
}

// Handler answers other nodes that ask for tokens.
func (p *Quota) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		want, err := strconv.ParseFloat(r.URL.Query().Get("want"), 64)
		if err != nil {
			http.Error(w, "want is not a number", http.StatusBadRequest)
			return
		}
		lent := p.Lend(r.URL.Query().Get("workspace"), want)
		// If the answer is lost, so are the tokens, which only tightens the bound.
		_, _ = io.WriteString(w, strconv.FormatFloat(lent, 'f', 3, 64))
	})
}

// Borrower asks other nodes for tokens over HTTP.
type Borrower struct {
	DataCentre string // asked first
	Client     *http.Client
	// RequestTokens asks the node at a peers address; nil means over HTTP with Client.
	RequestTokens func(ctx context.Context, address, workspace string, want float64) (float64, error)
}

// Borrow asks a few holders, the first one in the own data centre if there is one
// there, until one lends. No holder is asked twice.
func (b *Borrower) Borrow(ctx context.Context, workspace string, want float64, holders []balancer.Endpoint) float64 {
	ask := b.RequestTokens
	if ask == nil {
		ask = b.ask
	}
	for _, e := range b.choose(holders) {
		if ctx.Err() != nil {
			return 0
		}
		// A node that does not answer has lent nothing that counts here.
		if got, err := ask(ctx, e.PeerAddress, workspace, want); err == nil && got > 0 {
			return got
		}
	}
	return 0
}

// choose returns the holders to ask in a random order.
func (b *Borrower) choose(holders []balancer.Endpoint) []balancer.Endpoint {
	list := slices.Clone(holders)
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	near := slices.IndexFunc(list, func(e balancer.Endpoint) bool { return e.DataCentre == b.DataCentre })
	if near > 0 {
		list[0], list[near] = list[near], list[0]
	}
	return list[:min(len(list), borrowAsks)]
}

func (b *Borrower) ask(ctx context.Context, address, workspace string, want float64) (float64, error) {
	path := LendPath + "?workspace=" + url.QueryEscape(workspace) + "&want=" + strconv.FormatFloat(want, 'f', 0, 64)
	body, err := nodecall.Do(ctx, b.Client, http.MethodPost, address, path, maxLendAnswer)
	if err != nil {
		return 0, Error.Wrap(err)
	}
	got, err := strconv.ParseFloat(string(body), 64)
	if err != nil || got < 0 {
		return 0, Error.Wrap(fmt.Errorf("%s lent %q: %w", address, body, err))
	}
	return got, nil
}
