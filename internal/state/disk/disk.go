// Package disk stores a node's state in a directory on a persistent disk. There are two files, and a write replaces the
// older one: if the write breaks off, the other file is still complete. Reading returns the newer valid one.
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

// slotNames are the names of the two files of a directory.
var slotNames = [...]string{"state.a", "state.b"}

// ErrLocked reports that another process writes to the directory.
var ErrLocked = errors.New("another process stores its state there")

// file is a file that is written to. Tests replace it.
type file interface {
	io.Writer
	Sync() error
	Close() error
}

// Dir is a directory to which only this process writes, as it holds the lock. Not safe for concurrent use.
type Dir struct {
	path string
	lock *os.File
	next int // index of the slot that the next write replaces
	open func(name string) (file, error)
}

// Open locks an existing directory for this process. It returns ErrLocked while another process that has opened it is
// running.
func Open(path string) (*Dir, error) {
	lock, err := os.OpenFile(filepath.Join(path, "lock"), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, fmt.Errorf("state: %w", err)
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		lock.Close()
		if errors.Is(err, syscall.EWOULDBLOCK) {
			err = ErrLocked
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

// Write stores an encoded snapshot and returns once it is synced to the disk. After an error the previous state is
// still stored.
func (d *Dir) Write(text []byte) error {
	name := filepath.Join(d.path, slotNames[d.next])
	f, err := d.open(name)
	if err != nil {
		return fmt.Errorf("state: %w", err)
	}
	_, err = f.Write(text)
	if err == nil {
		err = f.Sync()
	}
	if err = errors.Join(err, f.Close()); err != nil {
		return fmt.Errorf("state: %s: %w", name, err) // next is not changed: the other slot is valid
	}
	d.next = 1 - d.next
	return nil
}

// Close unlocks the directory for other processes.
func (d *Dir) Close() error { return d.lock.Close() }

// Read returns the newer valid snapshot of a directory and the index of its slot, or nil and -1. The errors are those
// of existing files that are not valid.
func Read(path string) (s *state.Snapshot, slot int, invalid []error) {
	slot = -1
	for i, name := range slotNames {
		got, err := ReadFile(filepath.Join(path, name))
		switch {
		case errors.Is(err, os.ErrNotExist):
		case err != nil:
			invalid = append(invalid, err)
		case s == nil || got.Taken > s.Taken:
			s, slot = got, i
		}
	}
	return s, slot, invalid
}

// ReadFile returns the snapshot in a file.
func ReadFile(name string) (*state.Snapshot, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, fmt.Errorf("state: %w", err)
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, state.MaxLen+1<<10))
	if err != nil {
		return nil, fmt.Errorf("state: %w", err)
	}
	s, err := state.Decode(text)
	if err != nil {
		return nil, fmt.Errorf("state: %s: %w", name, err)
	}
	return s, nil
}

// Persister writes the state of a node periodically in its own goroutine, so that a slow or full disk blocks nothing
// else. It owns the Dir until Stop. Its methods are safe for concurrent use.
type Persister struct {
	dir           *Dir
	interval      time.Duration
	encode        func() ([]byte, error)
	notify        func(error) // called when writing begins to fail, and with nil when it works again
	writeRequests chan chan error
	stop          chan struct{}
	done          chan struct{}
}

// StartPersister writes what encode returns at each interval until Stop. Both functions are called in the Persister's
// goroutine.
func StartPersister(dir *Dir, interval time.Duration, encode func() ([]byte, error), notify func(error)) *Persister {
	p := &Persister{dir: dir, interval: interval, encode: encode, notify: notify, writeRequests: make(chan chan error),
		stop: make(chan struct{}), done: make(chan struct{})}
	go p.run()
	return p
}

func (p *Persister) run() {
	defer close(p.done)
	var failed error
	delay := p.interval
	for {
		t := time.NewTimer(delay)
		var reply chan error
		last := false
		select {
		case <-t.C:
		case reply = <-p.writeRequests:
		case <-p.stop:
			last = true
		}
		t.Stop()
		text, err := p.encode()
		if err == nil {
			err = p.dir.Write(text)
		}
		if (err == nil) != (failed == nil) {
			p.notify(err)
		}
		if failed = err; err != nil {
			delay = min(2*delay, time.Minute) // write to a full disk less and less often, down to once a minute
		} else {
			delay = p.interval
		}
		if reply != nil {
			reply <- err
		}
		if last {
			return
		}
	}
}

// WriteNow writes at once and waits for the write, for the given time at most. After an error the state may not be
// stored.
func (p *Persister) WriteNow(wait time.Duration) error {
	reply, t := make(chan error, 1), time.NewTimer(wait)
	defer t.Stop()
	select {
	case p.writeRequests <- reply:
	case <-p.done:
		return os.ErrClosed
	case <-t.C:
		return os.ErrDeadlineExceeded
	}
	select {
	case err := <-reply:
		return err
	case <-t.C:
		return os.ErrDeadlineExceeded
	}
}

// Stop writes a last time and returns when that has ended.
func (p *Persister) Stop() {
	close(p.stop)
	<-p.done
}
