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
	peersTimeout     = 2 * time.Second // for the other control processes' snapshots
	minEpochInterval = 5 * time.Second // between two epochs that are begun because a caller had a later version
)

// writer is what a control process has that reads files.
type writer struct {
	mu      sync.Mutex // of a reading, whole
	loader  *Loader
	catalog *catalog.Catalog // what is in force, decoded

	statusMu     sync.Mutex // guards the rest, which a reading does not hold for long
	lastError    string
	failedAt     time.Duration // Unix time; 0: the latest reading was good
	readAt       time.Duration
	readDuration time.Duration // by the latest reading and its check
}

func newWriter(path string) *writer { return &writer{loader: NewSource(path), catalog: newCatalog()} }

// load reads the files a first time. An error is a *FilesError.
func (w *writer) loadInitial() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	r, err := w.loader.Read()
	if err != nil {
		return &FilesError{err}
	}
	change, err := w.catalog.Prepare(&resource.Delta{Put: r.Put})
	if err != nil {
		return &FilesError{w.loader.withLocation(err)}
	}
	w.catalog.Commit(change)
	w.loader.Accept(r)
	return nil
}

// write reads the files, begins an epoch, and then takes changes until ctx ends.
func (s *server) runWriter(ctx context.Context) error {
	if err := s.writer.loadInitial(); err != nil {
		return err
	}
	if err := s.beginEpoch(ctx); err != nil {
		return err
	}
	last := s.Clock.Now()
	var ahead <-chan struct{} = s.newEpochWanted
	var later <-chan time.Time
	var rest *time.Timer
	defer func() {
		if rest != nil {
			rest.Stop()
		}
	}()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.Reload:
			if _, err := s.reloadFiles(); err != nil {
				continue // logged
			}
		case <-ahead:
			rest = time.NewTimer(max(last+s.epochInterval-s.Clock.Now(), 0))
			ahead, later = nil, rest.C
		case <-later:
			ahead, later = s.newEpochWanted, nil
			if err := s.beginEpoch(ctx); err != nil && ctx.Err() == nil {
				s.Log.Error("no epoch past the one that a caller has", "err", err)
			}
			last = s.Clock.Now()
		}
	}
}

// begin asks the others what they have and begins an epoch past it, of what the files said last. It returns nil too where ctx has ended.
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
	s.Log.Info("an epoch begins", "version", d.To, "base", d.From, "put", len(d.Put), "gone", len(d.Gone), "peers that answered", len(known))
	return nil
}

// peers asks the other control processes for what they have, for a bounded time. Those that have nothing, or do not answer, are passed over.
func (s *server) peerSnapshots(ctx context.Context) (known []*resource.Delta) {
	ctx, cancel := context.WithTimeout(ctx, peersTimeout)
	defer cancel()
	got := make(chan *resource.Delta, len(s.Peers))
	for _, p := range s.Peers {
		go func() {
			c := follow.NewClient(s.Name, "control", s.Clock, &follow.Status{})
			defer c.Close()
			d, err := c.Get(ctx, p, &follow.Query{Limit: peersTimeout})
			if err != nil {
				s.Log.Warn("a peer tells nothing", "peer", p, "err", err)
				d = nil
			}
			got <- d
		}()
	}
	for range s.Peers {
		d := <-got
		if d == nil {
			continue
		}
		// One that lies must not keep the writer from beginning.
		if err := resource.NewSet(false).Check(d); err != nil || !d.Whole() {
			s.Log.Warn("a peer's snapshot is passed over", "version", d.To, "err", err)
			continue
		}
		known = append(known, d)
	}
	return known
}

// Reloaded is what a reading of the files came to.
type Reloaded struct {
	Version resource.Version `json:"version"` // in force
	Put     int              `json:"put"`     // resources that are new or other ones
	Gone    int              `json:"gone"`
	Changed bool             `json:"changed"` // a version was numbered
}

// reread reads the files, checks all that they say, and numbers a version where it is another one. After an error all stays as it is.
func (s *server) reloadFiles() (*Reloaded, error) {
	w := s.writer
	w.mu.Lock()
	defer w.mu.Unlock()
	begun := s.Clock.Now()
	r, err := s.applyFiles()
	if errors.Is(err, errNoConfiguration) {
		return nil, err
	}
	now := s.Clock.Now()
	s.counters.reloads.Add(1)
	w.statusMu.Lock()
	w.lastError, w.failedAt, w.readAt, w.readDuration = "", 0, now, now-begun
	if err != nil {
		w.lastError, w.failedAt = err.Error(), now
	}
	w.statusMu.Unlock()
	if err != nil {
		s.counters.badReloads.Add(1)
		s.Log.Error("the files are bad; the version before stays in force", "err", err)
		return nil, err
	}
	s.Log.Info("the files were read", "version", r.Version, "changed", r.Changed, "put", r.Put, "gone", r.Gone, "took", (now - begun).String())
	return r, nil
}

// take is reread without its account. The writer's lock is held, so that the book does not change but here.
func (s *server) applyFiles() (*Reloaded, error) {
	w := s.writer
	s.mu.Lock()
	version := s.store.Set().Version()
	s.mu.Unlock()
	if version.IsZero() {
		return nil, errNoConfiguration
	}
	r, err := w.loader.Read()
	if err != nil {
		return nil, err
	}
	if len(r.Put)+len(r.Gone) == 0 {
		w.loader.Accept(r)
		return &Reloaded{Version: version}, nil
	}
	change, err := w.catalog.Prepare(&resource.Delta{Put: r.Put, Gone: r.Gone})
	if err != nil {
		return nil, w.loader.withLocation(err)
	}
	var d *resource.Delta
	if err := s.publish(func(now time.Duration) (err error) {
		d, err = s.store.Change(now, r.Put, r.Gone)
		return err
	}); err != nil {
		return nil, w.loader.withLocation(err)
	}
	w.catalog.Commit(change)
	w.loader.Accept(r)
	if d == nil { // the book's content is the source's, so that it has changed too
		return nil, errors.New("a change that changes nothing")
	}
	return &Reloaded{Version: d.To, Put: len(d.Put), Gone: len(d.Gone), Changed: true}, nil
}
