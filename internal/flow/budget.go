package flow

import (
	"context"
	"sync"

	"golang.org/x/sync/semaphore"
)

// BudgetFor returns how many bytes of the budget a body of the given length needs; a negative length means unknown.
func BudgetFor(length int64) int64 {
	switch {
	case length < 0 || length > MaxBuffered:
		return StreamBuffer
	case length <= MaxUncounted:
		return 0
	}
	return length
}

// Budget limits the bytes that a process holds of all bodies together. A body that needs more waits, which gives
// backpressure. It is safe for concurrent use.
type Budget struct {
	total *semaphore.Weighted
	size  int64
	// requests limits requests to half of the total. Requests hold their bytes until their responses have arrived, so
	// responses must always be able to make progress.
	requests *semaphore.Weighted
	// streams limits streamed responses to three fourths of the total: however slowly their clients read, the buffered
	// responses of others find room.
	streams *semaphore.Weighted

	mu        sync.Mutex
	readAhead int64 // bytes of request bodies that were read ahead of their servers
}

// maxReadAheadShare is the part of the total that request bodies read ahead of their servers may take: half of what
// requests can have, so that others still begin.
const maxReadAheadShare = 4

// NewBudget returns a budget of size bytes, and at least of enough for two bodies in each direction.
func NewBudget(size int64) *Budget {
	size = max(size, 4*StreamBuffer)
	return &Budget{total: semaphore.NewWeighted(size), size: size, requests: semaphore.NewWeighted(size / 2),
		streams: semaphore.NewWeighted(size / 4 * 3)}
}

// AcquireResponse takes n bytes for a response body. It waits until they are free and fails once ctx ends.
func (b *Budget) AcquireResponse(ctx context.Context, n int64) error {
	if n == 0 {
		return nil // the semaphore would queue it behind those that wait
	}
	return b.total.Acquire(ctx, n)
}

// ReleaseResponse returns n bytes taken by AcquireResponse.
func (b *Budget) ReleaseResponse(n int64) { b.total.Release(n) }

// Share is what one response body holds of a budget. The zero value holds nothing.
type Share struct {
	budget *Budget
	bytes  int64
	stream bool // it counts among the streams
}

// AcquireShare takes what a response body of the given length needs; a negative length means unknown. It waits until that
// is free and fails once ctx ends.
func (b *Budget) AcquireShare(ctx context.Context, length int64) (Share, error) {
	share := Share{b, BudgetFor(length), length < 0 || length > MaxBuffered}
	if share.stream {
		if err := b.streams.Acquire(ctx, share.bytes); err != nil {
			return Share{}, err
		}
	}
	if err := b.AcquireResponse(ctx, share.bytes); err != nil {
		share.SetBuffered()
		return Share{}, err
	}
	return share, nil
}

// SetBuffered records that the body turned out to be buffered completely.
func (s *Share) SetBuffered() {
	if s.stream {
		s.budget.streams.Release(s.bytes)
		s.stream = false
	}
}

// Release returns what the share holds. It must be called once for all copies of a Share.
func (s Share) Release() {
	if s.budget != nil {
		s.SetBuffered()
		s.budget.ReleaseResponse(s.bytes)
	}
}

// AcquireRequest takes n bytes for a request body. It waits until they are free and fails once ctx ends.
func (b *Budget) AcquireRequest(ctx context.Context, n int64) error {
	if n == 0 {
		return nil
	}
	if err := b.requests.Acquire(ctx, n); err != nil {
		return err
	}
	if err := b.total.Acquire(ctx, n); err != nil {
		b.requests.Release(n)
		return err
	}
	return nil
}

// ReleaseRequest returns n bytes taken by AcquireRequest.
func (b *Budget) ReleaseRequest(n int64) {
	b.total.Release(n)
	b.requests.Release(n)
}

// TryReadAhead takes n bytes to read a request body ahead of its server, which holds as many as held for that already. It
// never waits. A body gets no more than is left for others, so that one can't take what several need.
func (b *Budget) TryReadAhead(n, held int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if free := b.size/maxReadAheadShare - b.readAhead; held+n > free {
		return false
	}
	if !b.requests.TryAcquire(n) {
		return false
	}
	if !b.total.TryAcquire(n) {
		b.requests.Release(n)
		return false
	}
	b.readAhead += n
	return true
}

// ReleaseReadAhead returns n bytes taken by TryReadAhead.
func (b *Budget) ReleaseReadAhead(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.readAhead -= n
	b.ReleaseRequest(n)
}

// LendToSuccessor takes a quarter of the budget as soon as it is free, so that another process can use it, until the
// returned function is called. This is half of what requests cannot use, so responses still make progress.
func (b *Budget) LendToSuccessor() (release func()) {
	ctx, release := context.WithCancel(context.Background())
	go func() {
		if b.total.Acquire(ctx, b.size/4) == nil {
			<-ctx.Done()
			b.total.Release(b.size / 4)
		}
	}()
	return release
}
