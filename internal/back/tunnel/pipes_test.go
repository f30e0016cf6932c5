package tunnel

import (
	"bytes"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"portstall/internal/lab/standin"
)

// pipes counts the pipes that this process holds by one descriptor or two.
func pipes(t *testing.T) int {
	t.Helper()
	all, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Fatal(err)
	}
	names := map[string]bool{}
	for _, f := range all {
		if to, err := os.Readlink(filepath.Join("/proc/self/fd", f.Name())); err == nil && strings.HasPrefix(to, "pipe:") {
			names[to] = true
		}
	}
	return len(names)
}

// held counts the copies that wait for the other side to take something, and of those the ones that hold a pipe.
func held() (all, spliced int) {
	text := make([]byte, 4<<20)
	for _, stack := range strings.Split(string(text[:runtime.Stack(text, true)]), "\n\n") {
		if strings.Contains(stack, "(*Back).copy(") && strings.Contains(stack, "waitWrite") {
			all++
			if strings.Contains(stack, "poll.Splice(") {
				spliced++
			}
		}
	}
	return all, spliced
}

// However many tunnels have readers that take nothing, they hold no more pipes than are kept back for them; what they carry is
// unharmed, by a pipe and by a buffer, once it is taken.
func TestSlowReadersHoldFewPipes(t *testing.T) {
	const copies, size = PipesMost + 24, 4 << 20
	rng := rand.NewChaCha8([32]byte{7})
	b, none := New(nil, nil, nil), pipes(t)
	var wg sync.WaitGroup
	texts, readers := make([][]byte, copies), make([]*net.TCPConn, copies)
	for i := range copies {
		from, src := standin.Ends(t)
		dst, to := standin.Ends(t)
		dst.SetWriteBuffer(16 << 10) // far less than is sent, so that the copy waits
		to.SetReadBuffer(16 << 10)
		texts[i], readers[i] = make([]byte, size), to
		rng.Read(texts[i])
		wg.Go(func() {
			if _, err := from.Write(texts[i]); err != nil {
				t.Error(err)
			}
		})
		wg.Go(func() {
			if n, err := b.copy(dst, src, size); n != size || err != nil {
				t.Errorf("%d bytes passed on, %v", n, err)
			}
			dst.CloseWrite()
		})
	}
	all, spliced := held()
	for end := time.Now().Add(time.Minute); all < copies; all, spliced = held() {
		if time.Now().After(end) {
			t.Fatalf("%d of %d copies wait", all, copies)
		}
		time.Sleep(time.Millisecond)
	}
	if n := pipes(t) - none; spliced != PipesMost || n > PipesMost {
		t.Errorf("%d copies hold a pipe, and %d pipes came, want %d", spliced, n, PipesMost)
	}
	for i, to := range readers {
		wg.Go(func() {
			got, err := io.ReadAll(to)
			if err != nil || !bytes.Equal(got, texts[i]) {
				t.Errorf("copy %d: %d bytes came, %v, alike: %v", i, len(got), err, bytes.Equal(got, texts[i]))
			}
		})
	}
	wg.Wait()
	// All are given back: the next copy goes by a pipe again, and one that ends short says so.
	if len(b.pipes) != 0 {
		t.Errorf("%d pipes are not given back", len(b.pipes))
	}
	from, src := standin.Ends(t)
	dst, to := standin.Ends(t)
	io.WriteString(from, "short")
	from.CloseWrite()
	if n, err := b.copy(dst, src, 10); n != 5 || err != io.EOF {
		t.Errorf("%d bytes, %v, want 5 and the end", n, err)
	}
	got := make([]byte, 5)
	if _, err := io.ReadFull(to, got); err != nil || string(got) != "short" {
		t.Errorf("%q, %v", got, err)
	}
}
