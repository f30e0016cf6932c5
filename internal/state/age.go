package state

import (
	"fmt"
	"math"
	"time"

	"portstall/policy"
)

// Time constants, in seconds, with which the learned state of a snapshot decays. They equal those of the policy, since
// a snapshot that is read is like the state of a node that has received nothing in the meantime.
const (
	// sumsTimeConstant is for service times and counts.
	sumsTimeConstant = 3.0
	// capacityTimeConstant is for occupancies at which a server reported a full queue, classes and shares of failures.
	capacityTimeConstant = 10.0
	// slotsTimeConstant is for the largest number of attempts that a server had in work at once.
	slotsTimeConstant = 60.0
	// pressureTimeConstant is for the share of initial selections that found no server in normal mode.
	pressureTimeConstant = 0.7
)

const (
	// clockTolerance is how far in the future a snapshot may have been taken: the clock of a machine may have been set
	// since.
	clockTolerance = 2 * time.Second
	// maxFadingAge is the age beyond which a snapshot's decaying values are not used.
	maxFadingAge = time.Minute
	// maxEjection limits the time for which a server stays ejected, in seconds.
	maxEjection = 10.0
)

// LoadContext holds what Age needs to know about the node that reads a snapshot.
type LoadContext struct {
	Now     time.Duration // on the node's clock
	Fleet   string        // see Snapshot.Fleet
	ColdFor time.Duration // how long a server that was enabled by an operator counts as cold
}

// DroppedPart names a part of a snapshot that is not used, and the reason. Both are texts for people.
type DroppedPart struct{ Field, Reason string }

// Age changes a snapshot to what is valid for its reader at the time of reading, and returns the parts that it drops.
// Each field has its rule:
//
//	disabled by an operator  never expires
//	enabled by an operator   until the server's time as cold ends; if written in the future, it was enabled just now
//	server list              any age: it has a version, and discovery is asked for a newer list at once
//	open requests, keys      until each one's end; if written in the future none, as their end would not come
//	service times, limits    decay as they do in a node; dropped after a minute
//	queues, modes            as long as the queue can still exist: the time that it takes to clear
//	contracts                debts and counts of attempts stay; unused quota only if the snapshot is exact
//	retry budget             stays, up to a maximum
//
// From a snapshot of another fleet no state of servers is used; from one written in the future, no decaying values.
func (s *Snapshot) Age(r LoadContext) (drops []DroppedPart) {
	drop := func(field, why string, args ...any) {
		drops = append(drops, DroppedPart{field, fmt.Sprintf(why, args...)})
	}
	age := r.Now - s.Taken
	if s.Exact && (age < -clockTolerance || age > 10*clockTolerance) {
		s.shiftClock(age) // writer and reader run at the same time, so their clocks differ
		age = 0
	}
	if !s.Exact && s.Fleet != r.Fleet {
		drop("disabled and enabled servers, server list, learned state", "written for another fleet, %q", s.Fleet)
		s.Disabled, s.Enabled, s.Servers, s.ListVersion, s.Keys, s.OpenRequests, s.PeerOpenRequests = nil, nil, nil, 0, nil, nil, nil
	}
	future := age < -clockTolerance
	if future {
		drop("learned state, open requests, keys", "written %v in the future", -age)
		s.OpenRequests, s.PeerOpenRequests, s.Keys = nil, nil, nil
		for i := range s.Enabled {
			s.Enabled[i].At = r.Now
		}
	}
	s.Enabled = filter(s.Enabled, func(a TimedID) bool { return r.Now-a.At < r.ColdFor })
	s.OpenRequests = filter(s.OpenRequests, func(a TimedID) bool { return r.Now < a.At })
	s.PeerOpenRequests = filter(s.PeerOpenRequests, func(a TimedID) bool { return r.Now < a.At })
	s.Keys = filter(s.Keys, func(k KeyRecord) bool { return r.Now < k.Until })
	if age > maxFadingAge {
		drop("learned state", "%v old", age.Round(time.Second))
	}
	if future || age > maxFadingAge {
		for i := range s.Servers {
			s.Servers[i].Stats = nil
		}
		s.Classes, s.Totals = nil, policy.TotalStats{Retries: s.Totals.Retries}
	} else {
		s.fade(max(0, age).Seconds(), r.Now.Seconds())
	}
	if len(s.Contracts) > 0 && !s.Exact {
		drop("contracts", "unused quota: it may have been spent since the snapshot")
	}
	return drops
}

// filter returns the elements of a list that are wanted.
func filter[T any](list []T, wanted func(T) bool) []T {
	var out []T
	for _, v := range list {
		if wanted(v) {
			out = append(out, v)
		}
	}
	return out
}

// shiftClock moves all times of a snapshot from the writer's clock to the reader's.
func (s *Snapshot) shiftClock(by time.Duration) {
	s.Taken += by
	for _, list := range [][]TimedID{s.Enabled, s.OpenRequests, s.PeerOpenRequests} {
		for i := range list {
			list[i].At += by
		}
	}
	for i := range s.Keys {
		s.Keys[i].Until += by
	}
	for i := range s.Servers {
		if stats := s.Servers[i].Stats; stats != nil {
			for _, t := range []*float64{&stats.EjectedUntil, &stats.ReportAt, &stats.RejectedAt, &stats.LastSuccessAt} {
				if *t > 0 {
					*t = max(0, *t+by.Seconds())
				}
			}
		}
	}
}

// fade ages the decaying values by dt seconds; now is the reader's time in seconds. An ejection ends maxEjection from
// now at the latest. Queues are dropped, with their modes, once they must have cleared.
func (s *Snapshot) fade(dt, now float64) {
	sumsDecay, capacityDecay, slotsDecay := math.Exp(-dt/sumsTimeConstant), math.Exp(-dt/capacityTimeConstant),
		math.Exp(-dt/slotsTimeConstant)
	for i := range s.Servers {
		stats := s.Servers[i].Stats
		if stats == nil {
			continue
		}
		serviceTime := 0.1 // seconds a request, if no response has been measured
		if stats.Occupancy > 0 {
			serviceTime = stats.Latency / stats.Occupancy
		}
		stats.Latency, stats.Occupancy, stats.SuccessCount = stats.Latency*sumsDecay, stats.Occupancy*sumsDecay, stats.SuccessCount*sumsDecay
		stats.MinRejectedOccupancy, stats.MaxInWork, stats.FailureShare = stats.MinRejectedOccupancy/capacityDecay,
			stats.MaxInWork*slotsDecay, stats.FailureShare*capacityDecay
		stats.EjectedUntil = min(stats.EjectedUntil, now+maxEjection)
		stats.ReportAt, stats.RejectedAt, stats.LastSuccessAt = min(stats.ReportAt, now), min(stats.RejectedAt, now), min(stats.LastSuccessAt, now)
		if drainTime := max(0, stats.RemoteLoad) * serviceTime; now-stats.ReportAt > drainTime+1 {
			stats.RemoteLoad, stats.Mode = 0, 0
		}
		if now-stats.RejectedAt > stats.RejectedOccupancy*serviceTime {
			stats.RejectedOccupancy, stats.RejectedAt = 0, 0
		}
	}
	for i := range s.Classes {
		class := &s.Classes[i].Stats
		class.Requests, class.Latency, class.Responses = class.Requests*capacityDecay, class.Latency*capacityDecay, class.Responses*capacityDecay
	}
	totals := &s.Totals
	totals.RequestCount, totals.LowPriorityCount, totals.InitialSelections, totals.SelectionSpan, totals.LoadReports =
		totals.RequestCount*capacityDecay, totals.LowPriorityCount*capacityDecay,
		totals.InitialSelections*sumsDecay, totals.SelectionSpan*sumsDecay, totals.LoadReports*sumsDecay
	totals.NoNormalShare *= math.Exp(-dt / pressureTimeConstant)
	totals.Retries = min(totals.Retries, 10) // maxSavedRetries of the policy
}
