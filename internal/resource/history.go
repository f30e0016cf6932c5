package resource

import (
	"slices"
	"time"
)

// HistoryLimits bound what a history stores. Past one of them it deletes the oldest deltas.
type HistoryLimits struct {
	Age    time.Duration // since a delta was added
	Deltas int           // number of deltas
	Bytes  int           // upper bound of the deltas' JSON; a merged delta is not larger
}

// DefaultHistory stores a day's 2,300 changes, or two hours of changes at a hundred times that rate, and at most half
// the size of a response.
var DefaultHistory = HistoryLimits{Age: 24 * time.Hour, Deltas: 20_000, Bytes: MaxResponse / 2}

// History stores the deltas of a limited time, each leading on from the one before. It is not safe for concurrent use.
type History struct {
	limits HistoryLimits
	deltas []entry            // by version, without a gap
	bytes  int                // the sum of their sizes
	last   *Delta             // the last one added, with its version and checksum only
	merged map[Version]*Delta // by the version that each leads from: many nodes request the same one
}

// entry is a delta in a history.
type entry struct {
	*Delta
	at             time.Duration // when it was added
	size           int           // upper bound of its JSON in bytes
	checksumBefore Checksum      // of the content before the delta
	checksumKnown  bool          // whether checksumBefore is known
}

// maxMerged bounds the merged deltas that are cached.
const maxMerged = 64

// NewHistory returns an empty history. A limit that is not above zero is replaced by that of DefaultHistory.
func NewHistory(limits HistoryLimits) *History {
	if limits.Age <= 0 {
		limits.Age = DefaultHistory.Age
	}
	if limits.Deltas <= 0 {
		limits.Deltas = DefaultHistory.Deltas
	}
	if limits.Bytes <= 0 {
		limits.Bytes = DefaultHistory.Bytes
	}
	limits.Bytes = min(limits.Bytes, MaxResponse) // else a merged delta might be too large for a response
	return &History{limits: limits, merged: map[Version]*Delta{}}
}

// Add appends the next delta. A snapshot, or a delta that does not lead on from the last one, clears the history first,
// as no stored delta leads to it.
func (h *History) Add(now time.Duration, d *Delta) {
	clear(h.merged)
	if n := len(h.deltas); d.IsSnapshot() || n > 0 && h.deltas[n-1].To != d.From {
		h.deltas, h.bytes = nil, 0
	}
	last := h.last
	h.last = &Delta{To: d.To, Checksum: d.Checksum}
	if d.IsSnapshot() {
		return
	}
	e := entry{Delta: d, at: now, size: d.size()}
	if last != nil && last.To == d.From {
		e.checksumBefore, e.checksumKnown = last.Checksum, true
	}
	h.deltas = append(h.deltas, e)
	h.bytes += e.size
	h.Trim(now)
}

// Trim deletes the deltas that exceed the limits.
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

// Len returns the number of stored deltas.
func (h *History) Len() int { return len(h.deltas) }

// index finds the delta that leads on from v. A control process that was behind has received several changes as one
// delta, and v may lie within it. Such a v is accepted if it is of the epoch to which the delta leads: the versions of
// one epoch follow each other in one line, and a delta names everything that was changed between its ends.
func (h *History) index(v Version) (int, bool) {
	i, ok := slices.BinarySearchFunc(h.deltas, v, func(e entry, v Version) int { return e.From.Compare(v) })
	if !ok && i > 0 {
		i--
		ok = v.Epoch == h.deltas[i].To.Epoch && v.Compare(h.deltas[i].To) < 0
	}
	return i, ok
}

// BehindSince returns when the delta that leads on from v was added: a caller at v has been behind since then. It
// returns false if there is no such delta.
func (h *History) BehindSince(v Version) (time.Duration, bool) {
	i, ok := h.index(v)
	if !ok {
		return 0, false
	}
	return h.deltas[i].at, true
}

// Since returns the merged deltas from v on, or false if they are not all stored. The result must not be changed.
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

// SinceChecksum is for a version that is not stored, such as one of an epoch before a restart. If the content had this
// checksum at some point of the history, the changes since then lead on from v.
func (h *History) SinceChecksum(v Version, checksum Checksum) (*Delta, bool) {
	for i, e := range h.deltas {
		if e.checksumKnown && e.checksumBefore == checksum && v.Compare(e.To) < 0 {
			return merge(v, h.deltas[i:]), true
		}
	}
	return nil, false
}

// merge combines consecutive deltas into one from v: the last change of each key counts. A resource that was added and
// removed again in between is named as removed, so that the delta applies to each version on the way and not to the
// first alone.
func merge(v Version, entries []entry) *Delta {
	last := map[Key]*Resource{} // nil: removed
	for _, e := range entries {
		for i := range e.Put {
			last[e.Put[i].Key] = &e.Put[i]
		}
		for _, k := range e.Removed {
			last[k] = nil
		}
	}
	end := entries[len(entries)-1]
	d := &Delta{From: v, To: end.To, Checksum: end.Checksum}
	for k, r := range last {
		if r != nil {
			d.Put = append(d.Put, *r)
		} else {
			d.Removed = append(d.Removed, k)
		}
	}
	sortDelta(d.Put, d.Removed)
	return d
}
