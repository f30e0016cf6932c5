package control

import (
	"bytes"
	"compress/gzip"
	"sync"

	"portstall/internal/resource"
)

const (
	// minCompressBytes is the size of a JSON body below which compression is not worth its cost.
	minCompressBytes = 1 << 10
	// maxCachedBytes bounds the encoded bodies that are cached.
	maxCachedBytes = 64 << 20
	// maxConcurrentEncodings is the number of large bodies that are encoded at a time.
	maxConcurrentEncodings = 2
)

// responseCache holds the encoded bodies of deltas to the version in force, so that all callers waiting at one version
// share one body. It is safe for concurrent use.
type responseCache struct {
	encodingSlots chan struct{} // holds an element for each large body that is being encoded

	mu           sync.Mutex // guards the fields below
	responses    map[*resource.Delta]*cachedResponse
	bytes        int   // size of the bodies in responses
	encodedCount int64 // bodies encoded since the start, plain and compressed
}

// cachedResponse holds the bodies of one delta; each is encoded when it is first needed.
type cachedResponse struct {
	plain, gzipped encodedBody
}

// encodedBody is a body that is encoded once; bytes and err are set by then.
type encodedBody struct {
	once  sync.Once
	bytes []byte
	err   error
}

// newResponseCache returns an empty cache.
func newResponseCache() *responseCache {
	return &responseCache{encodingSlots: make(chan struct{}, maxConcurrentEncodings),
		responses: map[*resource.Delta]*cachedResponse{}}
}

// clear empties the cache, since another version is in force.
func (a *responseCache) clear() {
	a.mu.Lock()
	defer a.mu.Unlock()
	clear(a.responses)
	a.bytes = 0
}

// body returns a delta's encoded body, compressed where that is accepted and worth its cost. The body is shared and
// must not be changed. A call during the encoding of the same body waits for it.
func (a *responseCache) body(d *resource.Delta, zip bool) (body []byte, zipped bool, err error) {
	if len(d.Put)+len(d.Removed) == 0 { // empty deltas differ from caller to caller and are small
		body, err = resource.Encode(d)
		return body, false, err
	}
	a.mu.Lock()
	one := a.responses[d]
	if one == nil {
		if a.bytes > maxCachedBytes {
			clear(a.responses)
			a.bytes = 0
		}
		one = &cachedResponse{}
		a.responses[d] = one
	}
	a.mu.Unlock()
	zip = zip && approximateSize(d) >= minCompressBytes
	t := &one.plain
	if zip {
		t = &one.gzipped
	}
	t.once.Do(func() {
		a.encodingSlots <- struct{}{}
		defer func() { <-a.encodingSlots }()
		if t.bytes, t.err = resource.Encode(d); t.err == nil && zip {
			t.bytes, t.err = compress(t.bytes)
		}
		a.mu.Lock()
		defer a.mu.Unlock()
		a.encodedCount++
		a.bytes += len(t.bytes)
	})
	return t.bytes, zip, t.err
}

// approximateSize returns about how many bytes of JSON a delta makes. It stops counting past minCompressBytes.
func approximateSize(d *resource.Delta) (n int) {
	for i := range d.Put {
		if n += 40 + len(d.Put[i].Name) + len(d.Put[i].Spec); n > minCompressBytes {
			return n
		}
	}
	return n + 40*len(d.Removed)
}

// gzipWriters holds writers for reuse: each has large buffers.
var gzipWriters = sync.Pool{New: func() any {
	w, _ := gzip.NewWriterLevel(nil, gzip.BestSpeed) // the error is for an invalid level alone
	return w
}}

// compress returns the gzip form of a body.
func compress(plain []byte) ([]byte, error) {
	var b bytes.Buffer
	w := gzipWriters.Get().(*gzip.Writer)
	defer gzipWriters.Put(w)
	w.Reset(&b)
	if _, err := w.Write(plain); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return bytes.Clone(b.Bytes()), nil
}
