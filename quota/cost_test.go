package quota

import (
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"github.com/dotterelseam/dotterelseam/config"
)

// BenchmarkMessage encodes and decodes a report and its grant for different
// numbers of reported workspaces.
func BenchmarkMessage(b *testing.B) {
	for _, n := range []int{8, 32, 128} {
		r := Report{DataCentre: "west-bromwich", Node: "west-bromwich-17", Session: 1 << 60, Seq: 1000, Epoch: 3, EchoEpoch: 3, Echo: 1 << 40}
		g := Grant{Epoch: 3, Holder: "west-bromwich-4", Seq: 1000, IsHolder: true, Stamp: 1 << 40, Lease: 1 << 30}
		for i := range n {
			name := fmt.Sprintf("workspace-%03d", i)
			r.Items = append(r.Items, Item{Workspace: name, Rate: 3.5, Burst: 4.25, Returned: 17.75, Demand: 3.14159})
			g.Items = append(g.Items, GrantItem{Workspace: name, TargetRate: 3.5, TargetBurst: 4.25})
		}
		b.Run(fmt.Sprintf("%d workspaces", n), func(b *testing.B) {
			size := 0
			for b.Loop() {
				report, _ := compactMode.Marshal(&r)
				grant, _ := compactMode.Marshal(&g)
				var r2 Report
				var g2 Grant
				if cbor.Unmarshal(report, &r2) != nil || cbor.Unmarshal(grant, &g2) != nil {
					b.Fatal("cannot decode a message")
				}
				size = len(report) + len(grant)
			}
			b.ReportMetric(float64(size), "B/exchange")
		})
	}
}

// BenchmarkEntitlements computes the entitlements of all workspaces, which a
// node does for each new version of the configuration.
func BenchmarkEntitlements(b *testing.B) {
	for _, n := range []int{8, 80, 800} {
		f := &config.Fleet{}
		for i := range 12 {
			f.DataCentres = append(f.DataCentres, config.DataCentre{Name: fmt.Sprint(i), Share: 1.0 / 12})
		}
		for i := range n {
			f.Workspaces = append(f.Workspaces, config.Workspace{Name: fmt.Sprint(i), Rate: 50, Burst: 100})
		}
		b.Run(fmt.Sprintf("%d workspaces", n), func(b *testing.B) {
			for b.Loop() {
				Entitlements(f, "3")
			}
		})
	}
}
