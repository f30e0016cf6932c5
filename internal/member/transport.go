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
	// streamTimeout bounds the transfer of one packet over TCP.
	streamTimeout = 2 * time.Second
	// maxStreams bounds the concurrent TCP connections, separately for incoming and outgoing ones.
	maxStreams = 32
)

// Options are the parameters of Listen.
type Options struct {
	Name     string   // name of this member
	Addr     string   // host:port, for UDP and TCP; the port may be 0
	Seeds    []string // host:port of members through which this one joins
	Settings Settings
	Keys     Keys
	Log      *slog.Logger
}

// Transport runs a Member on sockets. Packets go over UDP; those that are too long for it or must not be lost go over
// TCP, each on a connection of its own, after a length of four bytes. It is safe for concurrent use.
type Transport struct {
	udp       *net.UDPConn
	tcp       net.Listener
	log       *slog.Logger
	started   time.Time
	done      chan struct{}
	dialSlots chan struct{} // one element for each outgoing TCP connection
	wg        sync.WaitGroup
	sent      atomic.Int64 // bytes

	mu           sync.Mutex // guards the fields below
	member       *Member
	loggedStates map[string]State // last logged state, by name
}

// Listen opens the sockets and starts to join the other members. An error names the address that could not be opened.
func Listen(ctx context.Context, o Options) (*Transport, error) {
	listenConfig := net.ListenConfig{}
	tcp, err := listenConfig.Listen(ctx, "tcp", o.Addr)
	if err != nil {
		return nil, fmt.Errorf("members: %w", err)
	}
	addr := tcp.Addr().String()
	udp, err := listenConfig.ListenPacket(ctx, "udp", addr)
	if err != nil {
		return nil, errors.Join(fmt.Errorf("members: %w", err), tcp.Close())
	}
	t := &Transport{udp: udp.(*net.UDPConn), tcp: tcp, log: o.Log, started: time.Now(), done: make(chan struct{}),
		dialSlots: make(chan struct{}, maxStreams), loggedStates: map[string]State{}}
	t.member = New(0, o.Name, addr, uint64(time.Now().UnixMilli()), o.Settings, o.Keys, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), o.Seeds...)
	t.wg.Add(3)
	go t.runTimer()
	go t.readUDP()
	go t.serveTCP()
	return t, nil
}

// now returns the time since the start, which does not step back.
func (t *Transport) now() time.Duration { return time.Since(t.started) }

// Addr returns the host:port at which the member listens.
func (t *Transport) Addr() string { return t.tcp.Addr().String() }

// Close announces that the member leaves, closes the sockets and waits for all goroutines to end.
func (t *Transport) Close() {
	t.mu.Lock()
	packets := t.member.Leave(t.now())
	t.mu.Unlock()
	t.send(packets)
	close(t.done)
	t.udp.Close()
	t.tcp.Close()
	t.wg.Wait()
}

// Do runs f with the member under the lock. f must not retain the member. Facts that it queues are sent with the next
// packets.
func (t *Transport) Do(f func(now time.Duration, m *Member)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f(t.now(), t.member)
}

// BytesSent returns the number of bytes written to the sockets.
func (t *Transport) BytesSent() int64 { return t.sent.Load() }

// runTimer calls the member's Tick whenever it is due.
func (t *Transport) runTimer() {
	defer t.wg.Done()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
		case <-t.done:
			return
		}
		t.mu.Lock()
		packets, next := t.member.Tick(t.now())
		t.logStates()
		t.mu.Unlock()
		t.send(packets)
		timer.Reset(next - t.now())
	}
}

// logStates logs each peer whose state has changed since it was last logged. The caller holds the lock.
func (t *Transport) logStates() {
	for name, p := range t.member.peers {
		if old, known := t.loggedStates[name]; !known || old != p.State {
			t.loggedStates[name] = p.State
			t.log.Info("member state changed", "name", name, "state", p.State.String(), "accusers", p.Accusers)
		}
	}
}

// receive passes a received packet to the member and sends the replies.
func (t *Transport) receive(from string, data []byte) {
	t.mu.Lock()
	packets, err := t.member.Receive(t.now(), from, data)
	t.mu.Unlock()
	if err != nil {
		t.log.Debug("members: packet rejected", "from", from, "err", err)
	}
	t.send(packets)
}

// readUDP receives packets until the socket is closed.
func (t *Transport) readUDP() {
	defer t.wg.Done()
	buf := make([]byte, 2*MaxPacketBytes)
	for {
		n, from, err := t.udp.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			t.receive(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()).String(), append([]byte(nil), buf[:n]...))
		}
	}
}

// serveTCP accepts connections until the listener is closed.
func (t *Transport) serveTCP() {
	defer t.wg.Done()
	flow.Serve(t.tcp, maxStreams, t.readStream, func(err error) { t.log.Warn("members: accept failed", "err", err) })
}

// readStream receives one packet from a connection.
func (t *Transport) readStream(conn net.Conn) {
	conn.SetDeadline(time.Now().Add(streamTimeout))
	var size [4]byte
	if _, err := io.ReadFull(conn, size[:]); err != nil {
		return
	}
	n := binary.BigEndian.Uint32(size[:])
	if n > MaxSyncBytes {
		return
	}
	data, err := io.ReadAll(io.LimitReader(conn, int64(n))) // allocates no more than has arrived, whatever the length says
	if err == nil && len(data) == int(n) {
		t.receive(conn.RemoteAddr().String(), data)
	}
}

// send writes packets to the network. Those that can't be written are dropped, as on any lossy network. TCP packets are
// written by goroutines of their own.
func (t *Transport) send(packets []Outgoing) {
	for _, o := range packets {
		if !o.TCP {
			to, err := netip.ParseAddrPort(o.Addr)
			if err != nil { // a seed may be a host name
				resolved, err := net.ResolveUDPAddr("udp", o.Addr)
				if err != nil {
					continue
				}
				to = resolved.AddrPort()
			}
			n, _ := t.udp.WriteToUDPAddrPort(o.Data, to)
			t.sent.Add(int64(n))
			continue
		}
		select {
		case t.dialSlots <- struct{}{}:
		default:
			continue // too many connections: drop the packet
		}
		t.wg.Add(1)
		go func() {
			defer t.wg.Done()
			defer func() { <-t.dialSlots }()
			conn, err := net.DialTimeout("tcp", o.Addr, streamTimeout/2)
			if err != nil {
				return
			}
			defer conn.Close()
			conn.SetDeadline(time.Now().Add(streamTimeout))
			n, _ := conn.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(o.Data))), o.Data...))
			t.sent.Add(int64(n))
		}()
	}
}
