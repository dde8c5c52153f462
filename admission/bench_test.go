package admission

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/dotterelseam/dotterelseam/config"
)

func ExampleController() {
	c := New(Config{Slots: 100, Connections: 1000})
	ticket, err := c.Acquire(context.Background(), Request{
		Importance: config.Critical, Workspace: "black-horse-farm", Deadline: time.Now().Add(time.Second),
	})
	if err != nil {
		fmt.Println("refused:", err)
		return
	}
	defer ticket.Release(OK)
	fmt.Println("in flight:", c.Threshold().InFlight)
	// Output: in flight: 1
}

// Guards against allocations in Acquire and Release while slots are free.
func TestUncontendedDoesNotAllocate(t *testing.T) {
	c := New(Config{Slots: 100})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r := Request{Workspace: "a", Deadline: time.Now().Add(time.Hour)}
	allocs := testing.AllocsPerRun(1000, func() {
		ticket, err := c.Acquire(ctx, r)
		if err != nil {
			t.Fatal(err)
		}
		ticket.Release(OK)
	})
	assert.Equal(t, allocs, 0.0)
}

func BenchmarkAcquireRelease(b *testing.B) {
	c := New(Config{Slots: 100})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r := Request{Workspace: "a", Deadline: time.Now().Add(time.Hour)}
	b.ReportAllocs()
	for b.Loop() {
		ticket, err := c.Acquire(ctx, r)
		if err != nil {
			b.Fatal(err)
		}
		ticket.Release(OK)
	}
}

func BenchmarkAcquireReleaseParallel(b *testing.B) {
	c := New(Config{Slots: 100})
	r := Request{Workspace: "a", Deadline: time.Now().Add(time.Hour)}
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			ticket, err := c.Acquire(context.Background(), r)
			if err != nil {
				b.Error(err)
				return
			}
			ticket.Release(OK)
		}
	})
}
