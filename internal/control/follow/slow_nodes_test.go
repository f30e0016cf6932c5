package follow

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"portstall/internal/lab/standin"
	"portstall/internal/resource"
)

// pipeNetwork is a network in the virtual time of a synctest bubble, with one server at a time. Its connections have no buffer, like
// connections with a full one.
type pipeNetwork struct {
	mu  sync.Mutex
	srv *http.Server // nil: not listening
	ln  *pipeListener
}

// start serves new connections.
func (w *pipeNetwork) start(h http.Handler) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.srv, w.ln = &http.Server{Handler: h}, &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
	go w.srv.Serve(w.ln)
}

// stop closes all connections. New ones are refused.
func (w *pipeNetwork) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.srv != nil {
		w.srv.Close()
		w.srv = nil
	}
}

// dial connects to the server.
func (w *pipeNetwork) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	w.mu.Lock()
	srv, ln := w.srv, w.ln
	w.mu.Unlock()
	if srv == nil {
		return nil, errors.New("refused")
	}
	client, server := net.Pipe()
	select {
	case ln.conns <- server:
		return client, nil
	case <-ln.closed:
		return nil, errors.New("refused")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// pipeListener is a net.Listener for the server ends of pipes.
type pipeListener struct {
	conns  chan net.Conn
	once   sync.Once
	closed chan struct{}
}

func (p *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}
func (p *pipeListener) Close() error   { p.once.Do(func() { close(p.closed) }); return nil }
func (p *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// withContentLength sends the length of a response, as control processes do.
type withContentLength struct{ http.Handler }

func (s withContentLength) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.Handler.ServeHTTP(contentLengthWriter{w}, r)
}

// contentLengthWriter sets the length of a body that is written in one call.
type contentLengthWriter struct{ http.ResponseWriter }

func (w contentLengthWriter) Write(text []byte) (int, error) {
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	return w.ResponseWriter.Write(text)
}

// Control is unavailable for 15 s and loses its history, so that all nodes need a snapshot afterwards. Each needs 3 to 12 s to decode
// it, longer than a response may take to arrive. The snapshot is sent once to each node, and all have it and the change made meanwhile
// within 18 s.
func TestSlowNodesReceiveSnapshotOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const nodes = 60
		var all []resource.Resource
		for i := range 400 {
			all = append(all, contractResource(fmt.Sprintf("contract-%04d-of-a-name-that-makes-it-long-enough-for-no-buffer", i)))
		}
		controls := [2]*standin.Control{}
		for i, first := range [][]resource.Resource{all, nil} {
			c, err := standin.NewControl(first...)
			if err != nil {
				t.Fatal(err)
			}
			c.Stop() // it is reached over the bubble's network only
			controls[i] = c
		}
		before, after := controls[0], controls[1]
		network := &pipeNetwork{}
		network.start(withContentLength{before})
		ctx, cancel := context.WithCancel(t.Context())
		var group sync.WaitGroup
		defer func() {
			cancel()
			group.Wait()
			network.stop()
		}()
		var sets [nodes]*resource.Set
		var status [nodes]Status
		for i := range nodes {
			sets[i] = resource.NewSet(false)
			o := &Options{Name: fmt.Sprint("n", i), Role: "node", Sources: []string{"control:1"}, Set: sets[i], Status: &status[i], Apply: sets[i].Apply}
			o.setDefaults()
			client := NewClient(o.Name, o.Role, o.Clock, o.Status)
			client.http.Transport.(*http.Transport).DialContext = network.dial
			slow := 3*time.Second + time.Duration(i)*9*time.Second/nodes
			client.decode = func(r io.Reader) (*resource.Delta, error) {
				return decode(newHookReader(r, func() { time.Sleep(slow) }))
			}
			group.Go(func() { o.run(ctx, client) })
		}
		requireVersion := func(c *standin.Control) {
			t.Helper()
			synctest.Wait()
			for i := range nodes {
				if f := status[i].Read(); f.Version != c.Version() {
					t.Fatalf("n%d has %v, control has %v: %+v", i, f.Version, c.Version(), f)
				}
			}
			if snapshots, _ := c.ResponseCounts(); snapshots != nodes {
				t.Errorf("%d snapshots were sent to %d nodes", snapshots, nodes)
			}
		}
		time.Sleep(18 * time.Second)
		requireVersion(before)
		network.stop()
		if _, err := before.ApplyChange([]resource.Resource{contractResource("missed")}); err != nil {
			t.Fatal(err)
		}
		if err := after.CopyFrom(before); err != nil {
			t.Fatal(err)
		}
		time.Sleep(15 * time.Second)
		network.start(withContentLength{after})
		time.Sleep(6 * time.Second)
		if _, err := after.ApplyChange([]resource.Resource{contractResource("meanwhile")}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(12 * time.Second)
		requireVersion(after)
	})
}
