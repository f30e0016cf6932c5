// Package core is the life of requests at one node: each is taken from a front, let in by the contracts, decided on by the
// policy, carried out by a back as often as both allow, and given exactly one final answer. It owns the order of the node's
// events. It knows no protocol and no socket, and its time is its Clock's.
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

// Clock tells the time and wakes. Real ones tell Unix time that runs on evenly when the system's clock is set.
type Clock interface {
	Now() time.Duration
	AfterFunc(d time.Duration, f func())
}

// Body is what a request carries beyond its head.
type Body interface {
	// Spent tells whether a part of it is gone, so that no further attempt can have it.
	Spent() bool
}

// Payload is what a served request's answer consists of. Whoever holds one releases it once.
type Payload interface{ Release() }

// Back carries out attempts.
type Back interface {
	// Attempt sends a request once and waits for what comes of it. It returns only after nothing more of the attempt can
	// reach its server, so that one that follows is never a second copy. It runs in a goroutine of its own; ctx ends when the
	// attempt is given up, with ErrCanceled as its cause, or the node ends.
	Attempt(ctx context.Context, a *Attempt) Result
}

// Roster knows the web servers. Its methods are called with the core's lock held, and must not wait.
type Roster interface {
	// Server is what the back is to be told of a server by the policy's number; false: it is in no list any more.
	Server(number uint32) (any, bool)
	Watch() // ask for changes from now on
	Fetch() // ask for the whole list once
}

// Cells say where requests may go. Their methods are called with the core's lock held, and must not wait. Servers go by the
// policy's numbers, and lists of them are not changed afterwards.
type Cells interface {
	// Place tells to which servers a request may go; nil: to all. Doubt: to none, and it is turned away.
	Place(now time.Duration, r *Request) (among []uint32, doubt bool)
	// Sent tells that a request is sent to a server.
	Sent(now time.Duration, r *Request, server uint32)
	// Ended tells how an attempt of a request ended.
	Ended(now time.Duration, r *Request, outcome policy.Outcome)
	// Spill tells to which servers a request may go that no server of its own took, and that was sent nowhere; nil: nowhere.
	Spill(now time.Duration, r *Request) []uint32
}

// ErrCanceled is why an attempt's context ends when nobody waits for the attempt any more.
var ErrCanceled = errors.New("the attempt was cancelled")

// Heir is the process that takes over from this one, and decides which ids may begin here.
type Successor interface {
	// Claim asks whether a request may begin that lasts until then at most. It waits for the answer, for a short time.
	Claim(id string, until time.Duration) handover.Verdict
	// Ended tells that a request has ended. It is called with the core's lock held, and must not wait.
	Ended(id string)
}

// busyAfter is when a client is to come back whose request met a successor that did not say whether it may begin.
const busyRetryAfter = 250 * time.Millisecond

// Request is one client request. Its fields are set by the front before Begin and not changed afterwards.
type Request struct {
	ID, Class, Tenant string
	Key               string          // its idempotency key, where it has one
	Repeat            bool            // a client's repeat of an earlier try, where it says so
	Hint              float64         // expected cost in seconds; 0: none was told
	Caller            contract.Caller // who asks
	Arrived           time.Duration   // when its last byte was there, or its head where the body is still to come
	Patience          time.Duration   // how long its client waits from then
	Body              Body
	Message           any // what the front has read and the back sends
	// Left tells, without waiting, whether its client has left, though Gone may not have been called yet; nil: that can't be
	// told. It is called from the attempts' goroutines.
	Left func() bool
	// Holds tells whether what the front looked up for it is still so; nil: it looked nothing up. It is called with the core's lock
	// held, in the hold in which its contract and its cell are looked up. Where it is not so Begin takes nothing.
	Holds func() bool
	// Waits is called, without the core's lock, before Begin waits for a successor's word (0.2 s at most): a client may leave
	// meanwhile. Nil: nothing is to be done then.
	Waits func()

	clientGone   atomic.Bool // Gone was called
	deadline     time.Duration
	attempts     []*Attempt
	openAttempts int
	responded    bool
	written      bool // its answer is with the client, or nobody waits for one
	spilled      bool // it goes to its cell's neighbour
	admission    admission
	response     chan Answer // holds the one final answer; never blocks
}

// Answer is where the request's one final answer comes. Whoever takes it tells Written once it has passed it on.
func (r *Request) Answer() <-chan Answer { return r.response }

// Await waits for the one final answer, or until end is closed before that came: not ok, and Gone is to be told.
func (r *Request) Await(end <-chan struct{}) (a Answer, ok bool) {
	select {
	case a = <-r.response:
		return a, true
	case <-end:
	}
	select {
	case a = <-r.response: // it was first
		return a, true
	default:
		return Answer{}, false
	}
}

// Attempt is one send of a request to a web server.
type Attempt struct {
	Request      *Request
	Index        int
	Server       any           // as the Roster knew it
	Wait         time.Duration // it is given up after that
	serverNumber uint32
	sentAt       time.Duration
	cancel       context.CancelCauseFunc
}

// Wanted tells, without waiting, whether anybody waits for the attempt. A back asks it before the first byte: a request whose
// client left while it waited for a place or a connection is not sent on. It is safe for concurrent use.
func (a *Attempt) Wanted() bool {
	r := a.Request
	return !r.clientGone.Load() && (r.Left == nil || !r.Left())
}

// Result is how an attempt ended.
type Result struct {
	Outcome policy.Outcome
	Load    policy.Load
	Payload Payload       // of one that is OK
	First   time.Duration // when the first byte of an answer came, on the Clock; 0: none did
}

// Kind is what a final answer says.
type ResponseKind uint8

const (
	Served             ResponseKind = iota
	Refused                         // nothing ran, or all that ran may be repeated: the client may try again
	Failed                          // no promise
	RejectedByContract              // the contracts refuse it: nothing ran
)

// Answer is the final answer to a request.
type Answer struct {
	Kind       ResponseKind
	RetryAfter time.Duration // of Refused and Barred; 0: nothing is said
	Payload    Payload       // of Served; whoever takes the answer releases it
	Rule       contract.Rule // of Barred: what was passed,
	Contract   string        // and in which contract; empty: there is none for the caller
}

// Core holds a node's requests. All its methods are safe for concurrent use; those that say so want the lock held.
type Core struct {
	sync.Mutex // whoever holds it hands in the next event; nothing under it waits for a socket

	clock           Clock
	sender          Back
	discovery       Roster
	cells           Cells // nil: there are none
	log             *slog.Logger
	clientRoundTrip time.Duration
	ctx             context.Context // ends when the node does; attempts hang on it
	cancel          context.CancelFunc
	wg              sync.WaitGroup

	balancer     *policy.Balancer
	ledger       *contract.Ledger // nil where there are no contracts
	initialShare float64          // part of them that this node hands out to begin with
	actions      []policy.Action
	requests     map[string]*Request // by the clients' ids
	stall        stall               // when this process did not run
	requestIDs   handover.Ids        // those that other processes of this node have open
	successor    Successor           // is asked before each request; nil: nobody is
}

// Options are what a core is made of.
type Options struct {
	Clock   Clock
	Back    Back
	Roster  Roster
	Cells   Cells // nil: there are none
	Log     *slog.Logger
	Transit time.Duration // the way to a client and back, which is off each request's patience
}

// New makes a core that decides by a policy started with the seed. It is to be closed.
func New(set policy.Settings, seed uint64, o Options) (*Core, error) {
	bal, err := policy.New(set, seed)
	if err != nil {
		return nil, err
	}
	c := &Core{clock: o.Clock, sender: o.Back, discovery: o.Roster, cells: o.Cells, log: o.Log, clientRoundTrip: o.Transit, balancer: bal,
		initialShare: 1 / float64(max(1, set.Nodes)), requests: map[string]*Request{}}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c, nil
}

// Context ends when the core is closed.
func (c *Core) Context() context.Context { return c.ctx }

// Now is the clock's time.
func (c *Core) Now() time.Duration { return c.clock.Now() }

// Go runs f in a goroutine that Close waits for. The lock is held, or the core is not shared yet.
func (c *Core) Go(f func()) {
	c.wg.Add(1)
	go func() {
		defer c.wg.Done()
		f()
	}()
}

// Close gives up what is under way and waits for it to end.
func (c *Core) Close() {
	// Under the lock, which each Go holds too: a timer may be about to start something. None does after this.
	c.Lock()
	c.cancel()
	c.Unlock()
	c.wg.Wait()
}

// Begin takes a request, unless one with its id is open or what its front looked up holds no longer. Its final answer comes on
// Answer.
func (c *Core) Begin(r *Request) bool {
	c.Lock()
	defer c.Unlock()
	now := c.Now()
	verdict := c.requestIDs.Begin(now, r.ID, c.requests[r.ID] != nil)
	if verdict == handover.Ask {
		heir := c.successor
		c.Unlock()
		if r.Waits != nil {
			r.Waits()
		}
		verdict = heir.Claim(r.ID, now+r.Patience)
		c.Lock()
		c.requestIDs.Answered(r.ID)
		now = c.Now()
		if verdict != handover.Open {
			defer func() {
				if c.requests[r.ID] == nil { // it was not taken, or is over already
					heir.Ended(r.ID)
				}
			}()
		}
	}
	switch verdict {
	case handover.Open:
		return false
	case handover.Busy: // nothing was sent, and who serves now can't be asked
		r.response = make(chan Answer, 1)
		r.responded = true
		r.response <- Answer{Kind: Refused, RetryAfter: busyRetryAfter}
		return true
	}
	if r.Holds != nil && !r.Holds() {
		return false
	}
	// The answer must be with the client when its time is up: the way there and back and the time that the
	// request has spent here are off.
	left := max(0, r.Patience-(now-c.stall.timeoutStart(r.Arrived))-c.clientRoundTrip)
	r.deadline, r.response = now+left, make(chan Answer, 1)
	if !c.admit(now, r) {
		return true
	}
	c.requests[r.ID] = r
	var among []uint32
	if c.cells != nil {
		var doubt bool
		if among, doubt = c.cells.Place(now, r); doubt {
			c.respond(r.ID, Answer{Kind: Refused, RetryAfter: time.Second})
			return true
		}
	}
	c.submit(now, r, among)
	return true
}

// offer hands a request to the policy, for some servers or (nil) all.
func (c *Core) submit(now time.Duration, r *Request, among []uint32) {
	c.handleAt(now, &policy.Event{Kind: policy.EvRequest, ID: r.ID, Class: r.Class, Tenant: r.Tenant, Left: r.deadline - now,
		Repeat: r.Repeat, Borrowed: r.admission.verdict.Borrowed, Among: among})
}

// Gone tells that a request's client has left. Its answer, if it has one, is released. Tried: an attempt was begun, so that the
// request may have run.
func (c *Core) Gone(r *Request) (tried bool) {
	r.clientGone.Store(true)
	c.Lock()
	defer c.Unlock()
	tried = len(r.attempts) > 0
	if r.responded {
		releasePayload((<-r.response).Payload)
		r.written = true
		c.removeIfDone(r)
		return tried
	}
	r.responded, r.written = true, true
	c.handleAt(c.Now(), &policy.Event{Kind: policy.EvGone, ID: r.ID})
	c.removeIfDone(r)
	return tried
}

// Written tells that a request's answer is with its client, or can't be any more. Until then its id stays open: a large answer
// is still on its way from its server, and another request of that id would be a second copy there.
func (c *Core) Written(r *Request) {
	c.Lock()
	defer c.Unlock()
	r.written = true
	c.removeIfDone(r)
}

func releasePayload(p Payload) {
	if p != nil {
		p.Release()
	}
}

// Uploaded notes that the last byte of a body that was not whole at the start has come: the request's time begins.
func (c *Core) Uploaded(a *Attempt) {
	c.Lock()
	defer c.Unlock()
	a.sentAt = c.Now()
	a.Request.deadline = a.sentAt + a.Request.Patience - c.clientRoundTrip
}

// Established gives a request its final answer while its attempt goes on: what was asked for is the way to the server itself.
// The attempt counts as work in flight until it ends. False: the request has its answer, and nobody takes the payload.
func (c *Core) Established(a *Attempt, p Payload) bool {
	c.Lock()
	defer c.Unlock()
	r := a.Request
	if r.responded {
		return false
	}
	r.responded = true
	r.response <- Answer{Kind: Served, Payload: p}
	return true
}

// ended hands in an attempt's outcome, and passes on the answer of one that was served.
func (c *Core) attemptEnded(a *Attempt, res Result) {
	c.Lock()
	defer c.Unlock()
	r := a.Request
	r.openAttempts--
	if res.Outcome == policy.OK && !r.responded {
		r.responded = true
		r.response <- Answer{Kind: Served, Payload: res.Payload}
	} else {
		releasePayload(res.Payload) // nobody waits for it
	}
	now := c.Now()
	if c.cells != nil {
		c.cells.Ended(now, r, res.Outcome)
	}
	took := now - a.sentAt
	if res.First > 0 { // what follows tells of the network and of the body's size
		took = max(0, res.First-a.sentAt)
	}
	r.admission.serverTime += now - a.sentAt
	spent := r.Body.Spent() || !r.responded && !c.mayRetry(now, r)
	c.handleAt(now, &policy.Event{Kind: policy.EvOutcome, ID: r.ID, Server: a.serverNumber, Attempt: a.Index,
		Took: took, Last: r.responded, Spent: spent, Outcome: res.Outcome, Load: res.Load})
	c.removeIfDone(r)
}

// finish gives a request its final answer, unless it has one.
func (c *Core) respond(id string, a Answer) {
	if r := c.requests[id]; r != nil && !r.responded {
		r.responded = true
		r.response <- a
		c.removeIfDone(r)
	}
}

// forget drops a request that nothing more can come of. Its contract is settled as soon as no attempt is out.
func (c *Core) removeIfDone(r *Request) {
	if c.requests[r.ID] != r || !r.responded || r.openAttempts > 0 { // one that was barred is not held, and owes no contract
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

// Handle hands one event to the policy and carries out what it wants. The lock is held.
func (c *Core) Handle(ev *policy.Event) { c.handleAt(c.Now(), ev) }

// handle carries out what the policy wants, in its order.
func (c *Core) handleAt(now time.Duration, ev *policy.Event) {
	c.actions = c.balancer.Handle(now, ev, c.actions[:0])
	var spilt *Request // an event refuses one request at most
	var among []uint32
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
				if among = c.cells.Spill(now, r); among != nil {
					r.spilled, spilt = true, r
					continue
				}
			}
			c.respond(a.ID, Answer{Kind: Refused, RetryAfter: a.Wait})
		case policy.ActFail:
			c.respond(a.ID, Answer{Kind: Failed})
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
	if spilt != nil { // once all that was wanted before is done
		c.submit(now, spilt, among)
	}
}

// due hands in a timer.
func (c *Core) timerFired(token string) {
	c.Lock()
	defer c.Unlock()
	if c.ctx.Err() == nil {
		c.Handle(&policy.Event{Kind: policy.EvTimer, Token: token})
	}
}

// send starts an attempt. Its outcome is handed in later, whatever comes of it.
func (c *Core) startAttempt(now time.Duration, act *policy.Action) {
	r := c.requests[act.ID]
	if r == nil {
		return
	}
	a := &Attempt{Request: r, Index: len(r.attempts), serverNumber: act.Server, sentAt: now, Wait: r.deadline - now}
	if act.Wait > 0 {
		a.Wait = min(a.Wait, act.Wait)
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
		res := Result{Outcome: policy.Moot}
		if known { // else it is never sent
			res = c.sender.Attempt(ctx, a)
		}
		c.attemptEnded(a, res)
	})
}

// Ids are the requests that other processes of this node have open. The lock is held.
func (c *Core) Ids() *handover.Ids { return &c.requestIDs }

// Claim takes in that another process wants to begin a request.
func (c *Core) Claim(from handover.Peer, id string, until time.Duration) handover.Verdict {
	c.Lock()
	defer c.Unlock()
	return c.requestIDs.Claim(c.Now(), from, id, c.requests[id] != nil, until)
}

// Yield lets another process decide from now on which requests may begin here; nil: this one decides again. The lock is held.
func (c *Core) Yield(to Successor) { c.successor, c.requestIDs.Asks = to, to != nil }

// Open names the requests that are open here, or are to begin, and until when. The lock is held.
func (c *Core) Open() map[string]time.Duration {
	open := make(map[string]time.Duration, len(c.requests))
	for id, r := range c.requests {
		open[id] = r.deadline
	}
	for _, id := range c.requestIDs.Asked() {
		open[id] = c.Now() + time.Minute // its patience is not known here; its end is told
	}
	return open
}

// Learnt is what the policy has learnt. The lock is held.
func (c *Core) Learnt() *policy.Learnt { return c.balancer.Learnt() }

// Adopt gives the policy what another process has learnt, behind the list and before any request. The lock is held.
func (c *Core) Adopt(l *policy.Learnt) { c.balancer.Adopt(c.Now(), l) }
