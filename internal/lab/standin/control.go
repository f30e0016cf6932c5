package standin

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"portstall/internal/resource"
)

// Control is a control process for tests. It serves watches from a resource set and its history, except for calls for
// which the test has scripted a response, and counts its responses. It is safe for concurrent use; mu guards its
// unexported fields.
type Control struct {
	Addr string

	mu            sync.Mutex
	set           *resource.Set
	history       *resource.History
	changed       chan struct{} // closed and replaced at each change
	scripted      []http.HandlerFunc
	snapshots     int
	deltas        int
	calls         int
	callerVersion resource.Version
	refusals      map[resource.Version]string
	server        *http.Server // nil while it is stopped
	serveDone     chan struct{}
}

// NewControl starts a control process at an address of its own. With no resources it has no configuration yet. The
// caller stops it.
func NewControl(first ...resource.Resource) (*Control, error) {
	ln, err := Listen()
	if err != nil {
		return nil, err
	}
	c := &Control{Addr: ln.Addr().String(), set: resource.NewSet(true), history: resource.NewHistory(resource.HistoryLimits{}),
		changed: make(chan struct{}), refusals: map[resource.Version]string{}}
	if len(first) > 0 {
		if _, err := c.ApplyChange(first); err != nil {
			ln.Close()
			return nil, err
		}
	}
	c.serve(ln)
	return c, nil
}

// serve handles calls on the listener until Stop.
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

// Stop closes the listener and all connections, as SIGKILL would. Start serves again at the same address.
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

// Start serves again, at the same address, after Stop.
func (c *Control) Start() error {
	ln, err := net.Listen("tcp", c.Addr)
	if err != nil {
		return err
	}
	c.serve(ln)
	return nil
}

// ApplyChange adds or replaces resources and removes others as the next version, which it returns.
func (c *Control) ApplyChange(put []resource.Resource, removed ...resource.Key) (resource.Version, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	to := c.set.Version()
	if to.IsZero() {
		to.Epoch = uint64(time.Now().UnixMilli())
	}
	to.Number++
	delta := c.set.NewDelta(to, put, removed)
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

// wakeCalls makes all waiting calls check for changes again. The caller holds c.mu.
func (c *Control) wakeCalls() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// CopyFrom takes over the configuration of another control process, but not its history.
func (c *Control) CopyFrom(other *Control) error {
	other.mu.Lock()
	snapshot := other.set.Snapshot()
	other.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	defer c.wakeCalls()
	return c.set.Apply(snapshot)
}

// RespondOnce scripts the response to the next call for which none is scripted yet. A call that is waiting gets it at
// once.
func (c *Control) RespondOnce(h http.HandlerFunc) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.scripted = append(c.scripted, h)
	c.wakeCalls()
}

// Version returns the version of the current configuration.
func (c *Control) Version() resource.Version {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.set.Version()
}

// ResponseCounts returns how many responses were full snapshots and how many were non-empty deltas.
func (c *Control) ResponseCounts() (snapshots, deltas int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.snapshots, c.deltas
}

// RefusalReason returns the reason that a caller gave for refusing a version; empty if no caller refused it.
func (c *Control) RefusalReason(v resource.Version) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.refusals[v]
}

// CallerVersion returns the version that the latest caller reported to have.
func (c *Control) CallerVersion() resource.Version {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.callerVersion
}

// CallCount returns the number of calls since the start.
func (c *Control) CallCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls
}

// ServeHTTP responds to a call as docs/design/configuration.md defines it.
func (c *Control) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	var since resource.Version
	if s := query.Get("since"); s != "" {
		var err error
		if since, err = resource.ParseVersion(s); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
	}
	var wait time.Duration
	fmt.Sscan(query.Get("timeout_ms"), &wait)
	timeout := time.After(wait * time.Millisecond)
	first := true
	for {
		c.mu.Lock()
		if first {
			c.calls++
			c.callerVersion = since
			if v, err := resource.ParseVersion(query.Get("refused")); err == nil {
				c.refusals[v] = query.Get("why")
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
		current, changed := c.set.Version(), c.changed
		delta := &resource.Delta{From: since, To: since}
		if s := query.Get("sum"); s != "" {
			delta.Checksum.UnmarshalText([]byte(s)) // for an empty delta: an older version's checksum is not known here
		}
		done := true
		switch {
		case current.IsZero():
			c.mu.Unlock()
			http.Error(w, "no configuration", http.StatusServiceUnavailable)
			return
		case since.Compare(current) > 0:
			c.mu.Unlock()
			http.Error(w, "behind", http.StatusConflict)
			return
		case since.IsZero():
			delta = c.set.Snapshot()
		case since != current && query.Get("refused") != current.String():
			var stored bool
			if delta, stored = c.history.Since(since); !stored {
				delta = c.set.Snapshot()
			}
		default:
			done = wait <= 0
		}
		if done {
			switch {
			case delta.IsSnapshot():
				c.snapshots++
			case delta.From != delta.To:
				c.deltas++
			}
			c.mu.Unlock()
			text, err := resource.Encode(delta)
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
		case <-timeout:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}
