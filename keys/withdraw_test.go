package keys

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/dotterelseam/dotterelseam/internal/standin"
	"github.com/dotterelseam/dotterelseam/peer"
	"github.com/dotterelseam/dotterelseam/refusal"
	"github.com/dotterelseam/dotterelseam/store"
)

func confirm(dc string, inForce, missing int) func(string) (any, error) {
	return func(string) (any, error) { return DataCentreResult{dc, inForce, missing, true}, nil }
}

func unreachable(string) (any, error) { return nil, peer.ErrUnreachable.New("cut") }

// Guards against a withdrawal that is reported as in force on nodes where it is
// not.
func TestWithdrawResult(t *testing.T) {
	f := newFixture(t)
	ctx := context.Background()
	key, id, err := (&Operator{Table: f.client}).Grant(ctx, "farm")
	assert.NilError(t, err)
	f.load(t)
	f.peers.local = map[string]func(string) (any, error){"a": confirm("", 0, 0), "b": unreachable}
	f.peers.remote = map[string]func(string) (any, error){"walsall": confirm("walsall", 4, 0), "oldbury": unreachable}
	f.platform.SetFaults(standin.PlatformFaults{Down: true})
	assert.Equal(t, f.reason(key), refusal.Reason(""))

	srv := httptest.NewServer(f.WithdrawHandler())
	defer srv.Close()
	o := Operator{Table: f.client, Nodes: []string{srv.Listener.Addr().String(), "127.0.0.1:1"}}
	w, err := o.Withdraw(ctx, id)
	assert.NilError(t, err)
	assert.Equal(t, f.reason(key), refusal.WithdrawnKey)
	assert.Assert(t, w.Known && !w.TableWritten && !w.InForceEverywhere())
	assert.Equal(t, w.NodesFailed, 1)
	assert.DeepEqual(t, w.DataCentres, []DataCentreResult{
		{"dudley", 2, 1, true}, {"oldbury", 0, 0, false}, {"walsall", 4, 0, true},
	})

	// After the outage the table is written by this node, or by a gateway whose
	// poll finds the row unchanged.
	f.platform.SetFaults(standin.PlatformFaults{})
	assert.NilError(t, f.poll(ctx))
	_, ids := f.pending.list()
	assert.DeepEqual(t, ids, []string{id})
	assert.NilError(t, writeWithdrawal(ctx, f.client, id, f.withdrawnValue(id)))
	infos, err := o.List(ctx)
	assert.NilError(t, err)
	assert.DeepEqual(t, infos, []Info{{id, "farm", "withdrawn"}})
}

// Guards against a withdrawal that is reported as written when it is not, or that
// is undone by a grant that arrives later.
func TestTableWrites(t *testing.T) {
	ctx := context.Background()
	for name, tc := range map[string]struct {
		faults  standin.PlatformFaults
		written bool
	}{
		"up":                           {written: true},
		"answer lost":                  {faults: standin.PlatformFaults{DropAnswers: 1}, written: true},
		"lost before the write":        {faults: standin.PlatformFaults{DropRequests: 2}, written: true},
		"lost more often than retried": {faults: standin.PlatformFaults{DropRequests: 10}},
		"down":                         {faults: standin.PlatformFaults{Down: true}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			key, id, err := (&Operator{Table: f.client}).Grant(ctx, "farm")
			assert.NilError(t, err)
			f.platform.SetFaults(tc.faults)
			err = writeWithdrawal(ctx, f.client, id, value{State: Withdrawn})
			assert.Equal(t, err == nil, tc.written, "%v", err)
			f.platform.SetFaults(standin.PlatformFaults{})
			f.load(t)
			want := refusal.Reason("")
			if tc.written {
				want = refusal.WithdrawnKey
			}
			assert.Equal(t, f.reason(key), want)
			f.applyRow(id, value{Workspace: "farm", Digest: make([]byte, DigestSize), State: Granted}.encode())
			assert.Equal(t, f.reason(key), want, "a grant never follows a withdrawal")
		})
	}
	for name, tc := range map[string]struct {
		faults standin.PlatformFaults
		class  func(error) bool
	}{
		"answer lost": {faults: standin.PlatformFaults{DropAnswers: 1}},
		"lost before": {faults: standin.PlatformFaults{DropRequests: 1}},
		"lost twice":  {faults: standin.PlatformFaults{DropRequests: 2}, class: store.ErrUnknownOutcome.Has},
		"down":        {faults: standin.PlatformFaults{Down: true}, class: store.ErrUnavailable.Has},
	} {
		t.Run("grant, "+name, func(t *testing.T) {
			f := newFixture(t)
			f.platform.SetFaults(tc.faults)
			key, id, err := (&Operator{Table: f.client}).Grant(ctx, "farm")
			assert.Assert(t, (tc.class == nil) == (err == nil) && (err == nil || tc.class(err)), "%v", err)
			assert.Equal(t, key != "", err == nil)
			assert.Assert(t, id != "", "the operator can withdraw it")
		})
	}
}

// Guards against malformed requests of operators and peers that are accepted, and
// against responses that repeat a whole key sent by mistake.
func TestBadWithdrawals(t *testing.T) {
	f := newFixture(t)
	key, _ := Generate()
	body, err := json.Marshal(map[string]string{"id": key})
	assert.NilError(t, err)
	for name, b := range map[string]string{
		"whole key": string(body), "no ID": "{}", "not JSON": key, "too long": `{"id":"` + strings.Repeat("a", 5000) + `"}`,
	} {
		rec := httptest.NewRecorder()
		f.WithdrawHandler().ServeHTTP(rec, httptest.NewRequest(http.MethodPost, WithdrawPath, strings.NewReader(b)))
		assert.Equal(t, rec.Code, http.StatusBadRequest, name)
		assert.Assert(t, !strings.Contains(rec.Body.String(), key), name)
	}
	_, err = (&Operator{Table: f.client}).Withdraw(context.Background(), key)
	assert.Assert(t, err != nil && !strings.Contains(err.Error(), key))
	for _, m := range []any{withdrawMessage{ID: key}, "x", withdrawMessage{}} {
		payload, err := cbor.Marshal(m)
		assert.NilError(t, err)
		_, err = f.handleWithdraw(context.Background(), peer.Identity{}, payload)
		assert.Assert(t, err != nil && !strings.Contains(err.Error(), key))
	}
	f.gossip.Set(RowPrefix+"x", 1, []byte("garbage"))
	assert.Equal(t, f.find("x"), (*entry)(nil))
}

// Guards against a withdrawal that is lost with the rows that the store has written since a copy
// of itself, and against one of another node whose row has a revision that was given out before.
func TestWithdrawalOutlastsRestore(t *testing.T) {
	f := newFixture(t)
	ctx := context.Background()
	lostKey, lost, err := (&Operator{Table: f.client}).Grant(ctx, "farm")
	assert.NilError(t, err)
	laterKey, later, err := (&Operator{Table: f.client}).Grant(ctx, "farm")
	assert.NilError(t, err)
	copied := f.platform.Ver()
	assert.NilError(t, writeWithdrawal(ctx, f.client, lost, value{State: Withdrawn}))
	f.load(t)
	assert.Equal(t, f.reason(lostKey), refusal.WithdrawnKey)
	assert.Equal(t, f.reason(laterKey), refusal.Reason(""))

	f.platform.Restore(copied)
	assert.NilError(t, writeWithdrawal(ctx, f.client, later, value{State: Withdrawn}))
	assert.NilError(t, f.poll(ctx))
	assert.Equal(t, f.reason(laterKey), refusal.WithdrawnKey)
	assert.Equal(t, f.reason(lostKey), refusal.WithdrawnKey)
	_, ids := f.pending.list()
	assert.DeepEqual(t, ids, []string{lost})
}
