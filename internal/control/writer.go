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
	peersTime  = 2 * time.Second // for the other control processes' snapshots
	againLeast = 5 * time.Second // between two epochs that are begun because a caller had a later version
)

// writer is what a control process has that reads files.
type writer struct {
	mu      sync.Mutex // of a reading, whole
	source  *Source
	catalog *catalog.Catalog // what is in force, decoded

	state    sync.Mutex // guards the rest, which a reading does not hold for long
	lastErr  string
	failedAt time.Duration // Unix time; 0: the latest reading was good
	readAt   time.Duration
	took     time.Duration // by the latest reading and its check
}

func newWriter(path string) *writer { return &writer{source: NewSource(path), catalog: newCatalog()} }

// load reads the files a first time. An error is a *FilesError.
func (w *writer) load() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	r, err := w.source.Read()
	if err != nil {
		return &FilesError{err}
	}
	change, err := w.catalog.Prepare(&resource.Delta{Put: r.Put})
	if err != nil {
		return &FilesError{w.source.place(err)}
	}
	w.catalog.Commit(change)
	w.source.Accept(r)
	return nil
}

// write reads the files, begins an epoch, and then takes changes until ctx ends.
func (s *server) write(ctx context.Context) error {
	if err := s.writer.load(); err != nil {
		return err
	}
	if err := s.begin(ctx); err != nil {
		return err
	}
	last := s.Clock.Now()
	var ahead <-chan struct{} = s.ahead
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
			if _, err := s.reread(); err != nil {
				continue // logged
			}
		case <-ahead:
			rest = time.NewTimer(max(last+s.again-s.Clock.Now(), 0))
			ahead, later = nil, rest.C
		case <-later:
			ahead, later = s.ahead, nil
			if err := s.begin(ctx); err != nil && ctx.Err() == nil {
				s.Log.Error("no epoch past the one that a caller has", "err", err)
			}
			last = s.Clock.Now()
		}
	}
}

// begin asks the others what they have and begins an epoch past it, of what the files said last. It returns nil too where ctx has ended.
func (s *server) begin(ctx context.Context) error {
	known := s.peers(ctx)
	if ctx.Err() != nil {
		return nil
	}
	s.writer.mu.Lock()
	defer s.writer.mu.Unlock()
	var d *resource.Delta
	all := s.writer.source.All()
	err := s.publish(func(now time.Duration) (err error) {
		d, err = s.book.Begin(now, known, all)
		return err
	})
	if err != nil {
		return s.writer.source.place(err)
	}
	s.Log.Info("an epoch begins", "version", d.To, "base", d.From, "put", len(d.Put), "gone", len(d.Gone), "peers that answered", len(known))
	return nil
}

// peers asks the other control processes for what they have, for a bounded time. Those that have nothing, or do not answer, are passed over.
func (s *server) peers(ctx context.Context) (known []*resource.Delta) {
	ctx, cancel := context.WithTimeout(ctx, peersTime)
	defer cancel()
	got := make(chan *resource.Delta, len(s.Peers))
	for _, p := range s.Peers {
		go func() {
			c := follow.NewClient(s.Name, "control", s.Clock, &follow.Status{})
			defer c.Close()
			d, err := c.Get(ctx, p, &follow.Query{Limit: peersTime})
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
func (s *server) reread() (*Reloaded, error) {
	w := s.writer
	w.mu.Lock()
	defer w.mu.Unlock()
	begun := s.Clock.Now()
	r, err := s.take()
	if errors.Is(err, errNothing) {
		return nil, err
	}
	now := s.Clock.Now()
	s.counts.reloads.Add(1)
	w.state.Lock()
	w.lastErr, w.failedAt, w.readAt, w.took = "", 0, now, now-begun
	if err != nil {
		w.lastErr, w.failedAt = err.Error(), now
	}
	w.state.Unlock()
	if err != nil {
		s.counts.badReloads.Add(1)
		s.Log.Error("the files are bad; the version before stays in force", "err", err)
		return nil, err
	}
	s.Log.Info("the files were read", "version", r.Version, "changed", r.Changed, "put", r.Put, "gone", r.Gone, "took", (now - begun).String())
	return r, nil
}

// take is reread without its account. The writer's lock is held, so that the book does not change but here.
func (s *server) take() (*Reloaded, error) {
	w := s.writer
	s.mu.Lock()
	version := s.book.Set().Version()
	s.mu.Unlock()
	if version.IsZero() {
		return nil, errNothing
	}
	r, err := w.source.Read()
	if err != nil {
		return nil, err
	}
	if len(r.Put)+len(r.Gone) == 0 {
		w.source.Accept(r)
		return &Reloaded{Version: version}, nil
	}
	change, err := w.catalog.Prepare(&resource.Delta{Put: r.Put, Gone: r.Gone})
	if err != nil {
		return nil, w.source.place(err)
	}
	var d *resource.Delta
	if err := s.publish(func(now time.Duration) (err error) {
		d, err = s.book.Change(now, r.Put, r.Gone)
		return err
	}); err != nil {
		return nil, w.source.place(err)
	}
	w.catalog.Commit(change)
	w.source.Accept(r)
	if d == nil { // the book's content is the source's, so that it has changed too
		return nil, errors.New("a change that changes nothing")
	}
	return &Reloaded{Version: d.To, Put: len(d.Put), Gone: len(d.Gone), Changed: true}, nil
}
