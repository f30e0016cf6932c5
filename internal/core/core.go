// Package core manages the life cycle of requests at one node. A front hands each request in, the contracts admit it,
// the policy routes it, a Sender sends it as often as both allow, and it gets exactly one final response. The package
// defines the order of the node's events. It knows no protocol and no socket, and takes the time from its Clock.
package core

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"portstall/internal/contract"
	"portstall/internal/handover"
	"portstall/policy"
)

// Clock returns the current time and runs functions later. Clocks in production return Unix time that advances evenly
// even when the system's clock is set.
type Clock interface {
	Now() time.Duration
	AfterFunc(d time.Duration, f func())
}

// Body is the part of a request after its head.
type Body interface {
	// Spent reports whether a part of the body has been consumed, so that a retry can't send it any more.
	Spent() bool
}

// Payload is the content of a served request's response. Its holder calls Release exactly once.
type Payload interface{ Release() }

// Sender sends attempts to web servers.
type Sender interface {
	// Attempt sends a request once and waits for the outcome. It returns only after nothing more of the attempt can
	// reach its server, so that the next attempt is never a concurrent second copy. It runs in a goroutine of its own.
	// ctx ends when the attempt is given up, with ErrCanceled as its cause, or when the core is closed.
	Attempt(ctx context.Context, a *Attempt) Result
}

// Discovery provides the web servers. Its methods are called with the core's lock held, and must not block.
type Discovery interface {
	// Server returns what the Sender needs to reach the server with the policy's number, and false if no server list
	// has it any more.
	Server(number uint32) (any, bool)
	// Watch subscribes to changes of the server list.
	Watch()
	// Fetch requests the complete server list once.
	Fetch()
}

// Cells restrict which web servers a request may be sent to. Their methods are called with the core's lock held, and
// must not block. Servers are identified by the policy's numbers. A returned list must not be modified.
type Cells interface {
	// Place returns the servers that a request may be sent to; nil means all. If ambiguous is true it may be sent to
	// none, and is refused.
	Place(now time.Duration, r *Request) (candidates []uint32, ambiguous bool)
	// Sent records that a request is sent to a server.
	Sent(now time.Duration, r *Request, server uint32)
	// Ended records how an attempt of a request ended.
	Ended(now time.Duration, r *Request, outcome policy.Outcome)
	// Spill returns the servers outside its cell that a request may be sent to which no server of its cell accepted and
	// which was sent nowhere; nil means none.
	Spill(now time.Duration, r *Request) []uint32
}

// ErrCanceled is the cause with which an attempt's context ends when the policy needs the attempt no more.
var ErrCanceled = errors.New("attempt canceled")

// Successor is the process that takes over from this one. It decides which request ids may begin here.
type Successor interface {
	// Claim asks whether a request that ends by the given time may begin. It waits a short time for the reply.
	Claim(id string, until time.Duration) handover.Verdict
	// Ended reports that a request has ended. It is called with the core's lock held, and must not block.
	Ended(id string)
}

// busyRetryAfter is the Retry-After of a request for which the successor did not reply whether it may begin.
const busyRetryAfter = 250 * time.Millisecond

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

// Attempt is one send of a request to a web server.
type Attempt struct {
	Request      *Request
	Index        int
	Server       any           // as Discovery returned it
	Timeout      time.Duration // the attempt is given up after this time
	serverNumber uint32
	sentAt       time.Duration
	cancel       context.CancelCauseFunc
}

// Wanted reports, without blocking, whether the client still waits for the attempt. A Sender calls it before it sends
// the first byte, so that a request is not sent on whose client disconnected while the request waited for a slot or a
// connection. It is safe for concurrent use.
func (a *Attempt) Wanted() bool {
	r := a.Request
	return !r.clientGone.Load() && (r.ClientLeft == nil || !r.ClientLeft())
}

// Result is the end of an attempt.
type Result struct {
	Outcome     policy.Outcome
	Load        policy.Load
	Payload     Payload       // set if the outcome is OK
	FirstByteAt time.Duration // when the first byte of a response arrived, on the Clock; 0 if none did
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

// Core holds a node's requests and hands the node's events to the policy one by one. All methods are safe for
// concurrent use; those whose comments say so must be called with the lock held.
type Core struct {
	sync.Mutex // guards all mutable state and orders the events; nothing waits for a socket while holding it

	clock           Clock
	sender          Sender
	discovery       Discovery
	cells           Cells // nil without cells
	log             *slog.Logger
	clientRoundTrip time.Duration
	finalResponseBy func() time.Duration
	ctx             context.Context // ends when the core is closed; parent of the attempts' contexts
	cancel          context.CancelFunc
	wg              sync.WaitGroup

	balancer     *policy.Balancer
	ledger       *contract.Ledger // nil without contracts
	initialShare float64          // share of the contracts that this node hands out at first
	actions      []policy.Action
	requests     map[string]*Request // by request id
	stall        stall               // latest time in which this process did not run
	requestIDs   handover.RequestIDs // requests that other processes of this node have open
	successor    Successor           // is asked before each request; nil if there is none
}

// Options are the parts that a Core is built from.
type Options struct {
	Clock           Clock
	Sender          Sender
	Discovery       Discovery
	Cells           Cells // nil without cells
	Log             *slog.Logger
	ClientRoundTrip time.Duration // network time to a client and back, which is subtracted from each request's timeout
	// FinalResponseBy returns the latest time, on the Clock, for the final response to a request whose last byte arrives
	// now; 0 if there is none, which nil stands for as well. It is called with the lock held, and must not block.
	FinalResponseBy func() time.Duration
}

// New returns a Core whose policy starts with the seed. The caller must call Close.
func New(set policy.Settings, seed uint64, o Options) (*Core, error) {
	balancer, err := policy.New(set, seed)
	if err != nil {
		return nil, err
	}
	c := &Core{clock: o.Clock, sender: o.Sender, discovery: o.Discovery, cells: o.Cells, log: o.Log, clientRoundTrip: o.ClientRoundTrip, finalResponseBy: o.FinalResponseBy, balancer: balancer,
		initialShare: 1 / float64(max(1, set.Nodes)), requests: map[string]*Request{}}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c, nil
}

// Context returns a context that ends when the core is closed.
func (c *Core) Context() context.Context { return c.ctx }

// Now returns the Clock's time.
func (c *Core) Now() time.Duration { return c.clock.Now() }

// LimitTimeout returns the timeout of a request whose last byte arrives now, shortened so that its final response is out
// by Options.FinalResponseBy. It is safe for concurrent use with or without the lock.
func (c *Core) LimitTimeout(timeout time.Duration) time.Duration {
	if c.finalResponseBy == nil {
		return timeout
	}
	by := c.finalResponseBy()
	if by == 0 {
		return timeout
	}
	return min(timeout, by-c.Now()-c.clientRoundTrip)
}

// MustRespond reports whether all requests that are still incomplete need their final response now: one whose last byte
// arrived later would have no time left. It is safe for concurrent use with or without the lock.
func (c *Core) MustRespond() bool { return c.LimitTimeout(time.Nanosecond) <= 0 }

// Go runs f in a goroutine that Close waits for. It must be called with the lock held, or before the core is shared.
func (c *Core) Go(f func()) {
	c.wg.Add(1)
	go func() {
		defer c.wg.Done()
		f()
	}()
}

// Close cancels all open attempts and waits for them to end.
func (c *Core) Close() {
	// The lock is held here and at each call of Go: a timer may be about to start an attempt, and none does after this.
	c.Lock()
	c.cancel()
	c.Unlock()
	c.wg.Wait()
}

// Begin accepts a request and returns true, unless a request with its id is open or what its front looked up is no
// longer valid. The final response arrives on Response.
func (c *Core) Begin(r *Request) bool {
	c.Lock()
	defer c.Unlock()
	now := c.Now()
	verdict := c.requestIDs.Begin(now, r.ID, c.requests[r.ID] != nil)
	if verdict == handover.AskFirst {
		successor := c.successor
		c.Unlock()
		if r.BeforeWait != nil {
			r.BeforeWait()
		}
		verdict = successor.Claim(r.ID, now+r.Timeout)
		c.Lock()
		c.requestIDs.Resolved(r.ID)
		now = c.Now()
		if verdict != handover.AlreadyOpen {
			defer func() {
				if c.requests[r.ID] == nil { // it was not accepted, or has ended already
					successor.Ended(r.ID)
				}
			}()
		}
	}
	switch verdict {
	case handover.AlreadyOpen:
		return false
	case handover.Undecided: // nothing was sent, and the process that serves now can't be asked
		r.response = make(chan Response, 1)
		r.responded = true
		r.response <- Response{Kind: Refused, RetryAfter: busyRetryAfter}
		return true
	}
	if r.StillValid != nil && !r.StillValid() {
		return false
	}
	// The client must have the response before its timeout: the network time there and back and the time that the
	// request has spent here are subtracted.
	remaining := max(0, c.LimitTimeout(r.Timeout-(now-c.stall.timeoutStart(r.Arrived))-c.clientRoundTrip))
	r.deadline, r.response = now+remaining, make(chan Response, 1)
	if !c.admit(now, r) {
		return true
	}
	c.requests[r.ID] = r
	var candidates []uint32
	if c.cells != nil {
		var ambiguous bool
		if candidates, ambiguous = c.cells.Place(now, r); ambiguous {
			c.respond(r.ID, Response{Kind: Refused, RetryAfter: time.Second})
			return true
		}
	}
	c.submit(now, r, candidates)
	return true
}

// submit hands a request to the policy with the servers that it may be sent to; nil means all.
func (c *Core) submit(now time.Duration, r *Request, candidates []uint32) {
	c.handleAt(now, &policy.Event{Kind: policy.EvRequest, ID: r.ID, Class: r.Class, Tenant: r.Tenant, TimeLeft: r.deadline - now,
		Repeat: r.Repeat, OverQuota: r.admission.verdict.OverQuota, Candidates: candidates})
}

// ClientGone reports that a request's client has disconnected. The response, if there is one, is released. attempted is
// true if an attempt was started, so that the request may have run.
func (c *Core) ClientGone(r *Request) (attempted bool) {
	r.clientGone.Store(true)
	c.Lock()
	defer c.Unlock()
	attempted = len(r.attempts) > 0
	if r.responded {
		releasePayload((<-r.response).Payload)
		r.written = true
		c.removeIfDone(r)
		return attempted
	}
	r.responded, r.written = true, true
	c.handleAt(c.Now(), &policy.Event{Kind: policy.EvClientGone, ID: r.ID})
	c.removeIfDone(r)
	return attempted
}

// ResponseWritten reports that the client has the response to a request, or can't get it any more. Until then the
// request's id stays open: a large response is still on its way from the web server, and another request with that id
// would be a second copy there.
func (c *Core) ResponseWritten(r *Request) {
	c.Lock()
	defer c.Unlock()
	r.written = true
	c.removeIfDone(r)
}

// releasePayload releases a payload, which may be nil.
func releasePayload(p Payload) {
	if p != nil {
		p.Release()
	}
}

// BodyArrived reports that the last byte of a body which was incomplete at Begin has arrived, or can't arrive any more.
// The request's timeout starts here, and is limited by the time that is left now.
func (c *Core) BodyArrived(a *Attempt) {
	c.Lock()
	defer c.Unlock()
	a.Request.deadline = c.Now() + c.LimitTimeout(a.Request.Timeout-c.clientRoundTrip)
}

// Uploaded reports that the last byte of a body which was incomplete at Begin has been sent to the server. The attempt's
// latency counts from here.
func (c *Core) Uploaded(a *Attempt) {
	c.Lock()
	defer c.Unlock()
	a.sentAt = c.Now()
}

// Established gives a request its final response while the attempt goes on, for a request that asks for a connection to
// the server itself. The attempt counts as in flight until it ends. It returns false if the request has its response
// already; the payload is then not taken over.
func (c *Core) Established(a *Attempt, p Payload) bool {
	c.Lock()
	defer c.Unlock()
	r := a.Request
	if r.responded {
		return false
	}
	r.responded = true
	r.response <- Response{Kind: Served, Payload: p}
	return true
}

// attemptEnded hands an attempt's outcome to the policy, and passes on the response of a successful one.
func (c *Core) attemptEnded(a *Attempt, res Result) {
	c.Lock()
	defer c.Unlock()
	r := a.Request
	r.openAttempts--
	if res.Outcome == policy.OK && !r.responded {
		r.responded = true
		r.response <- Response{Kind: Served, Payload: res.Payload}
	} else {
		releasePayload(res.Payload) // the request has its response already, or the attempt was not served
	}
	now := c.Now()
	if c.cells != nil {
		c.cells.Ended(now, r, res.Outcome)
	}
	elapsed := now - a.sentAt
	if res.FirstByteAt > 0 { // the time after the first byte depends on the network and on the body's size
		elapsed = max(0, res.FirstByteAt-a.sentAt)
	}
	r.admission.serverTime += now - a.sentAt
	spent := r.Body.Spent() || !r.responded && !c.mayRetry(now, r)
	c.handleAt(now, &policy.Event{Kind: policy.EvOutcome, ID: r.ID, Server: a.serverNumber, Attempt: a.Index,
		Elapsed: elapsed, Final: r.responded, BodySpent: spent, Outcome: res.Outcome, Load: res.Load})
	c.removeIfDone(r)
}

// respond gives a request its final response, unless it has one.
func (c *Core) respond(id string, response Response) {
	if r := c.requests[id]; r != nil && !r.responded {
		r.responded = true
		r.response <- response
		c.removeIfDone(r)
	}
}

// removeIfDone settles a request's contract as soon as it has its response and no open attempt, and removes the request
// once the response is written as well.
func (c *Core) removeIfDone(r *Request) {
	// A request that the contracts rejected was never added, and has no contract to settle.
	if c.requests[r.ID] != r || !r.responded || r.openAttempts > 0 {
		return
	}
	c.settleAdmission(r)
	if r.written {
		delete(c.requests, r.ID)
		if c.successor != nil {
			c.successor.Ended(r.ID)
		}
	}
}

// Handle hands an event to the policy and carries out the resulting actions. The lock must be held.
func (c *Core) Handle(ev *policy.Event) { c.handleAt(c.Now(), ev) }

// handleAt hands an event to the policy and carries out the resulting actions in their order.
func (c *Core) handleAt(now time.Duration, ev *policy.Event) {
	c.actions = c.balancer.Handle(now, ev, c.actions[:0])
	var spilled *Request // an event refuses at most one request
	var candidates []uint32
	for i := range c.actions {
		a := &c.actions[i]
		switch a.Kind {
		case policy.ActSend:
			c.startAttempt(now, a)
		case policy.ActCancel:
			if r := c.requests[a.ID]; r != nil && a.Attempt < len(r.attempts) {
				r.attempts[a.Attempt].cancel(ErrCanceled)
			}
		case policy.ActRefuse:
			if r := c.requests[a.ID]; c.cells != nil && r != nil && len(r.attempts) == 0 && !r.spilled && !r.responded {
				if candidates = c.cells.Spill(now, r); candidates != nil {
					r.spilled, spilled = true, r
					continue
				}
			}
			c.respond(a.ID, Response{Kind: Refused, RetryAfter: a.Wait})
		case policy.ActFail:
			c.respond(a.ID, Response{Kind: Failed})
		case policy.ActTimer:
			token := a.Token
			c.stall.timerSet(now, a.At)
			c.clock.AfterFunc(a.At-now, func() { c.timerFired(token) })
		case policy.ActWatch:
			c.discovery.Watch()
		case policy.ActFetch:
			c.discovery.Fetch()
		case policy.ActLog:
			c.log.Info(a.Text)
		}
	}
	if spilled != nil { // after all other actions of this event
		c.submit(now, spilled, candidates)
	}
}

// timerFired hands a timer event to the policy, unless the core is closed.
func (c *Core) timerFired(token string) {
	c.Lock()
	defer c.Unlock()
	if c.ctx.Err() == nil {
		c.Handle(&policy.Event{Kind: policy.EvTimer, Token: token})
	}
}

// startAttempt starts an attempt. Its outcome is always handed to the policy later.
func (c *Core) startAttempt(now time.Duration, act *policy.Action) {
	r := c.requests[act.ID]
	if r == nil {
		return
	}
	a := &Attempt{Request: r, Index: len(r.attempts), serverNumber: act.Server, sentAt: now, Timeout: r.deadline - now}
	if act.Wait > 0 {
		a.Timeout = min(a.Timeout, act.Wait)
	}
	var known bool
	a.Server, known = c.discovery.Server(act.Server)
	ctx, cancel := context.WithCancelCause(c.ctx)
	a.cancel = cancel
	r.attempts = append(r.attempts, a)
	r.openAttempts++
	if c.cells != nil && known {
		c.cells.Sent(now, r, act.Server)
	}
	c.Go(func() {
		defer cancel(nil)
		res := Result{Outcome: policy.NeverSent}
		if known { // otherwise it is never sent
			res = c.sender.Attempt(ctx, a)
		}
		c.attemptEnded(a, res)
	})
}

// RequestIDs returns the tracker of requests that other processes of this node have open. The lock must be held.
func (c *Core) RequestIDs() *handover.RequestIDs { return &c.requestIDs }

// Claim decides whether another process may begin a request.
func (c *Core) Claim(from handover.Peer, id string, until time.Duration) handover.Verdict {
	c.Lock()
	defer c.Unlock()
	return c.requestIDs.Claim(c.Now(), from, id, c.requests[id] != nil, until)
}

// SetSuccessor makes another process decide from now on which requests may begin here; with nil this one decides again.
// The lock must be held.
func (c *Core) SetSuccessor(to Successor) { c.successor, c.requestIDs.AskSuccessor = to, to != nil }

// OpenRequests returns the ids of the requests that are open here or about to begin, with their deadlines. The lock
// must be held.
func (c *Core) OpenRequests() map[string]time.Duration {
	open := make(map[string]time.Duration, len(c.requests))
	for id, r := range c.requests {
		open[id] = r.deadline
	}
	for _, id := range c.requestIDs.Pending() {
		open[id] = c.Now() + time.Minute // its timeout is not known here; its end is reported
	}
	return open
}

// LatestDeadline returns the latest deadline of the requests whose clients do not have the final response yet; 0 if there
// are none. A request counts for longest at most after it arrived, however long its client says that it waits.
func (c *Core) LatestDeadline(longest time.Duration) time.Duration {
	c.Lock()
	defer c.Unlock()
	var latest time.Duration
	for _, r := range c.requests {
		if !r.written {
			latest = max(latest, min(r.deadline, r.Arrived+longest))
		}
	}
	return latest
}

// LearnedState returns what the policy has learned. The lock must be held.
func (c *Core) LearnedState() *policy.LearnedState { return c.balancer.LearnedState() }

// Adopt gives the policy what another process has learned. It is called after the server list is set and before the
// first request. The lock must be held.
func (c *Core) Adopt(l *policy.LearnedState) { c.balancer.Adopt(c.Now(), l) }
