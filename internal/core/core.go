// Package core manages the life cycle of requests at one node. A front hands each request in, the contracts admit it,
// the policy routes it, a Sender sends it as often as both allow, and it gets exactly one final response. The package
// defines the order of the node's events. It knows no protocol and no socket, and takes the time from its Clock.
package core

import (
	"context"
	"log/slog"
	"sync"
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

// Begin accepts a request and returns true, unless a request with its id is open, or may have run at another process, or
// what its front looked up is no longer valid. The final response arrives on Response.
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
		verdict = successor.Claim(r.ID, now+c.LimitTimeout(r.Timeout))
		c.Lock()
		c.requestIDs.Resolved(r.ID)
		now = c.Now()
		if verdict != handover.AlreadyOpen {
			defer func() {
				if c.requests[r.ID] == nil { // it was not accepted, or has ended already
					successor.Ended(r.ID, 0)
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
	if run, known := c.requestIDs.Run(now, r.ID); known {
		r.run = &run
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
		Repeat: r.Repeat, OverQuota: r.admission.verdict.OverQuota, Candidates: candidates, Ran: r.run})
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
		until := c.rememberRun(r)
		if c.successor != nil {
			c.successor.Ended(r.ID, until)
		}
	}
}

// rememberRun remembers a request that may have run, unless any number of runs does no harm: a later one with its id is
// treated as a further attempt of it. It returns until when; 0: not at all.
func (c *Core) rememberRun(r *Request) (until time.Duration) {
	if r.run == nil || c.balancer.Effect(r.Class) == policy.Safe {
		return 0
	}
	return c.requestIDs.Ended(c.Now(), r.ID, *r.run)
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
