package keys

import (
	"fmt"
	"runtime"
	"testing"
)

// BenchmarkMemory measures the memory of one key in the lookup table, without
// its gossip record.
func BenchmarkMemory(b *testing.B) {
	for _, n := range []int{1000, 10000, 100000} {
		b.Run(fmt.Sprintf("%d keys", n), func(b *testing.B) {
			var perKey float64
			for b.Loop() {
				perKey = memoryOf(n) / float64(n)
			}
			b.ReportMetric(perKey, "B/key")
		})
	}
}

func memoryOf(n int) float64 {
	s := &Store{}
	for i := range s.shards {
		s.shards[i].keys = map[string]*entry{}
	}
	before := heap()
	for i := range n {
		digest := Digest(fmt.Sprint(i))
		s.put(fmt.Sprintf("key-%08d", i), value{Workspace: "farm", Digest: digest[:], State: Granted})
	}
	after := heap()
	runtime.KeepAlive(s)
	return after - before
}

func heap() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
