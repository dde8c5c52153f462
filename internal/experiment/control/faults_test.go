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

// inDC returns the nodes of a data centre.
func (c *Cluster) inDC(dc string) (nodes []*Node) {
	for _, n := range c.Nodes {
		if n.DataCentre == dc {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

func (n *Node) reason(key string) refusal.Reason {
	if _, err := n.Keys.Lookup(key); err != nil {
		return refusal.FromError(err).Reason
	}
	return ""
}

func all(nodes []*Node, holds func(n *Node) bool) func() bool {
	return func() bool {
		for _, n := range nodes {
			if !holds(n) {
				return false
			}
		}
		return true
	}
}

func inForce(version uint64) func(n *Node) bool {
	return func(n *Node) bool { s := n.Config.Current(); return s != nil && s.Version == version }
}

func (c *Cluster) grant(t *testing.T, ctx context.Context) (key, id string) {
	t.Helper()
	key, id, err := (&keys.Operator{Table: c.Table}).Grant(ctx, "farm")
	assert.NilError(t, err)
	eventually(t, ctx, "grant in force", all(c.Nodes, func(n *Node) bool { return n.reason(key) == "" }))
	return key, id
}

// watchVersions fails the test if a node's version ever falls.
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

// Guards against configurations and withdrawals that do not get around cuts of
// one kind or another, and against versions that fall when the cut ends.
func TestCuts(t *testing.T) {
	for _, tc := range []struct {
		name string
		cut  func(n *Network)
		// Data centres that the news cannot reach while the cut lasts.
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
					eventually(t, ctx, "publish in force in "+dc, all(c.inDC(dc), inForce(version)))
				}
				if !tc.withdrawMissed[dc] {
					eventually(t, ctx, "withdrawal in force in "+dc, all(c.inDC(dc), func(n *Node) bool { return n.reason(key) == refusal.WithdrawnKey }))
				}
			}
			c.Network.Heal()
			eventually(t, ctx, "publish in force after the cut", func() bool { return c.Converged(version) })
			eventually(t, ctx, "withdrawal in force after the cut", all(c.Nodes, func(n *Node) bool { return n.reason(key) == refusal.WithdrawnKey }))
		})
	}
}

// Guards against a data centre that is cut off and accepts keys for longer
// than the limit, and against the others or open service suffering from it.
func TestCutOffLimit(t *testing.T) {
	c, ctx := startCluster(t, threeDCs, 2, NewNetwork())
	version, err := c.Publish(ctx, c.Document(20, 3*time.Second))
	assert.NilError(t, err)
	eventually(t, ctx, "short limit in force", func() bool { return c.Converged(version) })
	key, _ := c.grant(t, ctx)
	for _, place := range []string{"dudley", "walsall", "platform"} {
		c.Network.CutBoth("oldbury", place)
	}
	eventually(t, ctx, "keys refused", all(c.inDC("oldbury"), func(n *Node) bool { return n.reason(key) == refusal.KeysUnverified }))
	c.Platform.SetFaults(standin.PlatformFaults{Down: true})
	time.Sleep(2 * 3 * time.Second) // the last contact with the platform is older than the limit
	eventually(t, ctx, "the two others are a majority", all(c.inDC("dudley"), func(n *Node) bool { return n.reason(key) == "" }))
	eventually(t, ctx, "endpoints of the cut data centre are gone", all(c.inDC("dudley"), func(n *Node) bool {
		return len(n.Members.Endpoints("stockroom")) == 4
	}))
	c.Network.Heal()
	eventually(t, ctx, "keys accepted again", all(c.Nodes, func(n *Node) bool { return n.reason(key) == "" }))
	eventually(t, ctx, "endpoints are back", func() bool { return c.Converged(version) })
}

// Guards against a withdrawal during an outage that does not reach all nodes,
// or that the table never learns, even if the node that took it ends.
func TestWithdrawalDuringOutage(t *testing.T) {
	for name, faults := range map[string]standin.PlatformFaults{
		"down": {Down: true}, "slow": {Delay: 3 * time.Second}, "answers lost": {DropAnswers: 3}, "writes lost": {DropRequests: 1000},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c, ctx := startCluster(t, threeDCs, 2, nil)
			key, id := c.grant(t, ctx)
			c.Platform.SetFaults(faults)
			taker := c.inDC("walsall")[1]
			result, err := taker.Keys.Withdraw(ctx, id)
			assert.NilError(t, err)
			for _, r := range result.DataCentres {
				assert.Assert(t, r.Complete(), "%+v", r)
			}
			assert.Assert(t, all(c.Nodes, func(n *Node) bool { return n.reason(key) == refusal.WithdrawnKey })())
			taker.Kill()
			c.Remove(taker)
			c.Platform.SetFaults(standin.PlatformFaults{})
			op := keys.Operator{Table: c.Table}
			eventually(t, ctx, "table shows the withdrawal", func() bool {
				infos, err := op.List(ctx)
				return err == nil && len(infos) == 1 && infos[0].State == "withdrawn"
			})
		})
	}
}

// Guards against a node that starts during an outage and puts an old version
// into force, or that stays without one although peers have it.
func TestRestartDuringOutage(t *testing.T) {
	c, ctx := startCluster(t, threeDCs, 2, nil)
	key, id := c.grant(t, ctx)
	version, err := c.Publish(ctx, c.Document(20, 10*time.Second))
	assert.NilError(t, err)
	eventually(t, ctx, "second version", func() bool { return c.Converged(version) })
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
	eventually(t, ctx, "the fleet knows the new process", func() bool { return c.Converged(version) })
	eventually(t, ctx, "keys loaded from a peer", func() bool { return restarted.reason(key) == refusal.WithdrawnKey })
	for _, n := range c.inDC("dudley") {
		for _, m := range n.Members.Members() {
			if m.ID == restarted.Node {
				assert.Equal(t, m.Incarnation, restarted.Mesh.Identity().Incarnation)
			}
		}
	}
}

// Guards against lost or leaving nodes that stay known, above all gateways,
// several at once, and against live nodes that are given up.
func TestLostNodes(t *testing.T) {
	for name, tc := range map[string]struct {
		lose func(ctx context.Context, n *Node)
		pick func(c *Cluster) []*Node
	}{
		"one is killed":                     {func(_ context.Context, n *Node) { n.Kill() }, func(c *Cluster) []*Node { return c.Nodes[4:5] }},
		"both gateways of a data centre":    {func(_ context.Context, n *Node) { n.Kill() }, gatewaysOf("walsall")},
		"a planned stop of the gateways":    {func(ctx context.Context, n *Node) { n.Stop(ctx) }, gatewaysOf("walsall")},
		"all but one of a data centre":      {func(_ context.Context, n *Node) { n.Kill() }, func(c *Cluster) []*Node { return c.inDC("oldbury")[1:] }},
		"the seeds":                         {func(_ context.Context, n *Node) { n.Kill() }, func(c *Cluster) []*Node { return c.Nodes[:3] }},
		"a planned stop of one":             {func(ctx context.Context, n *Node) { n.Stop(ctx) }, func(c *Cluster) []*Node { return c.Nodes[:1] }},
		"a node that is cut off, no answer": {isolate, func(c *Cluster) []*Node { return c.Nodes[4:5] }},
	} {
		// One cluster after the other: together they starve each other's probes on a
		// busy machine, and then none of them settles.
		t.Run(name, func(t *testing.T) {
			network := NewNetwork()
			c, ctx := startCluster(t, threeDCs, 4, network)
			for _, n := range append([]*Node(nil), tc.pick(c)...) {
				tc.lose(ctx, n)
				c.Remove(n)
				t.Cleanup(n.Kill)
			}
			eventually(t, ctx, "the rest agrees", func() bool { return c.Converged(1) })
		})
	}
}

func isolate(_ context.Context, n *Node) {
	for _, place := range append([]string{"platform"}, threeDCs...) {
		n.network.CutBoth(n.Node, place)
	}
}

func gatewaysOf(dc string) func(c *Cluster) []*Node {
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

// Guards against the parts of a data centre that stay apart after a cut, and a
// node that was cut off and stays dead for the others.
func TestPartsFindEachOther(t *testing.T) {
	network := NewNetwork()
	c, ctx := startCluster(t, threeDCs, 4, network)
	dudley := c.inDC("dudley")
	for _, a := range dudley[:2] {
		for _, b := range dudley[2:] {
			network.CutBoth(a.Node, b.Node)
		}
	}
	eventually(t, ctx, "each part has only itself", all(dudley, func(n *Node) bool { return len(n.Members.Members()) == 2 }))
	network.Heal()
	eventually(t, ctx, "all are back", func() bool { return c.Converged(1) })
}

// Guards against data centres that stay apart after a long cut during which
// all nodes that knew each other were replaced.
func TestSeparatedDataCentres(t *testing.T) {
	for name, faults := range map[string]standin.PlatformFaults{"platform up": {}, "platform down at the end": {Down: true}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			network := NewNetwork()
			c, ctx := startCluster(t, threeDCs, 2, network)
			network.CutBoth("oldbury", "dudley")
			network.CutBoth("oldbury", "walsall")
			for _, n := range append([]*Node(nil), c.Nodes...) {
				keep := n // a node of the same data centre that knows the configuration
				for _, other := range c.inDC(n.DataCentre) {
					if other != n {
						keep = other
					}
				}
				n.Kill()
				c.Remove(n)
				// Seeds of other data centres are in the settings as well.
				seeds := append([]string{keep.Address}, c.Nodes[0].Address, c.Nodes[len(c.Nodes)-1].Address)
				replacement, err := c.Start(NodeConfig{Location: Location{"new-" + n.Node, n.DataCentre}, Seeds: seeds, Service: "stockroom"})
				assert.NilError(t, err)
				eventually(t, ctx, "the replacement serves", func() bool { return inForce(1)(replacement) })
			}
			c.Platform.SetFaults(faults)
			network.Heal()
			eventually(t, ctx, "all know each other", func() bool { return c.Converged(1) })
		})
	}
}

// Guards against a node that gives up when neither a seed nor the platform
// answers at its start.
func TestStartWithoutSeeds(t *testing.T) {
	c, ctx := startCluster(t, threeDCs, 1, nil)
	c.Platform.SetFaults(standin.PlatformFaults{Down: true})
	// An IP address of its own: on 127.0.0.1 the port may be taken by another
	// process before the seed listens, and the node would never find the seed.
	l, err := net.Listen("tcp", "127.77.0.1:0")
	assert.NilError(t, err)
	reserved := l.Addr().String()
	assert.NilError(t, l.Close())
	n, err := c.Start(NodeConfig{Location: Location{"late", "dudley"}, Seeds: []string{reserved}, Service: "stockroom"})
	assert.NilError(t, err)
	seed := c.inDC("walsall")[0]
	relay := &http.Server{Handler: seed.Mesh, ReadHeaderTimeout: time.Second}
	time.Sleep(time.Second) // some tries fail
	l, err = net.Listen("tcp", reserved)
	assert.NilError(t, err)
	go func() { _ = relay.Serve(l) }()
	defer relay.Close()
	eventually(t, ctx, "the node joins", func() bool { return c.Converged(1) })
	assert.Assert(t, n.Config.Current() != nil)
}

// Guards against control messages accepted from outside the cluster.
func TestForeignNode(t *testing.T) {
	c, ctx := startCluster(t, []string{"dudley"}, 2, nil)
	foreign := peer.NewMesh(peer.Config{Identity: peer.Identity{Node: "x", DataCentre: "dudley"}, Secret: "guessed"})
	defer foreign.Close()
	_, err := foreign.CallAddress(ctx, c.Nodes[0].Address, "KeyWithdraw", map[int]any{1: "x"}, nil)
	assert.Assert(t, peer.ErrUnreachable.Has(err), "%v", err)
	assert.Equal(t, fmt.Sprint(c.Nodes[0].Store.Prefix("key/")), "[]")
}
