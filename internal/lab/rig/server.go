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

// server is a stub web server on a loopback socket. It does no real work: a request waits for as long as its work would
// take. Cores, queue, warm-up and load reports behave as those of the model's servers. mu guards the fields below it,
// except agent. rig.mu may be acquired while mu is held, but not the reverse.
type server struct {
	scenario.Server
	rig      *rig
	index    int
	host     string // reserved, so that the address stays its own while it is down, and all agents can use one port
	addr     string
	slots    int
	queueCap int // maximum number of waiting requests

	mu             sync.Mutex
	http           *http.Server
	listener       *pausableListener
	up             bool
	incarnation    int           // incremented at each end of its process
	silence        chan struct{} // closed when its machine is back; nil while it responds
	downUntil      time.Duration // it is not restarted earlier, as overlapping faults may keep it down
	launched       time.Duration // scenario time; negative: long ago
	workSinceStart float64       // seconds of work
	busySlots      int
	queue          []chan bool       // requests that wait; they get true with a slot, false at the end of the process
	conns          map[net.Conn]bool // true once a request has arrived on it
	reports        fleet.Reports
	backlogConns   []net.Conn // connections that fill its accept queue
	tunnels        map[net.Conn]struct{}
	listUpdate     int     // number of scheduled updates of its list entry
	attempts       int     // attempts that arrived
	totalWork      float64 // seconds of work

	effects fleet.ServerEffects // of the active faults
	agent   *standin.Agent      // nil: there is none
}

// start opens the listener, at the same address each time, and serves.
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

// healthReply returns the reply of its agent, or else of a health check, and false if there is none.
func (v *server) healthReply(agent bool) (string, bool) {
	v.mu.Lock()
	down, effects := !v.up || v.silence != nil, v.effects
	v.mu.Unlock()
	if down {
		return "", false
	}
	r := v.rig
	r.mu.Lock()
	defer r.mu.Unlock()
	return fleet.ProbeReply(r.scenario, r.activeFaults, r.faultTargets, v.index, &effects, agent, r.now())
}

// trackConn registers open connections and resets those above the server's limit.
func (v *server) trackConn(c net.Conn, state http.ConnState) {
	v.mu.Lock()
	defer v.mu.Unlock()
	switch state {
	case http.StateNew:
		v.conns[c] = false
		if len(v.conns) > v.rig.scenario.Servers.Connections.CapPerCore*v.Type.Cores {
			reset(c)
		}
	case http.StateClosed, http.StateHijacked:
		delete(v.conns, c)
	}
}

// reset closes a connection with a TCP reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	c.Close()
}

// Reasons for which a request does not get or complete its work.
var (
	errQueueFull = errors.New("request queue is full")
	errAborted   = errors.New("request canceled, or server process ended")
)

// ServeHTTP handles one request according to the server's state and the active faults.
func (v *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		switch text, responds := v.healthReply(false); {
		case !responds:
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
	run := v.rig
	v.mu.Lock()
	v.attempts++
	silence := v.silence
	warm := v.capacityShare() == 1
	capacity := 0.0
	if !warm {
		capacity = float64(v.Type.Cores) * v.Speed * v.capacityShare()
	}
	v.mu.Unlock()
	attempt := run.recordAttempt(id, v, capacity)
	if silence != nil {
		select { // no response; the connection is broken once the machine is back
		case <-silence:
		case <-r.Context().Done():
		case <-run.ctx.Done():
		}
		run.recordAttemptEnd(id, attempt, false)
		panic(http.ErrAbortHandler)
	}
	v.mu.Lock()
	occurs := func(probability float64) bool { return probability > 0 && rand.Float64() < probability }
	failing, resetting, truncating := occurs(v.effects.ErrorShare) || occurs(v.Type.ErrorRate), occurs(v.effects.ResetShare),
		occurs(v.effects.CutShare)
	if occurs(v.effects.SlowShare) {
		work *= v.effects.Slowdown
	}
	v.mu.Unlock()
	if failing {
		v.writeLoadReport(w)
		w.WriteHeader(http.StatusInternalServerError)
		run.recordAttemptEnd(id, attempt, false)
		return
	}
	if resetting {
		run.recordAttemptEnd(id, attempt, false)
		v.abortConn(w)
		return
	}
	if v.firstRequestOn(r.RemoteAddr) {
		work += run.scenario.Servers.Connections.HandshakeWork.Seconds()
	}
	err = v.doWork(r.Context(), work)
	switch {
	case errors.Is(err, errQueueFull):
		v.writeLoadReport(w)
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		run.recordAttemptEnd(id, attempt, true)
		return
	case err != nil:
		run.recordAttemptEnd(id, attempt, false)
		panic(http.ErrAbortHandler)
	}
	v.mu.Lock()
	silence = v.silence
	v.mu.Unlock()
	if silence != nil { // the machine stopped responding meanwhile
		select {
		case <-silence:
		case <-r.Context().Done():
		case <-run.ctx.Done():
		}
		run.recordAttemptEnd(id, attempt, false)
		panic(http.ErrAbortHandler)
	}
	body := "made for " + id
	v.writeLoadReport(w)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	run.recordAttemptEnd(id, attempt, false)
	if truncating {
		io.WriteString(w, body[:len(body)/2])
		if f, ok := w.(http.Flusher); ok {
			f.Flush()
		}
		v.abortConn(w)
		return
	}
	io.WriteString(w, body)
}

// firstRequestOn reports whether a request is the first on its connection; such a request has the cost of the
// handshake.
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

// abortConn resets the connection of a request.
func (v *server) abortConn(w http.ResponseWriter) {
	if h, ok := w.(http.Hijacker); ok {
		if c, _, err := h.Hijack(); err == nil {
			reset(c)
			return
		}
	}
	panic(http.ErrAbortHandler)
}

// writeLoadReport adds the load report to the response: the queue length with the delay, noise and faults of reports.
func (v *server) writeLoadReport(w http.ResponseWriter) {
	run := v.rig
	run.mu.Lock()
	lag := run.fleetEffects.ReportDelay
	run.mu.Unlock()
	v.mu.Lock()
	queueLength := float64(v.reports.Read(run.now(), run.scenario.Servers.Reports.Delay+lag, len(v.queue))) * v.effects.ReportFactor
	v.mu.Unlock()
	if noise := run.scenario.Servers.Reports.Noise; noise > 0 {
		queueLength = max(0, queueLength*(1+noise*rand.NormFloat64()))
	}
	w.Header().Set("X-Load", fmt.Sprintf(`{"queue":%d}`, int(math.Round(queueLength))))
}

// capacityShare returns the share of its capacity that the server has, which is below 1 while it is cold. The caller
// holds v.mu.
func (v *server) capacityShare() float64 {
	if v.launched < 0 {
		return 1
	}
	return fleet.Ramp(v.Type, v.Speed, v.rig.now()-v.launched, v.rig.scenario.Rules.ColdFor, v.workSinceStart)
}

// doWork waits for a slot and then for as long as the work takes, unless the node cancels the request.
func (v *server) doWork(ctx context.Context, work float64) error {
	v.mu.Lock()
	incarnation := v.incarnation
	if v.busySlots < v.slots {
		v.busySlots++
	} else if len(v.queue) < v.queueCap {
		v.reports.Record(v.rig.now(), len(v.queue))
		turn := make(chan bool, 1)
		v.queue = append(v.queue, turn)
		v.mu.Unlock()
		select {
		case ok := <-turn:
			if !ok {
				return errAborted
			}
		case <-ctx.Done():
			v.leaveQueue(turn, incarnation)
			return errAborted
		}
		v.mu.Lock()
	} else {
		v.mu.Unlock()
		return errQueueFull
	}
	v.mu.Unlock()
	pieceStart := time.Now()
	var err error
	// In pieces of up to 50 ms, as the speed changes while the server warms up or a fault slows down the whole fleet.
	for remaining := work; remaining > 0 && err == nil; {
		v.mu.Lock()
		v.rig.mu.Lock()
		factor := v.rig.fleetEffects.Slowdown
		v.rig.mu.Unlock()
		rate := v.Speed * v.capacityShare() / factor * min(1, float64(v.Type.Cores)/float64(max(1, v.busySlots)))
		heldPerCore := float64(v.busySlots+len(v.queue)) / float64(v.Type.Cores)
		if contention := v.rig.scenario.Servers.Choke; contention.By > 0 && heldPerCore > contention.At {
			rate /= 1 + contention.By*(heldPerCore-contention.At)
		}
		v.mu.Unlock()
		piece := min(remaining/rate, 0.05)
		timer := time.NewTimer(time.Duration(piece * float64(time.Second)))
		select {
		case <-timer.C:
		case <-ctx.Done():
			if !v.Type.Keeps {
				err = errAborted
			}
		}
		timer.Stop()
		elapsed := time.Since(pieceStart).Seconds() // a timer may fire late: more work is done then
		pieceStart = time.Now()
		remaining -= elapsed * rate
		v.mu.Lock()
		v.workSinceStart += elapsed * rate
		v.totalWork += elapsed * rate
		v.mu.Unlock()
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.freeSlot(incarnation)
	return err
}

// leaveQueue removes a request from the queue, or frees the slot that it got meanwhile.
func (v *server) leaveQueue(turn chan bool, incarnation int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for i, waiting := range v.queue {
		if waiting == turn {
			v.reports.Record(v.rig.now(), len(v.queue))
			v.queue = append(v.queue[:i], v.queue[i+1:]...)
			return
		}
	}
	if ok := <-turn; ok {
		v.freeSlot(incarnation)
	}
}

// freeSlot passes a slot to the next waiting request, unless the process to which it belonged has ended. The caller
// holds v.mu.
func (v *server) freeSlot(incarnation int) {
	switch {
	case incarnation != v.incarnation:
	case len(v.queue) > 0:
		v.reports.Record(v.rig.now(), len(v.queue))
		v.queue[0] <- true
		v.queue = v.queue[1:]
	default:
		v.busySlots--
	}
}

// goSilent makes its machine stop responding: it resets no connection and sends no response, and new connections are
// never established.
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

// closeAll closes the listener and all connections, and fails the waiting requests. The caller holds v.mu, which is
// released for a moment.
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
	httpServer := v.http
	v.mu.Unlock()
	httpServer.Close() // calls trackConn, which locks v.mu
	v.mu.Lock()
	for _, turn := range v.queue {
		turn <- false
	}
	v.queue, v.busySlots = nil, 0
	v.incarnation++
}

// restartCold starts the server again, cold, unless a fault keeps it down for longer.
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
	for range 50 { // the kernel may keep the address for a moment
		if err = v.start(); err == nil {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	if err != nil {
		return fmt.Errorf("stub web server %d does not restart: %w", v.ID, err)
	}
	v.launched, v.workSinceStart, v.busySlots = v.rig.now(), 0, 0
	v.reports.Reset(v.launched)
	v.rig.recordServerStart(v)
	v.rig.discovery.scheduleUpdate(v, "Ready", v.rig.scenario.Roster.AddLag)
	return nil
}

// fillBacklog fills the kernel's accept queue, so that new connections are never established: it stops accepting, makes
// the queue as short as possible and fills it with connections of its own.
func (v *server) fillBacklog() {
	v.mu.Lock()
	listener, addr := v.listener, v.addr
	v.mu.Unlock()
	listener.setPaused(true)
	listener.setBacklog(0)
	var conns []net.Conn
	for range 8 {
		c, err := net.DialTimeout("tcp", addr, 30*time.Millisecond)
		if err != nil {
			break
		}
		conns = append(conns, c)
	}
	v.mu.Lock()
	v.backlogConns = append(v.backlogConns, conns...)
	v.mu.Unlock()
}

// clearBacklog accepts connections again.
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

// pausableListener is a listener that can stop accepting while its socket stays open.
type pausableListener struct {
	*net.TCPListener
	mu        sync.Mutex
	paused    chan struct{} // closed when it accepts again; nil while it accepts
	closed    chan struct{} // closed by Close
	closeOnce sync.Once
}

// newPausableListener returns a listener that accepts.
func newPausableListener(ln *net.TCPListener) *pausableListener {
	return &pausableListener{TCPListener: ln, closed: make(chan struct{})}
}

// setPaused pauses accepting connections, or resumes it.
func (l *pausableListener) setPaused(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case on && l.paused == nil:
		l.paused = make(chan struct{})
		l.SetDeadline(time.Unix(1, 0)) // ends a pending Accept
	case !on && l.paused != nil:
		l.SetDeadline(time.Time{})
		close(l.paused)
		l.paused = nil
	}
}

// setBacklog sets the length of the kernel's accept queue, which another call of listen on the socket changes.
func (l *pausableListener) setBacklog(n int) {
	if raw, err := l.SyscallConn(); err == nil {
		raw.Control(func(fd uintptr) { syscall.Listen(int(fd), n) })
	}
}

// Accept implements net.Listener. It blocks while the listener is paused.
func (l *pausableListener) Accept() (net.Conn, error) {
	for {
		l.mu.Lock()
		paused := l.paused
		l.mu.Unlock()
		if paused != nil {
			select {
			case <-paused:
			case <-l.closed:
				return nil, net.ErrClosed
			}
		}
		c, err := l.TCPListener.Accept()
		var timeout net.Error
		if errors.As(err, &timeout) && timeout.Timeout() {
			continue
		}
		return c, err
	}
}

// Close implements net.Listener and ends a pending Accept, also while paused.
func (l *pausableListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.TCPListener.Close()
}
