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
	initialGCPercent = 50      // percent, while the first configuration is read
	maxGCPercent     = 400     // percent, with few resources, as in a node without control
	minGCPercent     = 50      // percent, with many resources
	baseHeap         = 4 << 20 // approximate bytes of live heap in a node without resources
	heapPerResource  = 900     // approximate bytes of live heap per resource, at 21,051 resources
)

// gcPercent returns how much garbage may accumulate before the next collection, as a percentage of the live heap. With
// few resources it is that of a node without control. With more it falls, so that the garbage stays about the same and
// the resident set grows with the live heap alone.
func gcPercent(resources int) int {
	return max(minGCPercent, min(maxGCPercent, maxGCPercent*baseHeap/(baseHeap+heapPerResource*resources)))
}

// configFollower holds the part of a node's configuration that control provides: services, routes, contracts and pinned
// tenants. What changes it, deltas and SIGHUP, is handled one after the other under mu, and applied within one hold of
// the core's lock.
type configFollower struct {
	cfg          Config // the configuration at the start
	log          *slog.Logger
	processID    string // identifies this process to control: another process of the node may have the same name
	clock        core.Clock
	startedAt    time.Time
	status       follow.Status
	firstApplied chan struct{} // closed once a first configuration was accepted
	cancel       context.CancelFunc
	done         chan struct{} // closed once no calls are made any more

	mu             sync.Mutex // locked before the core's lock; guards the fields below
	set            *resource.Set
	catalog        *catalog.Catalog
	node           *node             // nil until the node is up; until then accepted changes wait in pending
	pending        []*catalog.Change // in the order of their acceptance
	counts         map[resource.Kind]int
	changesApplied int64 // changes applied since the start, the first configuration included
	appliedAt      time.Time
	lastRefusal    *refusedChange // the latest change that was checked here and refused
	sources        []string
	cancelCalls    context.CancelFunc // ends the calls to the sources
	tunedResources int                // number of resources by which the garbage collector was last tuned; 0: not yet
}

// refusedChange is a change of the configuration that was refused.
type refusedChange struct {
	At       time.Time `json:"at"`
	Version  string    `json:"version"`
	Resource string    `json:"resource,omitempty"` // the resource at fault; empty: the change as a whole
	Field    string    `json:"field,omitempty"`
	Why      string    `json:"why"`
}

// newConfigFollower starts to follow the control processes that the configuration names, until close.
func newConfigFollower(cfg Config, log *slog.Logger) *configFollower {
	f := &configFollower{cfg: cfg, log: log, processID: fmt.Sprintf("%016x", rand.Uint64()), clock: cfg.newClock(), startedAt: time.Now(), firstApplied: make(chan struct{}), done: make(chan struct{}),
		set: resource.NewSet(false), counts: map[resource.Kind]int{}, sources: cfg.Product.Control.Addresses}
	f.catalog = catalog.New(catalog.Options{Effects: cfg.classEffects(), Cells: cfg.Product.Cells != nil, EvenShares: cfg.Product.Parts == "even"})
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	go f.run(ctx)
	return f
}

// close ends the calls to control, and waits until no change is being applied.
func (f *configFollower) close() {
	f.cancel()
	<-f.done
}

// lock locks f. Without a follower (f is nil) it does nothing.
func (f *configFollower) lock() {
	if f != nil {
		f.mu.Lock()
	}
}

// unlock unlocks f. Without a follower (f is nil) it does nothing.
func (f *configFollower) unlock() {
	if f != nil {
		f.mu.Unlock()
	}
}

// run follows control until ctx ends. It starts the calls again where SIGHUP named other control processes, or where
// other settings may admit a version that was refused.
func (f *configFollower) run(ctx context.Context) {
	defer close(f.done)
	for ctx.Err() == nil {
		callCtx, cancel := context.WithCancel(ctx)
		f.mu.Lock()
		f.cancelCalls = cancel
		options := follow.Options{Name: f.cfg.Name, Process: f.processID, Role: "node", Sources: f.sources, Set: f.set, Apply: f.applyDelta, Log: f.log, Status: &f.status, Clock: f.clock}
		f.mu.Unlock()
		if f.cfg.adjustFollow != nil {
			f.cfg.adjustFollow(&options)
		}
		if err := follow.Run(callCtx, options); err != nil && callCtx.Err() == nil {
			f.log.Error("following control has stopped", "err", err) // a bug: the node goes on serving with its configuration
			<-callCtx.Done()
		}
		cancel()
	}
}

// applyDelta applies a delta completely, or returns why it can't and changes nothing. The caller has checked that the
// delta continues the set.
func (f *configFollower) applyDelta(delta *resource.Delta) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	delta = f.set.Difference(delta) // of a full snapshot only the differences are touched
	change, err := f.catalog.Prepare(delta)
	if err != nil {
		return f.recordRefusal(delta, err)
	}
	if f.cfg.onPrepared != nil {
		f.cfg.onPrepared()
	}
	f.applyOrQueue(change)
	f.catalog.Commit(change)
	f.updateCounts(delta)
	if err := f.set.Apply(delta); err != nil {
		return err // can't happen: the delta was checked above
	}
	f.tuneGC()
	f.appliedAt = time.Now()
	if f.changesApplied++; f.changesApplied == 1 {
		close(f.firstApplied)
	}
	return nil
}

// applyOrQueue applies a checked change within one hold of the core's lock, or queues it until the node is up. f.mu is
// held.
func (f *configFollower) applyOrQueue(c *catalog.Change) {
	if f.node == nil {
		f.pending = append(f.pending, c)
		return
	}
	f.node.core.Lock()
	defer f.node.core.Unlock()
	f.node.applyCatalogChange(c)
}

// tuneGC sets the garbage collector's target for the current number of resources. The target is the process's, and is
// left alone before the first configuration is in force. f.mu is held.
func (f *configFollower) tuneGC() {
	n := f.set.Len()
	if !f.cfg.ownsProcess || f.node == nil || f.tunedResources > 0 && n < f.tunedResources*5/4+100 && n > f.tunedResources*3/4-100 {
		return
	}
	f.tunedResources = max(n, 1)
	debug.SetGCPercent(gcPercent(n))
}

// attach connects the node and applies the changes that were accepted before it was up. f.mu and the core's lock are
// held.
func (f *configFollower) attach(n *node) {
	if f == nil {
		return
	}
	for _, c := range f.pending {
		n.applyCatalogChange(c)
	}
	f.node, f.pending = n, nil
}

// freeStartupMemory frees what the first configuration was decoded from, before clients come. It is called once, with
// no lock held.
func (f *configFollower) freeStartupMemory() {
	if f == nil {
		return
	}
	debug.FreeOSMemory()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.tuneGC()
}

// applyCatalogChange applies a checked change. The core's lock is held: requests look up their route, contract and cell
// under it.
func (n *node) applyCatalogChange(c *catalog.Change) {
	n.core.ChangeContracts(&c.Contracts)
	if n.tunnelRoutes != nil {
		n.tunnelRoutes.ApplyChange(&c.Routes)
	}
	if n.cells != nil {
		n.cells.Apply(&c.Tenants)
	}
}

// recordRefusal records that a change was refused, and returns err. f.mu is held.
func (f *configFollower) recordRefusal(delta *resource.Delta, err error) error {
	var refusal *resource.Refusal
	if !errors.As(err, &refusal) {
		return err // lost, repeated or made for another content: the follower asks again
	}
	f.lastRefusal = &refusedChange{At: time.Now(), Version: delta.To.String(), Field: refusal.Field, Why: refusal.Reason}
	if refusal.Key != (resource.Key{}) {
		f.lastRefusal.Resource = refusal.Key.String()
	}
	return err
}

// updateCounts updates the counts by kind for a delta that is about to be stored in the set. f.mu is held.
func (f *configFollower) updateCounts(delta *resource.Delta) {
	if delta.IsSnapshot() {
		clear(f.counts)
	}
	for _, added := range delta.Put {
		if delta.IsSnapshot() || !f.set.Has(added.Key) {
			f.counts[added.Kind]++
		}
	}
	for _, key := range delta.Removed {
		if f.set.Has(key) {
			f.counts[key.Kind]--
		}
	}
}

// recheck checks the configuration in force against other settings, and returns what must be compiled again. An error
// names the resource and field that do not fit: then the settings are not accepted. f.mu is held until the change has
// been applied and passed to commitReload.
func (f *configFollower) recheck(cfg Config) (*catalog.Change, error) {
	if (cfg.Product == nil) || cfg.Product.Control == nil {
		return nil, errors.New("control: can't be removed by a reload")
	}
	if (cfg.Product.Cells == nil) != (f.cfg.Product.Cells == nil) {
		return nil, errors.New("cells: can't be added or removed by a reload")
	}
	change, err := f.catalog.Recheck(cfg.classEffects())
	if err != nil {
		return nil, fmt.Errorf("settings: incompatible with configuration %s in force: %w", f.set.Version(), err)
	}
	change.Contracts.EvenShares = cfg.Product.Parts == "even"
	return change, nil
}

// commitReload records that other settings are in force. The calls are restarted at once where the sources have
// changed, or where a version was refused under the previous settings. f.mu is held.
func (f *configFollower) commitReload(cfg Config, change *catalog.Change) {
	f.catalog.SetEvenShares(change.Contracts.EvenShares)
	f.catalog.Commit(change)
	sourcesChanged := !slices.Equal(f.sources, cfg.Product.Control.Addresses)
	if f.sources = cfg.Product.Control.Addresses; f.cancelCalls != nil && (sourcesChanged || !f.status.Read().Refused.IsZero()) {
		f.cancelCalls()
	}
}

// await waits for the first configuration. A file that is read again in the meantime is applied: it may name another
// address of control, or settings that the configuration fits.
func (f *configFollower) await(ctx context.Context, cfg *Config, reload <-chan Change) error {
	for {
		select {
		case <-f.firstApplied:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		case change := <-reload:
			change.Applied <- f.reloadBeforeStart(cfg, change.Config)
		}
	}
}

// reloadBeforeStart applies a file that was read again before the node is up.
func (f *configFollower) reloadBeforeStart(cfg *Config, next Config) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	change, err := f.recheck(next)
	if err != nil {
		f.log.Error("new configuration rejected; keeping the old one", "err", err)
		return err
	}
	f.applyOrQueue(change)
	f.commitReload(next, change)
	cfg.Settings, cfg.Product, cfg.Discovery, cfg.rawFile = next.Settings, next.Product, next.Discovery, next.rawFile
	return nil
}

// missingConfiguration returns an error that says why there is no configuration yet, or nil where there is one.
func (f *configFollower) missingConfiguration() error {
	select {
	case <-f.firstApplied:
		return nil
	default:
	}
	status, reason := f.status.Read(), "control has not replied"
	switch {
	case !status.Refused.IsZero():
		reason = fmt.Sprintf("version %s is refused: %s", status.Refused, status.Reason)
	case status.LastError != "":
		reason = status.LastError
	}
	return fmt.Errorf("no configuration yet: %s; asked since %s, %d calls", reason, f.startedAt.UTC().Format(time.RFC3339), status.Calls)
}
