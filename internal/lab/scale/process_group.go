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
	startRequests chan func()             // to the only thread that starts processes; they are killed when that thread ends

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
	h := &processGroup{binary: binary, dir: dir, maxMemory: memory, maxProcesses: processes, cancel: cancel,
		startRequests: make(chan func()),
		children:      map[*child]struct{}{}, stopped: make(chan struct{})}
	h.wg.Add(2)
	go func() {
		defer h.wg.Done()
		runtime.LockOSThread() // never unlocked: the thread ends with the run
		for {
			select {
			case f := <-h.startRequests:
				f()
			case <-h.stopped:
				return
			}
		}
	}()
	go func() {
		defer h.wg.Done()
		tick := time.NewTicker(memoryCheckInterval)
		defer tick.Stop()
		for {
			select {
			case <-tick.C:
				if err := h.checkMemory(); err != nil {
					h.cancel(err)
				}
			case <-h.stopped:
				return
			}
		}
	}()
	return h
}

// checkMemory compares the resident memory of all processes with the limit.
func (h *processGroup) checkMemory() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	sum := residentBytes(os.Getpid())
	for c := range h.children {
		sum += residentBytes(c.cmd.Process.Pid)
	}
	h.peakMemory = max(h.peakMemory, sum)
	if sum > h.maxMemory {
		return fmt.Errorf("%w: %s resident in %d processes, %s allowed", ErrBound, FormatAmount(float64(sum), "B"),
			len(h.children)+1,
			FormatAmount(float64(h.maxMemory), "B"))
	}
	return nil
}

// start starts a process of the run's own binary. The end of its log is kept; its standard output is read by call.
func (h *processGroup) start(role string, env []string, args ...string) (*child, error) {
	return h.startBinary(h.binary, role, env, args...)
}

// startBinary is start with another binary.
func (h *processGroup) startBinary(binary, role string, env []string, args ...string) (*child, error) {
	c := &child{role: role, done: make(chan struct{}), cmd: exec.Command(binary, args...)}
	c.cmd.Env = append(append(os.Environ(), "TMPDIR="+h.dir), env...)
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
	h.mu.Lock()
	if h.closed {
		h.mu.Unlock()
		return nil, context.Canceled
	}
	if n := h.count + 2; n > h.maxProcesses { // including this one and the run's own process
		h.mu.Unlock()
		err := fmt.Errorf("%w: %s would be process %d, %d allowed", ErrBound, role, n, h.maxProcesses)
		h.cancel(err)
		return nil, err
	}
	h.count++
	h.peakProcesses = max(h.peakProcesses, h.count+1)
	h.mu.Unlock()
	started := make(chan error, 1)
	h.startRequests <- func() {
		err := c.cmd.Start()
		h.mu.Lock()
		defer h.mu.Unlock()
		if err != nil {
			h.count--
		} else {
			h.children[c] = struct{}{}
		}
		started <- err
	}
	if err := <-started; err != nil {
		return nil, fmt.Errorf("%s: %w", role, err)
	}
	go func() {
		c.cmd.Wait()
		h.mu.Lock()
		h.count--
		delete(h.children, c)
		h.mu.Unlock()
		close(c.done)
	}()
	return c, nil
}

// stop kills a process and waits until it has ended. A nil process is ignored.
func (h *processGroup) stop(c *child) {
	if c == nil {
		return
	}
	c.in.Close()
	c.cmd.Process.Kill() // fails if it has ended already
	<-c.done
}

// close stops all processes. No process may be started meanwhile.
func (h *processGroup) close() {
	h.mu.Lock()
	h.closed = true
	all := slices.Collect(maps.Keys(h.children))
	h.mu.Unlock()
	for _, c := range all {
		h.stop(c)
	}
	close(h.stopped)
	h.wg.Wait()
}

// call sends a command to a worker and waits for its reply.
func (c *child) call(ctx context.Context, o workerCommand) (workerReply, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := json.NewEncoder(c.in).Encode(o); err != nil {
		return workerReply{}, fmt.Errorf("%s: %s: %w: %s", c.role, o.Do, err, c.logs.String())
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
		c.cmd.Process.Kill() // otherwise its reply would be taken for that to the next call
		<-replies
		return workerReply{}, context.Cause(ctx)
	}
	if g.err != nil {
		return workerReply{}, fmt.Errorf("%s: %s: %w: %s", c.role, o.Do, g.err, c.logs.String())
	}
	var r workerReply
	if err := json.Unmarshal(g.line, &r); err != nil {
		return workerReply{}, fmt.Errorf("%s: %s: %w", c.role, o.Do, err)
	}
	if r.Err != "" {
		return r, fmt.Errorf("%s: %s: %s", c.role, o.Do, r.Err)
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
