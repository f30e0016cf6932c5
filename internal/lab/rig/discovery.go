package rig

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"portstall/internal/lab/standin"
)

// discovery is a stub discovery: it serves the full server list, and watches that wait for changes. Each node has its
// own address there, so that what was sent to each node is known. mu guards the fields below it.
type discovery struct {
	rig         *rig
	httpServers []*http.Server
	addrs       []string

	mu      sync.Mutex
	entries []listEntry   // by the server's index
	changes []listEntry   // the change at index i leads to version i+2
	changed chan struct{} // closed and replaced at each change
	down    bool          // calls are rejected
	stopped chan struct{}
}

// listEntry is an entry of the server list. Only its exported part is sent.
type listEntry struct {
	standin.ServerEntry

	index    int
	launched time.Duration // scenario time; negative: long ago
}

// listResponse is the body of a response, in the platform's wire format.
type listResponse struct {
	Version int         `json:"version"`
	Full    bool        `json:"full"`
	Servers []listEntry `json:"servers"`
}

// start opens a listener for each node.
func (d *discovery) start(nodes int) error {
	d.changed, d.stopped = make(chan struct{}), make(chan struct{})
	for i := range nodes {
		ln, err := standin.Listen()
		if err != nil {
			return err
		}
		mux := http.NewServeMux()
		mux.HandleFunc("GET /v1/endpoints", func(w http.ResponseWriter, req *http.Request) { d.respond(i, w, req) })
		httpServer := &http.Server{Handler: mux}
		d.httpServers, d.addrs = append(d.httpServers, httpServer), append(d.addrs, ln.Addr().String())
		go httpServer.Serve(ln) // ends with Close
	}
	return nil
}

// stop closes the listeners and all connections.
func (d *discovery) stop() {
	close(d.stopped)
	for _, httpServer := range d.httpServers {
		httpServer.Close()
	}
}

// fullList returns the full server list. A node's configuration has it in the same form.
func (d *discovery) fullList() listResponse {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := listResponse{Version: len(d.changes) + 1, Full: true, Servers: []listEntry{}}
	for _, e := range d.entries {
		if e.State != "Gone" {
			list.Servers = append(list.Servers, e)
		}
	}
	return list
}

// respond responds to a call of a node. While discovery is down, it responds with 503 (Service Unavailable).
func (d *discovery) respond(node int, w http.ResponseWriter, req *http.Request) {
	since, err := strconv.Atoi(req.URL.Query().Get("since"))
	isWatch := err == nil
	limit, _ := strconv.Atoi(req.URL.Query().Get("timeout_ms"))
	timeout := time.NewTimer(time.Duration(min(limit, 60000)) * time.Millisecond)
	defer timeout.Stop()
	for {
		d.mu.Lock()
		changed, down, version := d.changed, d.down, len(d.changes)+1
		d.mu.Unlock()
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if !isWatch || since != version {
			break
		}
		select {
		case <-changed:
			continue
		case <-timeout.C:
		case <-req.Context().Done():
			return
		case <-d.stopped:
			return
		}
		break
	}
	list := d.fullList()
	if isWatch && since >= 1 && since <= list.Version {
		d.mu.Lock()
		list.Full, list.Servers = false, append([]listEntry{}, d.changes[since-1:list.Version-1]...)
		d.mu.Unlock()
	}
	text, _ := json.Marshal(list) // cannot fail: plain values
	w.Write(text)
	d.rig.recordListSent(node, list.Full, list.Servers)
}

// scheduleUpdate changes a server's state in the list after a delay, unless another update is scheduled before. The
// caller holds the server's lock.
func (d *discovery) scheduleUpdate(v *server, state string, delay time.Duration) {
	v.listUpdate++
	update := v.listUpdate
	entry := d.rig.listEntryOf(v, state)
	time.AfterFunc(delay, func() {
		v.mu.Lock()
		current := update == v.listUpdate
		v.mu.Unlock()
		if !current {
			return
		}
		d.mu.Lock()
		defer d.mu.Unlock()
		if d.entries[v.index] == entry {
			return
		}
		d.entries[v.index] = entry
		d.changes = append(d.changes, entry)
		d.wakeWatches()
	})
}

// setDown makes discovery unavailable or available again.
func (d *discovery) setDown(down bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.down = down
	d.wakeWatches()
}

// wakeWatches makes all waiting watches check for changes again. The caller holds d.mu.
func (d *discovery) wakeWatches() {
	close(d.changed)
	d.changed = make(chan struct{})
}
