package control

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/dotterelseam/dotterelseam/keys"
)

const testTimeout = 30 * time.Second

// startCluster starts a cluster with a first configuration and waits until it has
// converged. The returned context ends after testTimeout.
func startCluster(t *testing.T, dcs []string, perDC int, network *Network) (*Cluster, context.Context) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	c, err := NewCluster(dcs, perDC, network)
	assert.NilError(t, err)
	t.Cleanup(c.Close)
	version, err := c.Publish(ctx, c.Document(10, 10*time.Second))
	assert.NilError(t, err)
	eventually(t, ctx, "the cluster converges", func() bool { return c.Converged(version) })
	return c, ctx
}

func eventually(t *testing.T, ctx context.Context, what string, condition func() bool) {
	t.Helper()
	assert.NilError(t, Eventually(ctx, condition), what)
}

// Guards against nodes that do not find each other, and against a published
// configuration, grant or withdrawal that does not reach all nodes.
func TestClusterFollowsOperators(t *testing.T) {
	c, ctx := startCluster(t, []string{"dudley", "walsall", "oldbury"}, 3, nil)

	version, err := c.Publish(ctx, c.Document(20, 10*time.Second))
	assert.NilError(t, err)
	eventually(t, ctx, "publish in force", func() bool { return c.Converged(version) })

	op := keys.Operator{Table: c.Table}
	key, id, err := op.Grant(ctx, "farm")
	assert.NilError(t, err)
	eventually(t, ctx, "grant in force", func() bool {
		for _, n := range c.Nodes {
			if w, err := n.Keys.Lookup(key); err != nil || w != "farm" {
				return false
			}
		}
		return true
	})
	result, err := c.Nodes[0].Keys.Withdraw(ctx, id)
	assert.NilError(t, err)
	assert.Equal(t, result.Table, "written")
	assert.Equal(t, len(result.DataCentres), 3)
	for _, r := range result.DataCentres {
		assert.Assert(t, r.Complete(), "%+v", r)
	}
	for _, n := range c.Nodes {
		_, err := n.Keys.Lookup(key)
		assert.ErrorContains(t, err, "withdrawn_key")
	}
}
