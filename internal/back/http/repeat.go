package http

import (
	"encoding/binary"
	"hash/maphash"
	stdhttp "net/http"
	"sync"

	"portstall/internal/back"
)

const (
	// digestPrefix is how many bytes of the body of a streamed response its digest covers.
	digestPrefix = 4 << 10
	// historyGeneration is how many digests a generation of a responseHistory holds.
	historyGeneration = 512
	// historyClasses is how many classes a responseHistory knows.
	historyClasses = 64
	// minDistinct is how many responses of a class must have differed from each other before an equal one counts as a
	// second copy.
	minDistinct = 8
)

var digestSeed = maphash.MakeSeed()

// newDigest starts the digest of a response with the given status and length; the body is written to it. A streamed
// response has the length that it states, and only digestPrefix bytes of its body are written.
func newDigest(status int, length int64) *maphash.Hash {
	var h maphash.Hash
	h.SetSeed(digestSeed)
	var head [16]byte
	binary.LittleEndian.PutUint64(head[:8], uint64(status))
	binary.LittleEndian.PutUint64(head[8:], uint64(length))
	h.Write(head[:])
	return &h
}

// digest returns the digest of a response whose body, or its first digestPrefix bytes, is known.
func digest(status int, length int64, body []byte) back.Digest {
	h := newDigest(status, length)
	h.Write(body)
	return back.Digest(h.Sum64())
}

// keyHash returns the hash of a request's Idempotency-Key, 0 for none.
func keyHash(request *stdhttp.Request) uint64 {
	key := request.Header.Get("Idempotency-Key")
	if key == "" {
		return 0
	}
	return maphash.String(digestSeed, key)
}

// responseHistory remembers recent responses of all web servers. A second copy of a response comes on the connection of
// the response itself: a response that was received on two connections, for different requests, is one that servers
// give repeatedly. It holds at most two generations of digests and is safe for concurrent use. The zero value is empty.
type responseHistory struct {
	mu      sync.Mutex
	recent  map[back.Digest]sighting
	older   map[back.Digest]sighting // the generation before recent
	classes map[string]classHistory
}

// classHistory is what the responses to a class have shown.
type classHistory struct {
	distinct int  // new responses since one was received repeatedly
	recurred bool // one was received repeatedly before them
}

// sighting is where a response was received first.
type sighting struct {
	conn   uint64 // number of the connection
	key    uint64 // hash of the request's Idempotency-Key, 0 for none: equal keys may get the same stored response
	class  string // the request's class
	recurs bool   // servers give the response repeatedly
}

// likeness is what a history knows of a response that equals the one before it on its connection.
type likeness uint8

const (
	unknownLikeness likeness = iota // it may be a second copy, and little is known of its class
	recurringClass                  // it may be a second copy, but other responses to its class are given repeatedly
	distinctClass                   // responses to the class that it was made for differ: it is a second copy
	givenRepeatedly                 // servers give this response repeatedly
)

// record adds a response to a request of a class, received on a connection, and returns what is known of it.
func (h *responseHistory) record(d back.Digest, conn, key uint64, class string) likeness {
	h.mu.Lock()
	defer h.mu.Unlock()
	seen, known := h.lookup(d)
	sameKey := key != 0 && key == seen.key
	switch {
	case !known:
		seen = sighting{conn: conn, key: key, class: class}
		h.countDistinct(class)
	case seen.conn != conn && !sameKey:
		seen.recurs = true
	}
	if seen.recurs {
		h.classes[seen.class] = classHistory{recurred: true}
	}
	h.put(d, seen)
	of := h.classes[seen.class]
	switch {
	case seen.recurs, sameKey:
		return givenRepeatedly
	case of.distinct >= minDistinct:
		return distinctClass
	case of.recurred:
		return recurringClass
	}
	return unknownLikeness
}

// recordRepeated records that servers give a response repeatedly.
func (h *responseHistory) recordRepeated(d back.Digest) {
	h.mu.Lock()
	defer h.mu.Unlock()
	seen, _ := h.lookup(d)
	seen.recurs = true
	h.put(d, seen)
	h.classes[seen.class] = classHistory{recurred: true}
}

// lookup returns the sighting of a response. The caller holds h.mu.
func (h *responseHistory) lookup(d back.Digest) (sighting, bool) {
	if seen, ok := h.recent[d]; ok {
		return seen, true
	}
	seen, ok := h.older[d]
	return seen, ok
}

// put stores a sighting in the recent generation, and starts a new generation if that is full. The caller holds h.mu.
func (h *responseHistory) put(d back.Digest, s sighting) {
	if len(h.recent) >= historyGeneration {
		h.older, h.recent = h.recent, nil
	}
	if h.recent == nil {
		h.recent = map[back.Digest]sighting{}
	}
	h.recent[d] = s
}

// countDistinct counts a new response of a class. The caller holds h.mu.
func (h *responseHistory) countDistinct(class string) {
	if h.classes == nil || len(h.classes) > historyClasses {
		h.classes = map[string]classHistory{}
	}
	of := h.classes[class]
	of.distinct++
	h.classes[class] = of
}

// repeats reports whether a response equals the one before it on its connection, in status and body, though servers are
// not known to give it repeatedly, and what is known of it. It records the response.
func (s *Sender) repeats(c *back.Conn, got response) (equal bool, known likeness) {
	previous := c.LastResponse
	c.LastResponse, c.LastStreamLength = got.digest, 0
	if got.streamed {
		c.LastStreamLength = got.resp.ContentLength
	}
	if got.digest == 0 {
		return false, unknownLikeness // a download that is recorded at its end
	}
	known = s.history.record(got.digest, c.Number, got.requestKey, got.class)
	return got.digest == previous && known != givenRepeatedly, known
}
