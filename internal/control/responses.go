package control

import (
	"bytes"
	"compress/gzip"
	"sync"

	"portstall/internal/resource"
)

const (
	minCompressBytes       = 1 << 10  // bytes of JSON below which an answer is not worth compressing
	maxCachedBytes         = 64 << 20 // bytes of answers that are kept to be told again
	maxConcurrentEncodings = 2        // large answers that are made at a time
)

// answers are what was told of the version in force, as bytes, so that all who wait at one version share one text. It is safe for
// concurrent use.
type responseCache struct {
	encodingSlots chan struct{} // holds one for each large answer that is being made

	mu           sync.Mutex
	responses    map[*resource.Delta]*cachedResponse
	bytes        int
	encodedCount int64 // texts so far, plain and compressed
}

// answer is one delta's text, made when it is first asked for.
type cachedResponse struct {
	plain, gzipped encodedBody
}

type encodedBody struct {
	once  sync.Once
	bytes []byte
	err   error
}

func newResponseCache() *responseCache {
	return &responseCache{encodingSlots: make(chan struct{}, maxConcurrentEncodings), responses: map[*resource.Delta]*cachedResponse{}}
}

// clear forgets all: another version is in force.
func (a *responseCache) clear() {
	a.mu.Lock()
	defer a.mu.Unlock()
	clear(a.responses)
	a.bytes = 0
}

// of returns a delta's text, compressed where that is wanted and worth it. The text is shared: it must not be changed. Who asks while
// it is made waits for it.
func (a *responseCache) body(d *resource.Delta, zip bool) (body []byte, zipped bool, err error) {
	if len(d.Put)+len(d.Gone) == 0 { // each its own, and small
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

// weight is about how long a delta's text is.
func approximateSize(d *resource.Delta) (n int) {
	for i := range d.Put {
		if n += 40 + len(d.Put[i].Name) + len(d.Put[i].Spec); n > minCompressBytes {
			return n
		}
	}
	return n + 40*len(d.Gone)
}

var gzipWriters = sync.Pool{New: func() any {
	w, _ := gzip.NewWriterLevel(nil, gzip.BestSpeed) // the level is a good one
	return w
}}

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
