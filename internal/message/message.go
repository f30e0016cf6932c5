// Package message defines the messages and limits that fronts and backs speaking HTTP/1.1 exchange through the core.
package message

import (
	"errors"
	"io"

	"portstall/internal/flow"
)

// MaxBody is the maximum size of a request or response body, in bytes.
const MaxBody = 32 << 20

// MaxHead is the maximum size of a request head, in bytes. It also limits what a front reads ahead.
const MaxHead = 16 << 10

// ErrBodyTooLarge means that a body is larger than MaxBody.
var ErrBodyTooLarge = errors.New("body too large")

// ForwardedHeaders are the headers of a request that are forwarded to a web server, each at most once. The platform's
// protocol defines no others.
var ForwardedHeaders = []string{"X-Request-Id", "X-Class", "X-Tenant", "X-Deadline", "X-Retry", "X-Cost-Hint", "X-Extras", "Idempotency-Key"}

// Response is a valid response of a web server. It is a core.Payload; its owner must release it once.
type Response struct {
	ContentType string        // Content-Type; empty: none
	Body        []byte        // complete body, if Stream is nil
	Stream      io.ReadCloser // large body that is still being received; nil: Body is complete
	Length      int64         // length of the streamed body; -1 if not known in advance
	Interrupt   func()        // makes a read of Stream that waits fail; safe for concurrent use. Set with Stream
	Share       flow.Share    // what Body holds of the budget; zero if Stream is set, which holds its own
}

// Release returns what the response held, whether it was forwarded or not.
func (r *Response) Release() {
	r.Share.Release()
	if r.Stream != nil {
		r.Stream.Close()
	}
}
