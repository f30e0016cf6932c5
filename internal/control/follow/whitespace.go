package follow

import (
	"errors"
	"io"

	"portstall/internal/resource"
)

// errWhitespace is the error for a response with more consecutive whitespace than any spec has bytes. The JSON decoder scans such
// a run again with each read, so its time grows with the square of the length: 16 MB of whitespace, which are little when
// compressed, took half a minute.
var errWhitespace = errors.New("more consecutive whitespace than a spec may have bytes")

// whitespaceLimiter passes a text on, and ends it with errWhitespace at too long a run of whitespace.
type whitespaceLimiter struct {
	r   io.Reader
	run int // bytes of whitespace in a row so far
}

// Read implements io.Reader.
func (b *whitespaceLimiter) Read(p []byte) (int, error) {
	n, err := b.r.Read(p)
	for i, c := range p[:n] {
		switch c {
		case ' ', '\t', '\r', '\n':
			if b.run++; b.run > resource.MaxSpec {
				return i, errWhitespace
			}
		default:
			b.run = 0
		}
	}
	return n, err
}
