package node

import (
	"errors"
	"time"

	"portstall/internal/config"
	"portstall/internal/state"
	"portstall/internal/state/disk"
)

// savedTime is how long an operator's call waits for the disk to have it. It counts without that, too.
const persistTimeout = 300 * time.Millisecond

// keeping is the node's state on a disk that lasts. Its owner is the pair: whoever serves writes.
type keeping struct {
	settings config.State
	dir      *disk.Dir
	writer   *disk.Keeper
}

// recall reads what an earlier process of this node has kept; nil: nothing that can be used.
func (n *node) loadStoredState(set config.State) *state.Snapshot {
	s, _, wrong := disk.Read(set.Dir)
	for _, err := range wrong {
		n.log.Error("a kept state is not used", "err", err)
	}
	if s == nil {
		n.log.Info("starting without a kept state", "dir", set.Dir)
		return nil
	}
	n.log.Info("starting with a kept state", "dir", set.Dir, "age", (n.core.Now() - s.Taken).Round(time.Millisecond), "web servers", len(s.Servers),
		"out by hand", len(s.Out))
	s.Exact = false // it was cut off at some moment
	return s
}

// begin keeps the state from now on: this process serves. Another one that writes there is told of and left alone.
func (p *keeping) start(n *node) {
	if p == nil || p.dir != nil {
		return
	}
	var err error
	if p.dir, err = disk.Open(p.settings.Dir); err != nil {
		n.log.Error("the state is not kept", "err", err)
		return
	}
	p.writer = disk.Keep(p.dir, p.settings.Every, func() ([]byte, error) {
		n.core.Lock()
		s := n.snapshot(false)
		n.core.Unlock()
		return state.Encode(s())
	}, func(err error) {
		if err != nil {
			n.log.Error("the state can't be kept", "err", err)
		} else {
			n.log.Info("the state is kept again")
		}
	})
}

// end keeps it once more and leaves the directory to whoever serves next.
func (p *keeping) stop() {
	if p == nil || p.dir == nil {
		return
	}
	p.writer.Stop()
	p.dir.Close()
	p.dir, p.writer = nil, nil
}

// saved keeps the state at once: operators have said something.
func (n *node) saved() {
	n.pair.mu.Lock()
	var keeper *disk.Keeper
	if n.pair.persister != nil {
		keeper = n.pair.persister.writer
	}
	n.pair.mu.Unlock()
	if keeper == nil {
		return
	}
	if err := keeper.Now(persistTimeout); err != nil {
		n.log.Warn("the call is carried out; it is not sure that the disk has it", "err", errors.Unwrap(err))
	}
}
