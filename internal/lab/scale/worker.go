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

// order is what a worker is told to do: one line of JSON on its standard input, each answered by one line.
type workerCommand struct {
	Do       string   `json:"do"`
	Config   string   `json:"config,omitempty"`   // hollow: the configuration file of all
	Names    []string `json:"names,omitempty"`    // hollow: of the nodes,
	Sources  []string `json:"sources,omitempty"`  // hollow: where each asks for its list,
	Zones    []string `json:"zones,omitempty"`    // where each is,
	Products []string `json:"products,omitempty"` // and its product's file; not given: none has one
	Which    []int    `json:"which,omitempty"`    // restart: by their places; reached: those of interest
	Version  int64    `json:"version,omitempty"`  // reached: of the list, or
	Changed  string   `json:"changed,omitempty"`  // of the configuration
	Count    int      `json:"count,omitempty"`    // web, contracts, plan
	IdleMS   int      `json:"idle_ms,omitempty"`
	ServerUS int      `json:"server_us,omitempty"`
	ForMS    int      `json:"for_ms,omitempty"` // members
	LimitMS  int      `json:"limit_ms,omitempty"`
}

// reply is what it answers.
type workerReply struct {
	Late    string             `json:"late,omitempty"` // members: why there is none
	Err     string             `json:"err,omitempty"`
	Addrs   []string           `json:"addrs,omitempty"`   // web
	At      []int64            `json:"at,omitempty"`      // reached: by node, when (Unix time in ns); 0: not yet
	Figures map[string]float64 `json:"figures,omitempty"` // of whatever was measured
}

// seen is the first time that a node was seen with a version. Those of the list have no epoch.
type seenVersion struct {
	version resource.Version
	at      time.Time
}

const (
	maxSeenVersions      = 512                   // of each node; older ones are forgotten
	versionCheckInterval = 10 * time.Millisecond // how exactly it is known when a node has a version
)

// history is which versions were seen somewhere, in their order.
type versionHistory struct {
	entries     []seenVersion
	regressions int // times that a version was older than the one before
}

// note notes a version that is there now.
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

// since is when a version or a later one was first seen; zero: it was not.
func (h *versionHistory) firstSeen(v resource.Version) time.Time {
	if k := sort.Search(len(h.entries), func(k int) bool { return h.entries[k].version.Compare(v) >= 0 }); k < len(h.entries) {
		return h.entries[k].at
	}
	return time.Time{}
}

// hollowNode is one of a worker's.
type hollowNode struct {
	config             node.Config
	node               *node.Hollow
	history            [2]versionHistory // of the list, and of the configuration
	earlierRegressions int               // in the configurations of its runs before this one
}

// worker is a child process of a run. It holds hollow nodes, stand-in web servers, or measures something by itself.
type worker struct {
	configTimeout time.Duration // that a hollow node's first configuration may take

	mu      sync.Mutex
	nodes   []*hollowNode
	servers *stubServers
}

// Work is a child process of a run: it carries out orders from in until that ends. Whatever it has started ends with it.
func Work(in io.Reader, out io.Writer) error {
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
		var o workerCommand
		var r workerReply
		err := json.Unmarshal(lines.Bytes(), &o)
		if err == nil {
			r, err = w.execute(o)
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

func (w *worker) execute(o workerCommand) (workerReply, error) {
	switch o.Do {
	case "hollow":
		return workerReply{}, w.startHollow(o)
	case "restart":
		return w.restart(o.Which)
	case "reached":
		if o.Changed == "" {
			return workerReply{At: w.firstSeenTimes(0, resource.Version{Number: uint64(o.Version)})}, nil
		}
		v, err := resource.ParseVersion(o.Changed)
		return workerReply{At: w.firstSeenTimes(1, v)}, err
	case "back":
		return workerReply{Figures: map[string]float64{"back": float64(w.regressions())}}, nil
	case "web":
		s, err := startStubServers(o.Count, time.Duration(o.ServerUS)*time.Microsecond, time.Duration(o.IdleMS)*time.Millisecond)
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
		return workerReply{Figures: contractsCost(o.Count)}, nil
	case "members":
		return membersCost(o.Count, time.Duration(o.ForMS)*time.Millisecond, time.Duration(o.LimitMS)*time.Millisecond)
	case "plan":
		return workerReply{Figures: planCost(o.Count)}, nil
	}
	return workerReply{}, fmt.Errorf("order %q is not known", o.Do)
}

// usage is the live heap once all garbage is gone, and what is resident.
func processUsage() map[string]float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return map[string]float64{"heap": float64(m.HeapAlloc), "resident": float64(residentBytes(os.Getpid())), "goroutines": float64(runtime.NumGoroutine())}
}

// hollow starts hollow nodes.
func (w *worker) startHollow(o workerCommand) error {
	loaded := map[string]node.Config{} // by the product's file
	for i, name := range o.Names {
		product := ""
		if o.Products != nil {
			product = o.Products[i]
		}
		c, known := loaded[product]
		if !known {
			var err error
			if c, err = node.Load(func(name string) string {
				return map[string]string{"GW_CONFIG": o.Config, "PORTSTALL_FILE": product}[name]
			}); err != nil {
				return err
			}
			loaded[product] = c
		}
		c.Name, c.Discovery, c.Seed = name, o.Sources[i], xxhash.Sum64String(name)
		c.Settings.Policy.Zone = o.Zones[i]
		n := &hollowNode{config: c}
		var err error
		if n.node, err = node.StartHollow(c, slog.New(slog.DiscardHandler)); err != nil {
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

// configured waits until a node has a configuration, for so long at most: as many as a process holds would take theirs at once otherwise, and what that
// needs beside the configurations themselves counts for all of them.
func (n *hollowNode) awaitConfiguration(most time.Duration) error {
	for end := time.Now().Add(most); n.node.Figures().Configuration.IsZero(); time.Sleep(versionCheckInterval) {
		if time.Now().After(end) {
			return fmt.Errorf("%w: no configuration within %v", errNotReady, most)
		}
	}
	return nil
}

// restart ends some nodes and starts them again, all at once. Figures: how long the slowest took to be up.
func (w *worker) restart(which []int) (workerReply, error) {
	begun := time.Now()
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
		run, err := node.StartHollow(n.config, slog.New(slog.DiscardHandler))
		if err != nil {
			return workerReply{}, err
		}
		w.mu.Lock()
		n.node = run
		w.mu.Unlock()
	}
	return workerReply{Figures: map[string]float64{"took": time.Since(begun).Seconds()}}, nil
}

// watch looks again and again which versions the nodes have.
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
			f, now := n.node.Figures(), time.Now()
			n.history[0].record(resource.Version{Number: uint64(f.List)}, now)
			if !f.Taking {
				n.history[1].record(f.Configuration, now)
			}
		}
		w.mu.Unlock()
	}
}

// back is how often a node had a configuration older than the one before.
func (w *worker) regressions() (times int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, n := range w.nodes {
		times += n.earlierRegressions + n.history[1].regressions
	}
	return times
}

// reached tells of each node when it was first seen with a version or a later one.
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
