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

// Agent stands in for an agent beside a web server, by HAProxy's agent-check. What it does can change at any time. Safe for
// concurrent use.
type Agent struct {
	listener net.Listener
	wg       sync.WaitGroup

	mu       sync.Mutex
	behavior func(nth int, c net.Conn)
	queries  int
	conns    map[net.Conn]bool
}

// StartAgent brings one up at an address; "" is one of its own. It says that its server is up.
func StartAgent(addr string) (*Agent, error) {
	ln, err := listenAt(addr)
	if err != nil {
		return nil, err
	}
	a := &Agent{listener: ln, conns: map[net.Conn]bool{}}
	a.Says("up ready 100%\n")
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
		does, nth := a.behavior, a.queries
		a.queries++
		a.conns[c] = true
		a.mu.Unlock()
		a.wg.Add(1)
		go func() {
			defer a.wg.Done()
			does(nth, c)
			c.Close()
			a.mu.Lock()
			delete(a.conns, c)
			a.mu.Unlock()
		}()
	}
}

// Addr is where it listens.
func (a *Agent) Addr() string { return a.listener.Addr().String() }

// Asked is how often it was, since its start.
func (a *Agent) Asked() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.queries
}

func (a *Agent) setBehavior(does func(nth int, c net.Conn)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.behavior = does
}

// Says makes it write a text and close; of several texts one after the other, round and round.
func (a *Agent) Says(texts ...string) {
	a.setBehavior(func(nth int, c net.Conn) { io.WriteString(c, texts[nth%len(texts)]) })
}

// Asks makes it write what a function says each time, or stall where that says nothing.
func (a *Agent) Asks(says func() (text string, answers bool)) {
	a.setBehavior(func(_ int, c net.Conn) {
		if text, answers := says(); answers {
			io.WriteString(c, text)
		} else {
			io.Copy(io.Discard, c)
		}
	})
}

// Stalls makes it accept and say nothing, beyond the beginning that is given.
func (a *Agent) Stalls(beginning string) {
	a.setBehavior(func(_ int, c net.Conn) {
		io.WriteString(c, beginning)
		io.Copy(io.Discard, c)
	})
}

// Rambles makes it write without end.
func (a *Agent) Rambles() {
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

// Resets makes it break the connection after the beginning that is given.
func (a *Agent) Resets(beginning string) {
	a.setBehavior(func(_ int, c net.Conn) {
		io.WriteString(c, beginning)
		c.(*net.TCPConn).SetLinger(0)
	})
}

// Stop ends it and what is open.
func (a *Agent) Stop() {
	a.listener.Close()
	a.mu.Lock()
	for c := range a.conns {
		c.Close()
	}
	a.mu.Unlock()
	a.wg.Wait()
}

// Health stands in for a server that speaks the gRPC health protocol, by grpc-go's own service.
type Health struct {
	*grpchealth.Server
	server *grpc.Server
	addr   string
}

// StartHealth brings one up at an address; "" is one of its own. It serves as a whole, and no service by name.
func StartHealth(addr string) (*Health, error) {
	ln, err := listenAt(addr)
	if err != nil {
		return nil, err
	}
	h := &Health{grpchealth.NewServer(), grpc.NewServer(), ln.Addr().String()}
	healthpb.RegisterHealthServer(h.server, h.Server)
	go h.server.Serve(ln)
	return h, nil
}

// Addr is where it listens.
func (h *Health) Addr() string { return h.addr }

// Stop ends it and all streams.
func (h *Health) Stop() { h.server.Stop() }

// Page stands in for a page that is checked.
type Page struct {
	Status int
	Body   string
	After  time.Duration // it waits this long before it answers
}

// ServeHTTP makes it an http.Handler.
func (p *Page) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	select {
	case <-time.After(p.After):
	case <-r.Context().Done():
		return
	}
	if p.Status >= 300 && p.Status < 400 {
		w.Header().Set("Location", "/elsewhere")
	}
	w.WriteHeader(p.Status)
	io.WriteString(w, p.Body)
}
