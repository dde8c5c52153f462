package gossip_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/dotterelseam/dotterelseam/gossip"
	"github.com/dotterelseam/dotterelseam/peer"
)

// BenchmarkMemory reports the memory that a store uses per record with a value
// of 100 bytes.
func BenchmarkMemory(b *testing.B) {
	for _, n := range []int{1000, 10000, 100000} {
		b.Run(fmt.Sprintf("%d records", n), func(b *testing.B) {
			var perRecord float64
			for b.Loop() {
				perRecord = memoryOf(n) / float64(n)
			}
			b.ReportMetric(perRecord, "B/record")
		})
	}
}

// memoryOf returns the heap memory in bytes of a store with n records.
func memoryOf(n int) float64 {
	before := heap()
	mesh := peer.NewMesh(peer.Config{Identity: peer.Identity{Node: "a", Incarnation: 1, DataCentre: "a"}, Secret: "0123456789abcdef"})
	defer mesh.Close()
	s := gossip.New(gossip.Config{Transport: mesh})
	for i := range n {
		s.Set(fmt.Sprintf("key/%08d", i), 1, make([]byte, 100))
	}
	after := heap()
	runtime.KeepAlive(s)
	return after - before
}

// heap returns the allocated heap memory in bytes after a garbage collection.
func heap() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
