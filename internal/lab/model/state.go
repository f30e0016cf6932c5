package model

import (
	"strconv"
	"time"

	"portstall/internal/contract"
	"portstall/internal/state"
	"portstall/policy"
)

// Learns is a Decider that gives and takes what it has learnt.
type Learns interface {
	Learnt() *policy.Learnt
	Adopt(now time.Duration, l *policy.Learnt)
}

// keep writes a node's state down, and again after a while.
func (w *world) keep(n *node, life int32) {
	if n.up && n.life == life {
		w.write(n)
		w.at(w.now+w.s.State.Every, event{kind: evKeep, a: int32(n.index), gen: life})
	}
}

// write writes a node's state down, where the scenario keeps one, as the node itself does: by the codec.
func (w *world) write(n *node) {
	d, learns := n.d.(Learns)
	if w.s.State == nil || !n.up || !learns {
		return
	}
	learnt := d.Learnt()
	s := state.Snapshot{Taken: epoch + w.now, Fleet: "lab", Totals: learnt.Totals}
	for _, k := range learnt.Servers {
		s.Servers = append(s.Servers, state.Server{ID: strconv.FormatUint(uint64(k.ID), 10), Addr: "-", Started: int64(k.Launched * 1e9), Known: state.Of(k.Evidence)})
	}
	for _, c := range w.s.Classes {
		s.Classes = append(s.Classes, state.Class{Name: c.Name, Sums: learnt.Classes[c.Name]})
	}
	if n.ledger != nil {
		s.Contracts = n.ledger.Left(w.now)
	}
	text, err := state.Encode(&s)
	if err != nil {
		w.err = err
	}
	n.kept = text
}

// awake lets a node that starts take up what was written down, and begin to write.
func (w *world) awake(n *node) {
	d, learns := n.d.(Learns)
	if w.s.State == nil || !learns {
		return
	}
	w.at(w.now+w.s.State.Every, event{kind: evKeep, a: int32(n.index), gen: n.life})
	if n.kept == nil {
		return
	}
	s, err := state.Decode(n.kept)
	if err != nil {
		w.err = err
		return
	}
	s.Age(state.Reader{Now: epoch + w.now, Fleet: "lab", ColdFor: w.set.ColdFor})
	d.Adopt(epoch+w.now, s.Learnt(func(v *state.Server) (uint32, time.Duration, bool) {
		id, _ := strconv.ParseUint(v.ID, 10, 32) // written above
		return uint32(id), time.Duration(v.Started), true
	}))
	if n.ledger != nil {
		n.ledger.Resume(w.now, s.Contracts, false)
	}
}

// upgrade lets a successor take over from a node that runs: what is new is the successor's, what was taken is finished by the old
// process.
func (w *world) upgrade(n *node) {
	if !n.up {
		return
	}
	old := n.d
	next, err := w.opt.Make(w.set, w.s.Seed*1000003+uint64(n.index)*1009+uint64(w.now))
	if err != nil {
		w.err = err
		return
	}
	n.d = next
	n.prober, _ = next.(Prober)
	n.strain, _ = next.(Strained)
	var list []policy.Entry
	for _, e := range n.known {
		if e.State != policy.Left {
			list = append(list, e)
		}
	}
	w.handle(n, &policy.Event{Kind: policy.EvList, List: policy.ListCached, Entries: list})
	from, learns := old.(Learns)
	to, takes := next.(Learns)
	if learns && takes && !w.s.Forgets {
		to.Adopt(epoch+w.now, from.Learnt())
	}
	if n.ledger != nil {
		left := n.ledger.Left(w.now)
		if w.s.Forgets {
			left = nil
		}
		n.ledger = contract.NewLedger(w.contracts, w.now, 1/float64(len(w.nodes)))
		n.ledger.Resume(w.now, left, true)
	}
}
