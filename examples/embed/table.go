package main

import (
	"context"
	"strings"
	"sync"

	"github.com/dotterelseam/dotterelseam/store"
)

// table is an in-memory lease.Table. That is enough for a service with one process,
// because its rows need not outlive the process. It is safe for concurrent use.
type table struct {
	mu       sync.Mutex
	rows     map[string]store.Row
	revision uint64
}

func newTable() *table { return &table{rows: map[string]store.Row{}} }

// Get returns a row, or an error of class store.ErrNotFound.
func (t *table) Get(_ context.Context, key string) (store.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	row, ok := t.rows[key]
	if !ok {
		return store.Row{}, store.ErrNotFound.New("row %s", key)
	}
	return row, nil
}

// Put writes a row if its version is ifVersion, 0 for a new row, and returns the new
// version. Otherwise it returns an error of class store.ErrConflict.
func (t *table) Put(_ context.Context, key string, ifVersion uint64, value []byte) (uint64, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.rows[key].Version != ifVersion {
		return 0, store.ErrConflict.New("row %s", key)
	}
	t.revision++
	t.rows[key] = store.Row{Key: key, Version: ifVersion + 1, Revision: t.revision, Value: value}
	return ifVersion + 1, nil
}

// List returns the rows whose keys begin with prefix and whose revision is above
// after, in no particular order.
func (t *table) List(_ context.Context, prefix string, after uint64) ([]store.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var rows []store.Row
	for key, row := range t.rows {
		if strings.HasPrefix(key, prefix) && row.Revision > after {
			rows = append(rows, row)
		}
	}
	return rows, nil
}

// noTransport is the quota.Transport of a service with one process, which has no
// other node to call.
type noTransport struct{}

// Call always returns an error of class store.ErrUnavailable.
func (noTransport) Call(_ context.Context, node, _ string, _, _ any) error {
	return store.ErrUnavailable.New("node %s does not exist", node)
}
