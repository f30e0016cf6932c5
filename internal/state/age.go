package state

import (
	"fmt"
	"math"
	"time"

	"portstall/policy"
)

// How what was learnt fades: the policy's own times, since a snapshot that is read is as a node that heard nothing meanwhile.
const (
	sumsTau  = 3.0  // seconds; service times and counts
	roomTau  = 10.0 // occupancies that drew 'full', classes, shares of failures
	slotsTau = 60.0
	strain   = 0.7
)

const (
	// clockSlack is by how much a snapshot may come from the future: clocks of one machine that was set meanwhile.
	clockSlack = 2 * time.Second
	// tooOld is the age from which nothing that fades is worth reading.
	tooOld = time.Minute
	// longestEjection is how long a server is ejected at most.
	longestEjection = 10.0
)

// Reader says who reads a snapshot, and when.
type Reader struct {
	Now     time.Duration
	Fleet   string
	ColdFor time.Duration // a server that was put back by hand counts as cold for so long
}

// Drop is a part of a snapshot that is not used, and why.
type Drop struct{ Field, Why string }

// Age makes a snapshot that of its reader, and tells what it drops. Each field has its rule:
//
//	out by hand             never ages
//	put back by hand        to the end of its time cold; from a future clock it was put back just now
//	list                    any age: its version tells, and discovery is asked at once
//	open requests, keys     to their end; from a future clock none, as their end would not come
//	service times, bounds   fade as they do in a node; gone after a minute
//	queues, modes           while the queue can still be there: as long as it takes to clear
//	contracts               debts and counts of tries stay; credit only if the snapshot is exact
//	retry budget            goes over
//
// One of another fleet keeps nothing of servers, one of which the time can't be told nothing that fades.
func (s *Snapshot) Age(r Reader) (drops []Drop) {
	drop := func(field, why string, args ...any) { drops = append(drops, Drop{field, fmt.Sprintf(why, args...)}) }
	age := r.Now - s.Taken
	if s.Exact && (age < -clockSlack || age > 10*clockSlack) {
		s.shift(age) // both processes run now: it is their clocks that differ
		age = 0
	}
	if !s.Exact && s.Fleet != r.Fleet {
		drop("out, returned, list, learnt", "of another fleet, %q", s.Fleet)
		s.Out, s.Returned, s.Servers, s.Version, s.Keys, s.Open, s.Hearsay = nil, nil, nil, 0, nil, nil, nil
	}
	future := age < -clockSlack
	if future {
		drop("learnt, open, keys", "written %v from now on", -age)
		s.Open, s.Hearsay, s.Keys = nil, nil, nil
		for i := range s.Returned {
			s.Returned[i].At = r.Now
		}
	}
	s.Returned = keep(s.Returned, func(a At) bool { return r.Now-a.At < r.ColdFor })
	s.Open = keep(s.Open, func(a At) bool { return r.Now < a.At })
	s.Hearsay = keep(s.Hearsay, func(a At) bool { return r.Now < a.At })
	s.Keys = keep(s.Keys, func(k Key) bool { return r.Now < k.Until })
	if age > tooOld {
		drop("learnt", "%v old", age.Round(time.Second))
	}
	if future || age > tooOld {
		for i := range s.Servers {
			s.Servers[i].Known = nil
		}
		s.Classes, s.Totals = nil, policy.Totals{Retries: s.Totals.Retries}
	} else {
		s.fade(max(0, age).Seconds(), r.Now.Seconds())
	}
	if len(s.Contracts) > 0 && !s.Exact {
		drop("contracts", "what was left unused: it may have been spent since")
	}
	return drops
}

func keep[T any](list []T, ok func(T) bool) []T {
	var out []T
	for _, v := range list {
		if ok(v) {
			out = append(out, v)
		}
	}
	return out
}

// shift moves all times from the writer's clock to the reader's.
func (s *Snapshot) shift(by time.Duration) {
	s.Taken += by
	for _, list := range [][]At{s.Returned, s.Open, s.Hearsay} {
		for i := range list {
			list[i].At += by
		}
	}
	for i := range s.Keys {
		s.Keys[i].Until += by
	}
	for i := range s.Servers {
		if e := s.Servers[i].Known; e != nil {
			for _, t := range []*float64{&e.Ejected, &e.ReportAt, &e.FullAt, &e.LastOK} {
				if *t > 0 {
					*t = max(0, *t+by.Seconds())
				}
			}
		}
	}
}

// fade makes what was learnt older by so many seconds.
func (s *Snapshot) fade(dt, now float64) {
	f, slower, slowest := math.Exp(-dt/sumsTau), math.Exp(-dt/roomTau), math.Exp(-dt/slotsTau)
	for i := range s.Servers {
		e := s.Servers[i].Known
		if e == nil {
			continue
		}
		service := 0.1
		if e.Occupancy > 0 {
			service = e.Latency / e.Occupancy
		}
		e.Latency, e.Occupancy, e.Served = e.Latency*f, e.Occupancy*f, e.Served*f
		e.Room, e.Slots, e.Bad = e.Room/slower, e.Slots*slowest, e.Bad*slower
		e.Ejected = min(e.Ejected, now+longestEjection)
		e.ReportAt, e.FullAt, e.LastOK = min(e.ReportAt, now), min(e.FullAt, now), min(e.LastOK, now)
		if clear := max(0, e.Others) * service; now-e.ReportAt > clear+1 {
			e.Others, e.Mode = 0, 0
		}
		if now-e.FullAt > e.Full*service {
			e.Full, e.FullAt = 0, 0
		}
	}
	for i := range s.Classes {
		c := &s.Classes[i].Sums
		c.Requests, c.Latency, c.Answers = c.Requests*slower, c.Latency*slower, c.Answers*slower
	}
	t := &s.Totals
	t.Total, t.Lessers, t.Picks, t.Span, t.Seen = t.Total*slower, t.Lessers*slower, t.Picks*f, t.Span*f, t.Seen*f
	t.Strain *= math.Exp(-dt / strain)
	t.Retries = min(t.Retries, 10)
}
