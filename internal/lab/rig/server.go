package rig

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"portstall/internal/lab/fleet"
	"portstall/internal/lab/scenario"
	"portstall/internal/lab/standin"
)

// server is a stand-in web server on a loopback socket. It does no work: a request in work waits for as long as the work
// would take, and cores, waiting room, ramp and reports bound it as they bound one of the model.
type server struct {
	scenario.Server
	rig      *rig
	index    int
	host     string // its own, so that the address stays its while it is down, and agents are asked at one port
	addr     string
	slots    int
	queueCap int

	mu       sync.Mutex
	http     *http.Server
	ln       *gate
	up       bool
	life     int           // counts its ends
	silent   chan struct{} // closed when its machine is back; nil while it answers
	until    time.Duration
	launched time.Duration // scenario time; negative: long ago
	done     float64
	busy     int
	queue    []chan bool
	conns    map[net.Conn]bool // true once a request has come on it
	reports  fleet.Reports
	stuffed  []net.Conn // fill its backlog
	tunnels  map[net.Conn]struct{}
	listing  int
	sent     int
	total    float64

	trouble fleet.Trouble
	agent   *standin.Agent // beside it; nil: there is none
}

// start opens the server's socket, at the same address each time.
func (v *server) start() error {
	addr := v.addr
	if addr == "" {
		addr = net.JoinHostPort(v.host, "0")
	}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	v.addr, v.ln = ln.Addr().String(), newGate(ln.(*net.TCPListener))
	v.http = &http.Server{Handler: v, IdleTimeout: v.rig.s.Servers.Connections.Idle, ConnState: v.track,
		ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
			return context.WithValue(ctx, acceptedKey{}, time.Now())
		}}
	v.conns = map[net.Conn]bool{}
	v.up = true
	go v.http.Serve(v.ln) // ends with Close
	return nil
}

// says is what the agent beside it says, or what a check of it finds.
func (v *server) says(agent bool) (string, bool) {
	v.mu.Lock()
	away, trouble := !v.up || v.silent != nil, v.trouble
	v.mu.Unlock()
	if away {
		return "", false
	}
	r := v.rig
	r.mu.Lock()
	defer r.mu.Unlock()
	return fleet.Says(r.s, r.active, r.hits, v.index, &trouble, agent, r.now())
}

// track knows the server's connections and turns away those beyond its cap.
func (v *server) track(c net.Conn, state http.ConnState) {
	v.mu.Lock()
	defer v.mu.Unlock()
	switch state {
	case http.StateNew:
		v.conns[c] = false
		if len(v.conns) > v.rig.s.Servers.Connections.CapPerCore*v.Kind.Cores {
			reset(c)
		}
	case http.StateClosed, http.StateHijacked:
		delete(v.conns, c)
	}
}

// reset closes a connection so that its peer sees it break.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	c.Close()
}

var (
	errTurnedAway = errors.New("the waiting room is full")
	errGivenUp    = errors.New("the node has given up")
)

// ServeHTTP answers one request as the server's state has it.
func (v *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		switch text, answers := v.says(false); {
		case !answers:
			<-r.Context().Done()
		case text != fleet.CheckOK:
			http.Error(w, text, http.StatusInternalServerError)
		default:
			io.WriteString(w, text)
		}
		return
	}
	id := r.Header.Get("X-Request-Id")
	if id == "" {
		http.NotFound(w, r)
		return
	}
	if r.URL.Path == "/tunnel" {
		v.stands(w, r, id)
		return
	}
	work, err := strconv.ParseFloat(r.URL.Query().Get("us"), 64)
	if err != nil {
		http.Error(w, "no work is named", http.StatusBadRequest)
		return
	}
	work /= 1e6
	io.Copy(io.Discard, r.Body)
	rig := v.rig
	v.mu.Lock()
	v.sent++
	silent := v.silent
	warm := v.ramp() == 1
	capacity := 0.0
	if !warm {
		capacity = float64(v.Kind.Cores) * v.Speed * v.ramp()
	}
	v.mu.Unlock()
	attempt := rig.recorded(id, v, capacity)
	if silent != nil {
		select { // nothing comes back; the connection breaks once the machine is there again
		case <-silent:
		case <-r.Context().Done():
		case <-rig.ctx.Done():
		}
		rig.attemptOver(id, attempt, false)
		panic(http.ErrAbortHandler)
	}
	v.mu.Lock()
	roll := func(part float64) bool { return part > 0 && rand.Float64() < part }
	fails, resets, cuts := roll(v.trouble.Errors) || roll(v.Kind.ErrorRate), roll(v.trouble.Resets), roll(v.trouble.Cuts)
	if roll(v.trouble.Part) {
		work *= v.trouble.Slow
	}
	v.mu.Unlock()
	if fails {
		v.report(w)
		w.WriteHeader(http.StatusInternalServerError)
		rig.attemptOver(id, attempt, false)
		return
	}
	if resets {
		rig.attemptOver(id, attempt, false)
		v.abort(w)
		return
	}
	if v.firstOn(r.RemoteAddr) {
		work += rig.s.Servers.Connections.HandshakeWork.Seconds()
	}
	err = v.work(r.Context(), work)
	switch {
	case errors.Is(err, errTurnedAway):
		v.report(w)
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		rig.attemptOver(id, attempt, true)
		return
	case err != nil:
		rig.attemptOver(id, attempt, false)
		panic(http.ErrAbortHandler)
	}
	v.mu.Lock()
	silent = v.silent
	v.mu.Unlock()
	if silent != nil { // it vanished meanwhile
		select {
		case <-silent:
		case <-r.Context().Done():
		case <-rig.ctx.Done():
		}
		rig.attemptOver(id, attempt, false)
		panic(http.ErrAbortHandler)
	}
	body := "made for " + id
	v.report(w)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	rig.attemptOver(id, attempt, false)
	if cuts {
		io.WriteString(w, body[:len(body)/2])
		if f, ok := w.(http.Flusher); ok {
			f.Flush()
		}
		v.abort(w)
		return
	}
	io.WriteString(w, body)
}

// firstOn tells whether a request is the first on its connection, which costs the handshake.
func (v *server) firstOn(remote string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	for c, used := range v.conns {
		if c.RemoteAddr().String() == remote {
			v.conns[c] = true
			return !used
		}
	}
	return false
}

// abort breaks the connection.
func (v *server) abort(w http.ResponseWriter) {
	if h, ok := w.(http.Hijacker); ok {
		if c, _, err := h.Hijack(); err == nil {
			reset(c)
			return
		}
	}
	panic(http.ErrAbortHandler)
}

// report tells of the queue as it is known.
func (v *server) report(w http.ResponseWriter) {
	rig := v.rig
	rig.mu.Lock()
	lag := rig.weather.Lag
	rig.mu.Unlock()
	v.mu.Lock()
	q := float64(v.reports.Read(rig.now(), rig.s.Servers.Reports.Delay+lag, len(v.queue))) * v.trouble.Lie
	v.mu.Unlock()
	if noise := rig.s.Servers.Reports.Noise; noise > 0 {
		q = max(0, q*(1+noise*rand.NormFloat64()))
	}
	w.Header().Set("X-Load", fmt.Sprintf(`{"queue":%d}`, int(math.Round(q))))
}

// ramp is the part of its capacity that it has. v.mu is held.
func (v *server) ramp() float64 {
	if v.launched < 0 {
		return 1
	}
	return fleet.Ramp(v.Kind, v.Speed, v.rig.now()-v.launched, v.rig.s.Rules.ColdFor, v.done)
}

// work waits for a slot and then for as long as the work takes, unless the node gives up.
func (v *server) work(ctx context.Context, work float64) error {
	v.mu.Lock()
	life := v.life
	if v.busy < v.slots {
		v.busy++
	} else if len(v.queue) < v.queueCap {
		v.reports.Note(v.rig.now(), len(v.queue))
		turn := make(chan bool, 1)
		v.queue = append(v.queue, turn)
		v.mu.Unlock()
		select {
		case ok := <-turn:
			if !ok {
				return errGivenUp
			}
		case <-ctx.Done():
			v.leaveQueue(turn, life)
			return errGivenUp
		}
		v.mu.Lock()
	} else {
		v.mu.Unlock()
		return errTurnedAway
	}
	v.mu.Unlock()
	begun := time.Now()
	var err error
	// In short pieces, as the speed changes while it warms up or the whole fleet is slow.
	for left := work; left > 0 && err == nil; {
		v.mu.Lock()
		v.rig.mu.Lock()
		factor := v.rig.weather.Slowdown
		v.rig.mu.Unlock()
		rate := v.Speed * v.ramp() / factor * min(1, float64(v.Kind.Cores)/float64(max(1, v.busy)))
		held := float64(v.busy+len(v.queue)) / float64(v.Kind.Cores)
		if c := v.rig.s.Servers.Choke; c.By > 0 && held > c.At {
			rate /= 1 + c.By*(held-c.At)
		}
		v.mu.Unlock()
		piece := min(left/rate, 0.05)
		t := time.NewTimer(time.Duration(piece * float64(time.Second)))
		select {
		case <-t.C:
		case <-ctx.Done():
			if !v.Kind.Keeps {
				err = errGivenUp
			}
		}
		t.Stop()
		took := time.Since(begun).Seconds() // a timer that came late has worked for longer
		begun = time.Now()
		left -= took * rate
		v.mu.Lock()
		v.done += took * rate
		v.total += took * rate
		v.mu.Unlock()
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.freeSlot(life)
	return err
}

// leaveQueue gives up a place in the queue, or the slot that was handed over meanwhile.
func (v *server) leaveQueue(turn chan bool, life int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for i, t := range v.queue {
		if t == turn {
			v.reports.Note(v.rig.now(), len(v.queue))
			v.queue = append(v.queue[:i], v.queue[i+1:]...)
			return
		}
	}
	if ok := <-turn; ok {
		v.freeSlot(life)
	}
}

// freeSlot hands a slot to the next that waits, unless the process that had it has ended. v.mu is held.
func (v *server) freeSlot(life int) {
	switch {
	case life != v.life:
	case len(v.queue) > 0:
		v.reports.Note(v.rig.now(), len(v.queue))
		v.queue[0] <- true
		v.queue = v.queue[1:]
	default:
		v.busy--
	}
}

// vanish makes its machine fall silent: nothing is reset or answered, and new connections never come up.
func (v *server) vanish() {
	v.mu.Lock()
	if !v.up || v.silent != nil {
		v.mu.Unlock()
		return
	}
	v.silent = make(chan struct{})
	v.rig.roster.list(v, "Gone", v.rig.s.Roster.SilentNotice)
	v.mu.Unlock()
	v.stuff()
}

// crash ends its process: connections are reset and new ones refused.
func (v *server) crash() {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.up || v.silent != nil {
		return
	}
	v.end()
	v.rig.roster.list(v, "Gone", v.rig.s.Roster.Notice)
}

// end closes all sockets. v.mu is held.
func (v *server) end() {
	v.up = false
	for _, c := range v.stuffed {
		c.Close()
	}
	v.stuffed = nil
	for c := range v.tunnels {
		reset(c)
	}
	for c := range v.conns {
		if t, ok := c.(*net.TCPConn); ok {
			t.SetLinger(0)
		}
	}
	h := v.http
	v.mu.Unlock()
	h.Close() // asks track, which locks
	v.mu.Lock()
	for _, turn := range v.queue {
		turn <- false
	}
	v.queue, v.busy = nil, 0
	v.life++
}

// back starts it again, cold.
func (v *server) back() error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.rig.now() < v.until {
		return nil
	}
	if v.silent != nil {
		close(v.silent)
		v.silent = nil
	}
	if v.up {
		v.end()
	}
	var err error
	for range 50 { // the kernel may hold the address for a moment
		if err = v.start(); err == nil {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	if err != nil {
		return fmt.Errorf("stand-in server %d does not come back: %w", v.ID, err)
	}
	v.launched, v.done, v.busy = v.rig.now(), 0, 0
	v.reports.Start(v.launched)
	v.rig.started(v)
	v.rig.roster.list(v, "Ready", v.rig.s.Roster.AddLag)
	return nil
}

// stuff fills the kernel's queue of connections that nobody accepts, so that new ones never come up: the queue is made as
// short as it can be and filled by connections of our own.
func (v *server) stuff() {
	v.mu.Lock()
	ln, addr := v.ln, v.addr
	v.mu.Unlock()
	ln.hold(true)
	ln.queue(0)
	var held []net.Conn
	for range 8 {
		c, err := net.DialTimeout("tcp", addr, 30*time.Millisecond)
		if err != nil {
			break
		}
		held = append(held, c)
	}
	v.mu.Lock()
	v.stuffed = append(v.stuffed, held...)
	v.mu.Unlock()
}

// unstuff lets connections in again.
func (v *server) unstuff() {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, c := range v.stuffed {
		c.Close()
	}
	v.stuffed = nil
	if v.up && v.silent == nil {
		v.ln.queue(1024)
		v.ln.hold(false)
	}
}

// gate is a listener that can stop accepting while its socket stays open.
type gate struct {
	*net.TCPListener
	mu   sync.Mutex
	held chan struct{} // closed when it accepts again; nil while it does
	end  chan struct{}
	once sync.Once
}

func newGate(ln *net.TCPListener) *gate { return &gate{TCPListener: ln, end: make(chan struct{})} }

func (g *gate) hold(on bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case on && g.held == nil:
		g.held = make(chan struct{})
		g.SetDeadline(time.Unix(1, 0)) // wakes whoever is accepting
	case !on && g.held != nil:
		g.SetDeadline(time.Time{})
		close(g.held)
		g.held = nil
	}
}

// queue sets how many connections the kernel keeps for accepting. Calling listen again on a socket changes it.
func (g *gate) queue(n int) {
	if raw, err := g.SyscallConn(); err == nil {
		raw.Control(func(fd uintptr) { syscall.Listen(int(fd), n) })
	}
}

func (g *gate) Accept() (net.Conn, error) {
	for {
		g.mu.Lock()
		held := g.held
		g.mu.Unlock()
		if held != nil {
			select {
			case <-held:
			case <-g.end:
				return nil, net.ErrClosed
			}
		}
		c, err := g.TCPListener.Accept()
		var timeout net.Error
		if errors.As(err, &timeout) && timeout.Timeout() {
			continue
		}
		return c, err
	}
}

func (g *gate) Close() error {
	g.once.Do(func() { close(g.end) })
	return g.TCPListener.Close()
}
