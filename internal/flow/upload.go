package flow

import (
	"bytes"
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// Upload is the body of a request. A body larger than MaxBuffered is streamed from the client's connection to the first
// web server that reads it. It is read ahead of a server that is slower, as far as Budget allows, so that its end and that
// of its client are seen. Pump and the reader of the attempt run concurrently.
type Upload struct {
	Length int64 // -1 if not known in advance
	Source Source
	Budget *Budget // for what is read ahead; nil: no more than a buffer is. Set before Pump is called

	head     []byte
	complete bool
	restRead atomic.Bool // reading of the bytes behind head has begun: no other attempt can send the body
	rest     *spool
	pumped   atomic.Int64  // bytes behind head that Pump has read
	buffered atomic.Int64  // bytes behind these in the reader that Pump reads from
	ended    chan struct{} // closed once the last byte has been read, or is known not to arrive
	err      error         // why the last byte will not arrive; set before ended is closed

	mu sync.Mutex
	// blockedAt is when Pump began to wait for the server; zero: all input was read since. From then on the client may have
	// sent its last byte.
	blockedAt time.Time
	blocked   bool        // Pump waits for the server
	marks     []time.Time // when each further markInterval of the body had been read
}

const (
	// maxPeerBuffer is how many bytes of its writes a client's kernel holds at most, by Linux's default.
	maxPeerBuffer = 4 << 20
	// markInterval is the distance in bytes of the marks of an Upload.
	markInterval = 256 << 10
)

// Source tells how much of a body has arrived and is not read yet. Its functions do not wait; a nil function stands for
// nothing.
type Source struct {
	Buffered func() int // bytes in the reader that Pump reads from; called by Pump
	Unread   func() int // bytes in the client's socket; called from any goroutine
}

// NewUpload reads a body of the given length (negative: unknown) up to its end, or until it exceeds MaxBuffered. If it
// is not complete then, Pump must be called.
func NewUpload(body io.Reader, length int64) (*Upload, error) {
	u := &Upload{Length: length, ended: make(chan struct{})}
	switch {
	case length > MaxBuffered: // it cannot be complete: nothing is gained by waiting
	case length >= 0:
		u.head = make([]byte, length)
		if _, err := io.ReadFull(body, u.head); err != nil {
			return nil, err
		}
		u.complete = true
	default:
		var err error
		if u.head, u.complete, err = readHead(body); err != nil {
			return nil, err
		}
	}
	if u.complete {
		u.Length = int64(len(u.head))
		close(u.ended)
	}
	return u, nil
}

// readHead reads up to MaxBuffered bytes of a body of unknown length, in a buffer that is no larger than these, and reports
// whether that is all of it.
func readHead(body io.Reader) (head []byte, complete bool, err error) {
	for {
		if len(head) == cap(head) {
			if len(head) == MaxBuffered {
				return head, false, nil
			}
			grown := make([]byte, len(head), max(MaxUncounted, 4*len(head)))
			copy(grown, head)
			head = grown
		}
		n, err := body.Read(head[len(head):cap(head)])
		head = head[:len(head)+n]
		if err == io.EOF {
			return head, true, nil
		} else if err != nil {
			return nil, false, err
		}
	}
}

// Complete reports whether the whole body is buffered.
func (u *Upload) Complete() bool { return u.complete }

// HeldBytes returns how many bytes of the budget the body uses, besides what is read ahead.
func (u *Upload) HeldBytes() int64 {
	if u.complete {
		return BudgetFor(u.Length)
	}
	return StreamBuffer
}

// Spent reports whether bytes of the body are no longer available, so that it cannot be sent again.
func (u *Upload) Spent() bool { return u.restRead.Load() }

// Reader returns the body for one attempt. It must not be called once the body is spent.
func (u *Upload) Reader() io.Reader {
	if u.complete {
		return bytes.NewReader(u.head)
	}
	return io.MultiReader(bytes.NewReader(u.head), markingReader{u})
}

// markingReader marks the body as spent when the bytes behind the head are read.
type markingReader struct{ *Upload }

func (r markingReader) Read(p []byte) (int, error) {
	r.restRead.Store(true)
	return r.spool().Read(p)
}

// spool returns the queue of the bytes behind the head.
func (u *Upload) spool() *spool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.rest == nil {
		u.rest = newSpool(u.Budget)
	}
	return u.rest
}

// Discard stops the reading by attempts: whatever still arrives is read and discarded.
func (u *Upload) Discard() {
	if !u.complete {
		u.spool().closeRead(errDiscarded)
	}
}

var errDiscarded = errors.New("rest of the request body discarded")

// Pump forwards the rest of the body until its end, and returns the error if it cannot be read. An attempt that reads
// the body gets the same error.
func (u *Upload) Pump(body io.Reader) error {
	defer close(u.ended)
	rest, buf := u.spool(), make([]byte, StreamBuffer/4)
	for {
		u.checkInput()
		n, err := body.Read(buf)
		if u.Source.Buffered != nil {
			u.buffered.Store(int64(u.Source.Buffered()))
		}
		u.addPumped(n) // last, so that Arrived never counts a byte twice
		if n > 0 {
			rest.Write(buf[:n], u.serverAwaited) // fails after Discard: the rest is read nevertheless
			u.serverReady()
		}
		if err == io.EOF {
			rest.closeWrite(nil)
			return nil
		}
		if err != nil {
			rest.closeWrite(err)
			u.err = err
			return err
		}
	}
}

// checkInput is called before more input is read. If none is there, the client had not sent its last byte.
func (u *Upload) checkInput() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.blockedAt.IsZero() && u.unread() == 0 {
		u.blockedAt = time.Time{}
	}
}

// serverAwaited records that Pump begins to wait for the server.
func (u *Upload) serverAwaited() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.blocked = true
	if u.blockedAt.IsZero() {
		u.blockedAt = time.Now()
	}
}

// addPumped records that Pump has read n more bytes.
func (u *Upload) addPumped(n int) {
	pumped := u.pumped.Add(int64(n))
	if int(pumped/markInterval) == len(u.marks) { // marks is written by Pump alone
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	for now := time.Now(); len(u.marks) < int(pumped/markInterval); {
		u.marks = append(u.marks, now)
	}
}

// reached returns when so many bytes behind head had been read; zero: they have not, or at once. The lock is held.
func (u *Upload) reached(bytes int64) (at time.Time, done bool) {
	i := bytes/markInterval - 1
	switch {
	case i < 0:
		return time.Time{}, true
	case i < int64(len(u.marks)):
		return u.marks[i], true
	}
	return time.Time{}, false
}

// serverReady records that Pump waits for the server no more.
func (u *Upload) serverReady() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.blocked = false
}

// WaitingSince returns, without waiting, since when the client may have been waiting for its response: from when Pump had
// to wait for the server with input unread, but not while more of the body was to come than the client's kernel holds. A
// zero time means that the client has not sent its last byte, or has just done so. It is safe for concurrent use with
// Pump.
func (u *Upload) WaitingSince() time.Time {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.blocked && u.unread() == 0 {
		u.blockedAt = time.Now() // all input has been read, and the body goes on
	}
	if u.blockedAt.IsZero() {
		return time.Time{}
	}
	end := u.Length - int64(len(u.head)) // bytes behind head
	if u.Length < 0 {
		end = u.pumped.Load() // at least
	}
	possible, done := u.reached(end - maxPeerBuffer)
	switch {
	case !done:
		return time.Time{}
	case possible.After(u.blockedAt):
		return possible
	}
	return u.blockedAt
}

// unread returns how many bytes of the body are known to be unread; -1 where that is not known.
func (u *Upload) unread() int64 {
	if u.Source.Unread == nil {
		return -1
	}
	return u.buffered.Load() + int64(u.Source.Unread())
}

// Arrived reports, without waiting, whether the last byte of the body is known to have arrived at this machine. It is safe
// for concurrent use with Pump.
func (u *Upload) Arrived() bool {
	select {
	case <-u.ended:
		return u.err == nil
	default:
	}
	unread := u.unread()
	return u.Length >= 0 && unread >= 0 && int64(len(u.head))+u.pumped.Load()+unread >= u.Length
}

// Ended returns a channel that is closed once no more of the body is read from the client.
func (u *Upload) Ended() <-chan struct{} { return u.ended }

// Err returns, after Ended is closed, why the body could not be read to its end.
func (u *Upload) Err() error { return u.err }
