package policy

import (
	"cmp"
	"slices"
)

// capacityShare returns the least share of its full capacity that a server has, by the time since its start.
func (b *Balancer) capacityShare(s *server, now float64) float64 {
	age, coldFor := now-s.launchedAt, b.settings.ColdFor.Seconds()
	if s.launchedAt <= 0 || age >= coldFor {
		return 1
	}
	return b.settings.ColdShare + (1-b.settings.ColdShare)*max(0, age)/coldFor
}

// eligible reports whether a request may go to a server at all, whatever its mode.
func (b *Balancer) eligible(now float64, r *request, s *server) bool {
	if s.disabled || s.State != Active && now >= s.graceUntil {
		return false
	}
	if now < s.EjectedUntil || s.Trial && s.localInFlight > 0 || s == r.lastTried {
		return false
	}
	return !r.mayHaveRun || r.class.Effect != Keyed || r.mayHaveRunIn.sharesKeys(r.class, s)
}

// selectServer selects a server in the given mode or a better one at random, with weights that fall with the expected
// delay. It returns nil if there is none.
func (b *Balancer) selectServer(now float64, r *request, maxMode Mode) *server {
	var chosen, spare *server
	candidates, weightSum, initial := b.candidates(r), 0.0, maxMode == overload && len(r.attempts) == 0
	if initial {
		b.InitialSelections, b.selectionsSinceRefresh = b.InitialSelections+1, b.selectionsSinceRefresh+1
	}
	first, position, step, sampledShare, count := 0, 0, 1, 1.0, len(candidates)
	if count > maxFullScan {
		// The step has no common divisor with the count: each candidate is equally likely to be sampled, and none twice.
		for position, step = b.rng.IntN(count), count; gcd(step, count) > 1; step = 1 + b.rng.IntN(count-1) {
		}
		sampledShare = sampleSize / float64(count)
		if r.candidates == nil { // also look at the recently selected ones; a request's own candidates may lack them
			first = -len(b.recentlySelected)
		}
	}
	for i := first; i < count; i++ {
		if count > maxFullScan && i > 0 && i%sampleSize == 0 && (chosen != nil || i == maxSampled) {
			break
		}
		var s *server
		if i < 0 {
			if s = b.recentlySelected[-1-i]; s == nil || b.servers[s.ID] != s || b.capacityShare(s, now) < 1 {
				continue
			}
		} else {
			s, position = candidates[position], (position+step)%count
			if first < 0 && slices.Contains(b.recentlySelected[:], s) && b.capacityShare(s, now) == 1 {
				continue // it has been looked at already
			}
		}
		occupancy, service := s.updateMode(now, b)
		if s.Mode > maxMode || !b.eligible(now, r, s) || s.maxConcurrent > 0 && occupancy >= s.maxConcurrent {
			continue
		}
		if capacity := b.capacityShare(s, now); capacity < 1 {
			// A cold server gets a fixed share of each node's requests, so that it is not overloaded: its share of
			// capacity times what a warm one serves, times a share of the multiple under which it collapses. The rest
			// of that multiple is for bursts and for servers slower than their type. No budget is saved up: budgets
			// that hundreds of nodes begin at the same start would all be spent at the same time. In a sampled list,
			// the share is divided by the probability that the server is sampled. Only the initial selection of a
			// request counts: the others come in bursts, and all at once, when the warm servers fill.
			if initial && (count <= maxFullScan || i < sampleSize) &&
				b.rng.Float64() < s.warmShare*capacity*b.settings.FallFactor*coldLoadShare/sampledShare {
				return s
			}
			// Where there are few nodes, it may also get a request that no other server accepts. A limit on the requests
			// in flight from all nodes together makes sure that it gets them only as fast as it responds. The limit is
			// half of the load beyond its capacity that it can take without a collapse.
			maxInFlight := max(1, (b.settings.FallFactor-1)/2*capacity*b.settings.FallFor.Seconds()/s.typeServiceTime)
			idle := s.Mode == normal && s.localInFlight < max(1, maxInFlight/float64(b.settings.Nodes)) &&
				occupancy < maxInFlight
			if idle && b.settings.Nodes <= maxSpareNodes && (spare == nil || b.rng.Float64() < 0.5) {
				spare = s
			}
			continue
		}
		// Other nodes see the same and act alike, so a local attempt stands for one of each node. Without this, many
		// nodes with few attempts each would choose the same servers by random variation, and one that stops responding
		// would fill.
		delay := max(service*(occupancy+1+s.localInFlight*float64(b.settings.Nodes-1)), 1e-3)
		delay *= delay
		delay *= delay
		weight := 1 / (delay * delay) // the eighth power gives the faster servers nearly all requests
		if s.inLocalZone {
			weight *= localZoneWeight
		}
		weight *= 1 - s.weightReduction
		weightSum += weight
		if b.rng.Float64()*weightSum < weight { // in the end each is chosen in proportion to its weight
			chosen = s
		}
	}
	if first < 0 && chosen != nil && !slices.Contains(b.recentlySelected[:], chosen) {
		b.recentlySelected[b.rng.IntN(len(b.recentlySelected))] = chosen
	}
	return cmp.Or(chosen, spare)
}

// candidates returns the servers among which a request's server is selected: those that the request is limited to, or
// all. From a long list a keyed request that may have run gets only the servers that it may be sent to again, as
// sampling would miss them; in a short one eligible excludes the others.
func (b *Balancer) candidates(r *request) []*server {
	if r.candidates != nil {
		b.candidateBuffer = b.candidateBuffer[:0]
		for _, id := range r.candidates {
			if s := b.servers[id]; s != nil {
				b.candidateBuffer = append(b.candidateBuffer, s)
			}
		}
		return b.candidateBuffer
	}
	if r.mayHaveRun && r.class.Effect == Keyed && len(b.sorted) > maxFullScan {
		switch r.class.Group {
		case GroupZone:
			return b.byZone[r.mayHaveRunIn.zone]
		case GroupCell:
			return b.byCell[r.mayHaveRunIn.cell]
		}
	}
	return b.sorted
}

func gcd(x, y int) int {
	for y > 0 {
		x, y = y, x%y
	}
	return x
}
