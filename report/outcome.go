// Package report holds the burn report: what each node counts about requests,
// the merge of the nodes' counts, error budgets, burn rates and alerts, and their
// rendering as text and as an HTML page.
package report

import (
	"time"

	"github.com/dotterelseam/dotterelseam/refusal"
)

// Outcome is how a request ended at the node that took it from its sender.
type Outcome uint8

// The outcomes that are no refusals, and refusals that the backend server or its
// host caused although the reason may also be the node's own. The outcomes of the
// other refusals follow in the order of refusal.Reasons.
const (
	WithinObjective        Outcome = iota // whole answer within the latency objective, or without one
	BeyondObjective                       // whole answer beyond the latency objective
	ServerError                           // whole answer with a status of 500 or more
	AnswerAborted                         // the answer broke off after its first byte
	CallerDisconnected                    // the sender went away within the latency objective
	CallerDisconnectedLate                // the sender went away beyond the latency objective
	BackendOverload                       // the backend server itself refused the request
	BackendDraining                       // the backend server itself refused the request because it leaves
	BackendDeadline                       // no answer in time after the request was sent
	firstReason
)

// MaxOutcomes is above every Outcome, so that counters fit into an array.
const MaxOutcomes = 32

// Origin tells who caused an outcome that is not a whole answer in time.
type Origin string

// The origins. An answer beyond its objective has none, because the report
// cannot tell where the time went.
const (
	OriginNone    Origin = ""
	OriginFleet   Origin = "ours"           // a node's decision or the state of the fleet
	OriginBackend Origin = "backend_server" // the backend server or its host
	OriginSender  Origin = "sender"         // the request itself
)

// Effect tells how an outcome counts in the error budget.
type Effect uint8

// The effects.
const (
	EffectExcluded Effect = iota // neither good nor bad
	EffectGood
	EffectBad
	EffectBadWithinRate // burns if the workspace sent no more than its rate, otherwise excluded
)

type property struct {
	name   string
	origin Origin
	effect Effect
}

var properties = outcomeProperties()

func outcomeProperties() []property {
	p := []property{
		{"within", OriginNone, EffectGood}, {"beyond", OriginNone, EffectBad}, {"server_error", OriginBackend, EffectBad},
		{"broken_off", OriginBackend, EffectBad}, {"caller_gone", OriginSender, EffectExcluded}, {"caller_gone_late", OriginNone, EffectBad},
		{"backend.overload", OriginBackend, EffectBad}, {"backend.draining", OriginBackend, EffectBad}, {"backend.deadline", OriginBackend, EffectBad},
	}
	for _, reason := range refusal.Reasons() {
		p = append(p, ofReason(reason))
	}
	return p
}

// ofReason tells how a refusal counts that a node made without being told to by
// the backend server.
func ofReason(reason refusal.Reason) property {
	p := property{string(reason), OriginFleet, EffectBad}
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
		byReason[reason] = firstReason + Outcome(i)
	}
	for i, p := range properties {
		byName[p.name] = Outcome(i)
	}
}

// NumOutcomes returns the number of outcomes.
func NumOutcomes() int { return len(properties) }

// String returns the name in reports.
func (o Outcome) String() string { return properties[o].name }

// RefusalOutcome returns the outcome of a refused request. byBackend tells that the
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

// AnswerOutcome returns the outcome of a whole answer; a limit of 0 means that no
// latency objective is stated.
func AnswerOutcome(status int, latency, limit time.Duration) Outcome {
	switch {
	case status >= 500:
		return ServerError
	case limit > 0 && latency > limit:
		return BeyondObjective
	}
	return WithinObjective
}

// DisconnectOutcome returns the outcome of a request whose sender went away after a time.
func DisconnectOutcome(after, limit time.Duration) Outcome {
	if limit > 0 && after > limit {
		return CallerDisconnectedLate
	}
	return CallerDisconnected
}

// propertyOf returns how an outcome in a node's report counts. A name of a newer
// version burns, so that a failure is not overlooked.
func propertyOf(name string) property {
	if o, ok := byName[name]; ok {
		return properties[o]
	}
	return property{name, OriginNone, EffectBad}
}
