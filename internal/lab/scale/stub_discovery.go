package scale

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"portstall/internal/lab/standin"
)

// endpointsResponse is the body of a response to GET /v1/endpoints.
type endpointsResponse struct {
	Version int64                 `json:"version"`
	Full    bool                  `json:"full"`
	Servers []standin.ServerEntry `json:"servers"`
}

// maxKeptChanges limits how many changes the stub keeps. A client that is further behind gets the full list.
const maxKeptChanges = 20_000

// StubDiscovery is a stub of the discovery service. Each change has a version. A watch since a version that is still
// kept gets only the changes, any other call gets the full list. It counts calls and the bytes on their connections.
// Its mutex guards all fields that change, other than the atomic one. It is safe for concurrent use.
type StubDiscovery struct {
	mu             sync.Mutex
	entries        []standin.ServerEntry
	changes        []standin.ServerEntry // the changes after baseVersion, one for each version
	baseVersion    int64                 // the version before the first change that is kept
	changed        chan struct{}
	down           bool
	highestSince   int64 // highest version that a client named in a call
	highestSinceAt time.Time
	callsBySecond  map[int64]int // by Unix time in seconds
	callCount      int
	bytes          atomic.Int64
	server         *http.Server
	encoded        []byte // the full list as JSON at encodedVersion
	encodedVersion int64
	stopped        chan struct{}
}

// NewStubDiscovery returns a stub with the given number of servers. They are assigned to zones in turn, and within a
// zone serversPerRack of them share a rack. addrs are their addresses; if it is nil, they get addresses that must not
// be called.
func NewStubDiscovery(servers, zones int, addrs []string) *StubDiscovery {
	d := &StubDiscovery{baseVersion: 1, changed: make(chan struct{}), callsBySecond: map[int64]int{},
		stopped: make(chan struct{})}
	for i := range servers {
		addr := fmt.Sprintf("10.%d.%d.%d:8080", i/62500%250, i/250%250, i%250)
		if addrs != nil {
			addr = addrs[i]
		}
		d.entries = append(d.entries, standin.ServerEntry{ID: fmt.Sprintf("web-%05d", i), Addr: addr,
			Zone: zoneName(i % zones), Kind: "standard",
			Cell: i / (serversPerRack * zones), State: "Ready", Weight: 1})
	}
	return d
}

// serversPerRack is an assumption: the size of racks is not specified.
const serversPerRack = 40

// zoneName returns the name of the i-th zone.
func zoneName(i int) string { return fmt.Sprintf("zone-%02d", i) }

// Version returns the latest version.
func (d *StubDiscovery) Version() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.version()
}

// version returns the latest version. d.mu is held.
func (d *StubDiscovery) version() int64 { return d.baseVersion + int64(len(d.changes)) }

// SetState changes the state of servers at once, each in a version of its own, and returns the last version. If started
// is set, the servers have been started just now.
func (d *StubDiscovery) SetState(state string, started bool, which ...int) int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	defer d.wakeWatches()
	for _, i := range which {
		e := &d.entries[i%len(d.entries)]
		e.State = state
		if started {
			e.Started = time.Now().UnixMilli()
		}
		d.changes = append(d.changes, *e)
	}
	if excess := len(d.changes) - maxKeptChanges; excess > 0 {
		d.changes, d.baseVersion = append([]standin.ServerEntry(nil), d.changes[excess:]...), d.baseVersion+int64(excess)
	}
	return d.version()
}

// SetStateAsSnapshot changes a server's state and drops all changes that are kept, so that each client gets the full
// list. It returns the new version.
func (d *StubDiscovery) SetStateAsSnapshot(state string, which int) int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	defer d.wakeWatches()
	d.entries[which%len(d.entries)].State = state
	d.baseVersion, d.changes = d.version()+1, nil
	return d.baseVersion
}

// SetDown makes the stub unavailable, or available again. While it is unavailable all calls get status 503, waiting
// watches included.
func (d *StubDiscovery) SetDown(down bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.down = down
	d.wakeWatches()
}

// FailureGroup returns the indices of servers that fail together: those of the last zone, of its last rack, or the last
// server.
func (d *StubDiscovery) FailureGroup(kind string) (servers []int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	last := d.entries[len(d.entries)-1]
	for i, e := range d.entries {
		if e.Zone == last.Zone && (kind != "rack" || e.Cell == last.Cell) && (kind != "machine" || e.ID == last.ID) {
			servers = append(servers, i)
		}
	}
	return servers
}

// wakeWatches makes all waiting watches check for changes. d.mu is held.
func (d *StubDiscovery) wakeWatches() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// HighestSince returns the highest version since which any call asked for changes, and when that call came.
func (d *StubDiscovery) HighestSince() (int64, time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.highestSince, d.highestSinceAt
}

// Totals returns how many calls there were, and how many bytes their connections carried in both directions.
func (d *StubDiscovery) Totals() (calls int, bytes int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.callCount, d.bytes.Load()
}

// PeakCalls returns the highest number of calls in any second since the given time.
func (d *StubDiscovery) PeakCalls(from time.Time) (peak int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for s, n := range d.callsBySecond {
		if s >= from.Unix() {
			peak = max(peak, n)
		}
	}
	return peak
}

// FullList returns the full list as JSON.
func (d *StubDiscovery) FullList() []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.fullList()
}

// fullList returns the full list as JSON, encoded once for each version. d.mu is held.
func (d *StubDiscovery) fullList() []byte {
	if d.encoded == nil || d.encodedVersion != d.version() {
		resp := endpointsResponse{Version: d.version(), Full: true, Servers: make([]standin.ServerEntry, 0, len(d.entries))}
		for _, e := range d.entries {
			if e.State != "Gone" {
				resp.Servers = append(resp.Servers, e)
			}
		}
		d.encoded, _ = json.Marshal(resp) // can't fail: it holds plain values only
		d.encodedVersion = resp.Version
	}
	return d.encoded
}

// Start starts the HTTP server on a free port and returns its address.
func (d *StubDiscovery) Start() (addr string, err error) {
	ln, err := standin.Listen()
	if err != nil {
		return "", err
	}
	mux := http.NewServeMux()
	mux.Handle("GET /v1/endpoints", d)
	d.server = &http.Server{Handler: mux}
	go d.server.Serve(countingListener{ln, &d.bytes}) // ends with Stop
	return ln.Addr().String(), nil
}

// Stop stops the server and ends all calls.
func (d *StubDiscovery) Stop() {
	close(d.stopped)
	if d.server != nil {
		d.server.Close()
	}
}

// countingListener counts the bytes of all connections that it accepts.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{c, l.bytes}, nil
}

// countingConn adds the bytes that a connection reads and writes to a counter.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// ServeHTTP serves GET /v1/endpoints: at once without a since parameter, otherwise as soon as there are changes or the
// timeout ends.
func (d *StubDiscovery) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	since, err := strconv.ParseInt(req.URL.Query().Get("since"), 10, 64)
	watch := err == nil
	limit, _ := strconv.Atoi(req.URL.Query().Get("timeout_ms"))
	timeout := time.NewTimer(time.Duration(min(limit, 60000)) * time.Millisecond)
	defer timeout.Stop()
	d.mu.Lock()
	now := time.Now()
	d.callsBySecond[now.Unix()]++
	d.callCount++
	if watch && since > d.highestSince {
		d.highestSince, d.highestSinceAt = since, now
	}
	d.mu.Unlock()
	for timedOut := false; ; {
		d.mu.Lock()
		changed, down := d.changed, d.down
		if !down && (!watch || since != d.version() || timedOut) {
			text := d.response(since, watch)
			d.mu.Unlock()
			w.Write(text)
			return
		}
		d.mu.Unlock()
		if down {
			http.Error(w, "out of reach", http.StatusServiceUnavailable)
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			timedOut = true
		case <-req.Context().Done():
			return
		case <-d.stopped:
			return
		}
	}
}

// response returns the body for a client that has the version since. d.mu is held.
func (d *StubDiscovery) response(since int64, watch bool) []byte {
	if !watch || since < d.baseVersion || since > d.version() {
		return d.fullList()
	}
	resp := endpointsResponse{Version: d.version(), Servers: d.changes[since-d.baseVersion:]}
	if resp.Servers == nil {
		resp.Servers = []standin.ServerEntry{}
	}
	text, _ := json.Marshal(resp) // can't fail: it holds plain values only
	return text
}
