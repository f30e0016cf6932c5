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
type order struct {
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
type reply struct {
	Late    string             `json:"late,omitempty"` // members: why there is none
	Err     string             `json:"err,omitempty"`
	Addrs   []string           `json:"addrs,omitempty"`   // web
	At      []int64            `json:"at,omitempty"`      // reached: by node, when (Unix time in ns); 0: not yet
	Figures map[string]float64 `json:"figures,omitempty"` // of whatever was measured
}

// seen is the first time that a node was seen with a version. Those of the list have no epoch.
type seen struct {
	version resource.Version
	at      time.Time
}

const (
	seenMost = 512                   // of each node; older ones are forgotten
	lookAt   = 10 * time.Millisecond // how exactly it is known when a node has a version
)

// history is which versions were seen somewhere, in their order.
type history struct {
	list []seen
	back int // times that a version was older than the one before
}

// note notes a version that is there now.
func (h *history) note(v resource.Version, now time.Time) {
	if n := len(h.list); n > 0 {
		before := h.list[n-1].version
		if before == v {
			return
		}
		if v.Compare(before) < 0 {
			h.back++
		}
	}
	if len(h.list) == seenMost {
		h.list = append(h.list[:0], h.list[seenMost/2:]...)
	}
	h.list = append(h.list, seen{v, now})
}

// since is when a version or a later one was first seen; zero: it was not.
func (h *history) since(v resource.Version) time.Time {
	if k := sort.Search(len(h.list), func(k int) bool { return h.list[k].version.Compare(v) >= 0 }); k < len(h.list) {
		return h.list[k].at
	}
	return time.Time{}
}

// hollowNode is one of a worker's.
type hollowNode struct {
	cfg  node.Config
	run  *node.Hollow
	seen [2]history // of the list, and of the configuration
	back int        // in the configurations of its runs before this one
}

// worker is a child process of a run. It holds hollow nodes, stand-in web servers, or measures something by itself.
type worker struct {
	most time.Duration // that a hollow node's first configuration may take

	mu    sync.Mutex
	nodes []*hollowNode
	web   *web
}

// Work is a child process of a run: it carries out orders from in until that ends. Whatever it has started ends with it.
func Work(in io.Reader, out io.Writer) error {
	w := &worker{most: beginMost}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() { w.watch(stop) })
	defer func() {
		close(stop)
		wg.Wait()
		w.end()
	}()
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, 1<<20)
	enc := json.NewEncoder(out)
	for lines.Scan() {
		var o order
		var r reply
		err := json.Unmarshal(lines.Bytes(), &o)
		if err == nil {
			r, err = w.do(o)
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

func (w *worker) do(o order) (reply, error) {
	switch o.Do {
	case "hollow":
		return reply{}, w.hollow(o)
	case "restart":
		return w.restart(o.Which)
	case "reached":
		if o.Changed == "" {
			return reply{At: w.reached(0, resource.Version{Number: uint64(o.Version)})}, nil
		}
		v, err := resource.ParseVersion(o.Changed)
		return reply{At: w.reached(1, v)}, err
	case "back":
		return reply{Figures: map[string]float64{"back": float64(w.back())}}, nil
	case "web":
		s, err := startWeb(o.Count, time.Duration(o.ServerUS)*time.Microsecond, time.Duration(o.IdleMS)*time.Millisecond)
		if err != nil {
			return reply{}, err
		}
		w.web = s
		return reply{Addrs: s.addrs}, nil
	case "counts":
		return reply{Figures: w.web.counts()}, nil
	case "usage":
		return reply{Figures: usage()}, nil
	case "contracts":
		return reply{Figures: contractsCost(o.Count)}, nil
	case "members":
		return membersCost(o.Count, time.Duration(o.ForMS)*time.Millisecond, time.Duration(o.LimitMS)*time.Millisecond)
	case "plan":
		return reply{Figures: planCost(o.Count)}, nil
	}
	return reply{}, fmt.Errorf("order %q is not known", o.Do)
}

// usage is the live heap once all garbage is gone, and what is resident.
func usage() map[string]float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return map[string]float64{"heap": float64(m.HeapAlloc), "resident": float64(resident(os.Getpid())), "goroutines": float64(runtime.NumGoroutine())}
}

// hollow starts hollow nodes.
func (w *worker) hollow(o order) error {
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
		n := &hollowNode{cfg: c}
		var err error
		if n.run, err = node.StartHollow(c, slog.New(slog.DiscardHandler)); err != nil {
			return err
		}
		w.mu.Lock()
		w.nodes = append(w.nodes, n)
		w.mu.Unlock()
		if product != "" {
			if err := n.configured(w.most); err != nil {
				return fmt.Errorf("%s: %w", name, err)
			}
		}
	}
	return nil
}

// configured waits until a node has a configuration, for so long at most: as many as a process holds would take theirs at once otherwise, and what that
// needs beside the configurations themselves counts for all of them.
func (n *hollowNode) configured(most time.Duration) error {
	for end := time.Now().Add(most); n.run.Figures().Configuration.IsZero(); time.Sleep(lookAt) {
		if time.Now().After(end) {
			return fmt.Errorf("%w: no configuration within %v", errBegun, most)
		}
	}
	return nil
}

// restart ends some nodes and starts them again, all at once. Figures: how long the slowest took to be up.
func (w *worker) restart(which []int) (reply, error) {
	begun := time.Now()
	for _, i := range which {
		w.mu.Lock()
		n := w.nodes[i]
		old := n.run
		n.back += n.seen[1].back
		n.run, n.seen = nil, [2]history{}
		w.mu.Unlock()
		old.Close()
	}
	for _, i := range which {
		w.mu.Lock()
		n := w.nodes[i]
		w.mu.Unlock()
		run, err := node.StartHollow(n.cfg, slog.New(slog.DiscardHandler))
		if err != nil {
			return reply{}, err
		}
		w.mu.Lock()
		n.run = run
		w.mu.Unlock()
	}
	return reply{Figures: map[string]float64{"took": time.Since(begun).Seconds()}}, nil
}

// watch looks again and again which versions the nodes have.
func (w *worker) watch(stop <-chan struct{}) {
	tick := time.NewTicker(lookAt)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-stop:
			return
		}
		w.mu.Lock()
		for _, n := range w.nodes {
			if n.run == nil {
				continue
			}
			f, now := n.run.Figures(), time.Now()
			n.seen[0].note(resource.Version{Number: uint64(f.List)}, now)
			if !f.Taking {
				n.seen[1].note(f.Configuration, now)
			}
		}
		w.mu.Unlock()
	}
}

// back is how often a node had a configuration older than the one before.
func (w *worker) back() (times int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, n := range w.nodes {
		times += n.back + n.seen[1].back
	}
	return times
}

// reached tells of each node when it was first seen with a version or a later one.
func (w *worker) reached(of int, version resource.Version) []int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	at := make([]int64, len(w.nodes))
	for i, n := range w.nodes {
		if since := n.seen[of].since(version); !since.IsZero() {
			at[i] = since.UnixNano()
		}
	}
	return at
}

func (w *worker) end() {
	for _, n := range w.nodes {
		if n.run != nil {
			n.run.Close()
		}
	}
	if w.web != nil {
		w.web.stop()
	}
}
