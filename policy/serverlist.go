package policy

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// handleList applies an update of the server list.
func (b *Balancer) handleList(now float64, ev *Event) {
	if ev.List == ListFailed {
		// All nodes lose the list at once: each subscribes again after a random delay, so that they don't do so
		// together.
		wait := min(resubscribeDelay, cmp.Or(b.settings.MustAskIn, time.Hour).Seconds()/3)
		b.resubscribeAt = now + wait*(0.5+b.rng.Float64())
		return
	}
	if ev.List == ListCached && b.settings.MustAsk {
		b.emit(Action{Kind: ActWatch})
	}
	if ev.List != ListDelta {
		graceUntil := 0.0
		if len(ev.Entries) == 0 && len(b.sorted) > 0 {
			// An empty list is more likely a fault of discovery than an empty fleet: fetch it once more, and use the
			// old one for as long as the rule on drains allows.
			graceUntil = now + b.settings.DrainGrace.Seconds()*0.8
			b.emit(Action{Kind: ActFetch})
			b.logf("the server list came empty; using the old one for its grace")
		}
		for _, s := range b.sorted {
			if s.State == Active {
				s.graceUntil = graceUntil
			}
			s.State = Removed // the listed ones are restored below
		}
		if graceUntil > 0 {
			return
		}
	}
	var added []*server
	incremental := ev.List == ListDelta && len(b.sorted) > maxFullScan && len(ev.Entries)*20 < len(b.sorted)
	for _, e := range ev.Entries {
		old := b.servers[e.ID]
		s := old
		if s == nil || e.Launched.Seconds() > s.launchedAt && e.State == Active {
			s = newServer(now, e.Launched.Seconds())
			s.disabled = old != nil && old.disabled // a restart does not enable it
			b.servers[e.ID] = s
			added = append(added, s)
		}
		if s != old && old != nil {
			b.relocateAttempts(e.ID, &e)
		}
		if e.Replaces != 0 {
			b.relocateAttempts(e.Replaces, &e)
		}
		if incremental && old != nil {
			b.updateIndexes(old, false)
		}
		s.Entry, s.graceUntil = e, 0
		if incremental {
			b.addServer(s)
		}
	}
	if !incremental { // otherwise the next refresh is early enough: a long list is not scanned for one entry
		b.rebuildIndexes(added...)
		b.refresh(now)
	}
}

// relocateAttempts corrects where open requests may have run: an attempt that was sent to a server's address after the
// process of entry e had started there reached that process, though the list of the time had another one.
func (b *Balancer) relocateAttempts(server uint32, e *Entry) {
	launched := e.Launched.Seconds()
	if launched <= 0 {
		return // when it started is not known
	}
	for _, r := range b.requests {
		for i := range r.attempts {
			a := &r.attempts[i]
			if a.server.ID != server || a.sentAt < launched {
				continue
			}
			a.location = location{e.Zone, e.Cell}
			if r.mayHaveRun && r.mayHaveRunAt == a.sentAt {
				r.mayHaveRunIn = a.location
			}
		}
	}
}

// addServer adds a server to a long list, with the statistics of its type. A server that was removed is dropped.
func (b *Balancer) addServer(s *server) {
	if s.State == Removed {
		delete(b.servers, s.ID)
		return
	}
	s.typeStats = cmp.Or(b.serverTypes[s.ServerType], b.allTypes) // until the next refresh, a new type has those of all
	s.applyType(b)
	b.updateIndexes(s, true)
}

// updateIndexes adds a server to the ordered lists that selections use, or removes it from them.
func (b *Balancer) updateIndexes(s *server, add bool) {
	b.sorted = updateSorted(b.sorted, s, add)
	b.byZone[s.Zone] = updateSorted(b.byZone[s.Zone], s, add)
	b.byCell[s.Cell] = updateSorted(b.byCell[s.Cell], s, add)
}

func byID(x, y *server) int { return cmp.Compare(x.ID, y.ID) }

// updateSorted adds a server to a list ordered by id, or removes it, and returns the list.
func updateSorted(list []*server, s *server, add bool) []*server {
	i, found := slices.BinarySearchFunc(list, s, byID)
	switch {
	case add && !found:
		return slices.Insert(list, i, s)
	case !add && found:
		return slices.Delete(list, i, i+1)
	}
	return list
}

// newServer returns a server that was started at the given time and has no statistics yet.
func newServer(now, launchedAt float64) *server {
	inf := math.Inf(1)
	return &server{launchedAt: launchedAt, laggedAt: now,
		ServerStats: ServerStats{MinRejectedOccupancy: inf, MinTypeServiceTime: inf, ReportAt: now, LastSuccessAt: now}}
}

// handleEnable enables a server that an operator had disabled. It may have been restarted meanwhile, which the list
// announces late or not at all, so it is treated as one that starts now.
func (b *Balancer) handleEnable(now float64, ev *Event) {
	old := b.servers[ev.Server]
	if old == nil || !old.disabled {
		return
	}
	s := newServer(now, now)
	s.Entry, s.graceUntil, s.weightReduction, s.maxConcurrent = old.Entry, old.graceUntil, old.weightReduction,
		old.maxConcurrent
	b.servers[ev.Server] = s // pending attempts keep their references to the old one
	b.rebuildIndexes(s)
	b.refresh(now)
}

// rebuildIndexes drops the servers that were removed or restarted, adds the given ones, and orders the lists by id.
func (b *Balancer) rebuildIndexes(added ...*server) {
	// Pending attempts keep their references to the servers that are dropped.
	maps.DeleteFunc(b.servers, func(_ uint32, s *server) bool { return s.State == Removed })
	b.sorted = slices.DeleteFunc(append(b.sorted, added...), func(s *server) bool { return b.servers[s.ID] != s })
	slices.SortFunc(b.sorted, byID)
	b.byZone, b.byCell = map[string][]*server{}, map[int64][]*server{}
	if len(b.sorted) > maxFullScan { // only selections from a long list use them
		for _, s := range b.sorted {
			b.byZone[s.Zone], b.byCell[s.Cell] = append(b.byZone[s.Zone], s), append(b.byCell[s.Cell], s)
		}
	}
}
