package disk

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"portstall/internal/state"
)

// encodedState returns a snapshot whose list version, and whose servers' start times, are the given number.
func encodedState(t *testing.T, version int64) []byte {
	t.Helper()
	s := &state.Snapshot{Taken: time.Duration(version) * time.Second, ListVersion: version}
	for i := range 20 {
		s.Servers = append(s.Servers, state.Server{ID: fmt.Sprint("s-", i), Addr: "127.0.0.1:1", State: "Ready", StartedMS: version})
	}
	b, err := state.Encode(s)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// mustOpen opens a directory until the end of the test.
func mustOpen(t *testing.T, path string) *Dir {
	t.Helper()
	d, err := Open(path)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { d.Close() })
	return d
}

// readVersion returns the number that the newer valid snapshot was written with, or 0 without one. A mix of two
// snapshots fails the test.
func readVersion(t *testing.T, path string) int64 {
	t.Helper()
	s, _, _ := Read(path)
	if s == nil {
		return 0
	}
	for _, v := range s.Servers {
		if v.StartedMS != s.ListVersion || len(s.Servers) != 20 {
			t.Fatalf("the state mixes versions %d and %d", s.ListVersion, v.StartedMS)
		}
	}
	return s.ListVersion
}

// tornFile is a file on which writing breaks off after a number of bytes, as on a full disk or in a crash.
type tornFile struct {
	*os.File
	left int // bytes that can still be written
}

func (f *tornFile) Write(p []byte) (int, error) {
	n, err := f.File.Write(p[:min(len(p), f.left)])
	if f.left -= n; err == nil && n < len(p) {
		err = syscall.ENOSPC
	}
	return n, err
}

// A full disk or a crash breaks off a write at any byte, and after a crash unsynced bytes may be lost or mixed with
// older ones. In each of a thousand cases at random positions, the old or the new state must be read completely, and
// the next write must work.
func TestBrokenWriteKeepsOldState(t *testing.T) {
	rng := rand.New(rand.NewPCG(18, 0))
	path := t.TempDir()
	d := mustOpen(t, path)
	last := int64(0)
	for point := range 1000 {
		newState := encodedState(t, int64(point)+1)
		name := filepath.Join(path, slotNames[d.next])
		oldBytes, _ := os.ReadFile(name)
		cutAt := rng.IntN(len(newState) + 1)
		d.open = func(name string) (file, error) {
			f, err := os.OpenFile(name, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
			return &tornFile{f, cutAt}, err
		}
		err := d.Write(newState)
		if complete := err == nil; complete != (cutAt == len(newState)) || !complete && !errors.Is(err, syscall.ENOSPC) {
			t.Fatalf("write cut at %d of %d bytes: error %v", cutAt, len(newState), err)
		}
		// Every second broken write is a crash: unsynced bytes may have reached the disk in part, or over older bytes.
		if err != nil && point%2 == 0 {
			image := append([]byte(nil), newState[:rng.IntN(cutAt+1)]...)
			if rng.IntN(2) == 0 && len(oldBytes) > len(image) {
				image = append(image, oldBytes[len(image):]...)
			}
			if err := os.WriteFile(name, image, 0o600); err != nil {
				t.Fatal(err)
			}
			d.Close()
			d = mustOpen(t, path)
		}
		switch got := readVersion(t, path); {
		case got == int64(point)+1:
			last = got
		case got != last:
			t.Fatalf("case %d, write cut at byte %d: read version %d, want %d or %d", point, cutAt, got, last, point+1)
		}
		d.open = func(name string) (file, error) { return os.OpenFile(name, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600) }
	}
}

// A directory has one writer at a time. A second process can read it, and can open it once the first has closed it.
func TestDirectoryHasOneWriter(t *testing.T) {
	path := t.TempDir()
	d := mustOpen(t, path)
	if err := d.Write(encodedState(t, 3)); err != nil {
		t.Fatal(err)
	}
	if _, err := Open(path); !errors.Is(err, ErrLocked) {
		t.Errorf("opening a locked directory: error %v, want ErrLocked", err)
	}
	if got := readVersion(t, path); got != 3 {
		t.Errorf("read version %d from a locked directory, want 3", got)
	}
	d.Close()
	if err := mustOpen(t, path).Write(encodedState(t, 4)); err != nil || readVersion(t, path) != 4 {
		t.Error(err, readVersion(t, path))
	}
	if _, err := Open(filepath.Join(path, "none")); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("opening a directory that does not exist: error %v, want os.ErrNotExist", err)
	}
}

// If the newer file is damaged, the older one is read and the damage is reported.
func TestDamagedNewerFileFallsBackToOlder(t *testing.T) {
	path := t.TempDir()
	d := mustOpen(t, path)
	for v := range int64(2) {
		if err := d.Write(encodedState(t, v+1)); err != nil {
			t.Fatal(err)
		}
	}
	name := filepath.Join(path, slotNames[1-d.next])
	b, _ := os.ReadFile(name)
	b[len(b)/2] ^= 4
	if err := os.WriteFile(name, b, 0o600); err != nil {
		t.Fatal(err)
	}
	if s, _, invalid := Read(path); s == nil || s.ListVersion != 1 || len(invalid) != 1 || !errors.Is(invalid[0], state.ErrChecksum) {
		t.Errorf("read %+v with errors %v, want version 1 and one ErrChecksum", s, invalid)
	}
}

// A Persister continues while the disk is full, reports once that writing fails and once that it works again, and
// blocks no caller beyond the caller's own timeout while the disk does not respond.
func TestPersisterSurvivesFullAndStalledDisk(t *testing.T) {
	path := t.TempDir()
	d := mustOpen(t, path)
	openFile := d.open
	release := make(chan struct{})
	d.open = func(string) (file, error) { return nil, syscall.ENOSPC }
	notified := make(chan error, 10)
	persister := StartPersister(d, time.Hour, func() ([]byte, error) { return encodedState(t, 9), nil }, func(err error) { notified <- err })
	for range 3 {
		if err := persister.WriteNow(time.Minute); !errors.Is(err, syscall.ENOSPC) {
			t.Errorf("full disk: error %v, want ENOSPC", err)
		}
	}
	d.open = openFile // no write is in progress
	if err := persister.WriteNow(time.Minute); err != nil || readVersion(t, path) != 9 {
		t.Error("after the disk has space again:", err)
	}
	d.open = func(name string) (file, error) {
		<-release
		return openFile(name)
	}
	if err := persister.WriteNow(time.Millisecond); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("disk that does not respond: error %v, want os.ErrDeadlineExceeded", err)
	}
	close(release)
	persister.Stop()
	if first, second := <-notified, <-notified; !errors.Is(first, syscall.ENOSPC) || second != nil || len(notified) > 0 {
		t.Errorf("notified of %v and %v, want ENOSPC, then nil, and no more", first, second)
	}
	if err := persister.WriteNow(time.Millisecond); err == nil {
		t.Error("a Persister that has stopped accepts a write")
	}
}
