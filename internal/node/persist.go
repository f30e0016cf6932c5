package node

import (
	"errors"
	"time"

	"portstall/internal/config"
	"portstall/internal/state"
	"portstall/internal/state/disk"
)

// persistTimeout is how long an operator's call waits until the disk has it. The call takes effect without that, too.
const persistTimeout = 300 * time.Millisecond

// persister stores the node's state on a persistent disk. The handoverController owns it and guards it by its mu: the
// process that serves writes.
type persister struct {
	settings config.State
	dir      *disk.Dir
	writer   *disk.Persister
}

// loadStoredState reads the state that an earlier process of this node has stored. It returns nil if there is none that
// can be used.
func (n *node) loadStoredState(set config.State) *state.Snapshot {
	s, _, unusable := disk.Read(set.Dir)
	for _, err := range unusable {
		n.log.Error("stored state not used", "err", err)
	}
	if s == nil {
		n.log.Info("starting without a stored state", "dir", set.Dir)
		return nil
	}
	n.log.Info("starting with a stored state", "dir", set.Dir, "age", (n.core.Now() - s.Taken).Round(time.Millisecond), "web_servers", len(s.Servers),
		"disabled_by_operator", len(s.Disabled))
	s.Exact = false // it was taken at some moment before the process ended
	return s
}

// start stores the state from now on, as this process serves. If another process writes to the directory, that is
// logged, and the directory is left alone.
func (p *persister) start(n *node) {
	if p == nil || p.dir != nil {
		return
	}
	var err error
	if p.dir, err = disk.Open(p.settings.Dir); err != nil {
		n.log.Error("the state is not stored", "err", err)
		return
	}
	p.writer = disk.StartPersister(p.dir, p.settings.Every, func() ([]byte, error) {
		n.core.Lock()
		s := n.snapshot(false)
		n.core.Unlock()
		return state.Encode(s())
	}, func(err error) {
		if err != nil {
			n.log.Error("cannot store the state", "err", err)
		} else {
			n.log.Info("the state is stored again")
		}
	})
}

// stop stores the state once more and leaves the directory to the process that serves next.
func (p *persister) stop() {
	if p == nil || p.dir == nil {
		return
	}
	p.writer.Stop()
	p.dir.Close()
	p.dir, p.writer = nil, nil
}

// persistNow stores the state at once, after an operator's call.
func (n *node) persistNow() {
	n.handover.mu.Lock()
	var writer *disk.Persister
	if n.handover.persister != nil {
		writer = n.handover.persister.writer
	}
	n.handover.mu.Unlock()
	if writer == nil {
		return
	}
	if err := writer.WriteNow(persistTimeout); err != nil {
		n.log.Warn("the call took effect, but may not have reached the disk", "err", errors.Unwrap(err))
	}
}
