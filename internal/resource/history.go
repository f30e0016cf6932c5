package resource

import (
	"slices"
	"time"
)

// HistoryLimits bound what a history keeps. What is past one of them goes, the oldest first.
type HistoryLimits struct {
	Age    time.Duration // since a delta was added
	Deltas int
	Bytes  int // of JSON, at most; a merged delta has no more
}

// DefaultHistory keeps a day's 2,300 changes, or two hours of a hundred times that rate, and never more than half an answer.
var DefaultHistory = HistoryLimits{Age: 24 * time.Hour, Deltas: 20_000, Bytes: MaxAnswer / 2}

// History is the deltas of a bounded time, each leading on from the one before. It is not safe for concurrent use.
type History struct {
	limits HistoryLimits
	deltas []entry // by version, without a gap
	bytes  int
	last   *Delta             // added: its version and sum alone
	merged map[Version]*Delta // by where from: many nodes ask for the same
}

type entry struct {
	*Delta
	at             time.Duration
	size           int
	checksumBefore Sum // of the content before it, if known
	checksumKnown  bool
}

// mostMerged bounds the merged deltas that are kept to be told again.
const maxMerged = 64

// NewHistory makes an empty one. A limit that is not above zero is that of DefaultHistory.
func NewHistory(most HistoryLimits) *History {
	if most.Age <= 0 {
		most.Age = DefaultHistory.Age
	}
	if most.Deltas <= 0 {
		most.Deltas = DefaultHistory.Deltas
	}
	if most.Bytes <= 0 {
		most.Bytes = DefaultHistory.Bytes
	}
	most.Bytes = min(most.Bytes, MaxAnswer) // or a merged delta could be told to nobody
	return &History{limits: most, merged: map[Version]*Delta{}}
}

// Add takes in the next delta. One that does not lead on from the last, or a snapshot, makes the history begin anew: nothing that is kept
// leads to it.
func (h *History) Add(now time.Duration, d *Delta) {
	clear(h.merged)
	if n := len(h.deltas); d.Whole() || n > 0 && h.deltas[n-1].To != d.From {
		h.deltas, h.bytes = nil, 0
	}
	last := h.last
	h.last = &Delta{To: d.To, Sum: d.Sum}
	if d.Whole() {
		return
	}
	s := entry{Delta: d, at: now, size: d.size()}
	if last != nil && last.To == d.From {
		s.checksumBefore, s.checksumKnown = last.Sum, true
	}
	h.deltas = append(h.deltas, s)
	h.bytes += s.size
	h.Trim(now)
}

// Trim lets go what is past the limits.
func (h *History) Trim(now time.Duration) {
	n := 0
	for n < len(h.deltas) && (len(h.deltas)-n > h.limits.Deltas || h.bytes > h.limits.Bytes || now-h.deltas[n].at > h.limits.Age) {
		h.bytes -= h.deltas[n].size
		n++
	}
	if n > 0 {
		clear(h.merged)
		h.deltas = slices.Delete(h.deltas, 0, n)
	}
}

// Len is the number of deltas that are kept.
func (h *History) Len() int { return len(h.deltas) }

// index finds the delta that leads on from v. A process that fell behind took several changes as one delta: v may lie within it, as long as
// it is of the epoch to which that leads, for the versions of one epoch are one line, and a delta names all that was touched on its way.
func (h *History) index(v Version) (int, bool) {
	i, ok := slices.BinarySearchFunc(h.deltas, v, func(s entry, v Version) int { return s.From.Compare(v) })
	if !ok && i > 0 {
		i--
		ok = v.Epoch == h.deltas[i].To.Epoch && v.Compare(h.deltas[i].To) < 0
	}
	return i, ok
}

// Left tells when what leads on from v was added: since when who has v is behind. False: not kept.
func (h *History) Left(v Version) (time.Duration, bool) {
	i, ok := h.index(v)
	if !ok {
		return 0, false
	}
	return h.deltas[i].at, true
}

// Since merges all deltas from v on; false where the way from v is not kept. What is told must not be changed.
func (h *History) Since(v Version) (*Delta, bool) {
	i, ok := h.index(v)
	if !ok {
		return nil, false
	}
	if i == len(h.deltas)-1 && h.deltas[i].From == v {
		return h.deltas[i].Delta, true
	}
	if d := h.merged[v]; d != nil {
		return d, true
	}
	d := merge(v, h.deltas[i:])
	if len(h.merged) >= maxMerged {
		clear(h.merged)
	}
	h.merged[v] = d
	return d, true
}

// SinceSum is for a version that is not kept, of an epoch before a restart say: where the content that is kept had this sum once, what was
// changed since leads on from v.
func (h *History) SinceSum(v Version, sum Sum) (*Delta, bool) {
	for i, s := range h.deltas {
		if s.checksumKnown && s.checksumBefore == sum && v.Compare(s.To) < 0 {
			return merge(v, h.deltas[i:]), true
		}
	}
	return nil, false
}

// merge makes one delta from v of several that follow each other: the last put or gone of a key counts. What came and went between is named
// as gone too, so that the delta leads on from each version on its way, and not from its first alone.
func merge(v Version, steps []entry) *Delta {
	last := map[Key]*Resource{} // nil: gone
	for _, s := range steps {
		for i := range s.Put {
			last[s.Put[i].Key] = &s.Put[i]
		}
		for _, k := range s.Gone {
			last[k] = nil
		}
	}
	end := steps[len(steps)-1]
	d := &Delta{From: v, To: end.To, Sum: end.Sum}
	for k, r := range last {
		if r != nil {
			d.Put = append(d.Put, *r)
		} else {
			d.Gone = append(d.Gone, k)
		}
	}
	sortDelta(d.Put, d.Gone)
	return d
}
