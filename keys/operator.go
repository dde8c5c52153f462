package keys

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strings"
	"time"

	"github.com/dotterelseam/dotterelseam/internal/httpclient"
	"github.com/dotterelseam/dotterelseam/peer"
	"github.com/dotterelseam/dotterelseam/store"
)

const (
	// requestTimeout bounds one withdrawal with its requests to all operators
	// listeners.
	requestTimeout = 3 * time.Second
	maxResultBytes = 1 << 20
)

// Operator grants, withdraws and lists keys on behalf of operators. Its methods are
// safe for concurrent use if Table is.
type Operator struct {
	Table Table
	// Nodes are addresses of operators listeners (ip:port), preferably of nodes in
	// every data centre.
	Nodes []string
	HTTP  *http.Client // default http.DefaultClient
}

// Grant creates a key for a workspace and returns it with its ID. Errors are of
// the classes of package store. After store.ErrUnknownOutcome the key with the
// returned ID may exist and should be withdrawn.
func (o *Operator) Grant(ctx context.Context, workspace string) (key, id string, err error) {
	key, id = Generate()
	digest := Digest(key)
	v := value{Workspace: workspace, Digest: digest[:], State: Granted}
	_, err = o.Table.Put(ctx, RowPrefix+id, 0, v.encode())
	if store.ErrUnknownOutcome.Has(err) {
		err = o.retryGrant(ctx, id, v, err)
	}
	if err != nil {
		return "", id, err
	}
	return key, id, nil
}

// retryGrant repeats the write of a grant whose response was lost. The ID is
// random, so a conflict shows that the first write took effect.
func (o *Operator) retryGrant(ctx context.Context, id string, v value, cause error) error {
	_, err := o.Table.Put(ctx, RowPrefix+id, 0, v.encode())
	if err == nil || store.ErrConflict.Has(err) {
		return nil
	}
	return cause
}

// Withdrawal is the combined result of a withdrawal at the table and through all
// nodes.
type Withdrawal struct {
	ID           string             `json:"id"`
	Known        bool               `json:"known"`      // at least one node knew a key with this ID
	TableWritten bool               `json:"table_done"` // the table row is marked as withdrawn
	TableError   string             `json:"table_error,omitempty"`
	DataCentres  []DataCentreResult `json:"data_centres"` // ordered by name
	NodesFailed  int                `json:"nodes_failed"` // operators listeners without a valid response
}

// InForceEverywhere reports whether all nodes of every known data centre
// confirmed the withdrawal.
func (w Withdrawal) InForceEverywhere() bool {
	for _, r := range w.DataCentres {
		if !r.Complete() {
			return false
		}
	}
	return len(w.DataCentres) > 0
}

// Withdraw withdraws a key at the table and, in parallel, through all Nodes. It takes
// at most 3 s. For a valid ID it fails only if neither the table nor any node
// accepted the withdrawal.
func (o *Operator) Withdraw(ctx context.Context, id string) (Withdrawal, error) {
	if !ValidID(id) {
		return Withdrawal{}, Class.New("not the ID of a key")
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	results := make(chan *WithdrawResult, len(o.Nodes))
	for _, node := range o.Nodes {
		go func() { results <- o.withdrawAt(ctx, node, id) }()
	}
	w := Withdrawal{ID: id}
	tableErr := writeWithdrawal(ctx, o.Table, id, value{State: Withdrawn})
	w.TableWritten = tableErr == nil
	if tableErr != nil {
		w.TableError = tableErr.Error()
	}
	best := map[string]DataCentreResult{}
	for range o.Nodes {
		r := <-results
		if r == nil {
			w.NodesFailed++
			continue
		}
		w.Known = w.Known || r.Known
		w.TableWritten = w.TableWritten || r.Table == "written"
		mergeResults(best, r.DataCentres)
	}
	for _, r := range best {
		w.DataCentres = append(w.DataCentres, r)
	}
	sort.Slice(w.DataCentres, func(i, j int) bool { return w.DataCentres[i].DataCentre < w.DataCentres[j].DataCentre })
	if !w.TableWritten && w.NodesFailed == len(o.Nodes) {
		return w, tableErr
	}
	return w, nil
}

// mergeResults keeps, for each data centre, the result with the most
// confirmations.
func mergeResults(best map[string]DataCentreResult, results []DataCentreResult) {
	for _, r := range results {
		if old, ok := best[r.DataCentre]; !ok || r.InForce > old.InForce {
			best[r.DataCentre] = r
		}
	}
}

// withdrawAt sends a withdrawal to one node. It returns nil if the node gave no
// valid response.
func (o *Operator) withdrawAt(ctx context.Context, node, id string) *WithdrawResult {
	body, err := json.Marshal(map[string]string{"id": id})
	if err != nil {
		return nil
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+node+WithdrawPath, bytes.NewReader(body))
	if err != nil {
		return nil
	}
	req.Header.Set("Content-Type", "application/json")
	client := o.HTTP
	if client == nil {
		client = http.DefaultClient
	}
	resp, err := httpclient.WithoutRedirects(client).Do(req)
	if err != nil {
		return nil
	}
	defer resp.Body.Close()
	var result WithdrawResult
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxResultBytes))
	if err != nil || resp.StatusCode != http.StatusOK || json.Unmarshal(raw, &result) != nil {
		return nil
	}
	return &result
}

// List returns all keys in the table, ordered by workspace and ID. Rows that
// cannot be decoded are left out.
func (o *Operator) List(ctx context.Context) ([]Info, error) {
	rows, err := o.Table.List(ctx, RowPrefix, 0)
	if err != nil {
		return nil, err
	}
	infos := make([]Info, 0, len(rows))
	for _, row := range rows {
		var v value
		if peer.Unmarshal(row.Value, &v) == nil {
			id := strings.TrimPrefix(row.Key, RowPrefix)
			infos = append(infos, Info{ID: id, Workspace: v.Workspace, State: v.State.String()})
		}
	}
	sort.Slice(infos, func(i, j int) bool {
		a, b := infos[i], infos[j]
		return a.Workspace < b.Workspace || a.Workspace == b.Workspace && a.ID < b.ID
	})
	return infos, nil
}
