package follow

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/iotest"

	"portstall/internal/resource"
)

// large is a delta's text of some 200 KB, more than buffers on its way hold.
func largeDelta() string {
	var b strings.Builder
	b.WriteString(`{"from":"5.1","to":"5.2","sum":"00000000000000ab","put":[`)
	for i := range 3000 {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, `{"kind":"contract","name":"c%d","spec":{"rate":%d}}`, i, 1+i*i*7919%100_003)
	}
	b.WriteString("]}")
	return b.String()
}

// amid lets something happen once its first kilobyte was read, and reads on then. A change has less.
type hookReader struct {
	r         io.Reader
	remaining int
	hook      func()
}

func newHookReader(r io.Reader, does func()) *hookReader { return &hookReader{r, 1 << 10, does} }

func (a *hookReader) Read(p []byte) (int, error) {
	if a.remaining == 0 {
		return a.r.Read(p)
	}
	n, err := a.r.Read(p[:min(len(p), a.remaining)])
	if a.remaining -= n; a.remaining == 0 {
		a.hook()
	}
	return n, err
}

// An answer that has arrived in time is taken, however long its decoding takes: that is this process's own time, and the source is not
// asked again.
func TestGetDecodesReceivedBodyWithoutDeadline(t *testing.T) {
	t.Parallel()
	for _, c := range []struct{ name, answer string }{
		{"plain", okResponse(largeDelta())},
		{"gzip", okResponse(gzipped(largeDelta()), "Content-Encoding: gzip")},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			var asked atomic.Int32
			addr := serveRaw(t, func(conn net.Conn, _ *http.Request) {
				asked.Add(1)
				io.WriteString(conn, c.answer)
				untilClosed(conn)
			})
			clock := newTestClock()
			client, status := newClient(t, clock)
			decodes := 0
			client.decode = func(r io.Reader) (*resource.Delta, error) {
				decodes++
				return decode(newHookReader(r, func() { clock.advance(2 * resource.BodyLimit(-1)) }))
			}
			d, err := client.Get(t.Context(), addr, &query)
			if err != nil {
				t.Fatal(err)
			}
			if len(d.Put) != 3000 || asked.Load() != 1 || decodes != 1 || status.Read().Answers != 1 {
				t.Errorf("%d resources of %d calls, decoded %d times; %+v", len(d.Put), asked.Load(), decodes, status.Read())
			}
		})
	}
}

// Who no longer wants the answer does not wait for its decoding.
func TestGetStopsDecodingWhenContextIsCanceled(t *testing.T) {
	t.Parallel()
	addr := serveRaw(t, func(conn net.Conn, _ *http.Request) { io.WriteString(conn, okResponse(largeDelta())) })
	client, _ := newClient(t, newTestClock())
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	client.decode = func(r io.Reader) (*resource.Delta, error) { return decode(newHookReader(r, cancel)) }
	if d, err := client.Get(ctx, addr, &query); d != nil || !errors.Is(err, context.Canceled) {
		t.Errorf("it is decoded to its end: %v, %v", d != nil, err)
	}
}

// What is received is what came, at each size; what has been read is let go, and no more is held than came.
func TestReadBodyReturnsAllBytesAndFreesChunks(t *testing.T) {
	t.Parallel()
	broken := errors.New("broken")
	for _, size := range []int{0, 1, minChunk - 1, minChunk, minChunk + 1, 10*maxChunk + 7, resource.MaxAnswer - 1, resource.MaxAnswer} {
		text := bytes.Repeat([]byte("0123456789abcdef!"), size/17+1)[:size]
		body, err := readBody(t.Context(), iotest.HalfReader(bytes.NewReader(text)))
		if err != nil {
			t.Fatalf("%d bytes: %v", size, err)
		}
		held := 0
		for _, part := range body.chunks {
			held += cap(part)
		}
		if held > 2*size+maxChunk {
			t.Errorf("%d bytes are held for %d", held, size)
		}
		got, err := io.ReadAll(body)
		if err != nil || !bytes.Equal(got, text) {
			t.Errorf("%d bytes: read %d: %v", size, len(got), err)
		}
		if len(body.chunks) > 1 {
			t.Errorf("%d bytes: %d parts are held once they were read", size, len(body.chunks))
		}
		if _, err := readBody(t.Context(), io.MultiReader(bytes.NewReader(text), iotest.ErrReader(broken))); !errors.Is(err, broken) {
			t.Errorf("%d bytes, then an error: %v", size, err)
		}
	}
	if _, err := readBody(t.Context(), &endlessReader{t, resource.MaxAnswer + 1}); !errors.Is(err, errTooLong) {
		t.Errorf("what never ends: %v", err)
	}
}

// endless has no end, and fails the test where more is read of it than may be.
type endlessReader struct {
	t         *testing.T
	remaining int
}

func (e *endlessReader) Read(p []byte) (int, error) {
	if e.remaining -= len(p); e.remaining < 0 {
		e.t.Fatal("more is read than an answer may have")
	}
	return len(p), nil
}
