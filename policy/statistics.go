package policy

import (
	"cmp"
	"math"
)

// refresh runs a few times per second: it ages the statistics and recomputes the values that selections use.
func (b *Balancer) refresh(now float64) {
	all := &serverType{}
	b.allTypes, b.serverTypes = all, map[string]*serverType{}
	dt := max(now-b.lastRefreshAt, 1e-3)
	b.lastRefreshAt = now
	decay, growth, slotsDecay := math.Exp(-dt/rateTimeConstant), math.Exp(dt/longTimeConstant),
		math.Exp(-dt/slotsTimeConstant)
	b.LoadReports *= decay
	b.NoNormalShare *= math.Exp(-dt / pressureTimeConstant) // otherwise a node that refuses all requests would never stop
	b.InitialSelections, b.SelectionSpan = b.InitialSelections*decay, b.SelectionSpan*decay+rateTimeConstant*(1-decay)
	b.selectionRate, b.selectionsSinceRefresh, b.statsStart =
		b.selectionRate+(b.selectionsSinceRefresh/dt-b.selectionRate)*(1-math.Exp(-dt/riseTimeConstant)), 0,
		cmp.Or(b.statsStart, now)
	for _, s := range b.sorted {
		s.Latency, s.Occupancy, s.SuccessCount = s.Latency*decay, s.Occupancy*decay, s.SuccessCount*decay
		s.MinRejectedOccupancy *= growth
		s.MaxInWork *= slotsDecay
		t := b.serverTypes[s.ServerType]
		if t == nil {
			t = &serverType{}
			b.serverTypes[s.ServerType] = t
		}
		s.typeStats = t
		for _, stats := range [...]*serverType{t, all} {
			stats.latency += s.Latency
			if s.ReportedServiceTime > 0 {
				stats.reportedServiceTimes += s.ReportedServiceTime
				stats.reportingServers++
			}
			stats.occupancy += s.Occupancy
			if s.State == Active && !s.disabled && now >= s.EjectedUntil && b.capacityShare(s, now) == 1 {
				stats.served += s.SuccessCount
				stats.warmServers++
			}
		}
	}
	fleetServiceTime := (all.latency + priorRequests*initialServiceTime) / (all.occupancy + priorRequests)
	all.derive(b, all, fleetServiceTime)
	for _, t := range b.serverTypes {
		t.derive(b, all, fleetServiceTime)
	}
	local, remote := 1.0, float64(b.settings.Nodes-1) // requests in flight of this node and of the others
	for _, s := range b.sorted {
		s.applyType(b)
		local += s.laggedInFlight
		remote += max(0, s.RemoteLoad)
	}
	b.trafficShare = local / (local + remote)
	for _, t := range b.tenants {
		t.arrivalRate, t.arrivals = t.arrivalRate*decay+t.arrivals/dt*(1-decay), 0
	}
	b.classifyClasses(math.Exp(-dt / longTimeConstant))
}

// derive computes the values for each server of a type from the type's sums; all holds the sums over all servers.
func (t *serverType) derive(b *Balancer, all *serverType, fleetServiceTime float64) {
	t.serviceTime = (t.latency + priorRequests*fleetServiceTime) / (t.occupancy + priorRequests)
	t.meanReportedServiceTime = math.Inf(1)
	if t.reportingServers > 0 {
		t.meanReportedServiceTime = t.reportedServiceTimes / t.reportingServers
	}
	// The selections of a node that has just started were counted over less than the long-term span.
	span := b.SelectionSpan * (1 - math.Exp((b.statsStart-b.lastRefreshAt)/rateTimeConstant))
	// Where no server is warm: as if all nodes together sent each one request after the other.
	t.warmShare = span / t.serviceTime / float64(b.settings.Nodes)
	if t.warmServers > 0 {
		t.warmShare = t.served / t.warmServers
	} else if all.warmServers > 0 {
		t.warmShare = all.served / all.warmServers / 2 // this type may be slower
	}
	// Hundreds of nodes see a rise of their selections at the same time, and by the long-term count alone each of them
	// would see it too late. A rise of more than a standard deviation counts in full: random variation evens out among
	// the nodes, while a rise that all of them have adds up.
	selections := b.InitialSelections + 1
	if (b.selectionRate-math.Sqrt(b.selectionRate/2/riseTimeConstant))*span > selections {
		selections = b.selectionRate * span
	}
	t.warmShare /= selections
}

// applyType copies the values of a server's type to the server, and notes whether it is in this node's zone.
func (s *server) applyType(b *Balancer) {
	s.typeServiceTime, s.warmShare, s.MinTypeServiceTime = s.typeStats.serviceTime, s.typeStats.warmShare,
		min(s.MinTypeServiceTime, s.typeStats.meanReportedServiceTime)
	s.inLocalZone = s.Zone == b.settings.Zone
}
