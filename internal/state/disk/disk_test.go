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

func text(t *testing.T, version int64) []byte {
	t.Helper()
	s := &state.Snapshot{Taken: time.Duration(version) * time.Second, Version: version}
	for i := range 20 {
		s.Servers = append(s.Servers, state.Server{ID: fmt.Sprint("s-", i), Addr: "127.0.0.1:1", State: "Ready", Started: version})
	}
	b, err := state.Encode(s)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func opened(t *testing.T, path string) *Dir {
	t.Helper()
	d, err := Open(path)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { d.Close() })
	return d
}

func read(t *testing.T, path string) int64 {
	t.Helper()
	s, _, _ := Read(path)
	if s == nil {
		return 0
	}
	for _, v := range s.Servers {
		if v.Started != s.Version || len(s.Servers) != 20 {
			t.Fatalf("a state of %d and %d", s.Version, v.Started)
		}
	}
	return s.Version
}

// torn is a file on which a write breaks off after so many bytes, as a full disk or a crash does it.
type torn struct {
	*os.File
	left int
}

func (f *torn) Write(p []byte) (int, error) {
	n, err := f.File.Write(p[:min(len(p), f.left)])
	if f.left -= n; err == nil && n < len(p) {
		err = syscall.ENOSPC
	}
	return n, err
}

// A thousand writes that break off, each at a place of its own and with what the disk makes of bytes that were not synced yet:
// what is read is the old state or the new one, whole. The write after it works.
func TestCrashPoints(t *testing.T) {
	rng := rand.New(rand.NewPCG(18, 0))
	path := t.TempDir()
	d := opened(t, path)
	last := int64(0)
	for point := range 1000 {
		fresh := text(t, int64(point)+1)
		name := filepath.Join(path, slots[d.next])
		old, _ := os.ReadFile(name)
		cut := rng.IntN(len(fresh) + 1)
		d.open = func(name string) (file, error) {
			f, err := os.OpenFile(name, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
			return &torn{f, cut}, err
		}
		err := d.Write(fresh)
		if whole := err == nil; whole != (cut == len(fresh)) || !whole && !errors.Is(err, syscall.ENOSPC) {
			t.Fatalf("cut at %d of %d: %v", cut, len(fresh), err)
		}
		if err != nil && point%2 == 0 { // a crash: what had not been synced may have come to the disk in part, or over the old bytes
			image := append([]byte(nil), fresh[:rng.IntN(cut+1)]...)
			if rng.IntN(2) == 0 && len(old) > len(image) {
				image = append(image, old[len(image):]...)
			}
			if err := os.WriteFile(name, image, 0o600); err != nil {
				t.Fatal(err)
			}
			d.Close()
			d = opened(t, path)
		}
		switch got := read(t, path); {
		case got == int64(point)+1:
			last = got
		case got != last:
			t.Fatalf("point %d, cut at %d: read %d, want %d or %d", point, cut, got, last, point+1)
		}
		d.open = func(name string) (file, error) { return os.OpenFile(name, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600) }
	}
}

// A directory has one writer; whoever comes second reads, and can have it when the first is gone.
func TestTwoOnOneDirectory(t *testing.T) {
	path := t.TempDir()
	d := opened(t, path)
	if err := d.Write(text(t, 3)); err != nil {
		t.Fatal(err)
	}
	if _, err := Open(path); !errors.Is(err, ErrTaken) {
		t.Errorf("a second one: %v", err)
	}
	if got := read(t, path); got != 3 {
		t.Errorf("read %d", got)
	}
	d.Close()
	if err := opened(t, path).Write(text(t, 4)); err != nil || read(t, path) != 4 {
		t.Error(err, read(t, path))
	}
	if _, err := Open(filepath.Join(path, "none")); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("no such directory: %v", err)
	}
}

// A damaged newer file leaves the older one, and is told of.
func TestFallsBack(t *testing.T) {
	path := t.TempDir()
	d := opened(t, path)
	for v := range int64(2) {
		if err := d.Write(text(t, v+1)); err != nil {
			t.Fatal(err)
		}
	}
	name := filepath.Join(path, slots[1-d.next])
	b, _ := os.ReadFile(name)
	b[len(b)/2] ^= 4
	if err := os.WriteFile(name, b, 0o600); err != nil {
		t.Fatal(err)
	}
	if s, _, wrong := Read(path); s == nil || s.Version != 1 || len(wrong) != 1 || !errors.Is(wrong[0], state.ErrSum) {
		t.Errorf("%+v, %v", s, wrong)
	}
}

// A keeper goes on when the disk is full, tells once that it is and once that it is not, and holds up nobody for longer than they
// want to wait while the disk stands still.
func TestKeeper(t *testing.T) {
	path := t.TempDir()
	d := opened(t, path)
	good := d.open
	stuck := make(chan struct{})
	d.open = func(string) (file, error) { return nil, syscall.ENOSPC }
	told := make(chan error, 10)
	k := Keep(d, time.Hour, func() ([]byte, error) { return text(t, 9), nil }, func(err error) { told <- err })
	for range 3 {
		if err := k.Now(time.Minute); !errors.Is(err, syscall.ENOSPC) {
			t.Errorf("on a full disk: %v", err)
		}
	}
	d.open = good // no write is under way
	if err := k.Now(time.Minute); err != nil || read(t, path) != 9 {
		t.Error("once there is room:", err)
	}
	d.open = func(name string) (file, error) {
		<-stuck
		return good(name)
	}
	if err := k.Now(time.Millisecond); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("on a disk that stands still: %v", err)
	}
	close(stuck)
	k.Stop()
	if first, second := <-told, <-told; !errors.Is(first, syscall.ENOSPC) || second != nil || len(told) > 0 {
		t.Errorf("told %v and %v", first, second)
	}
	if err := k.Now(time.Millisecond); err == nil {
		t.Error("it goes on when it has ended")
	}
}
