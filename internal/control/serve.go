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
	maxWatchWait         = time.Minute      // that a watch is held; one that asks for longer is answered then
	headerTimeout        = 2 * time.Second  // a caller may take over its call's head
	idleTimeout          = time.Minute      // a connection on which nothing is asked is closed
	responseTimeout      = 10 * time.Second // a caller may take to read an answer that is no watch's
	shutdownTimeout      = 1500 * time.Millisecond
	maxHeaderBytes       = 8 << 10
	spareConnections     = 256 // connections beyond those that hold watches
	maxConcurrentReloads = 8   // calls for a reload at a time: each waits for those before it
)

// ServeOptions say what a control process is. Files makes it the writer, From a follower: one of them.
type ServeOptions struct {
	Listener net.Listener // Serve closes it
	Name     string       // shown by the control processes that it asks
	Limits   Limits
	Files    string          // writer: a file, or a folder of them
	Peers    []string        // writer: host:port of the other control processes, whose versions it goes on from
	Reload   <-chan struct{} // writer: read the files again
	From     []string        // follower: host:port, the nearest first
	Log      *slog.Logger    // nil: nothing is logged
	Clock    follow.Clock    // nil: the system's
}

// server is a control process.
type server struct {
	ServeOptions
	writer          *writer // nil: a follower
	responses       *responseCache
	followStatus    follow.Status
	counters        counters
	startedAt       time.Duration
	shuttingDown    chan struct{} // closed once watches are to end
	newEpochWanted  chan struct{} // holds one: a caller has a version past ours
	activeReloads   atomic.Int32  // calls under way
	connections     connectionLimiter
	handler         http.Handler
	epochInterval   time.Duration                 // between two epochs, at least
	writeTimeout    func(bytes int) time.Duration // a caller may take to read an answer
	onHold          func()                        // in tests: a call is held, once more with each version that is not for it
	onSent          func(error)                   // in tests: an answer is written, or can't be
	mu              sync.Mutex                    // guards the rest
	store           *VersionStore
	changed         chan struct{}            // closed and replaced with each version
	replacedWatches map[uint64]chan struct{} // by held watch: closed where a later call took its place
}

// FilesError is what is wrong with a writer's files at its start: file, line, resource and field.
type FilesError struct{ error }

func (e *FilesError) Unwrap() error { return e.error }

// Serve runs a control process until ctx ends: it then answers all watches, and returns within 2 s. An error is a
// *FilesError at the start, or of the listener or the first epoch; then it has not begun or has ended.
func Serve(ctx context.Context, o ServeOptions) error {
	s, err := newServer(o)
	if err != nil {
		o.Listener.Close()
		return err
	}
	return s.run(ctx)
}

func (s *server) run(ctx context.Context) (err error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	srv := &http.Server{
		Handler:           s.handler,
		ReadHeaderTimeout: headerTimeout,
		WriteTimeout:      maxWatchWait + responseTimeout, // narrower for each answer
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
	down, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if srv.Shutdown(down) != nil {
		srv.Close()
	}
	group.Wait()
	return err
}

func newServer(o ServeOptions) (*server, error) {
	if (o.Files == "") == (len(o.From) == 0) {
		return nil, errors.New("a control process has files, or others that it follows")
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	if o.Clock == nil {
		o.Clock = follow.SystemClock()
	}
	o.Limits.Watches = cmp.Or(max(o.Limits.Watches, 0), DefaultLimits.Watches)
	s := &server{ServeOptions: o, responses: newResponseCache(), shuttingDown: make(chan struct{}), newEpochWanted: make(chan struct{}, 1), store: NewVersionStore(o.Limits),
		startedAt: o.Clock.Now(), changed: make(chan struct{}), replacedWatches: map[uint64]chan struct{}{}}
	s.connections.maxOpen, s.epochInterval = o.Limits.Watches+spareConnections, minEpochInterval
	s.writeTimeout = func(bytes int) time.Duration { return max(responseTimeout, resource.BodyLimit(int64(bytes))) }
	if o.Files != "" {
		s.writer = newWriter(o.Files)
	}
	s.handler = s.routes()
	return s, nil
}

// keep keeps the book up to date until ctx ends.
func (s *server) runUpdates(ctx context.Context) error {
	if s.writer != nil {
		return s.runWriter(ctx)
	}
	set := resource.NewSet(false) // the follower's; the book's own is under the lock
	return follow.Run(ctx, follow.Options{Name: s.Name, Role: "control", Sources: s.From, Set: set, Log: s.Log, Status: &s.followStatus, Clock: s.Clock,
		Take: func(d *resource.Delta) error {
			if err := s.publish(func(now time.Duration) error { return s.store.Apply(now, d) }); err != nil {
				return err
			}
			return set.Apply(d)
		}})
}

// publish changes the book and wakes all watches, unless the change fails.
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

// end answers all watches.
func (s *server) endWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.shuttingDown)
}

// routes are what can be called. Unknown paths and methods are answered with 404 and 405 by the mux.
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

var errNoConfiguration = errors.New("no configuration here yet")

// say answers with one line of text.
func (s *server) respondText(w http.ResponseWriter, status int, line string) {
	s.respond(w, status, "text/plain; charset=utf-8", []byte(line+"\n"))
}

// send answers; a caller that does not read it in time is cut off.
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

// reload reads the files and answers once what they say is in force, or why it is not.
func (s *server) handleReload(w http.ResponseWriter, r *http.Request) {
	if s.writer == nil {
		s.respondText(w, http.StatusConflict, "this control process follows another one: changes are made at the writer")
		return
	}
	defer s.activeReloads.Add(-1)
	if s.activeReloads.Add(1) > maxConcurrentReloads {
		w.Header().Set("Retry-After", "1")
		s.respondText(w, http.StatusServiceUnavailable, "the files are being read for others already")
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

// watch answers a call for resources: at once, or when something is new, its wait is over, or this process ends.
func (s *server) handleWatch(w http.ResponseWriter, r *http.Request) {
	q, err := parseQuery(r.URL.RawQuery)
	if err != nil {
		s.counters.countResponse(http.StatusBadRequest)
		s.respondText(w, http.StatusBadRequest, err.Error())
		return
	}
	reply, gone := s.holdCall(r.Context(), q)
	if gone {
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
		s.Log.Error("an answer can't be made", "err", err)
		s.respondText(w, http.StatusInternalServerError, err.Error())
		return
	}
	if zipped {
		w.Header().Set("Content-Encoding", "gzip")
	}
	w.Header().Set("Vary", "Accept-Encoding")
	s.respond(w, http.StatusOK, "application/json", body)
}

var errShuttingDown = errors.New("this control process ends")

// hold asks the book, and again with each version, until there is an answer. Gone: nobody waits for it any more.
func (s *server) holdCall(ctx context.Context, q Query) (reply Reply, gone bool) {
	var over <-chan time.Time
	if q.MaxWait > 0 {
		t := time.NewTimer(q.MaxWait)
		defer t.Stop()
		over = t.C
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
		left, ended := q, q
		left.WaitOver, ended.CallerGone = true, true
		select {
		case <-changed:
		case <-replaced:
			return reply, false // it has been let go already
		case <-over:
			s.queryStore(left)
			return reply, false
		case <-ctx.Done():
			s.queryStore(ended)
			return reply, true
		case <-s.shuttingDown:
			s.queryStore(left)
			return Reply{Status: http.StatusServiceUnavailable, Err: errShuttingDown, RetryAfter: time.Second}, false
		}
	}
}

// ask asks the book once. The channels are for a call that is to be held.
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

// parseQuery reads a call. What it does not check the book does.
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
			return q, fmt.Errorf("timeout_ms: %.40q is no number of milliseconds", text)
		}
		q.MaxWait = time.Duration(min(ms, maxWatchWait.Milliseconds())) * time.Millisecond
	}
	return q, nil
}
