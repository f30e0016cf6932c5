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
func (c *responseCache) clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.responses)
	c.bytes = 0
}

// body returns a delta's encoded body, compressed where that is accepted and worth its cost. The body is shared and
// must not be changed. A call during the encoding of the same body waits for it.
func (c *responseCache) body(d *resource.Delta, zip bool) (body []byte, zipped bool, err error) {
	if len(d.Put)+len(d.Removed) == 0 { // empty deltas differ from caller to caller and are small
		body, err = resource.Encode(d)
		return body, false, err
	}
	c.mu.Lock()
	cached := c.responses[d]
	if cached == nil {
		if c.bytes > maxCachedBytes {
			clear(c.responses)
			c.bytes = 0
		}
		cached = &cachedResponse{}
		c.responses[d] = cached
	}
	c.mu.Unlock()
	zip = zip && approximateSize(d) >= minCompressBytes
	encoded := &cached.plain
	if zip {
		encoded = &cached.gzipped
	}
	encoded.once.Do(func() {
		c.encodingSlots <- struct{}{}
		defer func() { <-c.encodingSlots }()
		if encoded.bytes, encoded.err = resource.Encode(d); encoded.err == nil && zip {
			encoded.bytes, encoded.err = compress(encoded.bytes)
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		c.encodedCount++
		c.bytes += len(encoded.bytes)
	})
	return encoded.bytes, zip, encoded.err
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
