package control

import (
	"context"
	"errors"
	"sync"
	"time"

	"portstall/internal/control/follow"
	"portstall/internal/resource"
	"portstall/internal/resource/catalog"
)

const (
	// peersTimeout is how long the writer waits for the snapshots of the other control processes.
	peersTimeout = 2 * time.Second
	// minEpochInterval is the least time between two epochs that begin because a caller had a later version.
	minEpochInterval = 5 * time.Second
)

// writer is the part of a control process that reads the configuration's files. mu is held during a whole reload and
// guards loader and catalog; statusMu guards the fields below it, so that a status does not wait for a reload.
type writer struct {
	mu      sync.Mutex
	loader  *Loader
	catalog *catalog.Catalog // decoded form of the resources in force

	statusMu     sync.Mutex
	lastError    string        // of the latest reload; empty: it succeeded
	readAt       time.Duration // Unix time of the latest reload; 0: none yet
	readDuration time.Duration // of the latest reload, with its checks
}

// newWriter returns a writer for the files at a path; it has read nothing yet.
func newWriter(path string) *writer { return &writer{loader: NewLoader(path), catalog: newCatalog()} }

// loadInitial reads the files for the first time. An error is a *FilesError.
func (w *writer) loadInitial() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	diff, err := w.loader.Load()
	if err != nil {
		return &FilesError{err}
	}
	change, err := w.catalog.Prepare(&resource.Delta{Put: diff.Put})
	if err != nil {
		return &FilesError{w.loader.withLocation(err)}
	}
	w.catalog.Commit(change)
	w.loader.Accept(diff)
	return nil
}

// runWriter reads the files, begins an epoch, and then applies changes until ctx ends.
func (s *server) runWriter(ctx context.Context) error {
	if err := s.writer.loadInitial(); err != nil {
		return err
	}
	if err := s.beginEpoch(ctx); err != nil {
		return err
	}
	last := s.Clock.Now()
	var ahead <-chan struct{} = s.newEpochWanted
	var epochDue <-chan time.Time
	var delay *time.Timer
	defer func() {
		if delay != nil {
			delay.Stop()
		}
	}()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.Reload:
			if _, err := s.reloadFiles(); err != nil {
				continue // reloadFiles has logged it
			}
		case <-ahead:
			delay = time.NewTimer(max(last+s.epochInterval-s.Clock.Now(), 0))
			ahead, epochDue = nil, delay.C
		case <-epochDue:
			ahead, epochDue = s.newEpochWanted, nil
			if err := s.beginEpoch(ctx); err != nil && ctx.Err() == nil {
				s.Log.Error("beginning an epoch past a caller's version failed", "err", err)
			}
			last = s.Clock.Now()
		}
	}
}

// beginEpoch asks the peers for their versions and begins an epoch past them, with the files' content as it was last
// accepted. It also returns nil where ctx has ended.
func (s *server) beginEpoch(ctx context.Context) error {
	known := s.peerSnapshots(ctx)
	if ctx.Err() != nil {
		return nil
	}
	s.writer.mu.Lock()
	defer s.writer.mu.Unlock()
	var d *resource.Delta
	all := s.writer.loader.All()
	err := s.publish(func(now time.Duration) (err error) {
		d, err = s.store.BeginEpoch(now, known, all)
		return err
	})
	if err != nil {
		return s.writer.loader.withLocation(err)
	}
	s.Log.Info("new epoch", "version", d.To, "base", d.From, "put", len(d.Put), "gone", len(d.Removed),
		"peers_replied", len(known))
	return nil
}

// peerSnapshots asks the other control processes for their snapshots, for peersTimeout at most. Those that have none,
// or do not reply, are skipped.
func (s *server) peerSnapshots(ctx context.Context) (known []*resource.Delta) {
	ctx, cancel := context.WithTimeout(ctx, peersTimeout)
	defer cancel()
	snapshots := make(chan *resource.Delta, len(s.Peers))
	for _, p := range s.Peers {
		go func() {
			c := follow.NewClient(s.Name, "control", s.Clock, &follow.Status{})
			defer c.Close()
			d, err := c.Get(ctx, p, &follow.Query{Timeout: peersTimeout})
			if err != nil {
				s.Log.Warn("no snapshot from a peer", "peer", p, "err", err)
				d = nil
			}
			snapshots <- d
		}()
	}
	for range s.Peers {
		d := <-snapshots
		if d == nil {
			continue
		}
		// An invalid snapshot from a peer must not keep the writer from beginning its epoch.
		if err := resource.NewSet(false).Check(d); err != nil || !d.IsSnapshot() {
			s.Log.Warn("skipping an invalid snapshot from a peer", "version", d.To, "err", err)
			continue
		}
		known = append(known, d)
	}
	return known
}

// ReloadResult is the result of a successful reload, the body of POST /v1/reload's response.
type ReloadResult struct {
	Version resource.Version `json:"version"` // version in force now
	Put     int              `json:"put"`     // resources that are new or have another spec
	Removed int              `json:"gone"`    // resources that were removed
	Changed bool             `json:"changed"` // whether there is a new version
}

// reloadFiles reads the files, checks their content, and makes a version where it has changed. After an error the
// version before stays in force. It records the outcome for the log and the status.
func (s *server) reloadFiles() (*ReloadResult, error) {
	w := s.writer
	w.mu.Lock()
	defer w.mu.Unlock()
	started := s.Clock.Now()
	r, err := s.applyFiles()
	if errors.Is(err, errNoConfiguration) {
		return nil, err
	}
	now := s.Clock.Now()
	s.counters.reloads.Add(1)
	w.statusMu.Lock()
	w.lastError, w.readAt, w.readDuration = "", now, now-started
	if err != nil {
		w.lastError = err.Error()
	}
	w.statusMu.Unlock()
	if err != nil {
		s.counters.badReloads.Add(1)
		s.Log.Error("reload failed; the version before stays in force", "err", err)
		return nil, err
	}
	s.Log.Info("files reloaded", "version", r.Version, "changed", r.Changed,
		"put", r.Put, "gone", r.Removed, "took", (now - started).String())
	return r, nil
}

// applyFiles does the work of reloadFiles. The caller holds writer.mu, so that nothing else changes the store meanwhile.
func (s *server) applyFiles() (*ReloadResult, error) {
	w := s.writer
	s.mu.Lock()
	version := s.store.Set().Version()
	s.mu.Unlock()
	if version.IsZero() {
		return nil, errNoConfiguration
	}
	diff, err := w.loader.Load()
	if err != nil {
		return nil, err
	}
	if len(diff.Put)+len(diff.Removed) == 0 {
		w.loader.Accept(diff)
		return &ReloadResult{Version: version}, nil
	}
	change, err := w.catalog.Prepare(&resource.Delta{Put: diff.Put, Removed: diff.Removed})
	if err != nil {
		return nil, w.loader.withLocation(err)
	}
	var d *resource.Delta
	if err := s.publish(func(now time.Duration) (err error) {
		d, err = s.store.Change(now, diff.Put, diff.Removed)
		return err
	}); err != nil {
		return nil, w.loader.withLocation(err)
	}
	w.catalog.Commit(change)
	w.loader.Accept(diff)
	if d == nil { // can't happen: the store's content is the loader's, so that what differs from one differs from the other
		return nil, errors.New("internal error: the files differ from those accepted but not from the version store")
	}
	return &ReloadResult{Version: d.To, Put: len(d.Put), Removed: len(d.Removed), Changed: true}, nil
}
