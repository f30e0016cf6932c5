package model

import "time"

// eventQueue is a priority queue of scheduled events. It is a four-ary heap of small keys; the events themselves stay
// in slots and are copied only once in and once out.
type eventQueue struct {
	heap  []heapKey
	slots []event
	free  []int32 // unused slots
	seq   uint64  // number of events pushed so far
}

// heapKey orders events: by time, then by the rank of their kind, then by the order in which they were scheduled.
type heapKey struct {
	at    time.Duration
	order uint64 // the rank in the highest byte, the sequence number below
	slot  int32
}

func (k heapKey) before(o heapKey) bool { return k.at < o.at || k.at == o.at && k.order < o.order }

func (q *eventQueue) len() int { return len(q.heap) }

// push adds an event whose time is set.
func (q *eventQueue) push(e event) {
	k := heapKey{at: e.at, order: uint64(eventRank[e.kind])<<56 | q.seq}
	q.seq++
	if n := len(q.free); n > 0 {
		k.slot, q.free = q.free[n-1], q.free[:n-1]
		q.slots[k.slot] = e
	} else {
		k.slot = int32(len(q.slots))
		q.slots = append(q.slots, e)
	}
	h := append(q.heap, k)
	i := len(h) - 1
	for i > 0 {
		parent := (i - 1) / 4
		if !k.before(h[parent]) {
			break
		}
		h[i] = h[parent]
		i = parent
	}
	h[i] = k
	q.heap = h
}

// pop removes and returns the first event; the queue must not be empty.
func (q *eventQueue) pop() event {
	h := q.heap
	slot, last := h[0].slot, len(h)-1
	k := h[last]
	h = h[:last]
	i := 0
	for {
		minChild := 4*i + 1
		if minChild >= last {
			break
		}
		first := h[minChild]
		for j := minChild + 1; j < min(4*i+5, last); j++ {
			if o := h[j]; o.before(first) {
				minChild, first = j, o
			}
		}
		if !first.before(k) {
			break
		}
		h[i] = first
		i = minChild
	}
	if last > 0 {
		h[i] = k
	}
	q.heap = h
	e := q.slots[slot]
	q.slots[slot] = event{} // releases what the event points to
	q.free = append(q.free, slot)
	return e
}
