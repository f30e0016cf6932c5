package follow

import (
	"errors"
	"io"

	"portstall/internal/resource"
)

// errBlanks is an answer with more blanks in a row than any spec has bytes. The decoder looks at a run of them anew with each part
// that comes, so that its time goes with their number squared: 16 MB of blanks, little once compressed, took half a minute.
var errWhitespace = errors.New("more blanks in a row than a spec may have bytes")

// blanks passes a text on, and ends it with errBlanks where too many blanks stand in a row.
type whitespaceLimiter struct {
	r   io.Reader
	run int // bytes of blank behind each other up to here
}

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
