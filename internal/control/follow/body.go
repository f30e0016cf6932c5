package follow

import (
	"context"
	"fmt"
	"io"

	"portstall/internal/resource"
)

// Bytes of a body's parts: a delta has some hundred bytes, the whole some hundred thousand.
const (
	minChunk = 512
	maxChunk = 64 << 10
)

var errTooLong = fmt.Errorf("the answer is over %d bytes", resource.MaxAnswer)

// received is a body that has arrived, as it came over the network. It is read once, and what has been read is let go. For one goroutine.
type bufferedBody struct {
	ctx    context.Context // the caller's: its end ends the reading
	chunks [][]byte
}

// receive takes in a body to its end. It does nothing but wait and copy, so that the time it takes is the source's and the network's, and not
// that of a decoder which is short of processor time. It holds resource.MaxAnswer bytes at most, and past them returns errTooLong; other
// errors are the connection's.
func readBody(ctx context.Context, body io.Reader) (*bufferedBody, error) {
	r, from := &bufferedBody{ctx: ctx}, &limitedReader{body, resource.MaxAnswer}
	for size := minChunk; ; size = min(2*size, maxChunk) {
		part := make([]byte, 0, size)
		for len(part) < size {
			n, err := from.Read(part[len(part):size])
			part = part[:len(part)+n]
			switch {
			case err == io.EOF:
				r.chunks = append(r.chunks, part)
				return r, nil
			case err != nil:
				return nil, err
			}
		}
		r.chunks = append(r.chunks, part)
	}
}

func (r *bufferedBody) Read(p []byte) (n int, err error) {
	if err := r.ctx.Err(); err != nil {
		return 0, err
	}
	for len(r.chunks) > 0 && len(r.chunks[0]) == 0 {
		r.chunks[0], r.chunks = nil, r.chunks[1:]
	}
	if len(r.chunks) == 0 {
		return 0, io.EOF
	}
	n = copy(p, r.chunks[0])
	r.chunks[0] = r.chunks[0][n:]
	return n, nil
}

// bounded reads no more than so many bytes, and then says that it is too long. io.LimitReader would say that it ends.
type limitedReader struct {
	r         io.Reader
	remaining int
}

func (b *limitedReader) Read(p []byte) (int, error) {
	n, err := b.r.Read(p[:min(len(p), b.remaining+1)])
	if b.remaining -= n; b.remaining < 0 {
		return 0, errTooLong
	}
	return n, err
}
