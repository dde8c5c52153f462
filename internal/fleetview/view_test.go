package fleetview_test

import (
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-logr/logr/funcr"
	"gotest.tools/v3/assert"

	"github.com/dotterelseam/dotterelseam/balancer"
	"github.com/dotterelseam/dotterelseam/edge"
	"github.com/dotterelseam/dotterelseam/internal/fleetview"
	"github.com/dotterelseam/dotterelseam/store"
)

// Guards against a line of log for each row that is read again unchanged: a node that starts
// after a restore reads the rows of the whole fleet from several others.
func TestUnchangedRowsAreLoggedOnce(t *testing.T) {
	lines := 0
	log := funcr.New(func(_, args string) {
		if strings.Contains(args, "endpoint_known") {
			lines++
		}
	}, funcr.Options{})
	row := fleetview.NewRow(balancer.Endpoint{Node: "a", PeerAddress: "a:1", Service: "shop"}, edge.Departures{}, store.FirstEra)
	value, err := cbor.Marshal(&row)
	assert.NilError(t, err)
	snapshot := store.Changes{
		Rows:     []store.Row{{Key: fleetview.RowPrefix + "a", Revision: 7, Era: store.FirstEra, Value: value}},
		Position: store.Position{Era: store.FirstEra, Revision: 7},
	}
	v := fleetview.New("b", log)
	for range 3 {
		v.ApplySnapshot(snapshot, time.Now())
		v.Apply(snapshot.Rows)
	}
	assert.Equal(t, lines, 1)
}
