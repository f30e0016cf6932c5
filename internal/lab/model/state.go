package model

import (
	"strconv"
	"time"

	"portstall/internal/contract"
	"portstall/internal/state"
	"portstall/policy"
)

// Learner is a Decider whose learned state can be stored and handed to a successor.
type Learner interface {
	// LearnedState returns what the policy has learned.
	LearnedState() *policy.LearnedState
	// Adopt takes over the learned state l.
	Adopt(now time.Duration, l *policy.LearnedState)
}

// persistPeriodically persists a node's state and schedules the next call. It does nothing if the node has restarted.
func (sim *simulation) persistPeriodically(n *node, incarnation int32) {
	if n.up && n.incarnation == incarnation {
		sim.storeState(n)
		sim.schedule(sim.now+sim.scenario.State.Every, event{kind: evPersist, index: int32(n.index), generation: incarnation})
	}
}

// storeState persists a node's state, if the scenario has stored state, in the encoding of the real node.
func (sim *simulation) storeState(n *node) {
	learner, ok := n.decider.(Learner)
	if sim.scenario.State == nil || !n.up || !ok {
		return
	}
	learned := learner.LearnedState()
	s := state.Snapshot{Taken: epoch + sim.now, Fleet: "lab", Totals: learned.TotalStats}
	for _, k := range learned.Servers {
		s.Servers = append(s.Servers, state.Server{ID: strconv.FormatUint(uint64(k.ID), 10), Addr: "-",
			StartedMS: int64(k.Launched * 1e9), Stats: state.StatsOf(k.ServerStats)})
	}
	for _, c := range sim.scenario.Classes {
		s.Classes = append(s.Classes, state.Class{Name: c.Name, Stats: learned.Classes[c.Name]})
	}
	if n.ledger != nil {
		s.Contracts = n.ledger.States(sim.now)
	}
	text, err := state.Encode(&s)
	if err != nil {
		sim.err = err
	}
	n.storedState = text
}

// restoreState loads the stored state of a node that starts, and begins to persist its state.
func (sim *simulation) restoreState(n *node) {
	learner, ok := n.decider.(Learner)
	if sim.scenario.State == nil || !ok {
		return
	}
	sim.schedule(sim.now+sim.scenario.State.Every, event{kind: evPersist, index: int32(n.index), generation: n.incarnation})
	if n.storedState == nil {
		return
	}
	s, err := state.Decode(n.storedState)
	if err != nil {
		sim.err = err
		return
	}
	s.Age(state.LoadContext{Now: epoch + sim.now, Fleet: "lab", ColdFor: sim.settings.ColdFor})
	learner.Adopt(epoch+sim.now, s.LearnedState(func(stored *state.Server) (uint32, time.Duration, bool) {
		id, _ := strconv.ParseUint(stored.ID, 10, 32) // storeState wrote a decimal number
		return uint32(id), time.Duration(stored.StartedMS), true
	}))
	if n.ledger != nil {
		n.ledger.Restore(sim.now, s.Contracts, false)
	}
}

// upgradeNode replaces a running node by a successor process: the successor handles new requests, and the predecessor
// finishes those it has accepted. Learned state and contract states are handed over unless the scenario forgets them.
func (sim *simulation) upgradeNode(n *node) {
	if !n.up {
		return
	}
	old := n.decider
	next, err := sim.options.NewDecider(sim.settings, sim.scenario.Seed*1000003+uint64(n.index)*1009+uint64(sim.now))
	if err != nil {
		sim.err = err
		return
	}
	n.decider = next
	n.prober, _ = next.(Prober)
	n.pressure, _ = next.(PressureReporter)
	var list []policy.Entry
	for _, e := range n.entries {
		if e.State != policy.Removed {
			list = append(list, e)
		}
	}
	sim.handle(n, &policy.Event{Kind: policy.EvList, List: policy.ListCached, Entries: list})
	from, hasState := old.(Learner)
	to, adopts := next.(Learner)
	if hasState && adopts && !sim.scenario.Forgets {
		to.Adopt(epoch+sim.now, from.LearnedState())
	}
	if n.ledger != nil {
		states := n.ledger.States(sim.now)
		if sim.scenario.Forgets {
			states = nil
		}
		n.ledger = contract.NewLedger(sim.contracts, sim.now, 1/float64(len(sim.nodes)))
		n.ledger.Restore(sim.now, states, true)
	}
}
