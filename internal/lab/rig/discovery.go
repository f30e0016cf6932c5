package rig

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"portstall/internal/lab/standin"
)

// roster is the stand-in discovery: the whole list, and watches that wait for changes. Each node has an address of its
// own there, so that what each was told is known.
type discovery struct {
	rig     *rig
	servers []*http.Server
	addrs   []string

	mu      sync.Mutex
	entries []listEntry // by server's index
	changes []listEntry // each change, its version being its place plus one
	changed chan struct{}
	down    bool
	stopped chan struct{}
}

type listEntry struct {
	standin.Listed

	index      int
	launchedAt time.Duration // scenario time; negative: long ago
}

type listResponse struct {
	Version int         `json:"version"`
	Full    bool        `json:"full"`
	Servers []listEntry `json:"servers"`
}

// start opens an address for each node.
func (r *discovery) start(nodes int) error {
	r.changed, r.stopped = make(chan struct{}), make(chan struct{})
	for i := range nodes {
		ln, err := standin.Listen()
		if err != nil {
			return err
		}
		mux := http.NewServeMux()
		mux.HandleFunc("GET /v1/endpoints", func(w http.ResponseWriter, q *http.Request) { r.respond(i, w, q) })
		h := &http.Server{Handler: mux}
		r.servers, r.addrs = append(r.servers, h), append(r.addrs, ln.Addr().String())
		go h.Serve(ln) // ends with Close
	}
	return nil
}

func (r *discovery) stop() {
	close(r.stopped)
	for _, h := range r.servers {
		h.Close()
	}
}

// known is the whole list, in the form in which a node's configuration has it.
func (r *discovery) fullList() listResponse {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := listResponse{Version: len(r.changes) + 1, Full: true, Servers: []listEntry{}}
	for _, e := range r.entries {
		if e.State != "Gone" {
			a.Servers = append(a.Servers, e)
		}
	}
	return a
}

// answer answers one node's call. Down, it answers none.
func (r *discovery) respond(node int, w http.ResponseWriter, q *http.Request) {
	since, err := strconv.Atoi(q.URL.Query().Get("since"))
	watch := err == nil
	limit, _ := strconv.Atoi(q.URL.Query().Get("timeout_ms"))
	timeout := time.NewTimer(time.Duration(min(limit, 60000)) * time.Millisecond)
	defer timeout.Stop()
	for {
		r.mu.Lock()
		news, down, version := r.changed, r.down, len(r.changes)+1
		r.mu.Unlock()
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if !watch || since != version {
			break
		}
		select {
		case <-news:
			continue
		case <-timeout.C:
		case <-q.Context().Done():
			return
		case <-r.stopped:
			return
		}
		break
	}
	a := r.fullList()
	if watch && since >= 1 && since <= a.Version {
		r.mu.Lock()
		a.Full, a.Servers = false, append([]listEntry{}, r.changes[since-1:a.Version-1]...)
		r.mu.Unlock()
	}
	text, _ := json.Marshal(a) // plain values
	w.Write(text)
	r.rig.recordListSent(node, a.Full, a.Servers)
}

// list lets the roster tell of a server's state after a while, unless it changes again before.
func (r *discovery) scheduleUpdate(v *server, state string, after time.Duration) {
	v.listUpdate++
	listing := v.listUpdate
	e := r.rig.listEntryOf(v, state)
	time.AfterFunc(after, func() {
		v.mu.Lock()
		current := listing == v.listUpdate
		v.mu.Unlock()
		if !current {
			return
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.entries[v.index] == e {
			return
		}
		r.entries[v.index] = e
		r.changes = append(r.changes, e)
		r.wakeWatches()
	})
}

// setDown takes the roster out of reach, or back.
func (r *discovery) setDown(down bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.down = down
	r.wakeWatches()
}

// wake lets all watches look again. r.mu is held.
func (r *discovery) wakeWatches() {
	close(r.changed)
	r.changed = make(chan struct{})
}
