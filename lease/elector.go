package lease

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"
)

type role uint8

const (
	follower role = iota
	starting      // named by the row; earlier holders are not fenced yet
	holding       // named by the row; earlier holders are fenced, and lending begins at lendFrom
	stopped       // after Stop
)

// Config holds the settings of an Elector. Node, DataCentre, Table and
// MemberClient are required.
type Config struct {
	Node         string
	Incarnation  uint64 // start time of the process, nanoseconds
	DataCentre   string
	Table        Table
	MemberClient MemberClient
	StateOwner   StateOwner // nil means none
	Clock        Clock      // default BootClock
	Log          logr.Logger
}

// Elector decides whether this node is the holder of its data centre. Its
// methods are safe for concurrent use, except that calls of Step, Run, Release
// and HandOver must not overlap.
type Elector struct {
	cfg Config

	mu                   sync.Mutex
	role                 role
	row                  Row                      // row last read or written
	rowVersion           uint64                   // 0 before the row exists
	unconfirmedWitnesses []string                 // witness set of a write whose outcome is unknown; nil if there is none
	unconfirmedVersion   uint64                   // row version before that write
	epoch                uint64                   // highest epoch known
	node                 string                   // holder of epoch
	hasRead              bool                     // this process has read the row since its start
	lastHeard            time.Duration            // when the holder of epoch was last heard, or when epoch became known
	heardHolder          bool                     // a quota response of the holder of epoch has arrived
	confirmedAt          time.Duration            // start of the last read or write that showed this node as holder
	echoedAt             map[string]time.Duration // by witness, when this holder sent the last quota response that the witness echoed
	fenced               map[string]bool          // witnesses that acknowledged this holder's epoch
	lendFrom             time.Duration            // when this holder may start to lend; 0 until the earlier holders are fenced
	loansFrom            time.Duration            // when this holder may start to give loans to other data centres
	receivedHandover     string                   // ID of the handover whose state this node has received
	wake                 chan struct{}
}

// New returns an Elector that knows no holder yet.
func New(cfg Config) *Elector {
	if cfg.Clock == nil {
		cfg.Clock = BootClock{}
	}
	return &Elector{cfg: cfg, echoedAt: map[string]time.Duration{}, fenced: map[string]bool{},
		lastHeard: cfg.Clock.Now(), wake: make(chan struct{}, 1)}
}

// Status is a snapshot of an Elector.
type Status struct {
	Epoch        uint64 // highest epoch known; 0 if none
	Node         string // holder of Epoch
	IsHolder     bool   // the row of Epoch names this process, and Stop has not been called
	Lending      bool   // this node may lend now to the nodes of its data centre
	LoansAllowed bool   // Lending, and the loans that earlier holders gave to other data centres have expired
	// HandedOver means that the earlier holder handed over its state and that
	// the leases it gave stay valid.
	HandedOver bool
}

// Status returns the current status. It has to be called again for each quota
// response that lends something, because Lending expires.
func (e *Elector) Status() Status {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.cfg.Clock.Now()
	isHolder := e.role == starting || e.role == holding
	lending := e.role == holding && now >= e.lendFrom && e.isSoleHolder(now)
	return Status{Epoch: e.epoch, Node: e.node, IsHolder: isHolder, Lending: lending, LoansAllowed: lending && now >= e.loansFrom,
		HandedOver: lending && e.row.Handover != "" && e.row.Handover == e.receivedHandover}
}

// isSoleHolder reports whether no later holder can lend yet: a successor first
// changes the row and then fences a majority of the witnesses. The caller holds
// e.mu.
func (e *Elector) isSoleHolder(now time.Duration) bool {
	if e.confirmedAt > 0 && now < e.confirmedAt+FenceTime {
		return true
	}
	if len(e.unconfirmedWitnesses) > 0 && !e.hasMajority(e.unconfirmedWitnesses, now) {
		return false
	}
	return e.hasMajority(e.row.Witnesses, now)
}

// hasMajority reports whether this node and the witnesses in set with recent
// contact are a majority of set. The caller holds e.mu.
func (e *Elector) hasMajority(set []string, now time.Duration) bool {
	n := 0
	for _, node := range set {
		at, ok := e.echoedAt[node]
		if node == e.cfg.Node || ok && now < at+FenceTime {
			n++
		}
	}
	return 2*n > len(set)
}

// RecordEcho records that node has received a quota response that this holder
// sent in epoch. sent is the time of sending, read from Config.Clock of this node.
func (e *Elector) RecordEcho(node string, epoch uint64, sent time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.cfg.Clock.Now()
	if epoch == e.epoch && e.node == e.cfg.Node && sent <= now && sent > e.echoedAt[node] && slices.Contains(e.witnesses(), node) {
		e.echoedAt[node] = sent
	}
}

// witnesses returns the witnesses of the row and of an unconfirmed write. The
// caller holds e.mu.
func (e *Elector) witnesses() []string {
	return append(slices.Clip(e.row.Witnesses), e.unconfirmedWitnesses...)
}

// ObserveHolder records that a quota response of the holder of epoch has arrived.
// It reports whether this node may echo the response. A process that has not read
// the row since its start may not, because it may have acknowledged a later epoch
// before its restart.
func (e *Elector) ObserveHolder(epoch uint64) (mayEcho bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if epoch != e.epoch {
		return false
	}
	e.lastHeard, e.heardHolder = e.cfg.Clock.Now(), true
	return e.hasRead
}

// MayEcho reports whether this node may still echo a quota response of the holder
// of epoch.
func (e *Elector) MayEcho(epoch uint64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.hasRead && epoch == e.epoch
}

// ObserveEpoch records that epoch has begun with the given holder. Epochs that
// are not newer than the known one are ignored.
func (e *Elector) ObserveEpoch(epoch uint64, node string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.observeEpoch(epoch, node)
}

// observeEpoch is ObserveEpoch for callers that hold e.mu.
func (e *Elector) observeEpoch(epoch uint64, node string) {
	if epoch <= e.epoch {
		return
	}
	e.epoch, e.node = epoch, node
	e.lastHeard, e.heardHolder = e.cfg.Clock.Now(), false
	if e.role != stopped {
		e.role = follower // applyRow sets starting if the row names this process
	}
	if node == e.cfg.Node {
		e.Wake()
	}
}

// HandleQuery answers a query of another member.
func (e *Elector) HandleQuery(q Query) Answer {
	e.mu.Lock()
	defer e.mu.Unlock()
	if q.DataCentre != e.cfg.DataCentre {
		return Answer{}
	}
	if q.Fence {
		e.observeEpoch(q.Epoch, q.Node)
	}
	now := e.cfg.Clock.Now()
	hearsHolder := e.heardHolder && now < e.lastHeard+silenceTimeout
	if e.role == starting || e.role == holding {
		hearsHolder = e.isSoleHolder(now)
	}
	return Answer{Epoch: e.epoch, Node: e.node, HearsHolder: hearsHolder, Fenced: q.Fence && e.epoch >= q.Epoch}
}

// Run calls Step until ctx ends.
func (e *Elector) Run(ctx context.Context) {
	for ctx.Err() == nil {
		e.Step(ctx)
		timer := time.NewTimer(e.stepDelay())
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-e.wake:
		}
		timer.Stop()
	}
}

// Wake makes Run call Step at once, for example because Propose has a new state.
func (e *Elector) Wake() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// stepDelay returns the pause before the next step. It is random for nodes that
// look for a holder, to spread their reads of the row.
func (e *Elector) stepDelay() time.Duration {
	if e.Status().IsHolder || e.hearsHolder() {
		return StepInterval
	}
	return searchInterval/2 + rand.N(searchInterval)
}

func (e *Elector) hearsHolder() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.heardHolder && e.hasRead && e.cfg.Clock.Now() < e.lastHeard+silenceTimeout
}

// Step makes one round. The holder confirms and updates the row; a node that
// hears the holder does nothing; any other node looks for the holder or takes
// over.
func (e *Elector) Step(ctx context.Context) {
	switch st := e.Status(); {
	case e.isStopped():
	case st.IsHolder:
		e.stepAsHolder(ctx)
	case e.hearsHolder():
	default:
		e.findHolder(ctx)
	}
}

func (e *Elector) isStopped() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.role == stopped
}
