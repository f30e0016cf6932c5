// Package flow transfers bodies of any size through bounded memory, and looks at the state of sockets. It knows no
// protocol: its callers parse messages and supply readers and writers.
package flow

import (
	"bufio"
	"io"
)

const (
	// MaxBuffered is how many bytes of a body are buffered. A request body up to this size can be sent again, and a
	// response body up to this size is forwarded only once it is complete.
	MaxBuffered = 64 << 10
	// StreamBuffer is the memory in bytes that a streamed body uses, buffers on both sides included.
	StreamBuffer = 64 << 10
	// MaxUncounted is the size in bytes up to which a body is not counted: small ones never wait for large ones.
	MaxUncounted = 4 << 10
)

// NewFlushingWriter returns a buffered writer to w for a head and a body, and a reader that flushes it before each read
// of body, so that nothing is held back while more is awaited.
func NewFlushingWriter(w io.Writer, body io.Reader) (*bufio.Writer, io.Reader) {
	bw := bufio.NewWriterSize(w, 4<<10)
	return bw, &flushingReader{bw, body}
}

// flushingReader flushes a writer before each read.
type flushingReader struct {
	w *bufio.Writer
	r io.Reader
}

func (f *flushingReader) Read(p []byte) (int, error) {
	if err := f.w.Flush(); err != nil {
		return 0, err
	}
	return f.r.Read(p)
}

// WriteOnly hides all methods of a writer but Write, so that io.Copy uses its own buffer.
type WriteOnly struct{ io.Writer }
