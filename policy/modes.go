package policy

import "math"

// Mode is the overload mode of a server; see the package comment.
type Mode uint8

const (
	normal Mode = iota
	overload
	discard
)

// updateLagged moves laggedInFlight towards localInFlight, so that it approximates the number of attempts that were in
// flight when the latest report was made.
func (s *server) updateLagged(now float64) {
	s.laggedInFlight += (s.localInFlight - s.laggedInFlight) * (1 - math.Exp((s.laggedAt-now)/reportLagTimeConstant))
	s.laggedAt = now
}

// estimateOccupancy estimates the present occupancy: that of the report, and this node's sends that the report does not
// include yet. One of hundreds of nodes gets a report of a server every tens of seconds only, so an old report fades
// towards the mean of the recent ones of all servers. If it faded to zero, the least known server would look best.
func (b *Balancer) estimateOccupancy(s *server, now float64) float64 {
	s.updateLagged(now)
	n := max(0, b.MeanRemoteLoad+(s.RemoteLoad-b.MeanRemoteLoad)*math.Exp((s.ReportAt-now)/reportFadeTimeConstant)+
		s.localInFlight)
	if s.RejectedOccupancy > 0 {
		n = max(n, s.RejectedOccupancy-(now-s.RejectedAt)/b.serviceTime(s)) // it can't have completed more requests since then
	}
	return n
}

// serviceTime returns the time that a server needs for each request that it holds. One node sees few responses of each
// server, and their costs vary widely, so they are averaged with those of its server type.
func (b *Balancer) serviceTime(s *server) float64 {
	return (s.Latency + priorRequests*s.typeServiceTime) / (s.Occupancy + priorRequests)
}

// discardThreshold returns R: the number of requests that a server completes in half the shortest specified deadline,
// limited to the occupancy at which it rejected a request as full.
func (s *server) discardThreshold(b *Balancer, service float64) float64 {
	return max(min(s.MinRejectedOccupancy, b.halfMinDeadline/service), s.onsetFloor()/onset)
}

// onsetThreshold returns H for a given R. A server never gets more requests than it completes in a share of the
// shortest target latency: work on a response past its target latency is wasted, however long the deadline.
func (s *server) onsetThreshold(b *Balancer, r, service float64) float64 {
	return max(min(onset*r, onsetQueueFullShare*s.MinRejectedOccupancy, onsetTargetShare*b.minTargetLatency/service),
		s.onsetFloor())
}

// onsetFloor returns the value that H never falls below: the number of requests that a server was seen to have in work
// at once. Up to that number nothing waits, however long each request takes. A few requests with nothing waiting make
// the service time look long, and with it H low: a node that refused requests for that reason would never see better
// values.
func (s *server) onsetFloor() float64 {
	return max(minOnset, min(s.MaxInWork, onsetQueueFullShare*s.MinRejectedOccupancy))
}

// updateMode moves a server between its modes, and returns its occupancy and service time.
func (s *server) updateMode(now float64, b *Balancer) (occupancy, service float64) {
	n, service := b.estimateOccupancy(s, now), b.serviceTime(s)
	r := s.discardThreshold(b, service)
	h := s.onsetThreshold(b, r, service)
	if s.Mode == normal && n >= h || s.Mode == discard && n < h {
		s.Mode = overload
	}
	if s.Mode == overload && n >= r {
		s.Mode = discard
	}
	if s.Mode == discard && now-max(s.ReportAt, s.RejectedAt) > r*service {
		s.Mode = overload // requests that pass bring a new report
	}
	if s.Mode == overload && n < h*abatement/onset {
		s.Mode = normal
	}
	return n, service
}
