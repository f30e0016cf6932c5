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

	"portstall/internal/handover"
)

const testTimeout = 20 * time.Second

// fake is a process; what it is told goes to its channels.
type stubNode struct {
	state    string
	peers    chan *Peer
	received chan string
	orders   chan Order
	exited   chan struct{}
	orderErr error
}

func newStubNode(state string) *stubNode {
	return &stubNode{state: state, peers: make(chan *Peer, 10), received: make(chan string, 10), orders: make(chan Order, 10), exited: make(chan struct{}, 10)}
}

func (f *stubNode) Hello(p *Peer) {
	if f.state == "" {
		p.Tell(handover.Later, 0, nil)
	} else {
		p.Tell(handover.State, 0, func() []byte { return []byte(f.state) })
	}
	f.peers <- p
}
func (f *stubNode) Heard(_ *Peer, what handover.Message, number uint64, state []byte) {
	f.received <- string(rune('0'+what)) + string(rune('0'+number)) + string(state)
}
func (f *stubNode) Claim(_ *Peer, id string, until time.Duration) handover.Verdict {
	if id == "open" || until != time.Hour {
		return handover.Open
	}
	return handover.Granted
}
func (f *stubNode) Ended(_ *Peer, id string)    { f.received <- id }
func (f *stubNode) Obey(_ *Peer, o Order) error { f.orders <- o; return f.orderErr }
func (f *stubNode) Gone(*Peer)                  { f.exited <- struct{}{} }

func receive[T any](t *testing.T, what string, c <-chan T) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(testTimeout):
		t.Fatal(what, ": did not come")
		panic("unreachable")
	}
}

func listen(t *testing.T, path string, f *stubNode) *Listener {
	t.Helper()
	l, err := Listen(path, f, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

func TestPeersExchangeMessages(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	path := filepath.Join(t.TempDir(), "sock")
	old, young := newStubNode("seven"), newStubNode("")
	l := listen(t, path, old)
	p, what, state, err := Dial(path)
	if err != nil || what != handover.State || string(state) != "seven" {
		t.Fatalf("%d %q, %v", what, state, err)
	}
	q := receive(t, "the successor", old.peers)
	// An order from before the successor reads is waiting for it.
	done := make(chan error, 1)
	go func() { done <- q.Order(ctx, Order{Call: Disable, ID: "s-1"}) }()
	p.Follow(young)
	if o := receive(t, "the order", young.orders); o.Call != Disable || o.ID != "s-1" {
		t.Errorf("got %+v", o)
	}
	if err := receive(t, "its ack", done); err != nil {
		t.Error(err)
	}
	p.Tell(handover.Ready, 0, nil)
	p.Ended("x")
	q.Tell(handover.Yours, 7, func() []byte { return []byte("eight") })
	for _, c := range []struct {
		heard chan string
		want  string
	}{{old.received, "20"}, {old.received, "x"}, {young.received, "37eight"}} {
		if got := receive(t, c.want, c.heard); got != c.want {
			t.Errorf("heard %q, want %q", got, c.want)
		}
	}
	if a, b := q.Claim(ctx, "open", time.Hour), q.Claim(ctx, "free", time.Hour); a != handover.Open || b != handover.Granted {
		t.Errorf("claims: %d and %d", a, b)
	}
	old.orderErr = errors.New("not here")
	if err := p.Order(ctx, Order{Call: Drain}); err == nil || !strings.Contains(err.Error(), "not here") {
		t.Errorf("an order that the other refuses: %v", err)
	}
	// A successor takes the place of the old process while that one still listens, and both are found.
	listen(t, path, newStubNode("nine"))
	if _, _, state, err := Dial(path); err != nil || string(state) != "nine" {
		t.Errorf("in its place: %q, %v", state, err)
	}
	found := map[string]bool{}
	for _, at := range Others(path) {
		if p, _, state, err := Dial(at); err == nil {
			found[string(state)] = true
			p.Close()
		}
	}
	if !found["seven"] || !found["nine"] {
		t.Errorf("found %v", found)
	}
	l.Close()
	q.conn.Close()
	receive(t, "the end of the old process", young.exited)
	if err := p.Order(ctx, Order{Call: Drain}); err != nil {
		t.Errorf("an order for a process that is gone: %v", err)
	}
	if v := p.Claim(ctx, "free", time.Hour); v != handover.Busy {
		t.Errorf("a claim at a process that is gone: %d", v)
	}
}

// Nobody there, a dead process's socket, one that can't hand over and one of another version: the start goes on in each case.
func TestDialWithoutUsablePredecessorFails(t *testing.T) {
	t.Parallel()
	path := filepath.Join(t.TempDir(), "sock")
	if _, _, _, err := Dial(path); err == nil {
		t.Error("somebody is there")
	}
	listen(t, path, newStubNode("{}")).Close()
	if _, _, _, err := Dial(path); err == nil {
		t.Error("a dead process hands over")
	}
	listen(t, path, newStubNode(""))
	if p, what, _, err := Dial(path); err != nil || what != handover.Later {
		t.Errorf("one that can't: %d, %v", what, err)
	} else {
		p.Close()
	}
	conn, err := net.Dial("unix", path)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	json.NewEncoder(conn).Encode(message{Kind: kindHello, Version: Version + 1})
	var m message
	conn.SetDeadline(time.Now().Add(testTimeout))
	if err := json.NewDecoder(conn).Decode(&m); err != nil || m.Error == "" || m.State != nil {
		t.Errorf("another version: %+v, %v", m, err)
	}
}

// A process that does not answer holds up its caller for no longer than it has time.
func TestOrderTimesOutWithoutReply(t *testing.T) {
	t.Parallel()
	a, b := net.Pipe()
	defer a.Close()
	defer b.Close()
	go json.NewDecoder(b).Decode(&message{})
	ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
	defer cancel()
	p := newPeer(a)
	defer p.Close()
	if err := p.Order(ctx, Order{Call: Drain}); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("got %v", err)
	}
}

// One holder of the token at a time, whoever ends leaves it, and its number stays.
func TestTokenHasOneHolderAndKeepsItsNumber(t *testing.T) {
	t.Parallel()
	path := filepath.Join(t.TempDir(), "token")
	a, err := OpenToken(path)
	if err != nil {
		t.Fatal(err)
	}
	b, err := OpenToken(path)
	if err != nil {
		t.Fatal(err)
	}
	defer b.Close()
	if n, had, err := a.Lock(); n != 0 || !had || err != nil {
		t.Error("a new one:", n, had, err)
	}
	if err := a.Mark(5); err != nil {
		t.Error(err)
	}
	if _, had, err := b.Lock(); had || err != nil {
		t.Error("two have it:", err)
	}
	a.Close()
	if n, had, err := b.Lock(); n != 5 || !had || err != nil {
		t.Error("after its holder's end:", n, had, err)
	}
}
