package flow

import (
	"io"
	"sync"
)

// spoolBlock is the size in bytes of a spool's blocks. A spool always has room for one.
const spoolBlock = StreamBuffer / 4

// maxReadAhead is how many bytes a spool holds at most. The more it holds, the earlier a client has sent all, and the less
// time is left to a server that reads slowly.
const maxReadAhead = 1 << 20

// spoolBlocks holds blocks for reuse.
var spoolBlocks = sync.Pool{New: func() any { return new([spoolBlock]byte) }}

// spool is a queue of bytes between a writer and a reader. It grows block by block as far as its budget allows; past that
// the writer waits for the reader. It is safe for concurrent use by one writer, one reader and any number of closers.
type spool struct {
	budget *Budget // nil: one block at most

	mu       sync.Mutex
	changed  sync.Cond // signaled whenever a field changes
	blocks   []*[spoolBlock]byte
	start    int   // of the unread bytes in the first block
	end      int   // of the bytes in the last block
	held     int64 // bytes acquired from the budget
	writeErr error // what the reader gets behind the last byte; nil: more may come
	readErr  error // what the writer gets; nil: the reader goes on
}

// newSpool returns an empty spool.
func newSpool(budget *Budget) *spool {
	s := &spool{budget: budget}
	s.changed.L = &s.mu
	return s
}

// Write appends bytes, and waits while there is no room. OnFull is called once before each wait.
func (s *spool) Write(p []byte, onFull func()) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(p) > 0 {
		switch {
		case s.readErr != nil:
			return s.readErr
		case s.grow():
			n := copy(s.blocks[len(s.blocks)-1][s.end:], p)
			s.end += n
			p = p[n:]
			s.changed.Broadcast()
		default:
			onFull()
			s.changed.Wait()
		}
	}
	return s.readErr
}

// grow makes room for at least one byte, and reports whether there is any. The lock is held.
func (s *spool) grow() bool {
	switch {
	case len(s.blocks) > 0 && s.end < spoolBlock:
		return true
	case len(s.blocks) > 0 && (s.budget == nil || s.held >= maxReadAhead || !s.budget.TryReadAhead(spoolBlock, s.held)):
		return false
	case len(s.blocks) > 0:
		s.held += spoolBlock
	}
	s.blocks = append(s.blocks, spoolBlocks.Get().(*[spoolBlock]byte))
	s.end = 0
	return true
}

// Read returns the next bytes, and waits for them.
func (s *spool) Read(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		if s.readErr != nil {
			return 0, s.readErr
		}
		if len(s.blocks) > 0 {
			if n := copy(p, s.first()); n > 0 || len(p) == 0 {
				s.start += n
				s.dropRead()
				return n, nil
			}
		}
		if s.writeErr != nil {
			return 0, s.writeErr
		}
		s.changed.Wait()
	}
}

// first returns the unread bytes of the first block. The lock is held.
func (s *spool) first() []byte {
	if len(s.blocks) == 1 {
		return s.blocks[0][s.start:s.end]
	}
	return s.blocks[0][s.start:]
}

// dropRead drops the first block once it was read. The lock is held.
func (s *spool) dropRead() {
	if len(s.first()) > 0 {
		return
	}
	s.dropFirst()
	s.changed.Broadcast()
}

// dropFirst drops the first block. The lock is held.
func (s *spool) dropFirst() {
	spoolBlocks.Put(s.blocks[0])
	s.blocks[0] = nil
	s.blocks = s.blocks[1:]
	s.start = 0
	if s.held > 0 {
		s.held -= spoolBlock
		s.budget.ReleaseReadAhead(spoolBlock)
	}
}

// closeWrite ends the input: behind the last byte the reader gets err, and io.EOF if it is nil.
func (s *spool) closeWrite(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.writeErr = err; err == nil {
		s.writeErr = io.EOF
	}
	s.changed.Broadcast()
}

// closeRead drops what is in the spool: the writer and the reader get err from now on.
func (s *spool) closeRead(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.readErr != nil {
		return
	}
	s.readErr = err
	for len(s.blocks) > 0 {
		s.dropFirst()
	}
	s.changed.Broadcast()
}
