// Package fleetview decides what a node believes of the rows of all nodes: which of two rows
// of a node is the newer one, what becomes of rows that the store lacks after it has come back
// from a copy, and what the node can tell others. It does no input or output.
package fleetview

import (
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-logr/logr"

	"github.com/dotterelseam/dotterelseam/balancer"
	"github.com/dotterelseam/dotterelseam/edge"
	"github.com/dotterelseam/dotterelseam/store"
)

// RowPrefix is the key prefix of the rows; the node ID follows it.
const RowPrefix = "endpoint/"

// entry is the newest known row of a node.
type entry struct {
	Row
	// position of the write. A row that the node wrote before the store came back from a
	// copy keeps the era of that write, also when it is read from the store again. The
	// revision is 0 if the own row is not known to be stored.
	position store.Position
	seenIn   store.Era // newest era in which the store was seen to have a row of the node
	lost     bool      // the store came back without a row, and nobody has written one since
}

// View is what one node believes of the rows of all nodes. It is not safe for concurrent use.
type View struct {
	self      string
	log       logr.Logger
	own       *balancer.Endpoint // endpoint of this node, or nil
	rows      map[string]entry   // by node
	era       store.Era          // newest era in which rows were read from the store
	since     store.Era          // era in which this process first read all rows
	firstRead time.Time          // when it did
	written   store.Era          // era in which this process last wrote its row; 0 if it never has
	// departures of the backend servers by node, from all rows that were read and what the
	// nodes have told. They never become fewer while the node has a row.
	departures map[string]edge.Departures
}

// New returns the view of a node that knows no rows.
func New(self string, log logr.Logger) *View {
	return &View{self: self, log: log, rows: map[string]entry{}, departures: map[string]edge.Departures{}}
}

// SetOwn replaces the endpoint of this node. What the store says of it is not used any more.
func (v *View) SetOwn(e balancer.Endpoint) {
	v.own = &e
	known := v.rows[v.self]
	known.Row = Row{Endpoint: e}
	v.rows[v.self] = known
}

// NoteWritten records that this process has written its row in an era.
func (v *View) NoteWritten(era store.Era) { v.written = era }

// ApplySnapshot merges all rows of the store, read at the time now. It reports whether the
// store has come back from a copy since this process last read all rows or wrote its own: that
// has to be written again, and EndRecovery called after the time in which all nodes do so.
func (v *View) ApplySnapshot(snapshot store.Changes, now time.Time) (restored bool) {
	era := snapshot.Position.Era
	restored = v.since != 0 && era > v.era || v.written != 0 && era > v.written
	if v.since == 0 {
		v.since, v.firstRead = era, now
	}
	v.era = max(v.era, era)
	v.removeMissing(snapshot)
	v.Apply(snapshot.Rows)
	return restored
}

// removeMissing removes the rows that a snapshot lacks. A row that is newer than the snapshot,
// or not yet known to be stored, is kept, and so is one that was written in an earlier era: the
// store may have lost it.
func (v *View) removeMissing(snapshot store.Changes) {
	present := map[string]bool{}
	for i := range snapshot.Rows {
		present[snapshot.Rows[i].Key] = true
	}
	for node, e := range v.rows {
		switch {
		case present[RowPrefix+node] || e.position.Revision == 0:
		case e.position.Era < snapshot.Position.Era:
			v.log.Info("endpoint_missing", "node", node, "era", uint64(snapshot.Position.Era))
		case e.position.Compare(snapshot.Position) <= 0:
			v.remove(node, snapshot.Position)
		}
	}
}

// Apply merges rows of the store or of another node.
func (v *View) Apply(rows []store.Row) {
	for i := range rows {
		v.apply(&rows[i])
	}
}

// apply merges one row and ignores it if a newer write of it is known. Of the node's own row
// only position and departures are taken while there is an own endpoint.
func (v *View) apply(row *store.Row) {
	node, ok := strings.CutPrefix(row.Key, RowPrefix)
	if !ok {
		return
	}
	known, exists := v.rows[node]
	known.seenIn = max(known.seenIn, row.Era)
	if row.Deleted {
		if position := (store.Position{Era: row.Era, Revision: row.Revision}); exists && position.Compare(known.position) >= 0 {
			v.remove(node, position)
		}
		return
	}
	read, err := DecodeRow(node, row.Value)
	if err != nil {
		v.log.Info("endpoint_unreadable", "node", node, "error", err.Error())
		return
	}
	position := store.Position{Era: eraOfWrite(read.Era, row.Era), Revision: row.Revision}
	order := position.Compare(known.position)
	newer := order >= 0
	v.NoteDepartures(node, read.Departures())
	if newer {
		known.position, known.lost = position, false
	}
	if newer && (node != v.self || v.own == nil) {
		known.Row = read
		if order > 0 {
			v.log.Info("endpoint_known", "node", node, "service", read.Service, "state", int(read.State), "revision", row.Revision)
		}
	}
	if exists || newer {
		v.rows[node] = known
	}
}

// eraOfWrite returns the era in which a row was written that names one and was read in another.
func eraOfWrite(named, read store.Era) store.Era {
	if !read.IsLater() {
		return read
	}
	return min(named, read)
}

func (v *View) remove(node string, at store.Position) {
	if node == v.self && v.own != nil {
		return
	}
	delete(v.rows, node)
	delete(v.departures, node)
	v.log.Info("node_removed", "node", node, "revision", at.Revision)
}

// EndRecovery ends the time in which nodes write their rows again after the store has come back
// from a copy. A node whose row is still missing gets no more requests until it writes one. It
// keeps its part of the limits: it may be cut off from the store only.
func (v *View) EndRecovery() {
	for node, e := range v.rows {
		if node == v.self || e.lost || e.position.Revision == 0 || e.seenIn >= v.era {
			continue
		}
		e.lost = true
		v.rows[node] = e
		v.log.Info("endpoint_lost", "node", node, "service", e.Service, "era", uint64(v.era))
	}
}

// Fleet returns all endpoints, and by service those that get requests. Of several nodes with
// one address only that with the newest row counts.
func (v *View) Fleet() (members []balancer.Endpoint, byService map[string][]balancer.Endpoint) {
	byService = map[string][]balancer.Endpoint{}
	newest := v.newestByAddress()
	members = make([]balancer.Endpoint, 0, len(v.rows))
	for node, e := range v.rows {
		if newest[e.PeerAddress] != node {
			continue
		}
		members = append(members, e.Endpoint)
		if !e.lost {
			byService[e.Service] = append(byService[e.Service], e.Endpoint)
		}
	}
	return members, byService
}

// newestByAddress returns, by peers address, the node with the newest row. If two nodes have
// rows with the same address, the one with the older row has stopped. The node's own row
// always counts as the newest.
func (v *View) newestByAddress() map[string]string {
	newest := make(map[string]string, len(v.rows))
	for node, e := range v.rows {
		other, taken := newest[e.PeerAddress]
		if !taken || node == v.self || other != v.self && v.rows[other].position.Compare(e.position) < 0 {
			newest[e.PeerAddress] = node
		}
	}
	return newest
}

// StoredRows returns the rows that are or were in the store as far as this node knows.
func (v *View) StoredRows() []store.Row {
	var rows []store.Row
	for node, e := range v.rows {
		if e.position.Revision == 0 {
			continue // the own row, which is not yet known to be stored
		}
		row := NewRow(e.Endpoint, v.departures[node], e.position.Era)
		value, err := cbor.Marshal(&row)
		if err != nil {
			v.log.Error(err, "endpoint_not_encoded", "node", node)
			continue
		}
		rows = append(rows, store.Row{Key: RowPrefix + node, Revision: e.position.Revision, Era: e.position.Era, Value: value})
	}
	return rows
}

// Departures returns the known departures of the backend servers beside a node.
func (v *View) Departures(node string) edge.Departures { return v.departures[node] }

// maxUnknownNodes limits the nodes without a row whose departures are kept.
const maxUnknownNodes = 1024

// NoteDepartures adds departures of the backend servers beside a node.
func (v *View) NoteDepartures(node string, d edge.Departures) {
	if d.IsZero() {
		return
	}
	if _, exists := v.departures[node]; !exists && len(v.departures) >= len(v.rows)+maxUnknownNodes {
		v.log.Info("departure_not_kept", "node", node)
		return
	}
	v.departures[node] = v.departures[node].Merge(d)
}
