package rig

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Pod is the record of keys that the web servers of one cell share: each drops a repeat of a key within Window of the
// first time that it began.
type Pod struct {
	Window time.Duration
	mu     sync.Mutex
	seen   map[string]time.Time
}

// begin reports whether a key is new to the pod.
func (p *Pod) begin(key string) bool {
	if p == nil || key == "" {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if at, known := p.seen[key]; known && time.Since(at) < p.Window {
		return false
	}
	if p.seen == nil {
		p.seen = map[string]time.Time{}
	}
	p.seen[key] = time.Now()
	return true
}

// Run is one request that a web server has begun.
type Run struct {
	Server     *Server
	ID, Key    string
	Class      string
	At         time.Time
	Executed   bool // false: a repeat that the pod dropped
	BodyLength int
}

// Runs collects what all web servers have begun.
type Runs struct {
	mu  sync.Mutex
	all []Run
}

// Executed returns what was executed, by id.
func (r *Runs) Executed() map[string][]Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := map[string][]Run{}
	for _, run := range r.all {
		if run.Executed {
			m[run.ID] = append(m[run.ID], run)
		}
	}
	return m
}

// All returns all that was begun.
func (r *Runs) All() []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Run(nil), r.all...)
}

// Server is a web server. It serves each request for as long as Work says.
type Server struct {
	Entry
	Pod  *Pod
	Work func(r *http.Request) time.Duration
	// Answer, if set, answers in place of a 200 and reports whether the connection stays open.
	Answer func(c net.Conn, r *http.Request, run Run) (stays bool)
	// Turn, if set, reports whether a request is turned away: 503 with X-Not-Run.
	Turn func() bool
	// After, if set, is called behind each answer, with its bytes and what reads the next request.
	After func(c net.Conn, in *bufio.Reader, answer []byte, id string)

	rec   *Record
	runs  *Runs
	ln    net.Listener
	mu    sync.Mutex
	conns map[net.Conn]bool
	dead  bool
}

// StartServer starts a web server at an address; an empty one means any.
func StartServer(rec *Record, runs *Runs, id, addr string, cell int64, pod *Pod, work func(r *http.Request) time.Duration) *Server {
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	var ln net.Listener
	var err error
	for end := time.Now().Add(2 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		if ln, err = net.Listen("tcp", addr); err == nil || time.Now().After(end) {
			break
		}
	}
	if err != nil {
		Fatal(err)
	}
	s := &Server{Entry: Entry{ID: id, Addr: ln.Addr().String(), Zone: "austin-dc1", Kind: "std-2c", Cell: cell, State: "Ready", Weight: 1},
		Pod: pod, Work: work, rec: rec, runs: runs, ln: ln, conns: map[net.Conn]bool{}}
	go s.accept()
	return s
}

func (s *Server) accept() {
	for {
		c, err := s.ln.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		if s.dead {
			s.mu.Unlock()
			c.Close()
			return
		}
		s.conns[c] = true
		s.mu.Unlock()
		go s.serve(c)
	}
}

// Kill ends the web server as the end of its process does: its connections are reset and new ones refused.
func (s *Server) Kill() {
	s.rec.Logf("web server %s: its process is killed", s.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dead = true
	s.ln.Close()
	for c := range s.conns {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
}

func (s *Server) alive() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.dead
}

func (s *Server) serve(c net.Conn) {
	defer func() {
		c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		n, err := io.Copy(io.Discard, r.Body)
		if err != nil {
			s.rec.Logf("web server %s: %s broke off within its body", s.ID, r.Header.Get("X-Request-Id"))
			return
		}
		if !s.alive() {
			return
		}
		if s.Turn != nil && s.Turn() {
			id := r.Header.Get("X-Request-Id")
			s.rec.Logf("web server %s: turns %s away", s.ID, id)
			answer := []byte("HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 11\r\n\r\nqueue full\n")
			if _, err := c.Write(answer); err != nil {
				return
			}
			if s.After != nil {
				s.After(c, in, answer, id)
			}
			continue
		}
		run := Run{Server: s, ID: r.Header.Get("X-Request-Id"), Key: r.Header.Get("Idempotency-Key"), Class: r.Header.Get("X-Class"),
			At: time.Now(), BodyLength: int(n)}
		run.Executed = s.pod().begin(run.Key)
		s.runs.mu.Lock()
		s.runs.all = append(s.runs.all, run)
		s.runs.mu.Unlock()
		what := "runs"
		if !run.Executed {
			what = "drops the repeat"
		}
		s.rec.Logf("web server %s (cell %d): %s %s %s key %q X-Deadline %s", s.ID, s.Cell, what, r.Method, run.ID, run.Key, r.Header.Get("X-Deadline"))
		if s.Work != nil {
			time.Sleep(s.Work(r))
		}
		if s.Answer != nil {
			if !s.Answer(c, r, run) {
				return
			}
			continue
		}
		answer := okAnswer(fmt.Sprintf("served %s by %s", run.ID, s.ID))
		if _, err := c.Write(answer); err != nil {
			return
		}
		if s.After != nil {
			s.After(c, in, answer, run.ID)
		}
	}
}

// OK answers with 200 and a body, and reports whether that was written.
func OK(c net.Conn, body string) bool {
	_, err := c.Write(okAnswer(body))
	return err == nil
}

func okAnswer(body string) []byte {
	return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nX-Load: {\"queue\":0}\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// Reset ends a connection with a reset.
func Reset(c net.Conn) {
	c.(*net.TCPConn).SetLinger(0)
	c.Close()
}

// SetPod makes the web server use another record of keys.
func (s *Server) SetPod(p *Pod) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Pod = p
}

func (s *Server) pod() *Pod {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Pod
}
