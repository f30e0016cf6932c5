package health

import (
	"container/heap"
	"math"
	"time"
)

// Pace is how often servers are probed.
type Pace struct {
	Interval  time.Duration // where nothing is known of a server
	Calm      float64       // times that where real requests speak for themselves
	PerServer float64       // probes a second that a server gets of all nodes together at most
	Rate      float64       // and that this node makes of all servers together
	Nodes     int           // that probe alike
	Jitter    float64       // each wait is drawn from this part below to this part above
}

// interval is the shortest wait between two probes of a server by this node.
func (p *Pace) interval() time.Duration {
	least := time.Duration(float64(max(1, p.Nodes)) / p.PerServer / (1 - p.Jitter) * float64(time.Second))
	return max(p.Interval, least)
}

// Slowest is the longest wait between two probes of a server, jitter aside, while the node's rate allows it: words are good
// for a few of it.
func (p *Pace) Slowest() time.Duration {
	return time.Duration(float64(p.interval()) * max(1, p.Calm))
}

// Schedule says which server is to be probed next: each in its own time, none twice at once, and no more in all than the
// node may. Servers of which nothing is known come first when there are too many. Not safe for concurrent use.
type Schedule struct {
	pace   Pace
	random func() float64 // from 0 up to 1
	due    dues
	of     map[uint32]*appointment
	tokens float64
	at     time.Duration
}

type appointment struct {
	id    uint32
	at    time.Duration
	place int // in the heap; -1 while its probe is out
	gone  bool
}

// NewSchedule makes an empty one. Random draws the jitter.
func NewSchedule(p Pace, random func() float64) *Schedule {
	return &Schedule{pace: p, random: random, of: map[uint32]*appointment{}}
}

// Add enters a server: its first probe comes at a random time within an interval, so that a list of thousands does not
// begin at once.
func (s *Schedule) Add(now time.Duration, id uint32) {
	if s.of[id] == nil {
		a := &appointment{id: id, at: now + time.Duration(s.random()*float64(s.pace.interval()))}
		s.of[id] = a
		heap.Push(&s.due, a)
	}
}

// Remove strikes one off. A probe that is out ends without consequence.
func (s *Schedule) Remove(id uint32) {
	if a := s.of[id]; a != nil {
		a.gone = true
		if a.place >= 0 {
			heap.Remove(&s.due, a.place)
		}
		delete(s.of, id)
	}
}

// Next takes out a server that is to be probed now; false, and how long until one is to be looked for again, where there
// is none.
func (s *Schedule) Next(now time.Duration) (id uint32, ok bool, wait time.Duration) {
	s.tokens = min(max(1, s.pace.Rate/10), s.tokens+(now-s.at).Seconds()*s.pace.Rate) // a tenth of a second's at once
	s.at = max(s.at, now)
	if len(s.due) == 0 {
		return 0, false, s.pace.Interval
	}
	if a := s.due[0]; a.at > now {
		return 0, false, a.at - now
	}
	if s.tokens < 1 {
		return 0, false, time.Duration(math.Ceil((1 - s.tokens) / s.pace.Rate * 1e9))
	}
	s.tokens--
	a := heap.Pop(&s.due).(*appointment)
	a.place = -1
	return a.id, true, 0
}

// Sooner lets a server be probed now, within the node's budget, unless its probe is out.
func (s *Schedule) Sooner(now time.Duration, id uint32) {
	if a := s.of[id]; a != nil && a.place >= 0 && a.at > now {
		a.at = now
		heap.Fix(&s.due, a.place)
	}
}

// Done tells that a server's probe is over. Spoken: real requests tell enough of it.
func (s *Schedule) Done(now time.Duration, id uint32, spoken bool) {
	a := s.of[id]
	if a == nil || a.place >= 0 {
		return
	}
	wait := float64(s.pace.interval()) * (1 - s.pace.Jitter + 2*s.pace.Jitter*s.random())
	if spoken {
		wait *= max(1, s.pace.Calm)
	}
	a.at = now + time.Duration(wait)
	heap.Push(&s.due, a)
}

// dues is a heap by time.
type dues []*appointment

func (d dues) Len() int { return len(d) }
func (d dues) Less(i, j int) bool {
	return d[i].at < d[j].at || d[i].at == d[j].at && d[i].id < d[j].id
}
func (d dues) Swap(i, j int) {
	d[i], d[j] = d[j], d[i]
	d[i].place, d[j].place = i, j
}
func (d *dues) Push(x any) {
	a := x.(*appointment)
	a.place = len(*d)
	*d = append(*d, a)
}
func (d *dues) Pop() any {
	last := len(*d) - 1
	a := (*d)[last]
	(*d)[last] = nil
	*d = (*d)[:last]
	return a
}
