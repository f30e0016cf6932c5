package control

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"portstall/internal/control/follow"
	"portstall/internal/resource"
)

const (
	// maxWatchWait is how long a watch is held at most; a call that asks for longer gets its empty response then.
	maxWatchWait = time.Minute
	// headerTimeout is how long a caller may take to send a request's header.
	headerTimeout = 2 * time.Second
	// idleTimeout is how long a connection may be without a call before it is closed.
	idleTimeout = time.Minute
	// responseTimeout is how long a caller may take to read a short response; server.writeTimeout allows more for long
	// ones.
	responseTimeout = 10 * time.Second
	// shutdownTimeout is how long Serve waits for open calls after it has ended the watches.
	shutdownTimeout = 1500 * time.Millisecond
	// maxHeaderBytes bounds a request's header.
	maxHeaderBytes = 8 << 10
	// spareConnections is the number of connections that may be open beyond one for each held watch.
	spareConnections = 256
	// maxConcurrentReloads is the number of POST /v1/reload calls that are accepted at a time: each waits for those
	// before it.
	maxConcurrentReloads = 8
)

// ServeOptions configure a control process. Exactly one of Files and Upstreams is set: with Files the process is the
// writer, with Upstreams a follower.
type ServeOptions struct {
	Listener  net.Listener    // closed by Serve
	Name      string          // shown by the control processes that this one calls
	Limits    Limits          // of the VersionStore
	Files     string          // writer: path of a file, or of a folder of *.yaml files
	Peers     []string        // writer: host:port of the other control processes, whose versions the first epoch follows
	Reload    <-chan struct{} // writer: each element asks for the files to be read again
	Upstreams []string        // follower: host:port of the control processes to follow, the nearest first
	Log       *slog.Logger    // nil: nothing is logged
	Clock     follow.Clock    // nil: the system's clock
}

// server is a running control process, a writer or a follower. mu guards the fields below it; it is not held during I/O.
type server struct {
	ServeOptions
	writer         *writer // nil: a follower
	responses      *responseCache
	followStatus   follow.Status
	counters       counters
	startedAt      time.Duration // Unix time
	shuttingDown   chan struct{} // closed when watches are to end
	newEpochWanted chan struct{} // has capacity 1; an element: a caller has a later version than the writer
	activeReloads  atomic.Int32  // POST /v1/reload calls in progress
	connections    connectionLimiter
	handler        http.Handler
	epochInterval  time.Duration                 // least time between two epochs
	writeTimeout   func(bytes int) time.Duration // how long a caller may take to read a response of this length
	onHold         func()                        // for tests: called each time that a call is held, also after a version that is not for it
	onSent         func(error)                   // for tests: called when a response has been written, or has failed

	mu              sync.Mutex
	store           *VersionStore
	changed         chan struct{}            // closed and replaced with each version
	replacedWatches map[uint64]chan struct{} // by held watch: closed when a later call replaces it
}

// FilesError is an error in a writer's files at its start. It names file, line, resource and field.
type FilesError struct{ error }

// Unwrap returns the error of the file.
func (e *FilesError) Unwrap() error { return e.error }

// Serve runs a control process until ctx ends: it then responds to all watches and returns within 2 s. An error is a
// *FilesError at the start, or comes from the listener or the first epoch; the process is not running then.
func Serve(ctx context.Context, o ServeOptions) error {
	s, err := newServer(o)
	if err != nil {
		o.Listener.Close()
		return err
	}
	return s.run(ctx)
}

// run is Serve after the checks of the options.
func (s *server) run(ctx context.Context) (err error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	srv := &http.Server{
		Handler:           s.handler,
		ReadHeaderTimeout: headerTimeout,
		WriteTimeout:      maxWatchWait + responseTimeout, // upper bound; respond sets a shorter one for each response
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         s.connections.track,
		ErrorLog:          slog.NewLogLogger(s.Log.Handler(), slog.LevelDebug),
	}
	failed := make(chan error, 2)
	var group sync.WaitGroup
	group.Go(func() { failed <- srv.Serve(&countingListener{s.Listener, &s.counters}) })
	group.Go(func() {
		if err := s.runUpdates(ctx); err != nil {
			failed <- err
		}
	})
	select {
	case <-ctx.Done():
	case err = <-failed:
	}
	stop()
	s.endWatches()
	shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if srv.Shutdown(shutdownCtx) != nil {
		srv.Close()
	}
	group.Wait()
	return err
}

// newServer checks the options and returns a server that is not running yet.
func newServer(o ServeOptions) (*server, error) {
	if (o.Files == "") == (len(o.Upstreams) == 0) {
		return nil, errors.New("a control process needs either files or other control processes to follow")
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	if o.Clock == nil {
		o.Clock = follow.SystemClock()
	}
	o.Limits.MaxWatches = cmp.Or(max(o.Limits.MaxWatches, 0), DefaultLimits.MaxWatches)
	s := &server{ServeOptions: o, responses: newResponseCache(), shuttingDown: make(chan struct{}), newEpochWanted: make(chan struct{}, 1),
		store: NewVersionStore(o.Limits), startedAt: o.Clock.Now(), changed: make(chan struct{}), replacedWatches: map[uint64]chan struct{}{}}
	s.connections.maxOpen, s.epochInterval = o.Limits.MaxWatches+spareConnections, minEpochInterval
	s.writeTimeout = func(bytes int) time.Duration { return max(responseTimeout, resource.BodyTimeout(int64(bytes))) }
	if o.Files != "" {
		s.writer = newWriter(o.Files)
	}
	s.handler = s.routes()
	return s, nil
}

// runUpdates updates the store, as a writer or as a follower, until ctx ends.
func (s *server) runUpdates(ctx context.Context) error {
	if s.writer != nil {
		return s.runWriter(ctx)
	}
	set := resource.NewSet(false) // for the follow loop, which reads it without server.mu; the store has a set of its own
	return follow.Run(ctx, follow.Options{Name: s.Name, Role: "control", Sources: s.Upstreams, Set: set,
		Log: s.Log, Status: &s.followStatus, Clock: s.Clock,
		Apply: func(d *resource.Delta) error {
			if err := s.publish(func(now time.Duration) error { return s.store.Apply(now, d) }); err != nil {
				return err
			}
			return set.Apply(d)
		}})
}

// publish changes the store and wakes all watches, unless the change fails or makes no version.
func (s *server) publish(change func(now time.Duration) error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.store.Set().Version()
	if err := change(s.Clock.Now()); err != nil {
		return err
	}
	if s.store.Set().Version() == before {
		return nil
	}
	s.responses.clear()
	s.counters.versions.Add(1)
	close(s.changed)
	s.changed = make(chan struct{})
	return nil
}

// endWatches makes all held calls respond that the process is shutting down.
func (s *server) endWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.shuttingDown)
}

// routes returns the HTTP handler. The mux responds 404 to unknown paths and 405 to other methods.
func (s *server) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/resources", s.handleWatch)
	mux.HandleFunc("GET /v1/status", func(w http.ResponseWriter, _ *http.Request) {
		text, err := json.MarshalIndent(s.status(), "", "  ")
		if err != nil {
			s.respondText(w, http.StatusInternalServerError, err.Error())
			return
		}
		s.respond(w, http.StatusOK, "application/json", append(text, '\n'))
	})
	mux.HandleFunc("GET /-/ready", func(w http.ResponseWriter, _ *http.Request) {
		s.mu.Lock()
		version := s.store.Set().Version()
		s.mu.Unlock()
		if version.IsZero() {
			s.respondText(w, http.StatusServiceUnavailable, errNoConfiguration.Error())
			return
		}
		s.respondText(w, http.StatusOK, "ok")
	})
	mux.Handle("GET /metrics", s.metrics())
	mux.HandleFunc("POST /v1/reload", s.handleReload)
	return mux
}

// errNoConfiguration is the response of a process without a first version.
var errNoConfiguration = errors.New("no configuration here yet")

// respondText sends a response of one line of text.
func (s *server) respondText(w http.ResponseWriter, status int, line string) {
	s.respond(w, status, "text/plain; charset=utf-8", []byte(line+"\n"))
}

// respond sends a response; a caller that does not read it in time is disconnected.
func (s *server) respond(w http.ResponseWriter, status int, kind string, body []byte) {
	http.NewResponseController(w).SetWriteDeadline(time.Now().Add(s.writeTimeout(len(body))))
	w.Header().Set("Content-Type", kind)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, err := w.Write(body)
	if s.onSent != nil {
		s.onSent(err)
	}
}

// handleReload reads the files and responds when their content is in force, or with the reason why it is not.
func (s *server) handleReload(w http.ResponseWriter, r *http.Request) {
	if s.writer == nil {
		s.respondText(w, http.StatusConflict, "this control process is a follower: reload the files at the writer")
		return
	}
	defer s.activeReloads.Add(-1)
	if s.activeReloads.Add(1) > maxConcurrentReloads {
		w.Header().Set("Retry-After", "1")
		s.respondText(w, http.StatusServiceUnavailable, "too many reloads in progress: the files are being read for others")
		return
	}
	d, err := s.reloadFiles()
	switch {
	case errors.Is(err, errNoConfiguration):
		s.respondText(w, http.StatusServiceUnavailable, err.Error())
	case err != nil:
		s.respondText(w, http.StatusUnprocessableEntity, err.Error())
	default:
		text, _ := json.Marshal(d)
		s.respond(w, http.StatusOK, "application/json", append(text, '\n'))
	}
}

// handleWatch responds to GET /v1/resources: at once, or when there is a new version, the wait is over, or the process
// shuts down.
func (s *server) handleWatch(w http.ResponseWriter, r *http.Request) {
	q, err := parseQuery(r.URL.RawQuery)
	if err != nil {
		s.counters.countResponse(http.StatusBadRequest)
		s.respondText(w, http.StatusBadRequest, err.Error())
		return
	}
	reply, disconnected := s.holdCall(r.Context(), q)
	if disconnected {
		return
	}
	s.counters.countResponse(reply.Status)
	if reply.Status != http.StatusOK {
		if reply.RetryAfter > 0 {
			w.Header().Set("Retry-After", strconv.Itoa(int(max(reply.RetryAfter.Round(time.Second), time.Second)/time.Second)))
		}
		if reply.Err == errShuttingDown {
			w.Header().Set("Connection", "close")
		}
		s.respondText(w, reply.Status, reply.Err.Error())
		return
	}
	body, zipped, err := s.responses.body(reply.Delta, acceptsGzip(r))
	if err != nil {
		s.Log.Error("encoding a response failed", "err", err)
		s.respondText(w, http.StatusInternalServerError, err.Error())
		return
	}
	if zipped {
		w.Header().Set("Content-Encoding", "gzip")
	}
	w.Header().Set("Vary", "Accept-Encoding")
	s.respond(w, http.StatusOK, "application/json", body)
}

// errShuttingDown is the response to watches at the end of the process.
var errShuttingDown = errors.New("this control process is shutting down")

// holdCall queries the store, and again with each version, until there is a response. disconnected reports that the
// caller has disconnected.
func (s *server) holdCall(ctx context.Context, q Query) (reply Reply, disconnected bool) {
	var timeout <-chan time.Time
	if q.MaxWait > 0 {
		t := time.NewTimer(q.MaxWait)
		defer t.Stop()
		timeout = t.C
	}
	for {
		reply, changed, replaced := s.queryStore(q)
		if !reply.Hold {
			return reply, false
		}
		q.WatchID = reply.WatchID
		if s.onHold != nil {
			s.onHold()
		}
		waitOver, callerGone := q, q
		waitOver.WaitOver, callerGone.CallerGone = true, true
		select {
		case <-changed:
		case <-replaced:
			return reply, false // the store has released it already
		case <-timeout:
			s.queryStore(waitOver)
			return reply, false
		case <-ctx.Done():
			s.queryStore(callerGone)
			return reply, true
		case <-s.shuttingDown:
			s.queryStore(waitOver)
			return Reply{Status: http.StatusServiceUnavailable, Err: errShuttingDown, RetryAfter: time.Second}, false
		}
	}
}

// queryStore queries the store once. The channels are for a call that is to be held: one is closed with the next
// version, the other when a later call replaces this one.
func (s *server) queryStore(q Query) (reply Reply, changed, replaced <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-s.shuttingDown:
		if q.WatchID == 0 {
			return Reply{Status: http.StatusServiceUnavailable, Err: errShuttingDown, RetryAfter: time.Second}, nil, nil
		}
	default:
	}
	reply = s.store.Watch(s.Clock.Now(), q)
	if c := s.replacedWatches[reply.ReplacedWatch]; c != nil {
		close(c)
		delete(s.replacedWatches, reply.ReplacedWatch)
	}
	if !reply.Hold {
		if q.WatchID != 0 {
			delete(s.replacedWatches, q.WatchID)
		}
		if s.writer != nil && !s.store.Ahead().IsZero() {
			select {
			case s.newEpochWanted <- struct{}{}:
			default:
			}
		}
		return reply, nil, nil
	}
	c := s.replacedWatches[reply.WatchID]
	if c == nil {
		c = make(chan struct{})
		s.replacedWatches[reply.WatchID] = c
	}
	return reply, s.changed, c
}

// parseQuery reads the query string of GET /v1/resources. VersionStore.Watch checks the values.
func parseQuery(raw string) (q Query, err error) {
	v, err := url.ParseQuery(raw)
	if err != nil {
		return q, err
	}
	q.Name, q.Process, q.Role, q.Why = v.Get("name"), v.Get("process"), cmp.Or(v.Get("role"), "node"), v.Get("why")
	for _, f := range []struct {
		name string
		into interface{ UnmarshalText([]byte) error }
	}{{"since", &q.Since}, {"sum", &q.Sum}, {"refused", &q.Refused}} {
		if text := v.Get(f.name); text != "" {
			if err := f.into.UnmarshalText([]byte(text)); err != nil {
				return q, fmt.Errorf("%s: %w", f.name, err)
			}
		}
	}
	if text := v.Get("timeout_ms"); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms < 0 {
			return q, fmt.Errorf("timeout_ms: %.40q is not a number of milliseconds", text)
		}
		q.MaxWait = time.Duration(min(ms, maxWatchWait.Milliseconds())) * time.Millisecond
	}
	return q, nil
}
