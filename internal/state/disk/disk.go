// Package disk keeps a node's state in a directory of a disk that lasts. There are two files, of which the older one is written
// over: whatever breaks off in a write, the other is whole. What was read is the newer one that is sound.
package disk

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"portstall/internal/state"
)

// slots are the two files of a directory.
var slots = [...]string{"state.a", "state.b"}

// ErrTaken says that another process writes to the directory.
var ErrTaken = errors.New("another process keeps its state there")

// file is what is written to.
type file interface {
	io.Writer
	Sync() error
	Close() error
}

// Dir is a directory that this process alone writes to. Not safe for concurrent use.
type Dir struct {
	path string
	lock *os.File
	next int // the slot that is written over
	open func(name string) (file, error)
}

// Open takes a directory, which must be there. ErrTaken: another process has it, for as long as that lives.
func Open(path string) (*Dir, error) {
	lock, err := os.OpenFile(filepath.Join(path, "lock"), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, fmt.Errorf("state: %w", err)
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		lock.Close()
		if errors.Is(err, syscall.EWOULDBLOCK) {
			err = ErrTaken
		}
		return nil, fmt.Errorf("state: %s: %w", path, err)
	}
	d := &Dir{path: path, lock: lock, open: func(name string) (file, error) {
		return os.OpenFile(name, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
	}}
	if _, newer, _ := Read(path); newer >= 0 {
		d.next = 1 - newer
	}
	return d, nil
}

// Write keeps a snapshot as text, and returns once the disk has it. After an error the state from before is still there.
func (d *Dir) Write(text []byte) error {
	name := filepath.Join(d.path, slots[d.next])
	f, err := d.open(name)
	if err != nil {
		return fmt.Errorf("state: %w", err)
	}
	_, err = f.Write(text)
	if err == nil {
		err = f.Sync()
	}
	if err = errors.Join(err, f.Close()); err != nil {
		return fmt.Errorf("state: %s: %w", name, err) // the same slot is next: the other one is good
	}
	d.next = 1 - d.next
	return nil
}

// Close lets another process have the directory.
func (d *Dir) Close() error { return d.lock.Close() }

// Read returns the newer sound snapshot of a directory and its slot, or nil and -1; and what is wrong with each file that is
// there and not sound.
func Read(path string) (s *state.Snapshot, slot int, wrong []error) {
	slot = -1
	for i, name := range slots {
		got, err := ReadFile(filepath.Join(path, name))
		switch {
		case errors.Is(err, os.ErrNotExist):
		case err != nil:
			wrong = append(wrong, err)
		case s == nil || got.Taken > s.Taken:
			s, slot = got, i
		}
	}
	return s, slot, wrong
}

// ReadFile reads one file.
func ReadFile(name string) (*state.Snapshot, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, fmt.Errorf("state: %w", err)
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, state.MostLen+1<<10))
	if err != nil {
		return nil, fmt.Errorf("state: %w", err)
	}
	s, err := state.Decode(text)
	if err != nil {
		return nil, fmt.Errorf("state: %s: %w", name, err)
	}
	return s, nil
}

// Keeper writes what a node knows again and again, in a goroutine of its own: a disk that is slow or full holds up nobody. Its
// methods are safe for concurrent use.
type Keeper struct {
	dir   *Dir
	every time.Duration
	take  func() ([]byte, error)
	told  func(error) // each change between working and not
	now   chan chan error
	quit  chan struct{}
	done  chan struct{}
}

// Keep writes what take returns, which is called in the keeper's goroutine, every so often until Stop.
func Keep(dir *Dir, every time.Duration, take func() ([]byte, error), told func(error)) *Keeper {
	k := &Keeper{dir: dir, every: every, take: take, told: told, now: make(chan chan error), quit: make(chan struct{}), done: make(chan struct{})}
	go k.run()
	return k
}

func (k *Keeper) run() {
	defer close(k.done)
	var failed error
	rest := k.every
	for {
		t := time.NewTimer(rest)
		var asked chan error
		quit := false
		select {
		case <-t.C:
		case asked = <-k.now:
		case <-k.quit:
			quit = true
		}
		t.Stop()
		text, err := k.take()
		if err == nil {
			err = k.dir.Write(text)
		}
		if (err == nil) != (failed == nil) {
			k.told(err)
		}
		if failed = err; err != nil {
			rest = min(2*rest, time.Minute) // a full disk is not asked again and again
		} else {
			rest = k.every
		}
		if asked != nil {
			asked <- err
		}
		if quit {
			return
		}
	}
}

// Now writes at once, and waits for that for so long at most. An error tells that it is not sure to be kept.
func (k *Keeper) Now(wait time.Duration) error {
	asked, t := make(chan error, 1), time.NewTimer(wait)
	defer t.Stop()
	select {
	case k.now <- asked:
	case <-k.done:
		return os.ErrClosed
	case <-t.C:
		return os.ErrDeadlineExceeded
	}
	select {
	case err := <-asked:
		return err
	case <-t.C:
		return os.ErrDeadlineExceeded
	}
}

// Stop writes once more, and returns when that is over.
func (k *Keeper) Stop() {
	close(k.quit)
	<-k.done
}
