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

// LendPath is the path on the peers listener at which nodes request tokens from each
// other.
const LendPath = "/v1/quota/lend"

const (
	// borrowTimeout is the longest time that a request waits for tokens of other nodes,
	// a few round trips between data centres.
	borrowTimeout = 25 * time.Millisecond
	// maxBorrowRequests is the number of nodes asked in one round, one after the other.
	maxBorrowRequests = 6
	// minBorrowBackoff is the pause after a round without success. It doubles up to
	// maxBorrowBackoff until a round succeeds.
	minBorrowBackoff = 50 * time.Millisecond
	maxBorrowBackoff = 400 * time.Millisecond
	// maxLendFraction is the fraction of its tokens that a node lends at most; it lends
	// a single token even if that is more.
	maxLendFraction = 0.5
	// borrowedTokenTTL is how long borrowed tokens may be used. The tokens lent in this
	// time before a window of the rate limit can add to what is spent in the window.
	borrowedTokenTTL = 500 * time.Millisecond
	// A node borrows at once the tokens that it expects to use in borrowDemandTime.
	borrowDemandTime = 300 * time.Millisecond

	maxLendResponse = 64 // bytes
)

// Lend takes up to want tokens out of this node's share of a workspace's rate limit, for
// use by another node, and returns the number of tokens taken.
func (q *Quota) Lend(workspace string, want float64) float64 {
	now := q.cfg.Clock()
	q.mu.Lock()
	defer q.mu.Unlock()
	b := q.buckets[workspace]
	if b == nil || b.limits.Rate == 0 {
		return 0
	}
	q.refill(b, now)
	lent := math.Floor(min(want, max(b.tokens*maxLendFraction, min(b.tokens, 1))))
	if lent < 1 {
		return 0 // less than one token does not admit a request
	}
	b.tokens -= lent
	return lent
}

// borrowRound is one round of requests to other nodes for tokens. done is closed at its
// end.
type borrowRound struct{ done chan struct{} }

// borrow requests tokens of a workspace from other nodes and waits for the end of the
// round, which it may share with other callers. It returns false if borrowing is disabled
// or paused by the back-off, or if ctx ends first. q.mu must not be held.
func (q *Quota) borrow(ctx context.Context, workspace string) bool {
	if q.cfg.Borrow == nil {
		return false
	}
	now := q.cfg.Clock()
	q.mu.Lock()
	b := q.buckets[workspace]
	if b == nil || b.runningRound == nil && now.Before(b.nextBorrowAt) {
		q.mu.Unlock()
		return false
	}
	round := b.runningRound
	if round == nil {
		round = &borrowRound{done: make(chan struct{})}
		b.runningRound = round
		want := max(1, math.Ceil(b.demandRate*borrowDemandTime.Seconds()))
		go q.runBorrowRound(workspace, want, b.holders.others, round)
	}
	q.mu.Unlock()
	select {
	case <-round.done:
		return true
	case <-ctx.Done():
		return false
	}
}

func (q *Quota) runBorrowRound(workspace string, want float64, holders []balancer.Endpoint, round *borrowRound) {
	ctx, cancel := context.WithTimeout(context.Background(), borrowTimeout)
	defer cancel()
	got := q.cfg.Borrow(ctx, workspace, want, holders)
	now := q.cfg.Clock()
	q.mu.Lock()
	defer q.mu.Unlock()
	defer close(round.done)
	b := q.buckets[workspace]
	if b == nil {
		return
	}
	b.runningRound = nil
	q.refill(b, now)
	b.borrowed += got
	b.borrowedUntil = now.Add(borrowedTokenTTL)
	if got > 0 {
		b.borrowBackoff = 0
		return
	}
	b.borrowBackoff = min(max(2*b.borrowBackoff, minBorrowBackoff), maxBorrowBackoff)
	b.nextBorrowAt = now.Add(b.borrowBackoff)
}

// Handler serves the requests of other nodes for tokens, at LendPath. The query
// parameters are workspace and want (tokens); the response is the number of tokens lent,
// as decimal text.
func (q *Quota) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		want, err := parseTokens(r.URL.Query().Get("want"), math.MaxFloat64)
		if err != nil || want == 0 {
			http.Error(w, "want is not a number of tokens", http.StatusBadRequest)
			return
		}
		lent := q.Lend(r.URL.Query().Get("workspace"), want)
		// If the response is lost, so are the tokens; fewer requests are admitted then.
		_, _ = io.WriteString(w, strconv.FormatFloat(lent, 'f', 3, 64))
	})
}

// Borrower requests tokens from other nodes over HTTP. It is safe for concurrent use.
type Borrower struct {
	DataCentre string       // of this node
	Client     *http.Client // for requests to other nodes; not used if RequestTokens is set
	// RequestTokens requests tokens from the node with the given peers address and
	// returns the number granted; nil means over HTTP with Client. It must be safe for
	// concurrent use.
	RequestTokens func(ctx context.Context, address, workspace string, want float64) (float64, error)
}

// Borrow asks up to maxBorrowRequests holders one after the other until one lends
// tokens, and returns the number of tokens. The first one asked is in the own data
// centre if there is a holder there. Borrow returns 0 if no holder lends any.
func (b *Borrower) Borrow(ctx context.Context, workspace string, want float64, holders []balancer.Endpoint) float64 {
	ask := b.RequestTokens
	if ask == nil {
		ask = b.requestOverHTTP
	}
	for _, e := range b.candidates(holders) {
		if ctx.Err() != nil {
			return 0
		}
		// Tokens that a node lent without its response arriving are lost.
		if got, err := ask(ctx, e.PeerAddress, workspace, want); err == nil && got > 0 {
			return got
		}
	}
	return 0
}

// candidates returns the holders to ask in random order, except that the first one is in
// the own data centre if there is a holder there.
func (b *Borrower) candidates(holders []balancer.Endpoint) []balancer.Endpoint {
	list := slices.Clone(holders)
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	near := slices.IndexFunc(list, func(e balancer.Endpoint) bool { return e.DataCentre == b.DataCentre })
	if near > 0 {
		list[0], list[near] = list[near], list[0]
	}
	return list[:min(len(list), maxBorrowRequests)]
}

func (b *Borrower) requestOverHTTP(ctx context.Context, address, workspace string, want float64) (float64, error) {
	path := LendPath + "?workspace=" + url.QueryEscape(workspace) + "&want=" + strconv.FormatFloat(want, 'f', 0, 64)
	body, err := nodecall.Do(ctx, b.Client, http.MethodPost, address, path, maxLendResponse)
	if err != nil {
		return 0, Error.Wrap(err)
	}
	got, err := parseTokens(string(body), math.Ceil(want))
	if err != nil {
		return 0, Error.New("node %s: %w", address, err)
	}
	return got, nil
}

// parseTokens returns the number of tokens in text. An error means that it is not between 0
// and most.
func parseTokens(text string, most float64) (float64, error) {
	n, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(n) || n < 0 || n > most {
		return 0, fmt.Errorf("%q is not a number of tokens between 0 and %v", text, most)
	}
	return n, nil
}
