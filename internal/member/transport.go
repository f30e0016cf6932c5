package member

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"portstall/internal/flow"
)

const (
	streamTimeout = 2 * time.Second // a packet over TCP takes no longer
	maxStreams    = 32              // of them at a time, in and out each
)

// Options are what an Edge is made of.
type Options struct {
	Name  string
	Addr  string // host:port, for UDP and TCP; the port may be 0
	Seeds []string
	Set   Settings
	Keys  Keys
	Log   *slog.Logger
}

// Edge is a member on sockets: UDP for packets, TCP for those that are too long or must not be lost, with a length of four
// bytes before them. Safe for concurrent use.
type Edge struct {
	udp       *net.UDPConn
	tcp       net.Listener
	log       *slog.Logger
	started   time.Time
	done      chan struct{}
	dialSlots chan struct{}
	wg        sync.WaitGroup
	sent      atomic.Int64

	mu           sync.Mutex
	member       *Member
	loggedStates map[string]State // as last logged
}

// Listen opens the sockets and joins. An error names what could not be opened.
func Listen(ctx context.Context, o Options) (*Edge, error) {
	lc := net.ListenConfig{}
	tcp, err := lc.Listen(ctx, "tcp", o.Addr)
	if err != nil {
		return nil, fmt.Errorf("members: %w", err)
	}
	addr := tcp.Addr().String()
	pc, err := lc.ListenPacket(ctx, "udp", addr)
	if err != nil {
		return nil, errors.Join(fmt.Errorf("members: %w", err), tcp.Close())
	}
	e := &Edge{udp: pc.(*net.UDPConn), tcp: tcp, log: o.Log, started: time.Now(), done: make(chan struct{}),
		dialSlots: make(chan struct{}, maxStreams), loggedStates: map[string]State{}}
	e.member = New(0, o.Name, addr, uint64(time.Now().UnixMilli()), o.Set, o.Keys, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), o.Seeds...)
	e.wg.Add(3)
	go e.runTimer()
	go e.readUDP()
	go e.serveTCP()
	return e, nil
}

// now is the time since the start, which does not step back.
func (e *Edge) now() time.Duration { return time.Since(e.started) }

// Addr is where it listens.
func (e *Edge) Addr() string { return e.tcp.Addr().String() }

// Close leaves, and ends the sockets and all that goes on.
func (e *Edge) Close() {
	e.mu.Lock()
	outs := e.member.Leave(e.now())
	e.mu.Unlock()
	e.send(outs)
	close(e.done)
	e.udp.Close()
	e.tcp.Close()
	e.wg.Wait()
}

// Do runs f with the member, which nothing else touches meanwhile. What it lets out is sent with the next packets.
func (e *Edge) Do(f func(now time.Duration, m *Member)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f(e.now(), e.member)
}

// Sent is how many bytes were written to the sockets.
func (e *Edge) Sent() int64 { return e.sent.Load() }

func (e *Edge) runTimer() {
	defer e.wg.Done()
	t := time.NewTimer(0)
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-e.done:
			return
		}
		e.mu.Lock()
		outs, next := e.member.Tick(e.now())
		e.logStates()
		e.mu.Unlock()
		e.send(outs)
		t.Reset(next - e.now())
	}
}

// tell logs what has changed. The lock is held.
func (e *Edge) logStates() {
	for name, p := range e.member.peers {
		if old, known := e.loggedStates[name]; !known || old != p.State {
			e.loggedStates[name] = p.State
			e.log.Info("member", "name", name, "state", p.State.String(), "accusers", p.Accusers)
		}
	}
}

// take hands in what has come.
func (e *Edge) receive(from string, data []byte) {
	e.mu.Lock()
	outs, err := e.member.Receive(e.now(), from, data)
	e.mu.Unlock()
	if err != nil {
		e.log.Debug("member: a packet is not taken", "from", from, "err", err)
	}
	e.send(outs)
}

func (e *Edge) readUDP() {
	defer e.wg.Done()
	buf := make([]byte, 2*MaxPacketBytes)
	for {
		n, from, err := e.udp.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			e.receive(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()).String(), append([]byte(nil), buf[:n]...))
		}
	}
}

func (e *Edge) serveTCP() {
	defer e.wg.Done()
	flow.Serve(e.tcp, maxStreams, e.readStream, func(err error) { e.log.Warn("members: accepting failed", "err", err) })
}

// stream takes one packet.
func (e *Edge) readStream(conn net.Conn) {
	conn.SetDeadline(time.Now().Add(streamTimeout))
	var size [4]byte
	if _, err := io.ReadFull(conn, size[:]); err != nil {
		return
	}
	n := binary.BigEndian.Uint32(size[:])
	if n > MaxSyncBytes {
		return
	}
	data, err := io.ReadAll(io.LimitReader(conn, int64(n))) // no more is held than has come
	if err == nil && len(data) == int(n) {
		e.receive(conn.RemoteAddr().String(), data)
	}
}

// send writes packets. What can't be written is lost, as on any network.
func (e *Edge) send(outs []Out) {
	for _, o := range outs {
		if !o.TCP {
			to, err := netip.ParseAddrPort(o.Addr)
			if err != nil { // a seed may be a name
				a, err := net.ResolveUDPAddr("udp", o.Addr)
				if err != nil {
					continue
				}
				to = a.AddrPort()
			}
			n, _ := e.udp.WriteToUDPAddrPort(o.Data, to)
			e.sent.Add(int64(n))
			continue
		}
		select {
		case e.dialSlots <- struct{}{}:
		default:
			continue // too many are under way
		}
		e.wg.Add(1)
		go func() {
			defer e.wg.Done()
			defer func() { <-e.dialSlots }()
			conn, err := net.DialTimeout("tcp", o.Addr, streamTimeout/2)
			if err != nil {
				return
			}
			defer conn.Close()
			conn.SetDeadline(time.Now().Add(streamTimeout))
			n, _ := conn.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(o.Data))), o.Data...))
			e.sent.Add(int64(n))
		}()
	}
}
