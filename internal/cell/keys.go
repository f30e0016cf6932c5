package cell

import (
	"cmp"
	"slices"
	"time"
)

// KeyTracker records to which pod idempotency keys were sent, so that a request whose placement is ambiguous by its
// Tenant's moves alone can go where the node itself sent the key before. The number of keys is bounded. Beyond it the
// oldest one is evicted, and its repeats are ambiguous again, rather than placed by a guess. It is not safe for
// concurrent use.
type KeyTracker struct {
	maxKeys int
	byKey   map[uint64]keyPlacement
	order   []keyExpiry // the keys from index first on, in the order in which they were sent
	first   int
	evicted int64
}

// keyPlacement is the pod that a key was sent to, and the end of the key's window.
type keyPlacement struct {
	pod   int64
	until time.Duration
}

// keyExpiry is the end of the window of one send of a key.
type keyExpiry struct {
	key   uint64
	until time.Duration
}

// NewKeyTracker returns a KeyTracker for at least one and at most maxKeys keys, which take 48 to 80 bytes each once it
// is full.
func NewKeyTracker(maxKeys int) *KeyTracker {
	return &KeyTracker{maxKeys: max(1, maxKeys), byKey: map[uint64]keyPlacement{}}
}

// Sent records that a key was sent to a pod, which drops repeats of it during the window after the first send.
func (k *KeyTracker) Sent(now time.Duration, key uint64, pod int64, window time.Duration) {
	if r, known := k.byKey[key]; known && now < r.until {
		return // its window starts at the first send
	}
	for len(k.order) > k.first && now >= k.order[k.first].until {
		k.dropOldest()
	}
	if len(k.order)-k.first >= k.maxKeys {
		k.dropOldest()
		k.evicted++
	}
	k.byKey[key] = keyPlacement{pod, now + window}
	k.order = append(k.order, keyExpiry{key, now + window})
}

// dropOldest removes the oldest entry, and its key unless that was sent again after the entry's window.
func (k *KeyTracker) dropOldest() {
	e := k.order[k.first]
	if k.byKey[e.key].until == e.until {
		delete(k.byKey, e.key)
	}
	if k.first++; k.first >= k.maxKeys {
		k.order = append(k.order[:0], k.order[k.first:]...)
		k.first = 0
	}
}

// Find returns the pod in which a key may have run within its window.
func (k *KeyTracker) Find(now time.Duration, key uint64) (pod int64, known bool) {
	r, known := k.byKey[key]
	return r.pod, known && now < r.until
}

// KeyRecord is the stored form of a key.
type KeyRecord struct {
	Key   uint64
	Pod   int64
	Until time.Duration
}

// All returns the keys whose window has not ended.
func (k *KeyTracker) All(now time.Duration) (all []KeyRecord) {
	for key, r := range k.byKey {
		if now < r.until {
			all = append(all, KeyRecord{key, r.pod, r.until})
		}
	}
	return all
}

// Restore adds the keys that another process recorded.
func (k *KeyTracker) Restore(now time.Duration, all []KeyRecord) {
	// The oldest is evicted first.
	slices.SortFunc(all, func(a, b KeyRecord) int { return cmp.Compare(a.Until, b.Until) })
	for _, e := range all {
		k.Sent(now, e.Key, e.Pod, e.Until-now)
	}
}

// Len returns the number of keys.
func (k *KeyTracker) Len() int { return len(k.byKey) }

// Evicted returns how many keys have been evicted within their window since the start.
func (k *KeyTracker) Evicted() int64 { return k.evicted }
