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
	waiting       // named by the row, but leases of earlier holders may still run
	holding
	stopped
)

// Config holds the settings of a Elector. Node, DataCentre, Table and Contacts
// are required.
type Config struct {
	Node         string
	Incarnation  uint64 // start time of the node, nanoseconds
	DataCentre   string
	Table        Table
	MemberClient MemberClient
	StateOwner   StateOwner // nil means none
	Clock        Clock      // default BootClock
	Log          logr.Logger
}

// Elector decides whether this node is the holder of its data centre. All
// methods are safe for concurrent use, except that Step, Run, Release and
// HandOver must not overlap.
type Elector struct {
	cfg Config

	mu          sync.Mutex
	role        role
	row         Row           // last row read or written
	rowVersion  uint64        // 0 before the row exists
	unsettled   []string      // witness set of an update whose outcome is unknown
	unsettledAt uint64        // row version before that update
	epoch       uint64        // highest epoch known
	node        string        // holder of epoch
	hasRead     bool          // this process has read the row itself
	silentSince time.Duration // last sign of life of the holder of epoch
	heard       bool          // that sign was an answer of the holder
	readAt      time.Duration // start of the last read that showed this node as holder
	contacts    map[string]time.Duration
	fenced      map[string]bool // witnesses that acknowledged the own epoch
	startAt     time.Duration   // end of the wait; 0 before the fences are up
	loansAt     time.Duration   // end of the wait for loans between data centres
	continued   string          // handover that this node has received the state of
	kick        chan struct{}
}

// New returns a Elector that knows no holder yet.
func New(cfg Config) *Elector {
	if cfg.Clock == nil {
		cfg.Clock = BootClock{}
	}
	return &Elector{cfg: cfg, contacts: map[string]time.Duration{}, fenced: map[string]bool{},
		silentSince: cfg.Clock.Now(), kick: make(chan struct{}, 1)}
}

// Status is the Elector's view at one moment.
type Status struct {
	Epoch        uint64 // highest epoch known; 0 if none
	Node         string // holder of Epoch
	IsHolder     bool   // the row named this node at the last look
	Lending      bool   // this node may lend now
	LoansAllowed bool   // leases of loans that an earlier holder gave have ended, too
	// HandedOver means that the earlier holder handed over its state and that
	// the leases it gave go on.
	HandedOver bool
}

// Status returns the present view. Lending must be asked anew for each answer
// that lends something.
func (k *Elector) Status() Status {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.cfg.Clock.Now()
	mine := k.role == waiting || k.role == holding
	lending := k.role == holding && now >= k.startAt && k.inOffice(now)
	return Status{Epoch: k.epoch, Node: k.node, IsHolder: mine, Lending: lending, LoansAllowed: lending && now >= k.loansAt,
		HandedOver: lending && k.row.Handover != "" && k.row.Handover == k.continued}
}

// inOffice reports whether no other holder can have started: a later one first
// changes the row and then fences a majority of the witnesses.
func (k *Elector) inOffice(now time.Duration) bool {
	if k.readAt > 0 && now < k.readAt+FenceTime {
		return true
	}
	if len(k.unsettled) > 0 && !k.hasMajority(k.unsettled, now) {
		return false
	}
	return k.hasMajority(k.row.Witnesses, now)
}

func (k *Elector) hasMajority(set []string, now time.Duration) bool {
	n := 0
	for _, node := range set {
		at, ok := k.contacts[node]
		if node == k.cfg.Node || ok && now < at+FenceTime {
			n++
		}
	}
	return 2*n > len(set)
}

// RecordEcho notes that node received an answer that this holder sent in epoch at
// time sent, by this node's clock.
func (k *Elector) RecordEcho(node string, epoch uint64, sent time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.cfg.Clock.Now()
	if epoch == k.epoch && k.node == k.cfg.Node && sent <= now && sent > k.contacts[node] && slices.Contains(k.witnesses(), node) {
		k.contacts[node] = sent
	}
}

func (k *Elector) witnesses() []string {
	return append(slices.Clip(k.row.Witnesses), k.unsettled...)
}

// ObserveHolder notes an answer of the holder of epoch. It returns whether this node
// may witness for that holder: a process that has not read the row itself may
// have acknowledged a later epoch before it was restarted.
func (k *Elector) ObserveHolder(epoch uint64) (witness bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if epoch != k.epoch {
		return false
	}
	k.silentSince, k.heard = k.cfg.Clock.Now(), true
	return k.hasRead
}

// MayEcho reports whether an answer of the holder of epoch may still be echoed.
func (k *Elector) MayEcho(epoch uint64) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.hasRead && epoch == k.epoch
}

// ObserveEpoch notes that epoch has begun with the given holder.
func (k *Elector) ObserveEpoch(epoch uint64, node string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.learn(epoch, node)
}

func (k *Elector) learn(epoch uint64, node string) {
	if epoch <= k.epoch {
		return
	}
	k.epoch, k.node = epoch, node
	k.silentSince, k.heard = k.cfg.Clock.Now(), false
	if k.role != stopped {
		k.role = follower // note makes it waiting again if the row names this process
	}
	if node == k.cfg.Node {
		k.Wake()
	}
}

// HandleQuery answers another member.
func (k *Elector) HandleQuery(q Query) Answer {
	k.mu.Lock()
	defer k.mu.Unlock()
	if q.DataCentre != k.cfg.DataCentre {
		return Answer{}
	}
	if q.Fence {
		k.learn(q.Epoch, q.Node)
	}
	now := k.cfg.Clock.Now()
	hears := k.heard && now < k.silentSince+silenceLimit
	if k.role == waiting || k.role == holding {
		hears = k.inOffice(now)
	}
	return Answer{Epoch: k.epoch, Node: k.node, HearsHolder: hears, Fenced: q.Fence && k.epoch >= q.Epoch}
}

// Run calls Step until ctx ends.
func (k *Elector) Run(ctx context.Context) {
	for ctx.Err() == nil {
		k.Step(ctx)
		timer := time.NewTimer(k.pause())
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-k.kick:
		}
		timer.Stop()
	}
}

// Wake makes Run call Step at once, for example because Propose has something new.
func (k *Elector) Wake() {
	select {
	case k.kick <- struct{}{}:
	default:
	}
}

// pause spreads the reads of nodes that look for a holder.
func (k *Elector) pause() time.Duration {
	if k.Status().IsHolder || k.hearsHolder() {
		return StepInterval
	}
	return seekInterval/2 + rand.N(seekInterval)
}

func (k *Elector) hearsHolder() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.heard && k.hasRead && k.cfg.Clock.Now() < k.silentSince+silenceLimit
}

// Step makes one round: the holder confirms the row, a node that hears the
// holder does nothing, and one that does not hear it looks for it or takes over.
func (k *Elector) Step(ctx context.Context) {
	switch st := k.Status(); {
	case k.isStopped():
	case st.IsHolder:
		k.lead(ctx)
	case k.hearsHolder():
	default:
		k.seek(ctx)
	}
}

func (k *Elector) isStopped() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.role == stopped
}
