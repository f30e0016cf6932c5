package http

import (
	"errors"
	"io"
	"sync"
	"time"
)

const (
	// maxHeldBack is how long the beginning of a response of unknown length is held back while more of it arrives.
	maxHeldBack = 500 * time.Millisecond
	// maxSilentHold is how long it is held back in all, also if nothing more arrives: a client allows less than 2 s.
	maxSilentHold = 1500 * time.Millisecond
	// startedBytes is how many bytes of a body show that its web server writes one that may be large. A body that stops
	// before is not awaited.
	startedBytes = 4 << 10
	// lateStartWait is how long a body has for so many bytes once its attempt's time is up: half a second behind that its
	// client takes the request for lost.
	lateStartWait = 400 * time.Millisecond
)

// errStopped reports a body that stopped soon after its beginning.
var errStopped = errors.New("the response stopped at its beginning")

// beginning reads the first bytes of a response's body in a goroutine of its own, so that its holder can pass them on at
// any moment and lose nothing of a read that waits.
type beginning struct {
	body  io.Reader
	limit int
	done  chan struct{} // closed once the goroutine reads no more
	// startBy is set by await if the attempt's time is up: by then startedBytes must have arrived. Zero: no limit.
	startBy time.Time

	mu       sync.Mutex
	bytes    []byte
	err      error // why the reading ended before the limit; io.EOF: the body is complete
	released bool  // the holder wants no more than the read in progress
}

// readBeginning starts to read up to limit bytes of a body.
func readBeginning(body io.Reader, limit int) *beginning {
	b := &beginning{body: body, limit: limit, done: make(chan struct{})}
	go b.run()
	return b
}

// run reads until the limit, an error, or the first read behind release.
func (b *beginning) run() {
	defer close(b.done)
	piece := make([]byte, digestPrefix)
	for left := b.limit; left > 0; {
		n, err := b.body.Read(piece[:min(len(piece), left)])
		left -= n
		b.mu.Lock()
		b.bytes = append(b.bytes, piece[:n]...)
		b.err = err
		stop := err != nil || b.released && n > 0
		b.mu.Unlock()
		if stop {
			return
		}
	}
}

// await waits until the limit or the end of the body is reached, and reports whether the response is whole or failed by
// then. It returns false, with more to come, once passOn is closed or the response was held back for long enough. A body
// that stops before startedBytes has failed.
func (b *beginning) await(passOn <-chan struct{}) (ended bool, err error) {
	moving, silent := time.NewTimer(maxHeldBack), time.NewTimer(maxSilentHold)
	defer moving.Stop()
	defer silent.Stop()
	for {
		select {
		case <-b.done:
			return b.outcome()
		case <-moving.C:
			b.release()
		case <-passOn:
			b.release()
			b.startBy = time.Now().Add(lateStartWait)
			return false, nil
		case <-silent.C:
			b.release()
			if len(b.read()) < startedBytes {
				return true, errStopped
			}
			return false, nil
		}
	}
}

// release lets the goroutine end with the next bytes that it reads.
func (b *beginning) release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.released = true
}

// outcome returns how the reading ended. It must be called once done is closed.
func (b *beginning) outcome() (ended bool, err error) {
	if b.err == io.EOF {
		return true, nil
	}
	return b.err != nil, b.err
}

// read returns what was read so far.
func (b *beginning) read() []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.bytes[:len(b.bytes):len(b.bytes)]
}

// reader returns a reader of all that the goroutine reads. Its end is io.EOF unless the reading failed: the rest of the
// body follows in the body itself.
func (b *beginning) reader() io.Reader { return &beginningReader{beginning: b} }

// beginningReader is the reader of a beginning.
type beginningReader struct {
	*beginning
	position int
}

// Read returns bytes that have been read, and waits for the read in progress behind them.
func (r *beginningReader) Read(p []byte) (int, error) {
	for {
		all := r.read()
		if n := copy(p, all[r.position:]); n > 0 {
			r.position += n
			return n, nil
		}
		if err := r.awaitMore(); err != nil {
			return 0, err
		}
		if r.position < len(r.read()) {
			continue
		}
		if _, err := r.outcome(); err != nil {
			return 0, err
		}
		return 0, io.EOF
	}
}

// awaitMore waits for the read in progress, until startBy where that applies.
func (r *beginningReader) awaitMore() error {
	if r.startBy.IsZero() || r.position >= startedBytes {
		<-r.done
		return nil
	}
	limit := time.NewTimer(time.Until(r.startBy))
	defer limit.Stop()
	select {
	case <-r.done:
		return nil
	case <-limit.C:
		return errStopped
	}
}
