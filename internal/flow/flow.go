// Package flow moves bodies of any size through bounded memory. It knows no protocol: readers and writers come from
// whoever parses one.
package flow

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"sync/atomic"

	"golang.org/x/sync/semaphore"
)

const (
	// Keep is how much of a body is held: so much can be sent again, and an answer of up to so much is passed on
	// only once it is there whole.
	Keep = 64 << 10
	// Chunk is what a body in motion holds, its buffers on both sides included.
	Chunk = 64 << 10
	// Small is what is not counted: nobody with so little waits behind large bodies.
	Small = 4 << 10
)

// Need is how many bytes of the budget a body of the given length takes, or one of an unknown length where that is
// negative.
func Need(length int64) int64 {
	switch {
	case length < 0 || length > Keep:
		return Chunk
	case length <= Small:
		return 0
	}
	return length
}

// Budget is the bytes that a process may hold of all bodies together. Whoever needs more waits: that is the
// backpressure.
type Budget struct {
	all  *semaphore.Weighted
	size int64
	// Requests may use half of the whole. They are held until their answers have come, so that these must always find
	// room.
	requests *semaphore.Weighted
}

// NewBudget returns a budget of size bytes, of which there are at least enough for two bodies each way.
func NewBudget(size int64) *Budget {
	size = max(size, 4*Chunk)
	return &Budget{all: semaphore.NewWeighted(size), size: size, requests: semaphore.NewWeighted(size / 2)}
}

// Answer takes n bytes for an answer, or fails once ctx ends.
func (b *Budget) Answer(ctx context.Context, n int64) error {
	if n == 0 {
		return nil // a semaphore would let it stand behind those that wait
	}
	return b.all.Acquire(ctx, n)
}

// AnswerDone gives them back.
func (b *Budget) AnswerDone(n int64) { b.all.Release(n) }

// Request takes n bytes for a request.
func (b *Budget) Request(ctx context.Context, n int64) error {
	if n == 0 {
		return nil
	}
	if err := b.requests.Acquire(ctx, n); err != nil {
		return err
	}
	if err := b.all.Acquire(ctx, n); err != nil {
		b.requests.Release(n)
		return err
	}
	return nil
}

// RequestDone gives them back.
func (b *Budget) RequestDone(n int64) {
	b.all.Release(n)
	b.requests.Release(n)
}

// Lend leaves a part to another process, as soon as it is free, until the returned function is called. It is half of
// what requests can't use: answers still find room.
func (b *Budget) Lend() (back func()) {
	ctx, back := context.WithCancel(context.Background())
	go func() {
		if b.all.Acquire(ctx, b.size/4) == nil {
			<-ctx.Done()
			b.all.Release(b.size / 4)
		}
	}()
	return back
}

// Upload is the body of a request. What is larger than Keep goes from the client's connection straight to the backend
// that takes it first.
type Upload struct {
	Length int64 // -1 where it is not known ahead

	head  []byte
	whole bool
	taken atomic.Bool // what follows the head has been begun: no second attempt can have it
	out   *io.PipeReader
	in    *io.PipeWriter
	ended chan struct{} // closed when the last byte has come, or it is known that it won't
	err   error         // why it won't; set before ended is closed
}

// NewUpload reads a body of the given length, or of an unknown one where that is negative, up to its end or until it
// is more than Keep. Where it is not whole by then, Pump must be called.
func NewUpload(body io.Reader, length int64) (*Upload, error) {
	u := &Upload{Length: length, ended: make(chan struct{})}
	switch {
	case length > Keep: // it won't be whole: there is no use in waiting
	case length >= 0:
		u.head = make([]byte, length)
		if _, err := io.ReadFull(body, u.head); err != nil {
			return nil, err
		}
		u.whole = true
	default:
		var b bytes.Buffer
		n, err := io.Copy(&b, io.LimitReader(body, Keep))
		if err != nil {
			return nil, err
		}
		u.head, u.whole = b.Bytes(), n < Keep
	}
	if u.whole {
		u.Length = int64(len(u.head))
		close(u.ended)
	} else {
		u.out, u.in = io.Pipe()
	}
	return u, nil
}

// Whole tells whether all of it is in hand.
func (u *Upload) Whole() bool { return u.whole }

// Held is how many bytes of the budget it uses.
func (u *Upload) Held() int64 {
	if u.whole {
		return Need(u.Length)
	}
	return Chunk
}

// Spent tells that a part is gone, so that it can't be sent again.
func (u *Upload) Spent() bool { return u.taken.Load() }

// Reader returns the body for one attempt. There is none once it is spent.
func (u *Upload) Reader() io.Reader {
	if u.whole {
		return bytes.NewReader(u.head)
	}
	return io.MultiReader(bytes.NewReader(u.head), firstRead{u})
}

// firstRead marks the body as taken when what follows the head is asked for.
type firstRead struct{ *Upload }

func (r firstRead) Read(p []byte) (int, error) {
	r.taken.Store(true)
	return r.out.Read(p)
}

// Drop ends the attempts' reading: what still comes is read and thrown away.
func (u *Upload) Drop() {
	if !u.whole {
		u.out.CloseWithError(errDropped)
	}
}

var errDropped = errors.New("nobody wants the rest of the body")

// Pump passes the rest of the body on until its end and returns why it could not be read, if so. An attempt that
// reads is told too.
func (u *Upload) Pump(body io.Reader) error {
	defer close(u.ended)
	buf := make([]byte, Chunk/4)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			u.in.Write(buf[:n]) // fails once it was dropped: the rest is read all the same
		}
		if err == io.EOF {
			u.in.Close()
			return nil
		}
		if err != nil {
			u.in.CloseWithError(err)
			u.err = err
			return err
		}
	}
}

// Ended is closed when no more of it comes from the client.
func (u *Upload) Ended() <-chan struct{} { return u.ended }

// Err tells, once it has ended, why the body could not be read to its end.
func (u *Upload) Err() error { return u.err }

// Writer returns a buffered writer to w for a head and a body, and a reader that flushes it before each read of body:
// nothing that has come is held back while more is waited for.
func Writer(w io.Writer, body io.Reader) (*bufio.Writer, io.Reader) {
	bw := bufio.NewWriterSize(w, 4<<10)
	return bw, &flushing{bw, body}
}

type flushing struct {
	w *bufio.Writer
	r io.Reader
}

func (f *flushing) Read(p []byte) (int, error) {
	if err := f.w.Flush(); err != nil {
		return 0, err
	}
	return f.r.Read(p)
}

// Plain hides all of a writer but Write, so that io.Copy uses a buffer of its own.
type Plain struct{ io.Writer }
