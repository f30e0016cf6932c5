package follow

import (
	"context"
	"fmt"
	"io"

	"portstall/internal/resource"
)

// Sizes in bytes of the chunks of a body: a delta has some hundred bytes, a snapshot some hundred thousand.
const (
	minChunk = 512
	maxChunk = 64 << 10
)

var errTooLong = fmt.Errorf("the response is over %d bytes", resource.MaxResponse)

// bufferedBody is a received body as it was sent over the network. It is read once, and chunks that were read are freed. It is not
// safe for concurrent use.
type bufferedBody struct {
	ctx    context.Context // of the caller: reading fails once it is done
	chunks [][]byte
}

// readBody reads a body to its end. It only waits and copies, so that the time it takes is that of the source and the network, and
// not that of decoding on a busy processor. It buffers at most resource.MaxResponse bytes and returns errTooLong beyond them;
// other errors are those of the connection.
func readBody(ctx context.Context, body io.Reader) (*bufferedBody, error) {
	b, limited := &bufferedBody{ctx: ctx}, &limitedReader{body, resource.MaxResponse}
	for size := minChunk; ; size = min(2*size, maxChunk) {
		chunk := make([]byte, 0, size)
		for len(chunk) < size {
			n, err := limited.Read(chunk[len(chunk):size])
			chunk = chunk[:len(chunk)+n]
			switch {
			case err == io.EOF:
				b.chunks = append(b.chunks, chunk)
				return b, nil
			case err != nil:
				return nil, err
			}
		}
		b.chunks = append(b.chunks, chunk)
	}
}

// Read implements io.Reader.
func (b *bufferedBody) Read(p []byte) (n int, err error) {
	if err := b.ctx.Err(); err != nil {
		return 0, err
	}
	for len(b.chunks) > 0 && len(b.chunks[0]) == 0 {
		b.chunks[0], b.chunks = nil, b.chunks[1:]
	}
	if len(b.chunks) == 0 {
		return 0, io.EOF
	}
	n = copy(p, b.chunks[0])
	b.chunks[0] = b.chunks[0][n:]
	return n, nil
}

// limitedReader fails with errTooLong beyond its limit, where an io.LimitedReader would end without an error.
type limitedReader struct {
	r         io.Reader
	remaining int // bytes that may still be read
}

// Read implements io.Reader.
func (b *limitedReader) Read(p []byte) (int, error) {
	n, err := b.r.Read(p[:min(len(p), b.remaining+1)])
	if b.remaining -= n; b.remaining < 0 {
		return 0, errTooLong
	}
	return n, err
}
