package policy

import "math"

// recordOutcome updates a server's statistics by the outcome of an attempt.
func (b *Balancer) recordOutcome(now float64, s *server, r *request, ev *Event) {
	s.updateLagged(now)
	s.localInFlight = max(0, s.localInFlight-1)
	elapsed := max(0, ev.Elapsed.Seconds())
	n := max(ev.Load.Queue, ev.Load.Held, 0)
	if work := ev.Load.Work; ev.Load.Held < 0 && work > 0 && work < math.MaxInt32 && b.capacityShare(s, now) == 1 {
		// Where only the queue is reported, a server with many slots can be overloaded by the requests in work while
		// none waits. Requests then take many times as long as at their best.
		if s.ReportedServiceTime == 0 {
			s.ReportedServiceTime = work
		}
		s.ReportedServiceTime += (work - s.ReportedServiceTime) * (1 - math.Exp((s.ReportAt-now)/remoteLoadTimeConstant))
		n += max(0, s.ReportedServiceTime/s.MinTypeServiceTime/contentionFactor-1)
	}
	if queue, held := ev.Load.Queue, ev.Load.Held; queue >= 0 && held-queue < math.MaxInt32 {
		s.MaxInWork = max(s.MaxInWork, held-queue) // the requests in work at once
	}
	if ev.Load.Known && n < math.MaxInt32 { // and not NaN
		b.heldReported = ev.Load.Held >= 0
		s.RemoteLoad += (n - s.laggedInFlight - s.RemoteLoad) * (1 - math.Exp((s.ReportAt-now)/remoteLoadTimeConstant))
		s.ReportAt = now
		b.LoadReports++
		b.MeanRemoteLoad += (max(0, n-s.laggedInFlight) - b.MeanRemoteLoad) / b.LoadReports
	}
	switch ev.Outcome {
	case OK:
		s.LastSuccessAt = now
		s.SuccessCount++
		s.FailureShare *= 1 - 1/failureTimeConstant
		if s.Trial && s.FailureShare < ejectionFailureShare { // also if the attempt was in flight before the ejection
			s.Trial, s.Ejections, s.EjectedUntil = false, 0, now
			b.logf("backend %d answers again", s.ID)
		}
		b.recordLatency(s, r, ev.Attempt, elapsed)
	case QueueFull:
		// A draining or broken server rejects requests with nothing waiting: that shows no limit.
		if n := b.estimateOccupancy(s, now) + 1; n >= minOnset {
			s.MinRejectedOccupancy = min(s.MinRejectedOccupancy, n)
		}
		// A rejection is the most recent report possible: R is reached, whatever older reports still arrive. Without
		// this a full server would look best, as requests that it rejects at once never count as in flight. Where no
		// deadline is specified and no limit was seen, there is no known R that it could have reached.
		if full := s.discardThreshold(b, b.serviceTime(s)); !math.IsInf(full, 1) {
			s.RejectedOccupancy, s.RejectedAt = full, now
		}
		// A draining server rejects all requests until the list announces the drain; an overloaded one still serves
		// others.
		if s.LastSuccessAt < now-silenceTimeout {
			b.recordFailure(now, s, unreachableTimeConstant)
		}
	case TimedOut:
		// The true latency exceeds the timeout; recorded as it was seen, it would make a slow server look as good as
		// the timeout.
		b.recordLatency(s, r, ev.Attempt, 2*elapsed)
		s.RemoteLoad++ // the server may well go on with the request; the next reports will show it
		// A slow server still responds to some requests; one without any response meanwhile is unhealthy, not slow.
		if s.LastSuccessAt < now-max(elapsed, silenceTimeout) {
			b.recordFailure(now, s, unreachableTimeConstant)
		}
	case ConnectFailed:
		b.recordFailure(now, s, unreachableTimeConstant)
	case Failed, Reset:
		b.recordFailure(now, s, failureTimeConstant)
	}
	s.updateMode(now, b)
}

// recordLatency records the latency of attempt i against the server's occupancy at its send. With the occupancy at the
// response, a server that fills up would look fast, as its quick responses come first.
func (b *Balancer) recordLatency(s *server, r *request, i int, elapsed float64) {
	s.Latency += elapsed
	s.Occupancy += r.attempts[i].occupancy
	r.class.Latency += elapsed
	r.class.Responses++
}

// recordFailure counts a failed attempt with the given time constant, in attempts. A broken server can look best (fast
// errors, an empty queue), so one that fails too often is ejected for a growing time and comes back with one attempt at
// a time. However many servers are ejected, the others are not overloaded: requests beyond their capacity are
// refused because of their modes.
func (b *Balancer) recordFailure(now float64, s *server, timeConstant float64) {
	s.FailureShare = min(maxFailureShare, s.FailureShare+(1-s.FailureShare)/timeConstant)
	if now < s.EjectedUntil || !s.Trial && s.FailureShare < ejectionFailureShare {
		return
	}
	s.Ejections++
	s.EjectedUntil = now + min(maxEjection, minEjection*math.Pow(2, float64(s.Ejections-1)))*(0.75+0.5*b.rng.Float64())
	s.Trial = true
	b.logf("backend %d ejected for %.1f s: too many attempts failed", s.ID, s.EjectedUntil-now)
}
