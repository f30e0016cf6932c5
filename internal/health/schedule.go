package health

import (
	"container/heap"
	"math"
	"time"
)

// ProbeSettings limit how often servers are probed.
type ProbeSettings struct {
	Interval       time.Duration // wait between two probes of a server without recent successful requests
	IntervalFactor float64       // factor on the wait of a server whose recent real requests succeed
	MaxPerServer   float64       // limit on the probes per second that one server gets from all nodes together
	MaxRate        float64       // limit on the probes per second that this node sends to all servers together
	Nodes          int           // number of nodes that probe the same servers with these settings
	Jitter         float64       // each wait varies randomly by up to this fraction in either direction
}

// minWait returns the shortest wait between two probes of a server by this node, before jitter.
func (p *ProbeSettings) minWait() time.Duration {
	fairWait := time.Duration(float64(max(1, p.Nodes)) / p.MaxPerServer / (1 - p.Jitter) * float64(time.Second))
	return max(p.Interval, fairWait)
}

// MaxInterval returns the longest wait between two probes of a server, before jitter, while the node's rate limit does
// not delay probes. Reports are valid for a multiple of it.
func (p *ProbeSettings) MaxInterval() time.Duration {
	return time.Duration(float64(p.minWait()) * max(1, p.IntervalFactor))
}

// Schedule selects the server to probe next. Each server has its own due time and at most one probe in flight, and all
// probes together stay within the node's rate limit. Servers whose recent real requests succeed are due less often,
// which leaves the budget to the others. It is not safe for concurrent use: its owner's lock guards it.
type Schedule struct {
	settings   ProbeSettings
	random     func() float64         // uniform in [0, 1)
	queue      probeQueue             // servers without a probe in flight
	entries    map[uint32]*probeEntry // all servers, by id
	tokens     float64                // probes that may start now
	refilledAt time.Duration          // when tokens were last added
}

// probeEntry is a server's place in the schedule.
type probeEntry struct {
	id        uint32
	dueAt     time.Duration
	heapIndex int // in the queue; -1 while its probe is in flight
}

// NewSchedule returns an empty schedule. Random is the source of the jitter and returns values in [0, 1).
func NewSchedule(p ProbeSettings, random func() float64) *Schedule {
	return &Schedule{settings: p, random: random, entries: map[uint32]*probeEntry{}}
}

// Add adds a server. Its first probe is due at a random time within one interval, so that a list of thousands is not
// probed all at once.
func (s *Schedule) Add(now time.Duration, id uint32) {
	if s.entries[id] == nil {
		entry := &probeEntry{id: id, dueAt: now + time.Duration(s.random()*float64(s.settings.minWait()))}
		s.entries[id] = entry
		heap.Push(&s.queue, entry)
	}
}

// Remove drops a server. A probe of it that is in flight has no further effect.
func (s *Schedule) Remove(id uint32) {
	if entry := s.entries[id]; entry != nil {
		if entry.heapIndex >= 0 {
			heap.Remove(&s.queue, entry.heapIndex)
		}
		delete(s.entries, id)
	}
}

// Next returns a server that is due, whose probe is in flight from then until Done. If none is due or the rate limit is
// reached, it returns false and how long to wait before the next call.
func (s *Schedule) Next(now time.Duration) (id uint32, ok bool, wait time.Duration) {
	// The burst is a tenth of a second's probes.
	s.tokens = min(max(1, s.settings.MaxRate/10), s.tokens+(now-s.refilledAt).Seconds()*s.settings.MaxRate)
	s.refilledAt = max(s.refilledAt, now)
	if len(s.queue) == 0 {
		return 0, false, s.settings.Interval
	}
	if entry := s.queue[0]; entry.dueAt > now {
		return 0, false, entry.dueAt - now
	}
	if s.tokens < 1 {
		return 0, false, time.Duration(math.Ceil((1 - s.tokens) / s.settings.MaxRate * 1e9))
	}
	s.tokens--
	entry := heap.Pop(&s.queue).(*probeEntry)
	entry.heapIndex = -1
	return entry.id, true, 0
}

// ProbeNow makes a server due now, within the node's rate limit, unless a probe of it is in flight.
func (s *Schedule) ProbeNow(now time.Duration, id uint32) {
	if entry := s.entries[id]; entry != nil && entry.heapIndex >= 0 && entry.dueAt > now {
		entry.dueAt = now
		heap.Fix(&s.queue, entry.heapIndex)
	}
}

// Done ends a server's probe and schedules the next. Serving states that its recent real requests succeed
// (Tracker.ServesRequests), which makes the wait longer.
func (s *Schedule) Done(now time.Duration, id uint32, serving bool) {
	entry := s.entries[id]
	if entry == nil || entry.heapIndex >= 0 {
		return
	}
	wait := float64(s.settings.minWait()) * (1 - s.settings.Jitter + 2*s.settings.Jitter*s.random())
	if serving {
		wait *= max(1, s.settings.IntervalFactor)
	}
	entry.dueAt = now + time.Duration(wait)
	heap.Push(&s.queue, entry)
}

// probeQueue is a heap by due time, with ties broken by id.
type probeQueue []*probeEntry

func (q probeQueue) Len() int { return len(q) }
func (q probeQueue) Less(i, j int) bool {
	return q[i].dueAt < q[j].dueAt || q[i].dueAt == q[j].dueAt && q[i].id < q[j].id
}
func (q probeQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].heapIndex, q[j].heapIndex = i, j
}
func (q *probeQueue) Push(x any) {
	entry := x.(*probeEntry)
	entry.heapIndex = len(*q)
	*q = append(*q, entry)
}
func (q *probeQueue) Pop() any {
	last := len(*q) - 1
	entry := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	return entry
}
