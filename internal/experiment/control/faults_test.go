package control

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/dotterelseam/dotterelseam/internal/standin"
	"github.com/dotterelseam/dotterelseam/keys"
	"github.com/dotterelseam/dotterelseam/peer"
	"github.com/dotterelseam/dotterelseam/refusal"
)

var threeDCs = []string{"dudley", "walsall", "oldbury"}

func (c *Cluster) inDC(dc string) (nodes []*Node) {
	for _, n := range c.Nodes {
		if n.DataCentre == dc {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

// refusalReason returns why the node refuses a key, or "" if it accepts it.
func (n *Node) refusalReason(key string) refusal.Reason {
	if _, err := n.Keys.Lookup(key); err != nil {
		return refusal.FromError(err).Reason
	}
	return ""
}

// allNodes returns a function that reports whether predicate is true for all nodes.
func allNodes(nodes []*Node, predicate func(n *Node) bool) func() bool {
	return func() bool {
		for _, n := range nodes {
			if !predicate(n) {
				return false
			}
		}
		return true
	}
}

func hasVersion(version uint64) func(n *Node) bool {
	return func(n *Node) bool { s := n.Config.Current(); return s != nil && s.Version == version }
}

func (c *Cluster) grant(t *testing.T, ctx context.Context) (key, id string) {
	t.Helper()
	key, id, err := (&keys.Operator{Table: c.Table}).Grant(ctx, "farm")
	assert.NilError(t, err)
	eventually(t, ctx, "grant in force", allNodes(c.Nodes, func(n *Node) bool { return n.refusalReason(key) == "" }))
	return key, id
}

// watchVersions fails the test if the configuration version of a node decreases. It
// checks every node each millisecond, 2000 times.
func watchVersions(t *testing.T, c *Cluster) {
	for _, n := range c.Nodes {
		highest := uint64(0)
		check := func(version uint64) {
			if version < highest {
				t.Errorf("%s went from version %d to %d", n.Node, highest, version)
			}
			highest = version
		}
		check(n.Config.Current().Version)
		go func() {
			for range 2000 {
				check(n.Config.Current().Version)
				time.Sleep(time.Millisecond)
			}
		}()
	}
}

// Guards against configurations and withdrawals that do not reach nodes to which a
// path around the cut exists, and against versions that decrease, also when the cut
// ends.
func TestCuts(t *testing.T) {
	for _, tc := range []struct {
		name string
		cut  func(n *Network)
		// Data centres that the publish or the withdrawal cannot reach during the cut.
		publishMissed, withdrawMissed map[string]bool
	}{
		{"platform cut from one data centre", func(n *Network) { n.CutBoth("platform", "oldbury") }, nil, nil},
		{"platform cut from all but one", func(n *Network) { n.CutBoth("platform", "oldbury"); n.CutBoth("platform", "walsall") }, nil, nil},
		{"two data centres cut from each other", func(n *Network) { n.CutBoth("dudley", "oldbury") }, nil, nil},
		{"one way between two data centres", func(n *Network) { n.Cut("dudley", "oldbury") }, nil, nil},
		{"one data centre cut from everything", func(n *Network) {
			n.CutBoth("oldbury", "dudley")
			n.CutBoth("oldbury", "walsall")
			n.CutBoth("oldbury", "platform")
		}, map[string]bool{"oldbury": true}, map[string]bool{"oldbury": true}},
		{"a data centre cut from the others only", func(n *Network) { n.CutBoth("oldbury", "dudley"); n.CutBoth("oldbury", "walsall") }, nil, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			c, ctx := startCluster(t, threeDCs, 3, NewNetwork())
			key, id := c.grant(t, ctx)
			watchVersions(t, c)
			tc.cut(c.Network)
			version, err := c.Publish(ctx, c.Document(20, 10*time.Second))
			assert.NilError(t, err)
			result, err := c.inDC("dudley")[0].Keys.Withdraw(ctx, id)
			assert.NilError(t, err)
			for _, r := range result.DataCentres {
				if tc.withdrawMissed[r.DataCentre] {
					assert.Assert(t, !r.Complete(), "%+v", r)
				}
			}
			for _, dc := range threeDCs {
				if !tc.publishMissed[dc] {
					eventually(t, ctx, "publish in force in "+dc, allNodes(c.inDC(dc), hasVersion(version)))
				}
				if !tc.withdrawMissed[dc] {
					eventually(t, ctx, "withdrawal in force in "+dc, allNodes(c.inDC(dc), func(n *Node) bool { return n.refusalReason(key) == refusal.WithdrawnKey }))
				}
			}
			c.Network.Heal()
			eventually(t, ctx, "publish in force after the cut", func() bool { return c.Converged(version) })
			eventually(t, ctx, "withdrawal in force after the cut", allNodes(c.Nodes, func(n *Node) bool { return n.refusalReason(key) == refusal.WithdrawnKey }))
		})
	}
}

// Guards against a data centre that is cut off and accepts keys for longer than the
// cut-off limit. Also guards against other data centres that refuse keys meanwhile,
// although they are a majority, and against endpoints that do not return afterwards.
func TestCutOffLimit(t *testing.T) {
	c, ctx := startCluster(t, threeDCs, 2, NewNetwork())
	version, err := c.Publish(ctx, c.Document(20, 3*time.Second))
	assert.NilError(t, err)
	eventually(t, ctx, "short limit in force", func() bool { return c.Converged(version) })
	key, _ := c.grant(t, ctx)
	for _, place := range []string{"dudley", "walsall", "platform"} {
		c.Network.CutBoth("oldbury", place)
	}
	eventually(t, ctx, "keys refused", allNodes(c.inDC("oldbury"), func(n *Node) bool { return n.refusalReason(key) == refusal.KeysUnverified }))
	c.Platform.SetFaults(standin.PlatformFaults{Down: true})
	time.Sleep(2 * 3 * time.Second) // the last contact with the platform is older than the limit
	eventually(t, ctx, "the other two data centres are a majority and accept the key", allNodes(c.inDC("dudley"), func(n *Node) bool { return n.refusalReason(key) == "" }))
	eventually(t, ctx, "endpoints of the cut data centre are gone", allNodes(c.inDC("dudley"), func(n *Node) bool {
		return len(n.Members.Endpoints("stockroom")) == 4
	}))
	c.Network.Heal()
	eventually(t, ctx, "keys accepted again", allNodes(c.Nodes, func(n *Node) bool { return n.refusalReason(key) == "" }))
	eventually(t, ctx, "endpoints are back", func() bool { return c.Converged(version) })
}

// Guards against a withdrawal during an outage of the platform that does not reach
// all nodes, or that is never written to the table because the node that received
// it was killed.
func TestWithdrawalDuringOutage(t *testing.T) {
	for name, faults := range map[string]standin.PlatformFaults{
		"down": {Down: true}, "slow": {Delay: 3 * time.Second}, "answers lost": {DropAnswers: 3}, "writes lost": {DropRequests: 1000},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c, ctx := startCluster(t, threeDCs, 2, nil)
			key, id := c.grant(t, ctx)
			c.Platform.SetFaults(faults)
			receiver := c.inDC("walsall")[1]
			result, err := receiver.Keys.Withdraw(ctx, id)
			assert.NilError(t, err)
			for _, r := range result.DataCentres {
				assert.Assert(t, r.Complete(), "%+v", r)
			}
			assert.Assert(t, allNodes(c.Nodes, func(n *Node) bool { return n.refusalReason(key) == refusal.WithdrawnKey })())
			receiver.Kill()
			c.Remove(receiver)
			c.Platform.SetFaults(standin.PlatformFaults{})
			op := keys.Operator{Table: c.Table}
			eventually(t, ctx, "table shows the withdrawal", func() bool {
				infos, err := op.List(ctx)
				return err == nil && len(infos) == 1 && infos[0].State == "withdrawn"
			})
		})
	}
}

// Guards against a node that starts during an outage of the platform and applies an
// old configuration version, or none although its peers have one.
func TestRestartDuringOutage(t *testing.T) {
	c, ctx := startCluster(t, threeDCs, 2, nil)
	key, id := c.grant(t, ctx)
	version, err := c.Publish(ctx, c.Document(20, 10*time.Second))
	assert.NilError(t, err)
	eventually(t, ctx, "second version in force", func() bool { return c.Converged(version) })
	c.Platform.SetFaults(standin.PlatformFaults{Down: true})
	_, err = c.Nodes[0].Keys.Withdraw(ctx, id)
	assert.NilError(t, err)

	old := c.inDC("dudley")[1]
	old.Kill()
	c.Remove(old)
	restarted, err := c.Start(NodeConfig{Location: old.Location, Address: old.Address, Service: "stockroom"})
	assert.NilError(t, err)
	select {
	case <-restarted.Config.Ready():
	case <-ctx.Done():
		t.Fatal("no configuration")
	}
	assert.Equal(t, restarted.Config.Current().Version, version)
	eventually(t, ctx, "all nodes know the restarted node", func() bool { return c.Converged(version) })
	eventually(t, ctx, "keys loaded from a peer", func() bool { return restarted.refusalReason(key) == refusal.WithdrawnKey })
	for _, n := range c.inDC("dudley") {
		for _, m := range n.Members.Members() {
			if m.ID == restarted.Node {
				assert.Equal(t, m.Incarnation, restarted.Mesh.Identity().Incarnation)
			}
		}
	}
}

// Guards against nodes that stay in the membership after they were killed, cut off
// or stopped, in particular gateways and several nodes at once, and against live
// nodes that are removed from it.
func TestLostNodes(t *testing.T) {
	for name, tc := range map[string]struct {
		lose func(ctx context.Context, n *Node)
		pick func(c *Cluster) []*Node
	}{
		"one is killed":                     {func(_ context.Context, n *Node) { n.Kill() }, func(c *Cluster) []*Node { return c.Nodes[4:5] }},
		"both gateways of a data centre":    {func(_ context.Context, n *Node) { n.Kill() }, gatewaysIn("walsall")},
		"a planned stop of the gateways":    {func(ctx context.Context, n *Node) { n.Stop(ctx) }, gatewaysIn("walsall")},
		"all but one of a data centre":      {func(_ context.Context, n *Node) { n.Kill() }, func(c *Cluster) []*Node { return c.inDC("oldbury")[1:] }},
		"the seeds":                         {func(_ context.Context, n *Node) { n.Kill() }, func(c *Cluster) []*Node { return c.Nodes[:3] }},
		"a planned stop of one":             {func(ctx context.Context, n *Node) { n.Stop(ctx) }, func(c *Cluster) []*Node { return c.Nodes[:1] }},
		"a node that is cut off, no answer": {isolate, func(c *Cluster) []*Node { return c.Nodes[4:5] }},
	} {
		// Not parallel: on a busy machine, several clusters delay each other's probes so
		// much that none of them converges.
		t.Run(name, func(t *testing.T) {
			network := NewNetwork()
			c, ctx := startCluster(t, threeDCs, 4, network)
			for _, n := range append([]*Node(nil), tc.pick(c)...) {
				tc.lose(ctx, n)
				c.Remove(n)
				t.Cleanup(n.Kill)
			}
			eventually(t, ctx, "the remaining nodes converge", func() bool { return c.Converged(1) })
		})
	}
}

// isolate cuts a node off from all data centres and the platform.
func isolate(_ context.Context, n *Node) {
	for _, place := range append([]string{"platform"}, threeDCs...) {
		n.network.CutBoth(n.Node, place)
	}
}

// gatewaysIn returns a function that picks the gateways of a data centre.
func gatewaysIn(dc string) func(c *Cluster) []*Node {
	return func(c *Cluster) (nodes []*Node) {
		for _, g := range c.inDC(dc)[0].Members.Gateways(dc) {
			for _, n := range c.Nodes {
				if n.Node == g.ID {
					nodes = append(nodes, n)
				}
			}
		}
		return nodes
	}
}

// Guards against two halves of a data centre that stay separate after a cut between
// them has ended, and against nodes that the other half then still considers dead.
func TestSplitDataCentreRejoins(t *testing.T) {
	network := NewNetwork()
	c, ctx := startCluster(t, threeDCs, 4, network)
	dudley := c.inDC("dudley")
	for _, a := range dudley[:2] {
		for _, b := range dudley[2:] {
			network.CutBoth(a.Node, b.Node)
		}
	}
	eventually(t, ctx, "each half has only its own nodes as members", allNodes(dudley, func(n *Node) bool { return len(n.Members.Members()) == 2 }))
	network.Heal()
	eventually(t, ctx, "all nodes rejoin", func() bool { return c.Converged(1) })
}

// Guards against data centres that stay separate after a long cut, during which all
// nodes that knew nodes of the other side were replaced.
func TestSeparatedDataCentres(t *testing.T) {
	for name, faults := range map[string]standin.PlatformFaults{"platform up": {}, "platform down at the end": {Down: true}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			network := NewNetwork()
			c, ctx := startCluster(t, threeDCs, 2, network)
			network.CutBoth("oldbury", "dudley")
			network.CutBoth("oldbury", "walsall")
			for _, n := range append([]*Node(nil), c.Nodes...) {
				sameDC := n // a node of the same data centre that knows the configuration
				for _, other := range c.inDC(n.DataCentre) {
					if other != n {
						sameDC = other
					}
				}
				n.Kill()
				c.Remove(n)
				// The settings of a node list seeds of other data centres as well.
				seeds := append([]string{sameDC.Address}, c.Nodes[0].Address, c.Nodes[len(c.Nodes)-1].Address)
				replacement, err := c.Start(NodeConfig{Location: Location{"new-" + n.Node, n.DataCentre}, Seeds: seeds, Service: "stockroom"})
				assert.NilError(t, err)
				eventually(t, ctx, "configuration in force on the replacement", func() bool { return hasVersion(1)(replacement) })
			}
			c.Platform.SetFaults(faults)
			network.Heal()
			eventually(t, ctx, "all data centres converge", func() bool { return c.Converged(1) })
		})
	}
}

// Guards against a node that stops trying to join when neither a seed nor the
// platform answers at its start.
func TestStartWithoutSeeds(t *testing.T) {
	c, ctx := startCluster(t, threeDCs, 1, nil)
	c.Platform.SetFaults(standin.PlatformFaults{Down: true})
	// A separate loopback address: on 127.0.0.1, another process may take the port
	// before the seed listens, and the node would never find the seed.
	l, err := net.Listen("tcp", "127.77.0.1:0")
	assert.NilError(t, err)
	reserved := l.Addr().String()
	assert.NilError(t, l.Close())
	n, err := c.Start(NodeConfig{Location: Location{"late", "dudley"}, Seeds: []string{reserved}, Service: "stockroom"})
	assert.NilError(t, err)
	seed := c.inDC("walsall")[0]
	seedServer := &http.Server{Handler: seed.Mesh, ReadHeaderTimeout: time.Second}
	time.Sleep(time.Second) // some attempts to reach the seed fail
	l, err = net.Listen("tcp", reserved)
	assert.NilError(t, err)
	go func() { _ = seedServer.Serve(l) }()
	defer seedServer.Close()
	eventually(t, ctx, "the node joins", func() bool { return c.Converged(1) })
	assert.Assert(t, n.Config.Current() != nil)
}

// Guards against control messages that are accepted from a process without the
// cluster secret.
func TestForeignNode(t *testing.T) {
	c, ctx := startCluster(t, []string{"dudley"}, 2, nil)
	foreign := peer.NewMesh(peer.Config{Identity: peer.Identity{Node: "x", DataCentre: "dudley"}, Secret: "guessed"})
	defer foreign.Close()
	_, err := foreign.CallAddress(ctx, c.Nodes[0].Address, "KeyWithdraw", map[int]any{1: "x"}, nil)
	assert.Assert(t, peer.ErrUnreachable.Has(err), "%v", err)
	assert.Equal(t, fmt.Sprint(c.Nodes[0].Store.Prefix("key/")), "[]")
}
