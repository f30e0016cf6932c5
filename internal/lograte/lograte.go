// Package lograte limits how many records a logger writes, so that events which clients or servers can cause at any rate
// may be logged one by one.
package lograte

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

// Limit bounds the records of a handler: a burst at once, and the rate from then on.
type Limit struct {
	PerSecond float64
	Burst     float64
}

// handler passes records on within a limit. Handlers that were derived from one another share the limit.
type handler struct {
	next   slog.Handler
	bucket *bucket
}

// NewHandler returns a handler that passes records to next within the limit. Now is its clock, and does not step when
// the system clock is set. The first record after others were dropped states their number.
func NewHandler(next slog.Handler, limit Limit, now func() time.Duration) slog.Handler {
	return &handler{next, &bucket{limit: limit, now: now, tokens: limit.Burst, filledAt: now()}}
}

// Enabled reports whether the next handler handles records of a level.
func (h *handler) Enabled(ctx context.Context, level slog.Level) bool {
	return h.next.Enabled(ctx, level)
}

// Handle passes a record on, or drops it beyond the limit.
func (h *handler) Handle(ctx context.Context, r slog.Record) error {
	dropped, ok := h.bucket.take()
	if !ok {
		return nil
	}
	if dropped > 0 {
		r.AddAttrs(slog.Int("dropped_before", dropped))
	}
	return h.next.Handle(ctx, r)
}

// WithAttrs returns a handler with further attributes, under the same limit.
func (h *handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &handler{h.next.WithAttrs(attrs), h.bucket}
}

// WithGroup returns a handler with a group, under the same limit.
func (h *handler) WithGroup(name string) slog.Handler {
	return &handler{h.next.WithGroup(name), h.bucket}
}

// bucket is a token bucket that counts what it denies.
type bucket struct {
	limit Limit
	now   func() time.Duration

	mu       sync.Mutex
	tokens   float64
	filledAt time.Duration
	dropped  int // since the last record that was passed on
}

// take takes one token and returns how many records were dropped before; false without a token.
func (b *bucket) take() (dropped int, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	b.tokens = min(b.limit.Burst, b.tokens+(now-b.filledAt).Seconds()*b.limit.PerSecond)
	b.filledAt = now
	if b.tokens < 1 {
		b.dropped++
		return 0, false
	}
	b.tokens--
	dropped, b.dropped = b.dropped, 0
	return dropped, true
}
