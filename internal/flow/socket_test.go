package flow

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"runtime"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"portstall/internal/lab/standin"
)

// pour writes at most so many bytes in pieces, as long as the kernel takes them at once, and tells how many it took.
func pour(t *testing.T, c *net.TCPConn, most, piece int) int {
	t.Helper()
	sent, err := standin.Pour(c, strings.Repeat("x", most), piece)
	if err != nil {
		t.Fatal(err)
	}
	return sent
}

var leavings = map[string]func(*net.TCPConn){
	"close": func(c *net.TCPConn) { c.Close() },
	"half":  func(c *net.TCPConn) { c.CloseWrite() },
	"reset": func(c *net.TCPConn) {
		c.SetLinger(0)
		c.Close()
	},
}

// What a socket shows of a leaving: all of it, whatever stands unread, but where that has shut the window; then a reset alone.
func TestLeftBehindUnreadBytes(t *testing.T) {
	t.Parallel()
	for how, leave := range leavings {
		for _, piece := range []int{1, 100, 64 << 10} {
			for _, most := range []int{0, 1, 3000, 48 << 10, 16 << 20} {
				if most > 1<<20 && (how != "reset" || piece == 1) {
					continue // the end can't come; TestWatchSeesTheEndBehindAnything has what is done about it
				}
				t.Run(fmt.Sprint(how, " behind ", most, " in pieces of ", piece), func(t *testing.T) {
					t.Parallel()
					far, near := standin.Ends(t)
					pour(t, far, most, piece)
					if Left(near) {
						t.Fatal("it has left before it did")
					}
					leave(far)
					for end := time.Now().Add(patience); !Left(near); time.Sleep(time.Millisecond) {
						if time.Now().After(end) {
							t.Fatal("not seen to leave")
						}
					}
					if !Left(near) {
						t.Error("seen once only")
					}
				})
			}
		}
	}
}

// The end is seen also behind so much that the window is shut, in any pieces; what stands behind the request is lost then, and that
// is told.
func TestWatchSeesTheEndBehindAnything(t *testing.T) {
	t.Parallel()
	for how, leave := range leavings {
		for _, piece := range []int{100, 64 << 10} {
			t.Run(fmt.Sprint(how, " in pieces of ", piece), func(t *testing.T) {
				t.Parallel()
				far, near := standin.Ends(t)
				if n := pour(t, far, 16<<20, piece); n < 200<<10 {
					t.Fatalf("the kernel took %d bytes: the window is not shut", n)
				}
				end, stop := Watch(near, bufio.NewReaderSize(near, crowded), true)
				leave(far)
				select {
				case <-end:
				case <-time.After(patience):
					t.Fatal("not seen to leave")
				}
				if !stop() && how != "reset" {
					t.Error("nothing is said to be lost")
				}
			})
		}
	}
}

// So is it where nobody looked before all was sent, and there is no time to wait. Of who stands it is told that it does.
func TestSpillSeesTheEndBehindAnything(t *testing.T) {
	t.Parallel()
	for how, leave := range leavings {
		for _, piece := range []int{1, 100, 64 << 10} {
			t.Run(fmt.Sprint(how, " in pieces of ", piece), func(t *testing.T) {
				t.Parallel()
				far, near := standin.Ends(t)
				// Single bytes take long: 256 KB of them shut the window too.
				if n := pour(t, far, min(16<<20, piece*256<<10), piece); n < 200<<10 || n > SpillMost {
					t.Fatalf("the kernel took %d bytes", n)
				}
				isShut(t, near, true)
				leave(far)
				if spilt, ended := Spill(near, bufio.NewReaderSize(near, crowded)); !ended || !spilt && how != "reset" {
					t.Errorf("ended %v, spilt %v", ended, spilt)
				}
			})
		}
	}
	for _, c := range []struct {
		bytes int
		shut  bool
	}{{0, false}, {Keep, false}, {Keep + 1, true}} {
		far, near := standin.Ends(t)
		if n := pour(t, far, c.bytes, 100); n != c.bytes {
			t.Fatalf("the kernel took %d bytes", n)
		}
		isShut(t, near, c.shut)
		if spilt, ended := Spill(near, bufio.NewReaderSize(near, crowded)); ended || spilt != (c.bytes > 0) {
			t.Errorf("one that stands, behind %d bytes: ended %v, spilt %v", c.bytes, ended, spilt)
		}
	}
}

// isShut waits until a socket's window counts as shut, or as open: what was sent may take a moment through loopback.
func isShut(t *testing.T, near net.Conn, want bool) {
	t.Helper()
	for end := time.Now().Add(patience); Shut(near) != want; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("shut %v", !want)
		}
	}
}

// Who goes on sending ahead of an answer gets none waited for, and is read no further.
func TestWatchEndsAFlood(t *testing.T) {
	t.Parallel()
	far, near := standin.Ends(t)
	end, stop := Watch(near, bufio.NewReaderSize(near, crowded), true)
	wrote := make(chan int64, 1)
	go func() {
		n, _ := io.Copy(far, zeros{})
		wrote <- n
	}()
	select {
	case <-end:
	case <-time.After(patience):
		t.Fatal("it goes on")
	}
	if !stop() {
		t.Error("nothing is said to be lost")
	}
	near.Close()
	if n := <-wrote; n < SpillMost {
		t.Errorf("ended behind %d bytes, want %d at least", n, SpillMost)
	}
}

// Who goes on sending while it is looked for is read no further either. Of a real sender nothing else can be asked: one that this
// machine lets stand for 50 ms has paused.
func TestSpillEndsAFlood(t *testing.T) {
	t.Parallel()
	far, near := standin.Ends(t)
	pour(t, far, 1, 1) // there is something to throw away, however late the sender begins
	wrote := make(chan int64, 1)
	go func() {
		n, _ := io.Copy(far, zeros{})
		wrote <- n
	}()
	spilt, ended := Spill(near, bufio.NewReaderSize(near, crowded))
	near.Close()
	if n := <-wrote; !spilt || ended && n+1 < SpillMost {
		t.Errorf("spilt %v, ended %v behind %d bytes", spilt, ended, n)
	}
}

// paced is a sender that never ends: it sends a piece each time that its pause is over. Only the calls that Spill makes are there.
type paced struct {
	net.Conn
	piece int
	pause time.Duration
	sent  int
}

func (p *paced) SetReadDeadline(time.Time) error { return nil }

func (p *paced) Read(b []byte) (int, error) {
	time.Sleep(p.pause)
	n := min(p.piece, len(b))
	p.sent += n
	return n, nil
}

// On a clock that stands while bytes are there: a flood ends it at SpillMost and not a piece behind, and one that trickles is read
// for a second and said to stand.
func TestSpillIsBounded(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name  string
		far   paced
		ended bool
		sent  int
		took  time.Duration
	}{
		{"flood", paced{piece: 4 << 10}, true, SpillMost, 0},
		{"flood in odd pieces", paced{piece: 3000}, true, (SpillMost + 2999) / 3000 * 3000, 0},
		{"trickle", paced{piece: 1, pause: 40 * time.Millisecond}, false, 25, spillTime},
		{"flood that takes too long", paced{piece: 4 << 10, pause: 10 * time.Millisecond}, false, 100 * 4 << 10, spillTime},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				begun := time.Now()
				spilt, ended := Spill(&c.far, bufio.NewReaderSize(&c.far, crowded))
				if took := time.Since(begun); !spilt || ended != c.ended || c.far.sent != c.sent || took != c.took {
					t.Errorf("spilt %v, ended %v behind %d bytes in %v, want true, %v, %d, %v", spilt, ended, c.far.sent, took, c.ended, c.sent, c.took)
				}
			})
		})
	}
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }

// What stands behind a request that has its answer soon, or is no more than a reader and a little hold, is not touched; nor is it
// where nothing may be thrown away.
func TestWatchLeavesWhatIsReadLater(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name  string
		bytes int
		spill bool
		wait  bool // for longer than it may stand where it is too much
	}{
		{"answered at once", 60 << 10, true, false},
		{"little", crowded + crowded/2, true, true},
		{"kept", 60 << 10, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			far, near := standin.Ends(t)
			if n := pour(t, far, c.bytes, 100); n != c.bytes {
				t.Fatalf("the kernel took %d bytes", n)
			}
			in := bufio.NewReaderSize(near, crowded)
			begun := time.Now()
			end, stop := Watch(near, in, c.spill)
			if c.wait {
				select {
				case <-end:
					t.Fatal("seen to leave")
				case <-time.After(4 * crowdedFor):
				}
			}
			if stop() {
				if !c.wait && time.Since(begun) >= crowdedFor {
					return // this machine was too slow to answer at once
				}
				t.Fatal("something is lost")
			}
			near.SetReadDeadline(time.Time{})
			far.CloseWrite()
			if n, err := io.Copy(io.Discard, in); n != int64(c.bytes) || err != nil {
				t.Errorf("%d bytes are there, %v; want %d", n, err, c.bytes)
			}
		})
	}
}

// What a request pays for being watched while it waits: the watch as it was (it waits for a byte that does not come), as it is, and as
// it is for what may not be thrown away. Beside it what the goroutine and the two deadlines cost alone.
func BenchmarkWatch(b *testing.B) {
	_, near := standin.Ends(b)
	in := bufio.NewReaderSize(near, crowded)
	for _, c := range []struct {
		name  string
		watch func() (stop func())
	}{
		{"none", func() func() {
			over := make(chan struct{})
			go close(over)
			return func() {
				near.SetReadDeadline(time.Unix(1, 0))
				<-over
			}
		}},
		{"a byte", func() func() { // as it was before a client was looked for behind unread bytes
			left := make(chan bool, 1)
			go func() {
				_, err := in.Peek(1)
				left <- err != nil
			}()
			return func() {
				near.SetReadDeadline(time.Unix(1, 0))
				<-left
			}
		}},
		{"kept", func() func() {
			_, stop := Watch(near, in, false)
			return func() { stop() }
		}},
		{"now", func() func() {
			_, stop := Watch(near, in, true)
			return func() { stop() }
		}},
	} {
		b.Run(c.name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				near.SetReadDeadline(time.Time{})
				stop := c.watch()
				runtime.Gosched() // as a request that waits, so that the look comes to wait too
				stop()
			}
		})
	}
}
