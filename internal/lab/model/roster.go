package model

import (
	"time"

	"portstall/policy"
)

// roster is the service that lists the servers. It works through calls in turn.
type roster struct {
	entries []policy.Entry // by server's index
	log     []change
	down    int // faults that hold it down
	busy    time.Duration
}

type change struct {
	version int
	entry   policy.Entry
	index   int
}

// list lets the roster tell of a server's state after a while, unless it changes again before.
func (w *world) list(v *server, state policy.State, after time.Duration) {
	v.listing++
	w.at(w.now+after, event{kind: evPublish, a: int32(v.index), b: int32(state), gen: v.listing})
}

// publish takes a change into the list and tells those who watch.
func (w *world) publish(v *server, state policy.State, listing int32) {
	if listing != v.listing {
		return
	}
	r := &w.roster
	e := v.entry(state)
	if r.entries[v.index] == e {
		return
	}
	r.entries[v.index] = e
	r.log = append(r.log, change{len(r.log) + 1, e, v.index})
	if r.down > 0 {
		return
	}
	for _, n := range w.nodes {
		if n.up && n.watches {
			w.tellSoon(n)
		}
	}
}

// tellSoon lets a node's watch answer.
func (w *world) tellSoon(n *node) {
	w.at(w.now+20*time.Millisecond+w.delay(w.s.Network.OneWay), event{kind: evNews, a: int32(n.index), gen: n.life})
}

// call is a node's question for changes, or for the whole list.
func (w *world) call(n *node, whole bool) {
	r, set := &w.roster, &w.s.Roster
	if r.down > 0 {
		w.at(w.now+set.Timeout/2, event{kind: evLost, a: int32(n.index), gen: n.life})
		return
	}
	lines := len(r.log) - n.version
	if whole {
		lines = len(r.entries)
	}
	r.busy = max(r.busy, w.now) + set.CallTime + time.Duration(lines)*set.CallTime/100
	if r.busy-w.now > set.Timeout {
		r.busy -= set.CallTime + time.Duration(lines)*set.CallTime/100 // it gives up on it
		w.at(w.now+set.Timeout, event{kind: evLost, a: int32(n.index), gen: n.life})
		return
	}
	b := int32(0)
	if whole {
		b = 1
	}
	w.at(r.busy+w.delay(set.CallTime/10), event{kind: evCall, a: int32(n.index), b: b, gen: n.life})
}

// rosterDown ends all watches, or lets nodes ask again.
func (w *world) rosterDown(down bool) {
	r := &w.roster
	if !down {
		r.down--
		if r.down == 0 && w.s.Roster.Push {
			for _, n := range w.nodes {
				if n.up {
					w.tellSoon(n)
				}
			}
		}
		return
	}
	r.down++
	for _, n := range w.nodes {
		if n.up && n.watches && !w.s.Roster.Push {
			n.watches = false
			w.at(w.now, event{kind: evLost, a: int32(n.index), gen: n.life})
		}
	}
}

// news hands what the roster tells to a node.
func (w *world) news(n *node, e *event) {
	r := &w.roster
	ev := policy.Event{Kind: policy.EvList, List: policy.ListDelta}
	switch {
	case e.kind == evLost || r.down > 0 && e.kind == evCall:
		ev.List = policy.ListFailed
	case e.kind == evNews && (!n.watches || r.down > 0):
		return
	case e.kind == evCall && e.b == 1:
		ev.List = policy.ListFull
		for i := range r.entries {
			if r.entries[i].State != policy.Left {
				ev.Entries = append(ev.Entries, r.entries[i])
			}
			w.told(n, i, r.entries[i])
		}
		n.version = len(r.log)
	default:
		if e.kind == evCall {
			n.watches = true
		} else if n.version == len(r.log) {
			return
		}
		for _, c := range r.log[n.version:] {
			ev.Entries = append(ev.Entries, c.entry)
			w.told(n, c.index, c.entry)
		}
		n.version = len(r.log)
	}
	w.handle(n, &ev)
}

// told books what a node hears of a server.
func (w *world) told(n *node, index int, e policy.Entry) {
	if n.known[index] != e {
		if e.State != policy.Active && n.known[index].State == policy.Active {
			// As the node does: a tenth of the grace is for the news to come.
			w.at(w.now+w.s.Rules.DrainGrace*9/10+w.s.Rules.TunnelDrain, event{kind: evCut, a: int32(n.index), gen: n.life, b: int32(index)})
		}
		n.known[index] = e
		n.place(e)
		n.checker.listed(w, e)
		w.book.Told(w.now, n.index, e.ID, n.toldOut(index), since(e.Launched))
	}
}
