package standin

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"portstall/internal/resource"
)

// Control is a control process of a test's own: it serves watches from a set and its history, and tells what the test puts in the place of
// its next answers. It counts what it tells. It is safe for concurrent use.
type Control struct {
	Addr string

	mu            sync.Mutex
	set           *resource.Set
	history       *resource.History
	changed       chan struct{} // closed at the next change
	scripted      []http.HandlerFunc
	snapshots     int
	deltas        int
	calls         int
	callerVersion resource.Version
	refusals      map[resource.Version]string
	server        *http.Server // nil: it is down
	serveDone     chan struct{}
}

// NewControl serves a first configuration on an address of its own; with no resources it has none yet. It is to be stopped.
func NewControl(first ...resource.Resource) (*Control, error) {
	ln, err := Listen()
	if err != nil {
		return nil, err
	}
	c := &Control{Addr: ln.Addr().String(), set: resource.NewSet(true), history: resource.NewHistory(resource.HistoryLimits{}),
		changed: make(chan struct{}), refusals: map[resource.Version]string{}}
	if len(first) > 0 {
		if _, err := c.Change(first); err != nil {
			ln.Close()
			return nil, err
		}
	}
	c.serve(ln)
	return c, nil
}

func (c *Control) serve(ln net.Listener) {
	srv, done := &http.Server{Handler: c}, make(chan struct{})
	c.mu.Lock()
	c.server, c.serveDone = srv, done
	c.mu.Unlock()
	go func() {
		defer close(done)
		srv.Serve(ln)
	}()
}

// Stop is what SIGKILL does; Start serves again at the same address.
func (c *Control) Stop() {
	c.mu.Lock()
	srv, done := c.server, c.serveDone
	c.server = nil
	c.mu.Unlock()
	if srv != nil {
		srv.Close()
		<-done
	}
}

// Start serves again after Stop.
func (c *Control) Start() error {
	ln, err := net.Listen("tcp", c.Addr)
	if err != nil {
		return err
	}
	c.serve(ln)
	return nil
}

// Change puts resources and takes others away, as the next version, and returns that.
func (c *Control) Change(put []resource.Resource, gone ...resource.Key) (resource.Version, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	to := c.set.Version()
	if to.IsZero() {
		to.Epoch = uint64(time.Now().UnixMilli())
	}
	to.Number++
	delta := c.set.Next(to, put, gone)
	if err := c.set.Check(delta); err != nil {
		return resource.Version{}, err
	}
	if !delta.From.IsZero() {
		c.history.Add(time.Duration(time.Now().UnixNano()), delta)
	}
	if err := c.set.Apply(delta); err != nil {
		return resource.Version{}, err
	}
	c.wakeCalls()
	return to, nil
}

// wake lets the calls that are held look again. c.mu is held.
func (c *Control) wakeCalls() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// Become has another one's configuration, and none of its history.
func (c *Control) Become(o *Control) error {
	o.mu.Lock()
	whole := o.set.Snapshot()
	o.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	defer c.wakeCalls()
	return c.set.Apply(whole)
}

// Say puts an answer in the place of the next one that has none yet. A call that is held gets it at once.
func (c *Control) Say(h http.HandlerFunc) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.scripted = append(c.scripted, h)
	c.wakeCalls()
}

// Version is what it has.
func (c *Control) Version() resource.Version {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.set.Version()
}

// Counts are how often the whole was told, and how often a delta.
func (c *Control) Counts() (wholes, deltas int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.snapshots, c.deltas
}

// Why is what it was told of a version that was refused; empty: nothing.
func (c *Control) Why(v resource.Version) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.refusals[v]
}

// Acked is the version that its latest caller had.
func (c *Control) Acked() resource.Version {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.callerVersion
}

// Calls is how often it was asked.
func (c *Control) Calls() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls
}

// ServeHTTP answers a call as docs/design/configuration.md has it.
func (c *Control) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	var since resource.Version
	if s := q.Get("since"); s != "" {
		var err error
		if since, err = resource.ParseVersion(s); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
	}
	var wait time.Duration
	fmt.Sscan(q.Get("timeout_ms"), &wait)
	over := time.After(wait * time.Millisecond)
	first := true
	for {
		c.mu.Lock()
		if first {
			c.calls++
			c.callerVersion = since
			if v, err := resource.ParseVersion(q.Get("refused")); err == nil {
				c.refusals[v] = q.Get("why")
			}
			first = false
		}
		if len(c.scripted) > 0 {
			h := c.scripted[0]
			c.scripted = c.scripted[1:]
			c.mu.Unlock()
			h(w, r)
			return
		}
		now, changed := c.set.Version(), c.changed
		answer := &resource.Delta{From: since, To: since}
		if s := q.Get("sum"); s != "" {
			answer.Sum.UnmarshalText([]byte(s)) // of another version than this one's it is not known here
		}
		done := true
		switch {
		case now.IsZero():
			c.mu.Unlock()
			http.Error(w, "no configuration", http.StatusServiceUnavailable)
			return
		case since.Compare(now) > 0:
			c.mu.Unlock()
			http.Error(w, "behind", http.StatusConflict)
			return
		case since.IsZero():
			answer = c.set.Snapshot()
		case since != now && q.Get("refused") != now.String():
			var kept bool
			if answer, kept = c.history.Since(since); !kept {
				answer = c.set.Snapshot()
			}
		default:
			done = wait <= 0
		}
		if done {
			switch {
			case answer.Whole():
				c.snapshots++
			case answer.From != answer.To:
				c.deltas++
			}
			c.mu.Unlock()
			text, err := resource.Encode(answer)
			if err != nil {
				http.Error(w, err.Error(), http.StatusInternalServerError)
				return
			}
			w.Write(text)
			return
		}
		c.mu.Unlock()
		select {
		case <-changed:
		case <-over:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}
