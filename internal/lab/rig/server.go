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

	mu             sync.Mutex
	http           *http.Server
	listener       *pausableListener
	up             bool
	incarnation    int           // counts its ends
	silence        chan struct{} // closed when its machine is back; nil while it answers
	downUntil      time.Duration
	launchedAt     time.Duration // scenario time; negative: long ago
	workSinceStart float64
	busySlots      int
	queue          []chan bool
	conns          map[net.Conn]bool // true once a request has come on it
	reports        fleet.Reports
	backlogConns   []net.Conn // fill its backlog
	tunnels        map[net.Conn]struct{}
	listUpdate     int
	attempts       int
	totalWork      float64

	effects fleet.Trouble
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
	v.addr, v.listener = ln.Addr().String(), newPausableListener(ln.(*net.TCPListener))
	v.http = &http.Server{Handler: v, IdleTimeout: v.rig.scenario.Servers.Connections.Idle, ConnState: v.trackConn,
		ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
			return context.WithValue(ctx, acceptedKey{}, time.Now())
		}}
	v.conns = map[net.Conn]bool{}
	v.up = true
	go v.http.Serve(v.listener) // ends with Close
	return nil
}

// says is what the agent beside it says, or what a check of it finds.
func (v *server) healthReply(agent bool) (string, bool) {
	v.mu.Lock()
	away, trouble := !v.up || v.silence != nil, v.effects
	v.mu.Unlock()
	if away {
		return "", false
	}
	r := v.rig
	r.mu.Lock()
	defer r.mu.Unlock()
	return fleet.Says(r.scenario, r.activeFaults, r.targets, v.index, &trouble, agent, r.now())
}

// track knows the server's connections and turns away those beyond its cap.
func (v *server) trackConn(c net.Conn, state http.ConnState) {
	v.mu.Lock()
	defer v.mu.Unlock()
	switch state {
	case http.StateNew:
		v.conns[c] = false
		if len(v.conns) > v.rig.scenario.Servers.Connections.CapPerCore*v.Kind.Cores {
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
	errQueueFull  = errors.New("the waiting room is full")
	errNodeGaveUp = errors.New("the node has given up")
)

// ServeHTTP answers one request as the server's state has it.
func (v *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		switch text, answers := v.healthReply(false); {
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
		v.serveTunnel(w, r, id)
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
	v.attempts++
	silent := v.silence
	warm := v.capacityShare() == 1
	capacity := 0.0
	if !warm {
		capacity = float64(v.Kind.Cores) * v.Speed * v.capacityShare()
	}
	v.mu.Unlock()
	attempt := rig.recordAttempt(id, v, capacity)
	if silent != nil {
		select { // nothing comes back; the connection breaks once the machine is there again
		case <-silent:
		case <-r.Context().Done():
		case <-rig.ctx.Done():
		}
		rig.recordAttemptEnd(id, attempt, false)
		panic(http.ErrAbortHandler)
	}
	v.mu.Lock()
	roll := func(part float64) bool { return part > 0 && rand.Float64() < part }
	fails, resets, cuts := roll(v.effects.Errors) || roll(v.Kind.ErrorRate), roll(v.effects.Resets), roll(v.effects.Cuts)
	if roll(v.effects.Part) {
		work *= v.effects.Slow
	}
	v.mu.Unlock()
	if fails {
		v.writeLoadReport(w)
		w.WriteHeader(http.StatusInternalServerError)
		rig.recordAttemptEnd(id, attempt, false)
		return
	}
	if resets {
		rig.recordAttemptEnd(id, attempt, false)
		v.abortConn(w)
		return
	}
	if v.firstRequestOn(r.RemoteAddr) {
		work += rig.scenario.Servers.Connections.HandshakeWork.Seconds()
	}
	err = v.doWork(r.Context(), work)
	switch {
	case errors.Is(err, errQueueFull):
		v.writeLoadReport(w)
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		rig.recordAttemptEnd(id, attempt, true)
		return
	case err != nil:
		rig.recordAttemptEnd(id, attempt, false)
		panic(http.ErrAbortHandler)
	}
	v.mu.Lock()
	silent = v.silence
	v.mu.Unlock()
	if silent != nil { // it vanished meanwhile
		select {
		case <-silent:
		case <-r.Context().Done():
		case <-rig.ctx.Done():
		}
		rig.recordAttemptEnd(id, attempt, false)
		panic(http.ErrAbortHandler)
	}
	body := "made for " + id
	v.writeLoadReport(w)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	rig.recordAttemptEnd(id, attempt, false)
	if cuts {
		io.WriteString(w, body[:len(body)/2])
		if f, ok := w.(http.Flusher); ok {
			f.Flush()
		}
		v.abortConn(w)
		return
	}
	io.WriteString(w, body)
}

// firstOn tells whether a request is the first on its connection, which costs the handshake.
func (v *server) firstRequestOn(remote string) bool {
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
func (v *server) abortConn(w http.ResponseWriter) {
	if h, ok := w.(http.Hijacker); ok {
		if c, _, err := h.Hijack(); err == nil {
			reset(c)
			return
		}
	}
	panic(http.ErrAbortHandler)
}

// report tells of the queue as it is known.
func (v *server) writeLoadReport(w http.ResponseWriter) {
	rig := v.rig
	rig.mu.Lock()
	lag := rig.conditions.Lag
	rig.mu.Unlock()
	v.mu.Lock()
	q := float64(v.reports.Read(rig.now(), rig.scenario.Servers.Reports.Delay+lag, len(v.queue))) * v.effects.Lie
	v.mu.Unlock()
	if noise := rig.scenario.Servers.Reports.Noise; noise > 0 {
		q = max(0, q*(1+noise*rand.NormFloat64()))
	}
	w.Header().Set("X-Load", fmt.Sprintf(`{"queue":%d}`, int(math.Round(q))))
}

// ramp is the part of its capacity that it has. v.mu is held.
func (v *server) capacityShare() float64 {
	if v.launchedAt < 0 {
		return 1
	}
	return fleet.Ramp(v.Kind, v.Speed, v.rig.now()-v.launchedAt, v.rig.scenario.Rules.ColdFor, v.workSinceStart)
}

// work waits for a slot and then for as long as the work takes, unless the node gives up.
func (v *server) doWork(ctx context.Context, doWork float64) error {
	v.mu.Lock()
	life := v.incarnation
	if v.busySlots < v.slots {
		v.busySlots++
	} else if len(v.queue) < v.queueCap {
		v.reports.Note(v.rig.now(), len(v.queue))
		turn := make(chan bool, 1)
		v.queue = append(v.queue, turn)
		v.mu.Unlock()
		select {
		case ok := <-turn:
			if !ok {
				return errNodeGaveUp
			}
		case <-ctx.Done():
			v.leaveQueue(turn, life)
			return errNodeGaveUp
		}
		v.mu.Lock()
	} else {
		v.mu.Unlock()
		return errQueueFull
	}
	v.mu.Unlock()
	begun := time.Now()
	var err error
	// In short pieces, as the speed changes while it warms up or the whole fleet is slow.
	for left := doWork; left > 0 && err == nil; {
		v.mu.Lock()
		v.rig.mu.Lock()
		factor := v.rig.conditions.Slowdown
		v.rig.mu.Unlock()
		rate := v.Speed * v.capacityShare() / factor * min(1, float64(v.Kind.Cores)/float64(max(1, v.busySlots)))
		held := float64(v.busySlots+len(v.queue)) / float64(v.Kind.Cores)
		if c := v.rig.scenario.Servers.Choke; c.By > 0 && held > c.At {
			rate /= 1 + c.By*(held-c.At)
		}
		v.mu.Unlock()
		piece := min(left/rate, 0.05)
		t := time.NewTimer(time.Duration(piece * float64(time.Second)))
		select {
		case <-t.C:
		case <-ctx.Done():
			if !v.Kind.Keeps {
				err = errNodeGaveUp
			}
		}
		t.Stop()
		took := time.Since(begun).Seconds() // a timer that came late has worked for longer
		begun = time.Now()
		left -= took * rate
		v.mu.Lock()
		v.workSinceStart += took * rate
		v.totalWork += took * rate
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
	case life != v.incarnation:
	case len(v.queue) > 0:
		v.reports.Note(v.rig.now(), len(v.queue))
		v.queue[0] <- true
		v.queue = v.queue[1:]
	default:
		v.busySlots--
	}
}

// vanish makes its machine fall silent: nothing is reset or answered, and new connections never come up.
func (v *server) goSilent() {
	v.mu.Lock()
	if !v.up || v.silence != nil {
		v.mu.Unlock()
		return
	}
	v.silence = make(chan struct{})
	v.rig.discovery.scheduleUpdate(v, "Gone", v.rig.scenario.Roster.SilentNotice)
	v.mu.Unlock()
	v.fillBacklog()
}

// crash ends its process: connections are reset and new ones refused.
func (v *server) crash() {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.up || v.silence != nil {
		return
	}
	v.closeAll()
	v.rig.discovery.scheduleUpdate(v, "Gone", v.rig.scenario.Roster.Notice)
}

// end closes all sockets. v.mu is held.
func (v *server) closeAll() {
	v.up = false
	for _, c := range v.backlogConns {
		c.Close()
	}
	v.backlogConns = nil
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
	v.queue, v.busySlots = nil, 0
	v.incarnation++
}

// back starts it again, cold.
func (v *server) restartCold() error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.rig.now() < v.downUntil {
		return nil
	}
	if v.silence != nil {
		close(v.silence)
		v.silence = nil
	}
	if v.up {
		v.closeAll()
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
	v.launchedAt, v.workSinceStart, v.busySlots = v.rig.now(), 0, 0
	v.reports.Start(v.launchedAt)
	v.rig.recordServerStart(v)
	v.rig.discovery.scheduleUpdate(v, "Ready", v.rig.scenario.Roster.AddLag)
	return nil
}

// stuff fills the kernel's queue of connections that nobody accepts, so that new ones never come up: the queue is made as
// short as it can be and filled by connections of our own.
func (v *server) fillBacklog() {
	v.mu.Lock()
	ln, addr := v.listener, v.addr
	v.mu.Unlock()
	ln.setPaused(true)
	ln.setBacklog(0)
	var held []net.Conn
	for range 8 {
		c, err := net.DialTimeout("tcp", addr, 30*time.Millisecond)
		if err != nil {
			break
		}
		held = append(held, c)
	}
	v.mu.Lock()
	v.backlogConns = append(v.backlogConns, held...)
	v.mu.Unlock()
}

// unstuff lets connections in again.
func (v *server) clearBacklog() {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, c := range v.backlogConns {
		c.Close()
	}
	v.backlogConns = nil
	if v.up && v.silence == nil {
		v.listener.setBacklog(1024)
		v.listener.setPaused(false)
	}
}

// gate is a listener that can stop accepting while its socket stays open.
type pausableListener struct {
	*net.TCPListener
	mu        sync.Mutex
	paused    chan struct{} // closed when it accepts again; nil while it does
	closed    chan struct{}
	closeOnce sync.Once
}

func newPausableListener(ln *net.TCPListener) *pausableListener {
	return &pausableListener{TCPListener: ln, closed: make(chan struct{})}
}

func (g *pausableListener) setPaused(on bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case on && g.paused == nil:
		g.paused = make(chan struct{})
		g.SetDeadline(time.Unix(1, 0)) // wakes whoever is accepting
	case !on && g.paused != nil:
		g.SetDeadline(time.Time{})
		close(g.paused)
		g.paused = nil
	}
}

// queue sets how many connections the kernel keeps for accepting. Calling listen again on a socket changes it.
func (g *pausableListener) setBacklog(n int) {
	if raw, err := g.SyscallConn(); err == nil {
		raw.Control(func(fd uintptr) { syscall.Listen(int(fd), n) })
	}
}

func (g *pausableListener) Accept() (net.Conn, error) {
	for {
		g.mu.Lock()
		held := g.paused
		g.mu.Unlock()
		if held != nil {
			select {
			case <-held:
			case <-g.closed:
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

func (g *pausableListener) Close() error {
	g.closeOnce.Do(func() { close(g.closed) })
	return g.TCPListener.Close()
}
