// Package message is what fronts and backs that speak HTTP/1.1 pass each other through the core.
package message

import (
	"errors"
	"io"

	"portstall/internal/flow"
)

// Max is how large a request's or an answer's body may be, in bytes.
const Max = 32 << 20

// HeadSize bounds the head of a request, in bytes, and with it what any front reads ahead.
const HeadSize = 16 << 10

// ErrTooLarge says that a body is larger than Max.
var ErrTooLarge = errors.New("too large a body")

// Headers are those that a request may carry to a web server, each once; the platform's protocol knows no others.
var Headers = []string{"X-Request-Id", "X-Class", "X-Tenant", "X-Deadline", "X-Retry", "X-Cost-Hint", "X-Extras", "Idempotency-Key"}

// Answer is what a web server answered, once it has proved sound. It is a core.Payload; its owner releases it.
type Answer struct {
	Type   string        // its Content-Type; empty: none
	Body   []byte        // whole,
	Stream io.ReadCloser // or, where it is large, still on its way,
	Length int64         // with its length; -1 where that is not known ahead
	Held   int64         // bytes of the budget for Body
	Budget *flow.Budget
}

// Release gives back what the answer held, whether it was passed on or not.
func (a *Answer) Release() {
	a.Budget.AnswerDone(a.Held)
	if a.Stream != nil {
		a.Stream.Close()
	}
}
