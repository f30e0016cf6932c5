package scale

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// ErrBound reports that a run exceeds, or would exceed, its limit on memory, processes or time.
var ErrBound = errors.New("the run passes its bound")

// child is a process of the run, owned by the run's processGroup.
type child struct {
	role string
	cmd  *exec.Cmd
	done chan struct{} // closed when the process has ended

	mu  sync.Mutex // serializes calls
	in  io.WriteCloser
	out *bufio.Reader

	logs logTail
}

// logTail keeps the end of a process's log. It is safe for concurrent use.
type logTail struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (t *logTail) Write(p []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.buf.Len() > 64<<10 {
		t.buf.Reset()
	}
	return t.buf.Write(p)
}

func (t *logTail) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.buf.String()
}

// processGroup owns the processes of a run. It enforces the limits, stops each process by its ID, and leaves none
// behind: they end with the run, even if that is killed. Its mutex guards the fields below it. It is safe for
// concurrent use.
type processGroup struct {
	binary        string
	dir           string
	maxMemory     int64
	maxProcesses  int
	cancel        context.CancelCauseFunc // cancels the run when a limit is exceeded
	startRequests chan func()             // to the only thread that starts processes; they are killed when it ends

	mu            sync.Mutex
	children      map[*child]struct{}
	count         int // processes in children, and those that are being started
	peakMemory    int64
	peakProcesses int
	closed        bool
	stopped       chan struct{}
	wg            sync.WaitGroup
}

// memoryCheckInterval separates two checks of the processes' memory.
const memoryCheckInterval = 200 * time.Millisecond

// newProcessGroup returns a group with limits on resident memory, in bytes, and on the number of processes.
func newProcessGroup(binary, dir string, memory int64, processes int, cancel context.CancelCauseFunc) *processGroup {
	g := &processGroup{binary: binary, dir: dir, maxMemory: memory, maxProcesses: processes, cancel: cancel,
		startRequests: make(chan func()),
		children:      map[*child]struct{}{}, stopped: make(chan struct{})}
	g.wg.Add(2)
	go func() {
		defer g.wg.Done()
		runtime.LockOSThread() // never unlocked: the thread ends with the run
		for {
			select {
			case f := <-g.startRequests:
				f()
			case <-g.stopped:
				return
			}
		}
	}()
	go func() {
		defer g.wg.Done()
		tick := time.NewTicker(memoryCheckInterval)
		defer tick.Stop()
		for {
			select {
			case <-tick.C:
				if err := g.checkMemory(); err != nil {
					g.cancel(err)
				}
			case <-g.stopped:
				return
			}
		}
	}()
	return g
}

// checkMemory compares the resident memory of all processes with the limit.
func (g *processGroup) checkMemory() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	sum := residentBytes(os.Getpid())
	for c := range g.children {
		sum += residentBytes(c.cmd.Process.Pid)
	}
	g.peakMemory = max(g.peakMemory, sum)
	if sum > g.maxMemory {
		return fmt.Errorf("%w: %s resident in %d processes, %s allowed", ErrBound, FormatAmount(float64(sum), "B"),
			len(g.children)+1,
			FormatAmount(float64(g.maxMemory), "B"))
	}
	return nil
}

// start starts a process of the run's own binary. The end of its log is kept; its standard output is read by call.
func (g *processGroup) start(role string, env []string, args ...string) (*child, error) {
	return g.startBinary(g.binary, role, env, args...)
}

// startBinary is start with another binary.
func (g *processGroup) startBinary(binary, role string, env []string, args ...string) (*child, error) {
	c := &child{role: role, done: make(chan struct{}), cmd: exec.Command(binary, args...)}
	c.cmd.Env = append(append(os.Environ(), "TMPDIR="+g.dir), env...)
	c.cmd.Stderr = &c.logs
	c.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	in, err := c.cmd.StdinPipe()
	if err != nil {
		return nil, err
	}
	out, err := c.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	c.in, c.out = in, bufio.NewReaderSize(out, 1<<16)
	g.mu.Lock()
	if g.closed {
		g.mu.Unlock()
		return nil, context.Canceled
	}
	if n := g.count + 2; n > g.maxProcesses { // including this one and the run's own process
		g.mu.Unlock()
		err := fmt.Errorf("%w: %s would be process %d, %d allowed", ErrBound, role, n, g.maxProcesses)
		g.cancel(err)
		return nil, err
	}
	g.count++
	g.peakProcesses = max(g.peakProcesses, g.count+1)
	g.mu.Unlock()
	started := make(chan error, 1)
	g.startRequests <- func() {
		err := c.cmd.Start()
		g.mu.Lock()
		defer g.mu.Unlock()
		if err != nil {
			g.count--
		} else {
			g.children[c] = struct{}{}
		}
		started <- err
	}
	if err := <-started; err != nil {
		return nil, fmt.Errorf("%s: %w", role, err)
	}
	go func() {
		c.cmd.Wait()
		g.mu.Lock()
		g.count--
		delete(g.children, c)
		g.mu.Unlock()
		close(c.done)
	}()
	return c, nil
}

// stop kills a process and waits until it has ended. A nil process is ignored.
func (g *processGroup) stop(c *child) {
	if c == nil {
		return
	}
	c.in.Close()
	c.cmd.Process.Kill() // fails if it has ended already
	<-c.done
}

// close stops all processes. No process may be started meanwhile.
func (g *processGroup) close() {
	g.mu.Lock()
	g.closed = true
	all := slices.Collect(maps.Keys(g.children))
	g.mu.Unlock()
	for _, c := range all {
		g.stop(c)
	}
	close(g.stopped)
	g.wg.Wait()
}

// call sends a command to a worker and waits for its reply.
func (c *child) call(ctx context.Context, command workerCommand) (workerReply, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := json.NewEncoder(c.in).Encode(command); err != nil {
		return workerReply{}, fmt.Errorf("%s: %s: %w: %s", c.role, command.Do, err, c.logs.String())
	}
	type got struct {
		line []byte
		err  error
	}
	replies := make(chan got, 1)
	go func() {
		line, err := c.out.ReadBytes('\n')
		replies <- got{line, err}
	}()
	var g got
	select {
	case g = <-replies:
	case <-ctx.Done():
		c.cmd.Process.Kill() // otherwise the next call would read the reply to this one
		<-replies
		return workerReply{}, context.Cause(ctx)
	}
	if g.err != nil {
		return workerReply{}, fmt.Errorf("%s: %s: %w: %s", c.role, command.Do, g.err, c.logs.String())
	}
	var r workerReply
	if err := json.Unmarshal(g.line, &r); err != nil {
		return workerReply{}, fmt.Errorf("%s: %s: %w", c.role, command.Do, err)
	}
	if r.Err != "" {
		return r, fmt.Errorf("%s: %s: %s", c.role, command.Do, r.Err)
	}
	return r, nil
}

// residentBytes returns the resident memory of a process; 0 if there is no such process.
func residentBytes(pid int) int64 { return statusBytes(pid, "VmRSS:") }

// peakResidentBytes returns the highest resident memory that a process has had; 0 if there is no such process.
func peakResidentBytes(pid int) int64 { return statusBytes(pid, "VmHWM:") }

// statusBytes reads a field of /proc/PID/status, which the kernel gives in KiB, in bytes.
func statusBytes(pid int, field string) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, field); ok {
			kb, _ := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return kb << 10
		}
	}
	return 0
}

// cpuTime returns the CPU time that a process has used so far, of all threads that still exist.
func cpuTime(pid int) (sum time.Duration) {
	tasks, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	for _, t := range tasks {
		text, err := os.ReadFile(t)
		if f := strings.Fields(string(text)); err == nil && len(f) > 0 {
			ns, _ := strconv.ParseInt(f[0], 10, 64)
			sum += time.Duration(ns)
		}
	}
	return sum
}

// exitedPeakResidentBytes returns the highest resident memory that a process which has ended had.
func exitedPeakResidentBytes(s *os.ProcessState) int64 {
	if u, ok := s.SysUsage().(*syscall.Rusage); ok {
		return u.Maxrss << 10
	}
	return 0
}
