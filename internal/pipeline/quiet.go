package pipeline

import (
	"container/list"
	"sync"
	"sync/atomic"
)

// quietConns holds the connections of a listener that have no unanswered request, the
// one without a request for the longest time first. It is safe for concurrent use. Its
// lock may be taken while clientConn.mu is held, not the other way round.
type quietConns struct {
	mu        sync.Mutex
	conns     list.List // of *clientConn
	displaced atomic.Int64
}

// add adds c at the end unless it is held already.
func (q *quietConns) add(c *clientConn) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if c.quietElement == nil {
		c.quietElement = q.conns.PushBack(c)
	}
}

// remove removes c if it is held.
func (q *quietConns) remove(c *clientConn) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if c.quietElement != nil {
		q.conns.Remove(c.quietElement)
		c.quietElement = nil
	}
}

func (q *quietConns) len() int64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return int64(q.conns.Len())
}

// takeOldest removes the first connection and returns it, or nil if there is none.
func (q *quietConns) takeOldest() *clientConn {
	q.mu.Lock()
	defer q.mu.Unlock()
	first := q.conns.Front()
	if first == nil {
		return nil
	}
	c := q.conns.Remove(first).(*clientConn)
	c.quietElement = nil
	return c
}

// closeOldest closes up to n connections and returns how many it closed.
func (q *quietConns) closeOldest(n int) (closed int) {
	for closed < n {
		c := q.takeOldest()
		if c == nil {
			break
		}
		if c.closeIfQuiet() {
			closed++
		}
	}
	q.displaced.Add(int64(closed))
	return closed
}
