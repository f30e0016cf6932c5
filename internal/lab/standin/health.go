package standin

import (
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"google.golang.org/grpc"
	grpchealth "google.golang.org/grpc/health"
	healthpb "google.golang.org/grpc/health/grpc_health_v1"
)

// Agent stands in for a health agent next to a web server; it speaks HAProxy's agent-check protocol. Its behavior can
// change at any time and applies to connections accepted from then on. It is safe for concurrent use.
type Agent struct {
	listener net.Listener
	wg       sync.WaitGroup

	mu       sync.Mutex
	behavior func(nth int, c net.Conn)
	queries  int
	conns    map[net.Conn]bool
}

// StartAgent starts an agent at an address, or at one of its own where that is empty. It reports its server as up.
func StartAgent(addr string) (*Agent, error) {
	ln, err := listenAt(addr)
	if err != nil {
		return nil, err
	}
	a := &Agent{listener: ln, conns: map[net.Conn]bool{}}
	a.Reply("up ready 100%\n")
	a.wg.Add(1)
	go a.acceptLoop()
	return a, nil
}

func (a *Agent) acceptLoop() {
	defer a.wg.Done()
	for {
		c, err := a.listener.Accept()
		if err != nil {
			return
		}
		a.mu.Lock()
		behavior, nth := a.behavior, a.queries
		a.queries++
		a.conns[c] = true
		a.mu.Unlock()
		a.wg.Add(1)
		go func() {
			defer a.wg.Done()
			behavior(nth, c)
			c.Close()
			a.mu.Lock()
			delete(a.conns, c)
			a.mu.Unlock()
		}()
	}
}

// Addr returns the address at which it listens.
func (a *Agent) Addr() string { return a.listener.Addr().String() }

// QueryCount returns the number of connections accepted since the start.
func (a *Agent) QueryCount() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.queries
}

func (a *Agent) setBehavior(behavior func(nth int, c net.Conn)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.behavior = behavior
}

// Reply makes it write a text and close the connection. Several texts are used in turn, starting over after the last.
func (a *Agent) Reply(texts ...string) {
	a.setBehavior(func(nth int, c net.Conn) { io.WriteString(c, texts[nth%len(texts)]) })
}

// ReplyWith makes it write the text that a function returns for each connection, or stall where that returns false.
func (a *Agent) ReplyWith(reply func() (text string, answers bool)) {
	a.setBehavior(func(_ int, c net.Conn) {
		if text, answers := reply(); answers {
			io.WriteString(c, text)
		} else {
			io.Copy(io.Discard, c)
		}
	})
}

// Stall makes it accept, write the given beginning and nothing more, and keep the connection open.
func (a *Agent) Stall(beginning string) {
	a.setBehavior(func(_ int, c net.Conn) {
		io.WriteString(c, beginning)
		io.Copy(io.Discard, c)
	})
}

// WriteEndlessly makes it write until the peer closes the connection.
func (a *Agent) WriteEndlessly() {
	a.setBehavior(func(_ int, c net.Conn) {
		text := make([]byte, 4096)
		for i := range text {
			text[i] = 'x'
		}
		for {
			if _, err := c.Write(text); err != nil {
				return
			}
		}
	})
}

// ResetAfter makes it reset the connection after writing the given beginning.
func (a *Agent) ResetAfter(beginning string) {
	a.setBehavior(func(_ int, c net.Conn) {
		io.WriteString(c, beginning)
		c.(*net.TCPConn).SetLinger(0)
	})
}

// Stop closes the listener and all connections and waits for their goroutines.
func (a *Agent) Stop() {
	a.listener.Close()
	a.mu.Lock()
	for c := range a.conns {
		c.Close()
	}
	a.mu.Unlock()
	a.wg.Wait()
}

// HealthServer stands in for a server that speaks the gRPC health protocol. It uses the implementation of grpc-go.
type HealthServer struct {
	*grpchealth.Server
	server *grpc.Server
	addr   string
}

// StartHealthServer starts a server at an address, or at one of its own where that is empty. It reports the server as a
// whole as serving, and knows no service by name.
func StartHealthServer(addr string) (*HealthServer, error) {
	ln, err := listenAt(addr)
	if err != nil {
		return nil, err
	}
	h := &HealthServer{grpchealth.NewServer(), grpc.NewServer(), ln.Addr().String()}
	healthpb.RegisterHealthServer(h.server, h.Server)
	go h.server.Serve(ln)
	return h, nil
}

// Addr returns the address at which it listens.
func (h *HealthServer) Addr() string { return h.addr }

// Stop closes the listener, all connections and all streams.
func (h *HealthServer) Stop() { h.server.Stop() }

// CheckedPage stands in for the HTTP page that a health check requests.
type CheckedPage struct {
	Status int
	Body   string
	Delay  time.Duration // pause before the response
}

// ServeHTTP responds with the status and body; a status of redirection also gets a Location.
func (p *CheckedPage) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	select {
	case <-time.After(p.Delay):
	case <-r.Context().Done():
		return
	}
	if p.Status >= 300 && p.Status < 400 {
		w.Header().Set("Location", "/elsewhere")
	}
	w.WriteHeader(p.Status)
	io.WriteString(w, p.Body)
}
