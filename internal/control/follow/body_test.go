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

// largeDelta returns the JSON of a delta of some 200 KB, more than the buffers on its way hold.
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

// hookReader calls a function once after its first kilobyte was read. The JSON of a small change is shorter than that.
type hookReader struct {
	r         io.Reader
	remaining int
	hook      func()
}

func newHookReader(r io.Reader, hook func()) *hookReader { return &hookReader{r, 1 << 10, hook} }

func (h *hookReader) Read(p []byte) (int, error) {
	if h.remaining == 0 {
		return h.r.Read(p)
	}
	n, err := h.r.Read(p[:min(len(p), h.remaining)])
	if h.remaining -= n; h.remaining == 0 {
		h.hook()
	}
	return n, err
}

// A response that was received in time is used however long decoding takes, as that is this process's own time, and the source is not
// called again.
func TestGetDecodesReceivedBodyWithoutDeadline(t *testing.T) {
	t.Parallel()
	for _, c := range []struct{ name, response string }{
		{"plain", okResponse(largeDelta())},
		{"gzip", okResponse(gzipped(largeDelta()), "Content-Encoding: gzip")},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			var calls atomic.Int32
			addr := serveRaw(t, func(conn net.Conn, _ *http.Request) {
				calls.Add(1)
				io.WriteString(conn, c.response)
				untilClosed(conn)
			})
			clock := newTestClock()
			client, status := newClient(t, clock)
			decodes := 0
			client.decode = func(r io.Reader) (*resource.Delta, error) {
				decodes++
				return decode(newHookReader(r, func() { clock.advance(2 * resource.BodyTimeout(-1)) }))
			}
			d, err := client.Get(t.Context(), addr, &query)
			if err != nil {
				t.Fatal(err)
			}
			if len(d.Put) != 3000 || calls.Load() != 1 || decodes != 1 || status.Read().Responses != 1 {
				t.Errorf("%d resources of %d calls, decoded %d times; %+v", len(d.Put), calls.Load(), decodes, status.Read())
			}
		})
	}
}

// A caller whose context has ended does not wait until the response is decoded.
func TestGetStopsDecodingWhenContextIsCanceled(t *testing.T) {
	t.Parallel()
	addr := serveRaw(t, func(conn net.Conn, _ *http.Request) { io.WriteString(conn, okResponse(largeDelta())) })
	client, _ := newClient(t, newTestClock())
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	client.decode = func(r io.Reader) (*resource.Delta, error) { return decode(newHookReader(r, cancel)) }
	if d, err := client.Get(ctx, addr, &query); d != nil || !errors.Is(err, context.Canceled) {
		t.Errorf("the response was decoded to its end: %v, %v", d != nil, err)
	}
}

// The body read is the body sent, at sizes around those of chunks and the limit. Chunks are freed once they were read, and the memory
// is in proportion to the size.
func TestReadBodyReturnsAllBytesAndFreesChunks(t *testing.T) {
	t.Parallel()
	broken := errors.New("broken")
	for _, size := range []int{0, 1, minChunk - 1, minChunk, minChunk + 1, 10*maxChunk + 7, resource.MaxResponse - 1, resource.MaxResponse} {
		text := bytes.Repeat([]byte("0123456789abcdef!"), size/17+1)[:size]
		body, err := readBody(t.Context(), iotest.HalfReader(bytes.NewReader(text)))
		if err != nil {
			t.Fatalf("%d bytes: %v", size, err)
		}
		buffered := 0
		for _, chunk := range body.chunks {
			buffered += cap(chunk)
		}
		if buffered > 2*size+maxChunk {
			t.Errorf("%d bytes are allocated for %d", buffered, size)
		}
		got, err := io.ReadAll(body)
		if err != nil || !bytes.Equal(got, text) {
			t.Errorf("%d bytes: read %d: %v", size, len(got), err)
		}
		if len(body.chunks) > 1 {
			t.Errorf("%d bytes: %d chunks are left after they were read", size, len(body.chunks))
		}
		if _, err := readBody(t.Context(), io.MultiReader(bytes.NewReader(text), iotest.ErrReader(broken))); !errors.Is(err, broken) {
			t.Errorf("%d bytes, then an error: %v", size, err)
		}
	}
	if _, err := readBody(t.Context(), &endlessReader{t, resource.MaxResponse + 1}); !errors.Is(err, errTooLong) {
		t.Errorf("endless body: %v", err)
	}
}

// endlessReader never ends, and fails the test if more is read than a response may have.
type endlessReader struct {
	t         *testing.T
	remaining int
}

func (e *endlessReader) Read(p []byte) (int, error) {
	if e.remaining -= len(p); e.remaining < 0 {
		e.t.Fatal("more was read than a response may have")
	}
	return len(p), nil
}
