// Package mgmt is the listener for operators: HTTP/1.1 on its own address, one call per connection. It parses calls and
// writes replies; the node carries the calls out. It shares no lock, limit or goroutine with the clients' requests, so
// that it replies regardless of their number.
package mgmt

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/url"
	"path"
	"sync"
	"time"
)

const (
	// MaxConns is the maximum number of open connections. Above it the oldest is closed: calls are replied to within
	// milliseconds, so the oldest connection is most likely one that has not sent its call.
	MaxConns = 24
	// connTimeout limits how long a caller may take to send its call and to read the reply.
	connTimeout = 2 * time.Second
	// callTimeout limits how long the node may take to carry out a call: each reply is due within 1 s.
	callTimeout = 800 * time.Millisecond
	// maxHeaderBytes is the maximum size of a call's head.
	maxHeaderBytes = 8 << 10
)

// ErrUnknownServer means that no web server has the given ID.
var ErrUnknownServer = errors.New("no such web server")

// Node carries out the calls of operators. After an error the call may or may not have taken effect, except that
// ErrUnknownServer means that nothing has changed.
type Node interface {
	// Ready returns nil if this process accepts clients.
	Ready() error
	// Disable takes a web server out of service. Once it has returned nil, nothing new is sent to that web server.
	Disable(ctx context.Context, id string) error
	// Enable puts a web server back into service.
	Enable(ctx context.Context, id string) error
	// Drain stops accepting clients.
	Drain(ctx context.Context) error
	// Resume accepts clients again.
	Resume(ctx context.Context) error
}

// Page is a further resource that operators can GET. If Write returns ErrUnknownServer the status is 404, for any other
// error it is 400.
type Page struct {
	Path  string // path below /-/
	Type  string // Content-Type
	Write func(w io.Writer, q url.Values) error
}

// Server serves the calls of operators. It is safe for concurrent use.
type Server struct {
	http http.Server

	mu    sync.Mutex
	conns []net.Conn // open connections, the oldest first; protected by mu
}

// Serve serves calls on ln until Close. It logs the operators' commands, and at debug level malformed calls.
func Serve(ln net.Listener, node Node, log *slog.Logger, pages ...Page) *Server {
	s := &Server{}
	s.http = http.Server{
		Handler:           newHandler(node, log, pages),
		ReadHeaderTimeout: connTimeout,
		ReadTimeout:       connTimeout,
		WriteTimeout:      connTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         s.trackConn,
		ErrorLog:          slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
	s.http.SetKeepAlivesEnabled(false)
	go s.http.Serve(ln)
	return s
}

// Close closes the listener and all its connections.
func (s *Server) Close() error { return s.http.Close() }

// trackConn limits the number of open connections to MaxConns.
func (s *Server) trackConn(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		if len(s.conns) >= MaxConns {
			s.conns[0].Close()
			s.conns = s.conns[1:]
		}
		s.conns = append(s.conns, c)
	case http.StateClosed, http.StateHijacked:
		for i, open := range s.conns {
			if open == c {
				s.conns = append(s.conns[:i:i], s.conns[i+1:]...)
				break
			}
		}
	}
}

// newHandler returns the handler of all calls. The mux replies to unknown paths and methods with 404 and 405.
func newHandler(node Node, log *slog.Logger, pages []Page) http.Handler {
	mux := http.NewServeMux()
	reply := func(w http.ResponseWriter, err error) {
		status, text := http.StatusOK, "ok"
		switch {
		case errors.Is(err, ErrUnknownServer):
			status, text = http.StatusNotFound, err.Error()
		case err != nil:
			status, text = http.StatusServiceUnavailable, err.Error()
		}
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		w.WriteHeader(status)
		io.WriteString(w, text+"\n")
	}
	mux.HandleFunc("GET /-/ready", func(w http.ResponseWriter, r *http.Request) { reply(w, node.Ready()) })
	command := func(pattern string, run func(ctx context.Context, id string) error) {
		mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
			ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
			defer cancel()
			err := run(ctx, r.PathValue("id"))
			log.Info("operator call", "call", fmt.Sprint(r.Method, " ", r.URL.Path), "err", err)
			reply(w, err)
		})
	}
	command("POST /-/web-servers/{id}/disable", node.Disable)
	command("POST /-/web-servers/{id}/enable", node.Enable)
	command("POST /-/drain", func(ctx context.Context, _ string) error { return node.Drain(ctx) })
	command("POST /-/resume", func(ctx context.Context, _ string) error { return node.Resume(ctx) })
	for _, p := range pages {
		mux.HandleFunc("GET /-/"+p.Path, func(w http.ResponseWriter, r *http.Request) {
			var b bytes.Buffer // buffered, so that an error can still set the status
			err := p.Write(&b, r.URL.Query())
			switch {
			case errors.Is(err, ErrUnknownServer):
				http.Error(w, err.Error(), http.StatusNotFound)
			case err != nil:
				http.Error(w, err.Error(), http.StatusBadRequest)
			default:
				w.Header().Set("Content-Type", p.Type)
				w.Write(b.Bytes())
			}
		})
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if path.Clean(r.URL.Path) != r.URL.Path { // the mux would redirect the caller instead of replying
			http.NotFound(w, r)
			return
		}
		mux.ServeHTTP(w, r)
	})
}
