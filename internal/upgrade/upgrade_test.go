package upgrade

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"net"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

const patience = 20 * time.Second

// fake is a process; what it is told goes to its channels.
type fake struct {
	state  string
	orders chan Order
	heir   chan struct{}
	alone  chan struct{}
	err    error
}

func newFake(state string) *fake {
	return &fake{state: state, orders: make(chan Order, 10), heir: make(chan struct{}, 10), alone: make(chan struct{}, 10)}
}

func (f *fake) State() (json.RawMessage, error) { return json.RawMessage(f.state), nil }
func (f *fake) Obey(_ *Peer, o Order) error     { f.orders <- o; return f.err }
func (f *fake) Succeed()                        { f.heir <- struct{}{} }
func (f *fake) Alone(*Peer)                     { f.alone <- struct{}{} }

func within[T any](t *testing.T, what string, c <-chan T) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(patience):
		t.Fatal(what, ": did not come")
		panic("unreachable")
	}
}

func listen(t *testing.T, path string, f *fake) (*Listener, chan *Peer) {
	t.Helper()
	met := make(chan *Peer, 10)
	l, err := Listen(path, f, slog.New(slog.DiscardHandler), func(p *Peer) { met <- p })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l, met
}

func TestHandover(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	path := filepath.Join(t.TempDir(), "sock")
	old, young := newFake(`{"version":7}`), newFake("")
	l, met := listen(t, path, old)
	p, state, err := Dial(path)
	if err != nil || string(state) != `{"version":7}` {
		t.Fatalf("state %s, %v", state, err)
	}
	q := within(t, "the successor", met)
	// An order from before the successor reads is waiting for it.
	done := make(chan error, 1)
	go func() { done <- q.Order(ctx, Order{Call: Disable, ID: "s-1"}) }()
	p.Follow(young)
	if o := within(t, "the order", young.orders); o.Call != Disable || o.ID != "s-1" {
		t.Errorf("got %+v", o)
	}
	if err := within(t, "its ack", done); err != nil {
		t.Error(err)
	}
	if err := p.Ready(ctx); err != nil {
		t.Error(err)
	}
	within(t, "the end of accepting", old.heir)
	old.err = errors.New("not here")
	if err := p.Order(ctx, Order{Call: Drain}); err == nil || !strings.Contains(err.Error(), "not here") {
		t.Errorf("an order that the other refuses: %v", err)
	}
	// A successor takes the place of the old process while that one still listens.
	next := newFake(`{"version":8}`)
	listen(t, path, next)
	l.Close()
	if _, state, err := Dial(path); err != nil || string(state) != `{"version":8}` {
		t.Errorf("after it: %s, %v", state, err)
	}
	q.conn.Close()
	within(t, "the end of the old process", young.alone)
	if err := p.Order(ctx, Order{Call: Drain}); err != nil {
		t.Errorf("an order for a process that is gone: %v", err)
	}
	if err := p.Ready(ctx); !errors.Is(err, ErrGone) {
		t.Errorf("ready to a process that is gone: %v", err)
	}
}

// Nobody there, a dead process's socket and one of another version: the start goes on in each case.
func TestNoPredecessor(t *testing.T) {
	t.Parallel()
	path := filepath.Join(t.TempDir(), "sock")
	if _, _, err := Dial(path); err == nil {
		t.Error("somebody is there")
	}
	l, _ := listen(t, path, newFake("{}"))
	l.Close()
	if _, _, err := Dial(path); err == nil {
		t.Error("a dead process hands over")
	}
	listen(t, path, newFake("{}"))
	conn, err := net.Dial("unix", path)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	json.NewEncoder(conn).Encode(message{Kind: hello, Version: Version + 1})
	var m message
	conn.SetDeadline(time.Now().Add(patience))
	if err := json.NewDecoder(conn).Decode(&m); err != nil || m.Error == "" || m.State != nil {
		t.Errorf("another version: %+v, %v", m, err)
	}
}

// A predecessor that does not answer holds up its caller for no longer than it has time.
func TestOrderGivesUp(t *testing.T) {
	t.Parallel()
	a, b := net.Pipe()
	defer a.Close()
	defer b.Close()
	go json.NewDecoder(b).Decode(&message{})
	ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
	defer cancel()
	if err := newPeer(a).Order(ctx, Order{Call: Drain}); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("got %v", err)
	}
}
