package scale

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"os"
	"runtime"
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"portstall/internal/node"
	"portstall/internal/resource"
)

// workerCommand is a command to a worker: one line of JSON on its standard input. The worker writes one line for each
// as its reply.
type workerCommand struct {
	Do       string   `json:"do"`
	Config   string   `json:"config,omitempty"`    // hollow: configuration file of all nodes
	Names    []string `json:"names,omitempty"`     // hollow: names of the nodes
	Sources  []string `json:"sources,omitempty"`   // hollow: address from which each node gets its server list
	Zones    []string `json:"zones,omitempty"`     // hollow: zone of each node
	Products []string `json:"products,omitempty"`  // hollow: product file of each node; empty: no node has one
	Which    []int    `json:"which,omitempty"`     // restart: indices of the nodes
	Version  int64    `json:"version,omitempty"`   // reached: version of the server list
	Changed  string   `json:"changed,omitempty"`   // reached: version of the configuration, instead of that of the list
	Count    int      `json:"count,omitempty"`     // number of servers (web, plan), contracts or members
	IdleMS   int      `json:"idle_ms,omitempty"`   // web: how long an idle connection stays open
	ServerUS int      `json:"server_us,omitempty"` // web: how long a request takes
	ForMS    int      `json:"for_ms,omitempty"`    // members: virtual time of each phase
	LimitMS  int      `json:"limit_ms,omitempty"`  // members: limit on the real time
}

// workerReply is the reply to a command.
type workerReply struct {
	Late  string   `json:"late,omitempty"`  // members: why there are no figures
	Err   string   `json:"err,omitempty"`   // why the command failed
	Addrs []string `json:"addrs,omitempty"` // web: addresses of the servers
	// At is the reply to reached: by node, since when it has the version (Unix time in ns). 0: not yet.
	At      []int64            `json:"at,omitempty"`
	Figures map[string]float64 `json:"figures,omitempty"` // measurements by name
}

// seenVersion is a version and the time when a process was first seen with it. Versions of the server list have no
// epoch.
type seenVersion struct {
	version resource.Version
	at      time.Time
}

const (
	maxSeenVersions      = 512                   // limit on the versions recorded for each node; older ones are dropped
	versionCheckInterval = 10 * time.Millisecond // resolution of the times at which nodes are known to have a version
)

// versionHistory records the versions that a process was seen with, in order of time.
type versionHistory struct {
	entries     []seenVersion
	regressions int // how often a version was older than the one before
}

// record records the version that the process has now.
func (h *versionHistory) record(v resource.Version, now time.Time) {
	if n := len(h.entries); n > 0 {
		before := h.entries[n-1].version
		if before == v {
			return
		}
		if v.Compare(before) < 0 {
			h.regressions++
		}
	}
	if len(h.entries) == maxSeenVersions {
		h.entries = append(h.entries[:0], h.entries[maxSeenVersions/2:]...)
	}
	h.entries = append(h.entries, seenVersion{v, now})
}

// firstSeen returns when a version or a later one was first seen; zero if none was.
func (h *versionHistory) firstSeen(v resource.Version) time.Time {
	if k := sort.Search(len(h.entries),
		func(k int) bool { return h.entries[k].version.Compare(v) >= 0 }); k < len(h.entries) {
		return h.entries[k].at
	}
	return time.Time{}
}

// hollowNode is a hollow node of a worker, which can be restarted.
type hollowNode struct {
	config             node.Config
	node               *node.Headless
	history            [2]versionHistory // of the server list (0) and of the configuration (1)
	earlierRegressions int               // regressions of its configuration before its last restart
}

// worker is the state of a child process of a run. It runs hollow nodes or stub web servers, or makes a measurement of
// its own. Its mutex guards the nodes and what is recorded about them.
type worker struct {
	configTimeout time.Duration // limit on the wait for a hollow node's first configuration

	mu      sync.Mutex
	nodes   []*hollowNode
	servers *stubServers
}

// RunWorker is the main function of a child process of a run. It executes commands from in until that ends, and then
// stops all that they started.
func RunWorker(in io.Reader, out io.Writer) error {
	w := &worker{configTimeout: startTimeout}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() { w.recordVersions(stop) })
	defer func() {
		close(stop)
		wg.Wait()
		w.stop()
	}()
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, 1<<20)
	enc := json.NewEncoder(out)
	for lines.Scan() {
		var command workerCommand
		var r workerReply
		err := json.Unmarshal(lines.Bytes(), &command)
		if err == nil {
			r, err = w.execute(command)
		}
		if err != nil {
			r.Err = err.Error()
		}
		if err := enc.Encode(r); err != nil {
			return err
		}
	}
	return lines.Err()
}

// execute executes one command.
func (w *worker) execute(command workerCommand) (workerReply, error) {
	switch command.Do {
	case "hollow":
		return workerReply{}, w.startHollow(command)
	case "restart":
		return w.restart(command.Which)
	case "reached":
		if command.Changed == "" {
			return workerReply{At: w.firstSeenTimes(0, resource.Version{Number: uint64(command.Version)})}, nil
		}
		v, err := resource.ParseVersion(command.Changed)
		return workerReply{At: w.firstSeenTimes(1, v)}, err
	case "back":
		return workerReply{Figures: map[string]float64{"back": float64(w.regressions())}}, nil
	case "web":
		s, err := startStubServers(command.Count, time.Duration(command.ServerUS)*time.Microsecond,
			time.Duration(command.IdleMS)*time.Millisecond)
		if err != nil {
			return workerReply{}, err
		}
		w.servers = s
		return workerReply{Addrs: s.addrs}, nil
	case "counts":
		return workerReply{Figures: w.servers.counts()}, nil
	case "usage":
		return workerReply{Figures: processUsage()}, nil
	case "contracts":
		return workerReply{Figures: contractsCost(command.Count)}, nil
	case "members":
		return membersCost(command.Count, time.Duration(command.ForMS)*time.Millisecond, time.Duration(command.LimitMS)*time.Millisecond)
	case "plan":
		return workerReply{Figures: planCost(command.Count)}, nil
	}
	return workerReply{}, fmt.Errorf("unknown command %q", command.Do)
}

// processUsage returns the live heap after a garbage collection, the resident memory, both in bytes, and the number of
// goroutines.
func processUsage() map[string]float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return map[string]float64{"heap": float64(m.HeapAlloc), "resident": float64(residentBytes(os.Getpid())),
		"goroutines": float64(runtime.NumGoroutine())}
}

// startHollow starts hollow nodes one after the other, and waits until each of those that follow control has a
// configuration.
func (w *worker) startHollow(command workerCommand) error {
	loaded := map[string]node.Config{} // by product file
	for i, name := range command.Names {
		product := ""
		if command.Products != nil {
			product = command.Products[i]
		}
		c, known := loaded[product]
		if !known {
			var err error
			if c, err = node.Load(func(name string) string {
				return map[string]string{"GW_CONFIG": command.Config, "PORTSTALL_FILE": product}[name]
			}); err != nil {
				return err
			}
			loaded[product] = c
		}
		c.Name, c.Discovery, c.Seed = name, command.Sources[i], xxhash.Sum64String(name)
		c.Settings.Policy.Zone = command.Zones[i]
		n := &hollowNode{config: c}
		var err error
		if n.node, err = node.StartHeadless(c, slog.New(slog.DiscardHandler)); err != nil {
			return err
		}
		w.mu.Lock()
		w.nodes = append(w.nodes, n)
		w.mu.Unlock()
		if product != "" {
			if err := n.awaitConfiguration(w.configTimeout); err != nil {
				return fmt.Errorf("%s: %w", name, err)
			}
		}
	}
	return nil
}

// awaitConfiguration waits until a node has a configuration. Without this wait all nodes of a process would load theirs
// at the same time, and the memory for loading would be needed for all of them at once.
func (n *hollowNode) awaitConfiguration(timeout time.Duration) error {
	for end := time.Now().Add(timeout); n.node.Status().Configuration.IsZero(); time.Sleep(versionCheckInterval) {
		if time.Now().After(end) {
			return fmt.Errorf("%w: no configuration within %v", errNotReady, timeout)
		}
	}
	return nil
}

// restart stops the given nodes, then starts all of them again. It returns how long that took.
func (w *worker) restart(which []int) (workerReply, error) {
	startedAt := time.Now()
	for _, i := range which {
		w.mu.Lock()
		n := w.nodes[i]
		old := n.node
		n.earlierRegressions += n.history[1].regressions
		n.node, n.history = nil, [2]versionHistory{}
		w.mu.Unlock()
		old.Close()
	}
	for _, i := range which {
		w.mu.Lock()
		n := w.nodes[i]
		w.mu.Unlock()
		run, err := node.StartHeadless(n.config, slog.New(slog.DiscardHandler))
		if err != nil {
			return workerReply{}, err
		}
		w.mu.Lock()
		n.node = run
		w.mu.Unlock()
	}
	return workerReply{Figures: map[string]float64{"took": time.Since(startedAt).Seconds()}}, nil
}

// recordVersions polls which versions the nodes have until stop is closed.
func (w *worker) recordVersions(stop <-chan struct{}) {
	tick := time.NewTicker(versionCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-stop:
			return
		}
		w.mu.Lock()
		for _, n := range w.nodes {
			if n.node == nil {
				continue
			}
			f, now := n.node.Status(), time.Now()
			n.history[0].record(resource.Version{Number: uint64(f.ListVersion)}, now)
			if !f.Applying {
				n.history[1].record(f.Configuration, now)
			}
		}
		w.mu.Unlock()
	}
}

// regressions returns how often a node changed to an older configuration than it had before.
func (w *worker) regressions() (times int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, n := range w.nodes {
		times += n.earlierRegressions + n.history[1].regressions
	}
	return times
}

// firstSeenTimes returns for each node when it was first seen with a version or a later one, in ns of Unix time; 0: not
// yet. of is 0 for the server list and 1 for the configuration.
func (w *worker) firstSeenTimes(of int, version resource.Version) []int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	at := make([]int64, len(w.nodes))
	for i, n := range w.nodes {
		if since := n.history[of].firstSeen(version); !since.IsZero() {
			at[i] = since.UnixNano()
		}
	}
	return at
}

// stop stops all nodes and servers.
func (w *worker) stop() {
	for _, n := range w.nodes {
		if n.node != nil {
			n.node.Close()
		}
	}
	if w.servers != nil {
		w.servers.stop()
	}
}
