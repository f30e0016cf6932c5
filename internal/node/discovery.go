package node

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"portstall/internal/back"
	"portstall/policy"
)

const (
	watchRest = 50 * time.Millisecond // between watches that are answered at once; within 200 ms a watch goes on
	maxList   = 16 << 20
	lastStart = math.MaxInt64 / int64(time.Millisecond) // what is later than this would wrap around to long ago: warm
)

// list is discovery's answer.
type list struct {
	Version int64         `json:"version"`
	Full    bool          `json:"full"`
	Servers []listed      `json:"servers"`
	came    time.Duration // when its first byte was there, on the node's clock: it was told before; 0: as it is handled
}

type listed struct {
	ID        string `json:"id"`
	Addr      string `json:"addr"`
	Zone      string `json:"zone"`
	Kind      string `json:"kind"`
	Cell      int64  `json:"cell"`
	State     string `json:"state"`
	StartedMS int64  `json:"started_ms"`
}

// discovery keeps a node's list up to date from one address. Another address means another discovery.
type discovery struct {
	node  *node
	http  *http.Client
	addr  string
	ctx   context.Context // ends when this discovery is left; only under the core's lock
	leave context.CancelFunc

	watching bool          // guarded by the core's lock
	rhythm   rhythm        // the watch loop's: what it has seen of discovery outlasts a loss
	whole    bool          // its whole list is still to be asked for: its versions tell nothing before; guarded by the core's lock
	told     time.Duration // what it has counts as told then, whether or not it was asked; 0: it is not said. Set before it is shared
}

func newDiscovery(n *node, addr string) *discovery {
	d := &discovery{node: n, addr: addr, http: &http.Client{Transport: &http.Transport{DisableCompression: true,
		DialContext: (&net.Dialer{Timeout: dialWait}).DialContext}}}
	d.ctx, d.leave = context.WithCancel(n.core.Context())
	return d
}

// follow turns to another discovery. The backends stay until it tells its list. The core's lock is held.
func (n *node) follow(addr string) {
	n.log.Info("following another discovery", "from", n.disc.addr, "to", addr)
	old := n.disc
	old.leave()
	n.disc = newDiscovery(n, addr)
	n.disc.whole, n.disc.told = true, n.core.Now()+reloadTold
	n.disc.watch()
	old.http.CloseIdleConnections()
}

// watch starts the watch loop unless it runs. The core's lock is held.
func (d *discovery) watch() {
	if d.watching {
		return
	}
	d.watching = true
	d.node.core.Go(d.loop)
}

// loop watches until the discovery is left. Where lists are pushed, or a fresh one is owed, it goes on after a failure;
// elsewhere a failure is told to the policy, which says when to ask again.
func (d *discovery) loop() {
	r := &d.rhythm
	r.resume()
	for d.ctx.Err() == nil {
		begun, set := time.Now(), d.node.set.Load().Policy // a reload may have changed them
		r.push, r.grace = !set.MustAsk, set.DrainGrace
		d.node.core.Lock()
		since, whole := d.node.version, d.whole
		d.node.core.Unlock()
		if whole && d.told > 0 {
			r.owe(d.told)
		}
		wait, limit := r.call(whole, rand.Float64())
		if t := d.node.cfg.watch; t != nil {
			wait, limit = t(wait, limit)
		}
		r.begin(d.node.core.Now())
		over := r.began + wait
		query := fmt.Sprintf("?since=%d&timeout_ms=%d", since, wait.Milliseconds())
		if whole {
			query = ""
		}
		l, how, err := d.call(query, limit, r.body()+d.node.cfg.slack)
		if err == nil {
			r.answered(d.node.core.Now(), whole || l.Full || len(l.Servers) > 0)
			kind := policy.ListDelta
			if whole || l.Full {
				kind = policy.ListFull
			}
			d.news(l, kind, true)
			if rest := watchRest - time.Since(begun); rest > 0 {
				sleep(d.ctx, rest)
			}
			continue
		}
		if d.ctx.Err() != nil {
			return
		}
		d.node.log.Warn("watching discovery failed", "err", err)
		rest, again := r.failed(d.node.core.Now(), over, how, rand.Float64())
		if !again {
			d.lost()
			return
		}
		sleep(d.ctx, rest)
	}
}

// lost tells the policy that the watch is over.
func (d *discovery) lost() {
	n := d.node
	n.core.Lock()
	defer n.core.Unlock()
	d.watching = false
	if d.ctx.Err() == nil {
		n.core.Handle(&policy.Event{Kind: policy.EvList, List: policy.ListFailed})
	}
}

// fetch asks for the whole list once. The core's lock is held.
func (d *discovery) fetch() {
	n := d.node
	n.core.Go(func() {
		l, _, err := d.call("", fetchWait, fetchWait)
		if err == nil {
			d.news(l, policy.ListFull, false)
			return
		}
		n.log.Warn("asking discovery failed", "err", err)
		n.core.Lock()
		defer n.core.Unlock()
		if d.ctx.Err() == nil {
			n.core.Handle(&policy.Event{Kind: policy.EvList, List: policy.ListFailed})
		}
	})
}

// call asks once. The answer is to begin within a limit, and to be whole within another one from its first byte on.
func (d *discovery) call(query string, limit, body time.Duration) (l *list, how failure, err error) {
	ctx, cancel := context.WithCancel(d.ctx)
	defer cancel()
	var late atomic.Bool
	end := time.AfterFunc(limit, func() {
		late.Store(true)
		cancel()
	})
	defer end.Stop()
	var came atomic.Int64
	defer func() {
		switch {
		case err == nil:
		case came.Load() > 0:
			how = brokenOff
		case late.Load():
			how, err = noAnswer, fmt.Errorf("no answer within %v: %w", limit, err)
		}
	}()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotFirstResponseByte: func() {
		came.Store(int64(d.node.core.Now()))
		end.Reset(body)
	}})
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.addr+"/v1/endpoints"+query, nil)
	if err != nil {
		return nil, failedCall, err
	}
	resp, err := d.http.Do(req)
	if err != nil {
		return nil, failedCall, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxList))
	if err != nil {
		return nil, failedCall, err
	}
	if resp.StatusCode != http.StatusOK {
		came.Store(0) // it tells nothing of the list
		return nil, turnedAway, errors.New("discovery answered " + strconv.Itoa(resp.StatusCode))
	}
	l = &list{came: time.Duration(came.Load())}
	if err := json.Unmarshal(text, l); err != nil {
		return nil, failedCall, fmt.Errorf("discovery's list: %w", err)
	}
	return l, failedCall, nil
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// news takes in an answer of discovery, unless it has been left or what it tells is older than what is known: a
// whole list asked for and a watch may cross.
func (d *discovery) news(l *list, kind policy.ListKind, watched bool) {
	n := d.node
	n.core.Lock()
	defer n.core.Unlock()
	old := l.Version <= n.version
	if kind == policy.ListFull { // a watch's comes also from a discovery that counts anew
		old = l.Version < n.version && !watched && !d.whole
	}
	if old || d.ctx.Err() != nil {
		return
	}
	d.whole = false
	n.takeList(l, kind)
}

// takeList brings the node's backends up to date and hands the list to the policy. The core's lock is held.
func (n *node) takeList(l *list, kind policy.ListKind) {
	told := cmp.Or(l.came, n.core.Now())
	// A whole list may be an older one than what is known: its sender lags behind the one that told it, or counts anew. It
	// brings back nobody who was told to drain or to be gone; a later one, or a start since, does.
	older := kind == policy.ListFull && l.Version < n.version
	n.version = l.Version
	entries := make([]policy.Entry, 0, len(l.Servers))
	seen := map[string]bool{}
	for i := range l.Servers {
		seen[l.Servers[i].ID] = true
	}
	for i := range l.Servers {
		s := &l.Servers[i]
		if s.ID == "" || s.Addr == "" && n.names[s.ID] == nil {
			continue // nothing can be sent there
		}
		e := policy.Entry{Zone: s.Zone, Cell: s.Cell, Kind: s.Kind,
			Launched: max(time.Duration(min(s.StartedMS, lastStart))*time.Millisecond, n.hand.returned[s.ID])}
		switch s.State {
		case "Ready":
		case "Gone":
			e.State = policy.Left
		default: // Terminating, or a state that is not known here: nothing new for either
			e.State = policy.Leaving
		}
		b := n.names[s.ID]
		if older && b == nil && n.isPast(s) {
			continue
		}
		if older && b != nil && b.Stop.Load() != 0 && b.started == s.StartedMS && e.State == policy.Active {
			e.State = policy.Leaving
		}
		if b != nil && b.Addr != s.Addr && s.Addr != "" {
			// Another address is another process, even where the start time does not tell.
			entries = append(entries, policy.Entry{ID: b.number, State: policy.Left})
			n.drop(b, told)
			b = nil
		}
		switch {
		case b == nil && e.State == policy.Left:
			continue
		case b == nil:
			for _, o := range n.addrs[s.Addr] {
				if !o.left && !seen[o.ID] {
					// Its process can't be there any more: what goes to its address reaches the new one.
					entries = append(entries, policy.Entry{ID: o.number, State: policy.Left})
					n.drop(o, told)
				}
			}
			n.nextNum++
			b = &backend{number: n.nextNum, started: s.StartedMS, Server: &back.Server{ID: s.ID, Addr: s.Addr, Via: n.way(s.ID), Gate: n.gate(s.ID), Now: n.core.Now}}
		case b.started != s.StartedMS:
			old := b
			// the policy tells the two apart by the start
			b = &backend{number: old.number, started: s.StartedMS, Server: &back.Server{ID: s.ID, Addr: s.Addr, Via: old.Via, Gate: old.Gate, Now: n.core.Now}}
			n.pool.Clear(old.Server, true)
			n.drainBackend(old, told) // a send that holds it passes no other stop
		}
		entry := *s
		b.entry = &entry
		n.enlist(b)
		e.ID = b.number
		entries = append(entries, e)
		switch e.State {
		case policy.Active:
			b.left = false
			b.Stop.Store(0)
		case policy.Leaving:
			n.drainBackend(b, told)
		case policy.Left:
			n.drop(b, told)
		}
		n.cells.changed(b)
	}
	if kind != policy.ListDelta {
		for id, b := range n.names {
			if !seen[id] {
				n.drop(b, told)
			}
		}
	}
	n.core.Handle(&policy.Event{Kind: policy.EvList, List: kind, Entries: entries})
	n.hand.listed(n, n.core.Now())
	if n.checker != nil {
		for _, e := range entries {
			if b := n.backends[e.ID]; b != nil {
				n.checker.listed(b)
			}
		}
	}
	n.ready = false
	for _, b := range n.names {
		if b.Stop.Load() == 0 {
			n.ready = true
			break
		}
	}
}

// enlist makes a backend the one of its id, number and address.
func (n *node) enlist(b *backend) {
	if old := n.names[b.ID]; old != b {
		n.delist(old)
		n.names[b.ID], n.addrs[b.Addr] = b, append(n.addrs[b.Addr], b)
	}
	n.backends[b.number] = b
}

// delist forgets the backend of an id, which may be none.
func (n *node) delist(b *backend) {
	if b == nil {
		return
	}
	delete(n.names, b.ID)
	n.addrs[b.Addr] = slices.DeleteFunc(n.addrs[b.Addr], func(o *backend) bool { return o == b })
	if len(n.addrs[b.Addr]) == 0 {
		delete(n.addrs, b.Addr)
	}
}

// drainBackend lets nothing new be written to a backend once its grace is over, less what the news took on the way. Told is
// when they came, on the node's clock. The core's lock is held.
func (n *node) drainBackend(b *backend, told time.Duration) {
	stop := told + n.set.Load().Policy.DrainGrace*9/10
	if b.Stop.CompareAndSwap(0, int64(stop)) {
		// Behind the grace, so that no tunnel that still comes to stand within it is missed.
		time.AfterFunc(stop-n.core.Now(), func() {
			if b.Stop.Load() != 0 {
				n.opaque.Drain(b.Server)
			}
		})
	}
}

// drop takes a backend off the list. It stays known until its grace is over: the policy may go on with the
// last of a list that came empty, and a backend that is listed again keeps its number and its connections. Told is as for
// drainBackend.
func (n *node) drop(b *backend, told time.Duration) {
	if b.left {
		return
	}
	b.left = true
	n.drainBackend(b, told)
	n.cells.changed(b)
	n.checker.listed(b)
	stop := b.Stop.Load()
	time.AfterFunc(n.set.Load().Policy.DrainGrace, func() {
		n.core.Lock()
		defer n.core.Unlock()
		if !b.left || b.Stop.Load() != stop {
			return // listed again meanwhile
		}
		if n.names[b.ID] == b {
			n.delist(b)
			n.toPast(b)
		}
		if n.backends[b.number] == b {
			delete(n.backends, b.number)
		}
		n.pool.Clear(b.Server, true)
	})
}

// past is a web server that was told to be gone, so that an older list does not bring it back.
type past struct {
	started int64
	since   time.Duration
}

const (
	pastFor  = time.Minute // no list is older than this
	pastMost = 4096        // beyond so many at a time all are forgotten: then a send finds that nobody is there
)

// isPast tells whether the process that an entry speaks of was told to be gone. The core's lock is held.
func (n *node) isPast(s *listed) bool {
	p, told := n.past[s.ID]
	return told && p.started == s.StartedMS
}

// toPast notes that a backend is gone, and forgets who has been for long. The core's lock is held.
func (n *node) toPast(b *backend) {
	now := n.core.Now()
	maps.DeleteFunc(n.past, func(_ string, p past) bool { return now-p.since > pastFor })
	if len(n.past) >= pastMost {
		clear(n.past)
	}
	n.past[b.ID] = past{b.started, now}
}
