package core

import (
	"sync/atomic"
	"time"

	"portstall/internal/contract"
	"portstall/policy"
)

// Body is the part of a request after its head.
type Body interface {
	// Spent reports whether a part of the body has been consumed, so that a retry can't send it any more.
	Spent() bool
}

// Payload is the content of a served request's response. Its holder calls Release exactly once.
type Payload interface{ Release() }

// Request is one client request. The front sets the exported fields before Begin, and they are not changed afterwards.
// The unexported ones are guarded by the core's lock, except clientGone and the channel.
type Request struct {
	ID, Class, Tenant string
	IdempotencyKey    string          // empty if the client sent none
	Repeat            bool            // the client marked it as a repeat of an earlier request
	CostHint          float64         // expected cost in seconds; 0 if not specified
	Caller            contract.Caller // identity by which the contract is found
	Arrived           time.Duration   // when its last byte arrived, or its head if the body is still to come
	Timeout           time.Duration   // how long its client waits, counted from Arrived
	Body              Body
	Message           any // what the front has read and the Sender sends
	// KeyWindow is how long its key binds the request to the servers that share keys; 0: not. Cells set it in Place, and
	// it stays whatever settings follow.
	KeyWindow time.Duration
	// ClientLeft reports, without blocking, whether the client has disconnected, which may be before ClientGone is
	// called. It is nil where that can't be determined. It is called from the attempts' goroutines.
	ClientLeft func() bool
	// StillValid reports whether what the front looked up for the request is still current. It is nil if the front
	// looked up nothing. It is called with the core's lock held, in the same critical section in which the contract and
	// the cell are looked up. Begin does not accept the request if it returns false.
	StillValid func() bool
	// BeforeWait is called without the core's lock before Begin waits for the successor's reply, which takes 0.2 s at
	// most and during which the client may disconnect. It may be nil.
	BeforeWait func()

	clientGone   atomic.Bool // set by ClientGone
	deadline     time.Duration
	attempts     []*Attempt
	openAttempts int
	run          *policy.Run // the first ended attempt that may have run, of an earlier request with its id too; nil: none
	responded    bool
	written      bool // the client has the response, or can't get it any more
	spilled      bool // it was submitted again for the servers that Cells.Spill returned
	admission    admission
	response     chan Response // has room for the one final response, so that sending never blocks
}

// Response returns the channel on which the one final response arrives. The receiver calls Core.ResponseWritten once it
// has passed the response on.
func (r *Request) Response() <-chan Response { return r.response }

// Await waits for the final response. ok is false if end was closed before the response arrived; the caller must then
// call Core.ClientGone.
func (r *Request) Await(end <-chan struct{}) (response Response, ok bool) {
	select {
	case response = <-r.response:
		return response, true
	case <-end:
	}
	select {
	case response = <-r.response: // it arrived before end was closed
		return response, true
	default:
		return Response{}, false
	}
}

// ResponseKind is the kind of a final response.
type ResponseKind uint8

const (
	// Served responses carry a web server's response.
	Served ResponseKind = iota
	// Refused requests did not run, or all that ran may be repeated: the client may retry.
	Refused
	// Failed requests may or may not have run.
	Failed
	// RejectedByContract requests did not run, because a contract does not admit them.
	RejectedByContract
)

// Response is the final response to a request.
type Response struct {
	Kind       ResponseKind
	RetryAfter time.Duration // for Refused and RejectedByContract; 0 if not specified
	Payload    Payload       // for Served; the receiver of the response releases it
	Rule       contract.Rule // for RejectedByContract: the rule that the request exceeded
	Contract   string        // for RejectedByContract: the contract; empty if the caller has none
}
