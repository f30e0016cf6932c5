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

// countPipes returns how many pipes this process holds by one or both descriptors.
func countPipes(t *testing.T) int {
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

// waitingCopies returns how many copies wait for the receiving side, and how many of these hold a pipe.
func waitingCopies() (all, spliced int) {
	text := make([]byte, 4<<20)
	for _, stack := range strings.Split(string(text[:runtime.Stack(text, true)]), "\n\n") {
		if strings.Contains(stack, ").copyN(") && strings.Contains(stack, "waitWrite") {
			all++
			if strings.Contains(stack, "poll.Splice(") {
				spliced++
			}
		}
	}
	return all, spliced
}

// Tunnels whose receivers read nothing hold at most MaxPipes pipes, however many there are, or slow readers could use
// up the process's descriptors. Copies by a pipe and by a buffer deliver their bytes unchanged once they are read.
func TestSlowReadersHoldAtMostMaxPipes(t *testing.T) {
	const copies, size = MaxPipes + 24, 4 << 20
	rng := rand.NewChaCha8([32]byte{7})
	sender, before := NewSender(nil, nil, nil), countPipes(t)
	var wg sync.WaitGroup
	texts, readers := make([][]byte, copies), make([]*net.TCPConn, copies)
	for i := range copies {
		from, src := standin.TestConnPair(t)
		dst, to := standin.TestConnPair(t)
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
			if n, err := sender.copyN(dst, src, size); n != size || err != nil {
				t.Errorf("copied %d bytes with error %v, want all without an error", n, err)
			}
			dst.CloseWrite()
		})
	}
	all, spliced := waitingCopies()
	for end := time.Now().Add(time.Minute); all < copies; all, spliced = waitingCopies() {
		if time.Now().After(end) {
			t.Fatalf("%d of %d copies wait for their receivers after a minute", all, copies)
		}
		time.Sleep(time.Millisecond)
	}
	if n := countPipes(t) - before; spliced != MaxPipes || n > MaxPipes {
		t.Errorf("%d copies hold a pipe and %d pipes were added, want %d", spliced, n, MaxPipes)
	}
	for i, to := range readers {
		wg.Go(func() {
			got, err := io.ReadAll(to)
			if err != nil || !bytes.Equal(got, texts[i]) {
				t.Errorf("copy %d: received %d bytes with error %v, equal to what was sent: %v", i, len(got), err, bytes.Equal(got, texts[i]))
			}
		})
	}
	wg.Wait()
	// All pipes are released, so that the next copy uses a pipe again. A copy whose source ends early returns io.EOF.
	if len(sender.pipesInUse) != 0 {
		t.Errorf("%d pipes are not released", len(sender.pipesInUse))
	}
	from, src := standin.TestConnPair(t)
	dst, to := standin.TestConnPair(t)
	io.WriteString(from, "short")
	from.CloseWrite()
	if n, err := sender.copyN(dst, src, 10); n != 5 || err != io.EOF {
		t.Errorf("copied %d bytes with error %v, want 5 and io.EOF", n, err)
	}
	got := make([]byte, 5)
	if _, err := io.ReadFull(to, got); err != nil || string(got) != "short" {
		t.Errorf("received %q with error %v, want \"short\"", got, err)
	}
}
