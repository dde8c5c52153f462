package quota

import (
	"context"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-logr/logr"

	"github.com/dotterelseam/dotterelseam/config"
	"github.com/dotterelseam/dotterelseam/lease"
)

// Config holds the settings of a Service. All fields but RemoteMembers,
// MemberClient, Clock and Log are required.
type Config struct {
	Node        string
	Incarnation uint64 // start time of the node, nanoseconds
	DataCentre  string
	Table       lease.Table
	Transport   Transport
	// Members returns the IDs of the live nodes of this data centre. It must be safe
	// for concurrent use.
	Members func() []string
	// RemoteMembers returns IDs of live nodes of another data centre; nil if there
	// are no loans between data centres. It must be safe for concurrent use.
	RemoteMembers func(dataCentre string) []string
	MemberClient  lease.MemberClient // default: Members, asked through Transport
	Clock         lease.Clock        // default lease.BootClock
	Log           logr.Logger
}

// Service combines the parts of this package that run on each node. Its methods
// are safe for concurrent use, except that Stop must not be called during Run.
type Service struct {
	Bucket   *Bucket
	Holder   *Holder
	Elector  *lease.Elector
	Borrower *Borrower

	cfg               Config
	transport         Transport
	mu                sync.Mutex
	loans             map[string]*LoanBorrower
	startLoanBorrower func(*LoanBorrower) // starts a loan borrower; nil before Run
}

// New returns the service of one node. It lends nothing and holds no shares
// until Configure and Run have been called.
func New(cfg Config) *Service {
	if cfg.Clock == nil {
		cfg.Clock = lease.BootClock{}
	}
	s := &Service{cfg: cfg, Bucket: NewBucket(cfg.Clock), Holder: NewHolder(cfg.DataCentre, cfg.Clock), loans: map[string]*LoanBorrower{}}
	s.transport = loopback{cfg.Node, cfg.Transport, s.Handlers()}
	if cfg.MemberClient == nil {
		cfg.MemberClient = MemberClient{s.transport, cfg.Members}
	}
	s.Elector = lease.New(lease.Config{Node: cfg.Node, Incarnation: cfg.Incarnation, DataCentre: cfg.DataCentre,
		Table: cfg.Table, MemberClient: cfg.MemberClient, StateOwner: s.Holder, Clock: cfg.Clock, Log: cfg.Log})
	s.Holder.SetElector(s.Elector)
	s.Borrower = NewBorrower(cfg.Node, cfg.DataCentre, cfg.Incarnation, s.transport, s.Bucket, s.Elector)
	return s
}

// Handlers returns the handlers of this package's control messages, by kind.
func (s *Service) Handlers() map[string]Handler {
	return map[string]Handler{
		KindReport:   s.Holder.HandleReport,
		KindLoan:     s.Holder.HandleLoan,
		KindHandover: s.Holder.HandleHandover,
		KindQuery:    s.handleQuery,
	}
}

func (s *Service) handleQuery(_ context.Context, _ string, payload []byte) (any, error) {
	var q lease.Query
	if err := cbor.Unmarshal(payload, &q); err != nil {
		return nil, ErrMalformed.Wrap(err)
	}
	a := s.Elector.HandleQuery(q)
	return &a, nil
}

// Configure applies a version of the configuration. A version that is not newer
// than the current one is ignored.
func (s *Service) Configure(version uint64, fleet *config.Fleet) {
	s.Holder.Configure(version, fleet)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cfg.RemoteMembers == nil {
		return
	}
	for _, dc := range fleet.DataCentres {
		if dc.Name == s.cfg.DataCentre || s.loans[dc.Name] != nil {
			continue
		}
		borrower := NewLoanBorrower(s.Holder, s.cfg.Node, dc.Name, s.transport, func() []string { return s.cfg.RemoteMembers(dc.Name) })
		s.loans[dc.Name] = borrower
		if s.startLoanBorrower != nil {
			s.startLoanBorrower(borrower)
		}
	}
}

// LoanBorrowers returns the loan borrowers, by data centre of the lender.
func (s *Service) LoanBorrowers() map[string]*LoanBorrower {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]*LoanBorrower, len(s.loans))
	for dc, borrower := range s.loans {
		out[dc] = borrower
	}
	return out
}

// Run reports, lends and borrows until ctx ends. It then calls Stop with a limit
// of stopTimeout. Later charges find no quota.
func (s *Service) Run(ctx context.Context) {
	var wg sync.WaitGroup
	s.mu.Lock()
	s.startLoanBorrower = func(l *LoanBorrower) { wg.Go(func() { l.Run(ctx) }) }
	for _, l := range s.loans {
		s.startLoanBorrower(l)
	}
	s.mu.Unlock()
	wg.Go(func() { s.Elector.Run(ctx) })
	wg.Go(func() { s.Borrower.Run(ctx) })
	<-ctx.Done()
	s.mu.Lock()
	s.startLoanBorrower = nil
	s.mu.Unlock()
	wg.Wait()
	stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	s.Stop(stop)
}

// stopTimeout limits the return of shares and the handover at a planned stop.
const stopTimeout = 3 * time.Second

// Stop returns the node's shares to the holder and, on the holder, hands the
// holder's role over. It must not be called during Run.
func (s *Service) Stop(ctx context.Context) {
	if err := s.Borrower.ReturnShares(ctx); err != nil {
		s.cfg.Log.Info("shares not handed back; they return after their lease", "err", err.Error())
	}
	if err := s.Holder.HandOver(ctx, s.transport, s.cfg.Node); err != nil {
		s.cfg.Log.Info("holder row not handed over; another node takes over after the wait", "err", err.Error())
	}
}

// loopback is a Transport that answers calls to this node without a connection
// and passes others on.
type loopback struct {
	nodeID   string
	next     Transport
	handlers map[string]Handler
}

// Call implements Transport.
func (l loopback) Call(ctx context.Context, node, kind string, req, resp any) error {
	if node != l.nodeID {
		return l.next.Call(ctx, node, kind, req, resp)
	}
	payload, err := cbor.Marshal(req)
	if err != nil {
		return ErrMalformed.Wrap(err)
	}
	answer, err := l.handlers[kind](ctx, l.nodeID, payload)
	if err != nil {
		return err
	}
	if payload, err = cbor.Marshal(answer); err != nil {
		return ErrMalformed.Wrap(err)
	}
	return ErrMalformed.Wrap(cbor.Unmarshal(payload, resp))
}
