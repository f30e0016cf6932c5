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

// answer is what a call is told.
type endpointsResponse struct {
	Version int64            `json:"version"`
	Full    bool             `json:"full"`
	Servers []standin.Listed `json:"servers"`
}

// keptMost bounds the changes that the stand-in keeps; whoever is further behind is told the whole list.
const maxKeptChanges = 20_000

// Roster is the stand-in discovery. Each change has a version; a watch that asks since a version that is kept is told the changes
// alone, any other the whole list. It counts the calls and the bytes of their answers. Safe for concurrent use.
type StubDiscovery struct {
	mu             sync.Mutex
	entries        []standin.Listed
	changes        []standin.Listed // the changes after first, one a version
	baseVersion    int64            // the version that the log begins behind
	changed        chan struct{}
	down           bool
	highestSince   int64 // highest version that a call asked since
	highestSinceAt time.Time
	callsBySecond  map[int64]int // by second
	callCount      int
	bytes          atomic.Int64
	server         *http.Server
	encoded        []byte // the whole list at textAt
	encodedVersion int64
	stopped        chan struct{}
}

// NewRoster makes one of so many servers, dealt out to zones in turn, and rackOf of each of them to a rack. Addrs are where they are; nil: addresses that are never
// called.
func NewStubDiscovery(servers, zones int, addrs []string) *StubDiscovery {
	r := &StubDiscovery{baseVersion: 1, changed: make(chan struct{}), callsBySecond: map[int64]int{}, stopped: make(chan struct{})}
	for i := range servers {
		addr := fmt.Sprintf("10.%d.%d.%d:8080", i/62500%250, i/250%250, i%250)
		if addrs != nil {
			addr = addrs[i]
		}
		r.entries = append(r.entries, standin.Listed{ID: fmt.Sprintf("web-%05d", i), Addr: addr, Zone: zoneName(i % zones), Kind: "standard",
			Cell: i / (serversPerRack * zones), State: "Ready", Weight: 1})
	}
	return r
}

// rackOf is how many servers stand in a rack: taken, not told.
const serversPerRack = 40

func zoneName(i int) string { return fmt.Sprintf("zone-%02d", i) }

// Version is the latest.
func (r *StubDiscovery) Version() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.version()
}

func (r *StubDiscovery) version() int64 { return r.baseVersion + int64(len(r.changes)) }

// Set changes the state of some servers at once, each by a version of its own, and tells the last one. Started: they were started
// now.
func (r *StubDiscovery) SetState(state string, started bool, which ...int) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	defer r.wakeWatches()
	for _, i := range which {
		e := &r.entries[i%len(r.entries)]
		e.State = state
		if started {
			e.Started = time.Now().UnixMilli()
		}
		r.changes = append(r.changes, *e)
	}
	if more := len(r.changes) - maxKeptChanges; more > 0 {
		r.changes, r.baseVersion = append([]standin.Listed(nil), r.changes[more:]...), r.baseVersion+int64(more)
	}
	return r.version()
}

// Forget changes a server's state, and drops all changes that are kept: whoever is behind the new version is told the whole list.
func (r *StubDiscovery) SetStateAsSnapshot(state string, which int) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	defer r.wakeWatches()
	r.entries[which%len(r.entries)].State = state
	r.baseVersion, r.changes = r.version()+1, nil
	return r.baseVersion
}

// SetDown takes it out of reach, or back: all calls are answered with 503, those that wait too.
func (r *StubDiscovery) SetDown(down bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.down = down
	r.wakeWatches()
}

// Group is the servers that fail together, by their places: those of the last zone, of its last rack, or its last one.
func (r *StubDiscovery) FailureGroup(kind string) (which []int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	last := r.entries[len(r.entries)-1]
	for i, e := range r.entries {
		if e.Zone == last.Zone && (kind != "rack" || e.Cell == last.Cell) && (kind != "machine" || e.ID == last.ID) {
			which = append(which, i)
		}
	}
	return which
}

// wake lets all watches look again. r.mu is held.
func (r *StubDiscovery) wakeWatches() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// Heard is the highest version that any call asked since, and when it came.
func (r *StubDiscovery) HighestSince() (int64, time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.highestSince, r.highestSinceAt
}

// Tally is how many calls there were, and how many bytes went over their connections, both ways.
func (r *StubDiscovery) Totals() (calls int, bytes int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.callCount, r.bytes.Load()
}

// Busiest is the most calls that came in any second from then on.
func (r *StubDiscovery) PeakCalls(from time.Time) (most int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for s, n := range r.callsBySecond {
		if s >= from.Unix() {
			most = max(most, n)
		}
	}
	return most
}

// Whole is the whole list as it is told.
func (r *StubDiscovery) FullList() []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fullList()
}

func (r *StubDiscovery) fullList() []byte {
	if r.encoded == nil || r.encodedVersion != r.version() {
		a := endpointsResponse{Version: r.version(), Full: true, Servers: make([]standin.Listed, 0, len(r.entries))}
		for _, e := range r.entries {
			if e.State != "Gone" {
				a.Servers = append(a.Servers, e)
			}
		}
		r.encoded, _ = json.Marshal(a) // plain values
		r.encodedVersion = a.Version
	}
	return r.encoded
}

// Start opens it, and tells where.
func (r *StubDiscovery) Start() (addr string, err error) {
	ln, err := standin.Listen()
	if err != nil {
		return "", err
	}
	mux := http.NewServeMux()
	mux.Handle("GET /v1/endpoints", r)
	r.server = &http.Server{Handler: mux}
	go r.server.Serve(countingListener{ln, &r.bytes}) // ends with Stop
	return ln.Addr().String(), nil
}

// Stop ends it, with all calls.
func (r *StubDiscovery) Stop() {
	close(r.stopped)
	if r.server != nil {
		r.server.Close()
	}
}

// counted counts the bytes of all connections that it accepts.
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

// ServeHTTP answers GET /v1/endpoints.
func (r *StubDiscovery) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	since, err := strconv.ParseInt(q.URL.Query().Get("since"), 10, 64)
	watch := err == nil
	limit, _ := strconv.Atoi(q.URL.Query().Get("timeout_ms"))
	timeout := time.NewTimer(time.Duration(min(limit, 60000)) * time.Millisecond)
	defer timeout.Stop()
	r.mu.Lock()
	now := time.Now()
	r.callsBySecond[now.Unix()]++
	r.callCount++
	if watch && since > r.highestSince {
		r.highestSince, r.highestSinceAt = since, now
	}
	r.mu.Unlock()
	for late := false; ; {
		r.mu.Lock()
		news, down := r.changed, r.down
		if !down && (!watch || since != r.version() || late) {
			text := r.response(since, watch)
			r.mu.Unlock()
			w.Write(text)
			return
		}
		r.mu.Unlock()
		if down {
			http.Error(w, "out of reach", http.StatusServiceUnavailable)
			return
		}
		select {
		case <-news:
		case <-timeout.C:
			late = true
		case <-q.Context().Done():
			return
		case <-r.stopped:
			return
		}
	}
}

// told is the answer for whoever has a version. r.mu is held.
func (r *StubDiscovery) response(since int64, watch bool) []byte {
	if !watch || since < r.baseVersion || since > r.version() {
		return r.fullList()
	}
	a := endpointsResponse{Version: r.version(), Servers: r.changes[since-r.baseVersion:]}
	if a.Servers == nil {
		a.Servers = []standin.Listed{}
	}
	text, _ := json.Marshal(a) // plain values
	return text
}
