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
type roster struct {
	rig  *rig
	http []*http.Server
	addr []string

	mu      sync.Mutex
	entries []listed // by server's index
	log     []listed // each change, its version being its place plus one
	news    chan struct{}
	down    bool
	end     chan struct{}
}

type listed struct {
	standin.Listed

	index    int
	launched time.Duration // scenario time; negative: long ago
}

type answer struct {
	Version int      `json:"version"`
	Full    bool     `json:"full"`
	Servers []listed `json:"servers"`
}

// start opens an address for each node.
func (r *roster) start(nodes int) error {
	r.news, r.end = make(chan struct{}), make(chan struct{})
	for i := range nodes {
		ln, err := standin.Listen()
		if err != nil {
			return err
		}
		mux := http.NewServeMux()
		mux.HandleFunc("GET /v1/endpoints", func(w http.ResponseWriter, q *http.Request) { r.answer(i, w, q) })
		h := &http.Server{Handler: mux}
		r.http, r.addr = append(r.http, h), append(r.addr, ln.Addr().String())
		go h.Serve(ln) // ends with Close
	}
	return nil
}

func (r *roster) stop() {
	close(r.end)
	for _, h := range r.http {
		h.Close()
	}
}

// known is the whole list, in the form in which a node's configuration has it.
func (r *roster) known() answer {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := answer{Version: len(r.log) + 1, Full: true, Servers: []listed{}}
	for _, e := range r.entries {
		if e.State != "Gone" {
			a.Servers = append(a.Servers, e)
		}
	}
	return a
}

// answer answers one node's call. Down, it answers none.
func (r *roster) answer(node int, w http.ResponseWriter, q *http.Request) {
	since, err := strconv.Atoi(q.URL.Query().Get("since"))
	watch := err == nil
	limit, _ := strconv.Atoi(q.URL.Query().Get("timeout_ms"))
	timeout := time.NewTimer(time.Duration(min(limit, 60000)) * time.Millisecond)
	defer timeout.Stop()
	for {
		r.mu.Lock()
		news, down, version := r.news, r.down, len(r.log)+1
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
		case <-r.end:
			return
		}
		break
	}
	a := r.known()
	if watch && since >= 1 && since <= a.Version {
		r.mu.Lock()
		a.Full, a.Servers = false, append([]listed{}, r.log[since-1:a.Version-1]...)
		r.mu.Unlock()
	}
	text, _ := json.Marshal(a) // plain values
	w.Write(text)
	r.rig.told(node, a.Full, a.Servers)
}

// list lets the roster tell of a server's state after a while, unless it changes again before.
func (r *roster) list(v *server, state string, after time.Duration) {
	v.listing++
	listing := v.listing
	e := r.rig.entry(v, state)
	time.AfterFunc(after, func() {
		v.mu.Lock()
		current := listing == v.listing
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
		r.log = append(r.log, e)
		r.wake()
	})
}

// setDown takes the roster out of reach, or back.
func (r *roster) setDown(down bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.down = down
	r.wake()
}

// wake lets all watches look again. r.mu is held.
func (r *roster) wake() {
	close(r.news)
	r.news = make(chan struct{})
}
