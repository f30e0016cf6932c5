package node

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"runtime/debug"
	"slices"
	"sync"
	"time"

	"portstall/internal/control/follow"
	"portstall/internal/core"
	"portstall/internal/resource"
	"portstall/internal/resource/catalog"
)

const (
	gcStart  = 50  // percent, while a first configuration is read
	gcMost   = 400 // where there are few resources, as without control
	gcLeast  = 50
	ownHeap  = 4 << 20 // bytes of live heap that a node has without resources, about,
	eachHeap = 900     // and for each of them, as measured at 21,051
)

// gcPercent is how much garbage there may be before the next collection, as a part of the live heap: with few resources what a node
// without control has, and with more of them less, so that the garbage stays the same and the resident set goes with the live heap.
func gcPercent(resources int) int {
	return max(gcLeast, min(gcMost, gcMost*ownHeap/(ownHeap+eachHeap*resources)))
}

// followed is the part of a node's configuration that control tells: services, routes, contracts and pinned tenants. What changes
// it, deltas and SIGHUP, comes one after the other under mu, and is put in force in one hold of the core's lock.
type followed struct {
	cfg    Config // as at the start
	log    *slog.Logger
	mark   string // of this process at control: another one of the node may bear its name
	clock  core.Clock
	began  time.Time
	status follow.Status
	had    chan struct{} // closed once a first configuration was taken
	cancel context.CancelFunc
	done   chan struct{} // closed when nobody is asked any more

	mu      sync.Mutex // comes before the core's lock
	set     *resource.Set
	catalog *catalog.Catalog
	node    *node             // nil: it is not up, and what was taken waits in
	early   []*catalog.Change // in their order
	counts  map[resource.Kind]int
	taken   int64 // changes in force, the first one included
	since   time.Time
	refused *refusedChange // the latest that was checked here
	sources []string
	turn    context.CancelFunc // ends the calls to the sources
	tuned   int                // resources by which the collector was tuned; 0: not yet
}

// refusedChange is a change that was not taken.
type refusedChange struct {
	At       time.Time `json:"at"`
	Version  string    `json:"version"`
	Resource string    `json:"resource,omitempty"` // at fault; empty: the change as a whole
	Field    string    `json:"field,omitempty"`
	Why      string    `json:"why"`
}

// newFollowed begins to ask the control processes that the configuration names, until close.
func newFollowed(cfg Config, log *slog.Logger) *followed {
	f := &followed{cfg: cfg, log: log, mark: fmt.Sprintf("%016x", rand.Uint64()), clock: cfg.newClock(), began: time.Now(), had: make(chan struct{}), done: make(chan struct{}),
		set: resource.NewSet(false), counts: map[resource.Kind]int{}, sources: cfg.Product.Control.Addresses}
	f.catalog = catalog.New(catalog.Options{Effects: cfg.effects(), Cells: cfg.Product.Cells != nil, Even: cfg.Product.Parts == "even"})
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	go f.follow(ctx)
	return f
}

// close ends the calls, and waits until no change is being taken any more.
func (f *followed) close() {
	f.cancel()
	<-f.done
}

// lock and unlock do nothing where nothing is followed.
func (f *followed) lock() {
	if f != nil {
		f.mu.Lock()
	}
}

func (f *followed) unlock() {
	if f != nil {
		f.mu.Unlock()
	}
}

// follow asks until ctx ends, and begins anew where SIGHUP named other control processes, or other settings may let in what was
// refused.
func (f *followed) follow(ctx context.Context) {
	defer close(f.done)
	for ctx.Err() == nil {
		turn, cancel := context.WithCancel(ctx)
		f.mu.Lock()
		f.turn = cancel
		o := follow.Options{Name: f.cfg.Name, Process: f.mark, Role: "node", Sources: f.sources, Set: f.set, Take: f.take, Log: f.log, Status: &f.status, Clock: f.clock}
		f.mu.Unlock()
		if f.cfg.follow != nil {
			f.cfg.follow(&o)
		}
		if err := follow.Run(turn, o); err != nil && turn.Err() == nil {
			f.log.Error("control is not followed any more", "err", err) // a mistake of ours: the node serves on with what it has
			<-turn.Done()
		}
		cancel()
	}
}

// take puts a delta in force, whole, or says why it does not and changes nothing. The follower has checked that it fits the set.
func (f *followed) take(d *resource.Delta) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	d = f.set.Difference(d) // of a whole one only what differs is touched
	change, err := f.catalog.Prepare(d)
	if err != nil {
		return f.refuse(d, err)
	}
	if f.cfg.prepared != nil {
		f.cfg.prepared()
	}
	f.enforce(change)
	f.catalog.Commit(change)
	f.count(d)
	if err := f.set.Apply(d); err != nil {
		return err // can't be: it was checked
	}
	f.tune()
	f.since = time.Now()
	if f.taken++; f.taken == 1 {
		close(f.had)
	}
	return nil
}

// enforce puts a checked change in force in one hold of the core's lock, or keeps it until there is a core. f.mu is held.
func (f *followed) enforce(c *catalog.Change) {
	if f.node == nil {
		f.early = append(f.early, c)
		return
	}
	f.node.core.Lock()
	defer f.node.core.Unlock()
	f.node.apply(c)
}

// tune tells the collector how large the live heap is by now. It is the process's, and is not touched before the first configuration
// is in force. f.mu is held.
func (f *followed) tune() {
	n := f.set.Len()
	if !f.cfg.process || f.node == nil || f.tuned > 0 && n < f.tuned*5/4+100 && n > f.tuned*3/4-100 {
		return
	}
	f.tuned = max(n, 1)
	debug.SetGCPercent(gcPercent(n))
}

// attach puts in force what was taken before there was a core. f.mu and the core's lock are held.
func (f *followed) attach(n *node) {
	if f == nil {
		return
	}
	for _, c := range f.early {
		n.apply(c)
	}
	f.node, f.early = n, nil
}

// settle lets go what the first configuration was made from, before clients come. It is called once, outside of all locks.
func (f *followed) settle() {
	if f == nil {
		return
	}
	debug.FreeOSMemory()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.tune()
}

// apply puts a checked change in force. The core's lock is held: a request looks up its route, contract and cell under it.
func (n *node) apply(c *catalog.Change) {
	n.core.Change(&c.Contracts)
	if n.routes != nil {
		n.routes.Change(&c.Routes)
	}
	if n.cells != nil {
		n.cells.Apply(&c.Tenants)
	}
}

// refuse notes that a change is not taken. f.mu is held.
func (f *followed) refuse(d *resource.Delta, err error) error {
	var r *resource.Refusal
	if !errors.As(err, &r) {
		return err // lost, doubled or made for another content: the follower asks anew
	}
	f.refused = &refusedChange{At: time.Now(), Version: d.To.String(), Field: r.Field, Why: r.Why}
	if r.Key != (resource.Key{}) {
		f.refused.Resource = r.Key.String()
	}
	return err
}

// count counts what there is by kind once a delta is in force. f.mu is held.
func (f *followed) count(d *resource.Delta) {
	if d.Whole() {
		clear(f.counts)
	}
	for _, r := range d.Put {
		if d.Whole() || !f.set.Has(r.Key) {
			f.counts[r.Kind]++
		}
	}
	for _, k := range d.Gone {
		if f.set.Has(k) {
			f.counts[k.Kind]--
		}
	}
}

// recheck holds what is in force against other settings, and returns what is to be compiled anew. An error says by resource and
// field what does not fit: then the settings are not taken. f.mu is held, until the change has been put in force and passed to
// renewed.
func (f *followed) recheck(cfg Config) (*catalog.Change, error) {
	if (cfg.Product == nil) || cfg.Product.Control == nil {
		return nil, errors.New("control: can't be taken out by a reload")
	}
	if (cfg.Product.Cells == nil) != (f.cfg.Product.Cells == nil) {
		return nil, errors.New("cells: can't be put in or taken out by a reload")
	}
	change, err := f.catalog.Recheck(cfg.effects())
	if err != nil {
		return nil, fmt.Errorf("settings: the configuration in force, %s, does not fit them: %w", f.set.Version(), err)
	}
	change.Contracts.Even = cfg.Product.Parts == "even"
	return change, nil
}

// renewed notes that other settings are in force. Calls are made anew, at once, where they go elsewhere, or where a version was
// refused by the settings before. f.mu is held.
func (f *followed) renewed(cfg Config, change *catalog.Change) {
	f.catalog.SetEven(change.Contracts.Even)
	f.catalog.Commit(change)
	elsewhere := !slices.Equal(f.sources, cfg.Product.Control.Addresses)
	if f.sources = cfg.Product.Control.Addresses; f.turn != nil && (elsewhere || !f.status.Read().Refused.IsZero()) {
		f.turn()
	}
}

// await waits for the first configuration. A file that is read again meanwhile counts: control may have another address, or the
// settings may be what it does not fit.
func (f *followed) await(ctx context.Context, cfg *Config, reload <-chan Change) error {
	for {
		select {
		case <-f.had:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		case change := <-reload:
			change.Taken <- f.reconsider(cfg, change.Config)
		}
	}
}

// reconsider takes in a file that was read again before there is a node.
func (f *followed) reconsider(cfg *Config, with Config) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	change, err := f.recheck(with)
	if err != nil {
		f.log.Error("the new configuration is bad; keeping the old one", "err", err)
		return err
	}
	f.enforce(change)
	f.renewed(with, change)
	cfg.Settings, cfg.Product, cfg.Discovery, cfg.file = with.Settings, with.Product, with.Discovery, with.file
	return nil
}

// missing says why there is no configuration yet; nil: there is one.
func (f *followed) missing() error {
	select {
	case <-f.had:
		return nil
	default:
	}
	s, why := f.status.Read(), "control has not answered"
	switch {
	case !s.Refused.IsZero():
		why = fmt.Sprintf("version %s is refused: %s", s.Refused, s.Why)
	case s.LastError != "":
		why = s.LastError
	}
	return fmt.Errorf("no configuration yet: %s; asked since %s, %d calls", why, f.began.UTC().Format(time.RFC3339), s.Calls)
}
