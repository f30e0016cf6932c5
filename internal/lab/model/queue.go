package model

import "time"

// queue holds the events to come. Its heap is of small keys, each of which has four below it: events themselves are moved
// in and out once.
type queue struct {
	heap  []key
	slots []event
	free  []int32 // slots in no use
	seq   uint64
}

// key tells an event's turn: by its time, by the rank of its sort within that, and by when it was scheduled.
type key struct {
	at    time.Duration
	order uint64 // the rank in the highest byte, above the number of the scheduling
	slot  int32
}

func (k key) before(o key) bool { return k.at < o.at || k.at == o.at && k.order < o.order }

func (q *queue) len() int { return len(q.heap) }

// push takes an event whose time is set.
func (q *queue) push(e event) {
	k := key{at: e.at, order: uint64(rank[e.kind])<<56 | q.seq}
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
		up := (i - 1) / 4
		if !k.before(h[up]) {
			break
		}
		h[i] = h[up]
		i = up
	}
	h[i] = k
	q.heap = h
}

// pop takes the first event out; there must be one.
func (q *queue) pop() event {
	h := q.heap
	slot, last := h[0].slot, len(h)-1
	k := h[last]
	h = h[:last]
	i := 0
	for {
		least := 4*i + 1
		if least >= last {
			break
		}
		first := h[least]
		for j := least + 1; j < min(4*i+5, last); j++ {
			if o := h[j]; o.before(first) {
				least, first = j, o
			}
		}
		if !first.before(k) {
			break
		}
		h[i] = first
		i = least
	}
	if last > 0 {
		h[i] = k
	}
	q.heap = h
	e := q.slots[slot]
	q.slots[slot] = event{} // what it points to may go
	q.free = append(q.free, slot)
	return e
}
