// Package report implements the burn report: the request counts of each node, their
// merge, error budgets, burn rates and alerts, and the rendering as text and as an
// HTML page.
package report

import (
	"time"

	"github.com/dotterelseam/dotterelseam/refusal"
)

// Outcome is how a request ended at the node that received it from its sender.
type Outcome uint8

// Outcomes other than refusals by nodes. The Backend outcomes are refusals caused by the
// backend server or its host whose reason nodes also use for their own refusals. The
// outcomes of the other refusals follow in the order of refusal.Reasons.
const (
	WithinObjective        Outcome = iota // complete response within the latency objective, or without one
	BeyondObjective                       // complete response after the latency objective
	ServerError                           // complete response with a status of 500 or more
	AnswerAborted                         // response that ended early after its first byte
	CallerDisconnected                    // the sender disconnected within the latency objective, or without one
	CallerDisconnectedLate                // the sender disconnected after the latency objective
	BackendOverload                       // the backend server itself refused the request
	BackendDraining                       // the backend server itself refused the request because it is stopping
	BackendDeadline                       // no response before the deadline after the request was sent to the backend server
	firstRefusal
)

// MaxOutcomes is an upper bound of NumOutcomes, for arrays of counters.
const MaxOutcomes = 34

// Origin tells who caused an outcome other than a complete response in time.
type Origin string

// The origins. A response after its latency objective has none, because the counts do
// not show where the time was spent.
const (
	OriginNone    Origin = ""
	OriginFleet   Origin = "ours"           // a node's decision or the state of the fleet
	OriginBackend Origin = "backend_server" // the backend server or its host
	OriginSender  Origin = "sender"         // the sender, or the request itself
)

// Effect tells how an outcome counts in the error budget.
type Effect uint8

const (
	EffectExcluded Effect = iota // neither good nor bad
	EffectGood
	EffectBad
	EffectBadWithinRate // bad if the workspace kept to its rate and burst, otherwise excluded
)

// outcomeProperty describes an outcome in reports.
type outcomeProperty struct {
	name   string
	origin Origin
	effect Effect
}

// properties holds the property of each Outcome at its index.
var properties = outcomeProperties()

func outcomeProperties() []outcomeProperty {
	p := []outcomeProperty{
		{"within", OriginNone, EffectGood}, {"beyond", OriginNone, EffectBad}, {"server_error", OriginBackend, EffectBad},
		{"broken_off", OriginBackend, EffectBad}, {"caller_gone", OriginSender, EffectExcluded}, {"caller_gone_late", OriginNone, EffectBad},
		{"backend.overload", OriginBackend, EffectBad}, {"backend.draining", OriginBackend, EffectBad}, {"backend.deadline", OriginBackend, EffectBad},
	}
	for _, reason := range refusal.Reasons() {
		p = append(p, propertyOfReason(reason))
	}
	return p
}

// propertyOfReason returns how a refusal by a node counts, as opposed to one by the
// backend server itself.
func propertyOfReason(reason refusal.Reason) outcomeProperty {
	p := outcomeProperty{string(reason), OriginFleet, EffectBad}
	switch reason {
	case refusal.OverRate:
		p.effect = EffectBadWithinRate
	case refusal.BackendFailed, refusal.AnswerIncomplete:
		p.origin = OriginBackend
	case refusal.BadRequest, refusal.HeadersTooLarge, refusal.BodyTooLarge, refusal.BodyIncomplete, refusal.NoKey,
		refusal.UnknownKey, refusal.WithdrawnKey, refusal.NoRoute, refusal.NoContext, refusal.Duplicate:
		p.origin, p.effect = OriginSender, EffectExcluded
	}
	return p
}

var (
	byReason = map[refusal.Reason]Outcome{}
	byName   = map[string]Outcome{}
)

func init() {
	for i, reason := range refusal.Reasons() {
		byReason[reason] = firstRefusal + Outcome(i)
	}
	for i, p := range properties {
		byName[p.name] = Outcome(i)
	}
}

// NumOutcomes returns the number of outcomes.
func NumOutcomes() int { return len(properties) }

// String returns the name of the outcome in reports.
func (o Outcome) String() string { return properties[o].name }

// RefusalOutcome returns the outcome of a refused request. byBackend tells whether the
// backend server itself refused it.
func RefusalOutcome(r *refusal.Refusal, byBackend bool) Outcome {
	switch {
	case r.Reason == refusal.Overload && byBackend:
		return BackendOverload
	case r.Reason == refusal.Draining && byBackend:
		return BackendDraining
	case r.Reason == refusal.Deadline && r.Ran != refusal.RanNo:
		return BackendDeadline
	}
	if o, ok := byReason[r.Reason]; ok {
		return o
	}
	return byReason[refusal.Internal]
}

// AnswerOutcome returns the outcome of a complete response. limit is the latency
// objective, or 0 if there is none.
func AnswerOutcome(status int, latency, limit time.Duration) Outcome {
	switch {
	case status >= 500:
		return ServerError
	case limit > 0 && latency > limit:
		return BeyondObjective
	}
	return WithinObjective
}

// DisconnectOutcome returns the outcome of a request whose sender disconnected after
// the given time. limit is the latency objective, or 0 if there is none.
func DisconnectOutcome(after, limit time.Duration) Outcome {
	if limit > 0 && after > limit {
		return CallerDisconnectedLate
	}
	return CallerDisconnected
}

// propertyOfName returns how an outcome in the report of a node counts. Unknown names,
// which a newer version may send, count as bad, so that failures are not overlooked.
func propertyOfName(name string) outcomeProperty {
	if o, ok := byName[name]; ok {
		return properties[o]
	}
	return outcomeProperty{name, OriginNone, EffectBad}
}
