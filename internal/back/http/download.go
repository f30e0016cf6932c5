package http

import (
	"bytes"
	"io"
	stdhttp "net/http"
	"time"

	"portstall/internal/back"
	"portstall/internal/flow"
	"portstall/internal/message"
)

// download is a large answer on its way from a backend.
type download struct {
	io.Reader       // the body
	head      int64 // bytes of it that were read ahead
	passed    int64
	gathered  int // bytes since it last stood still
	conn      *back.Conn
	resp      *stdhttp.Response
	held      int64 // bytes of the budget
	pool      *back.Pool
	budget    *flow.Budget
	ended     bool // read to its end
}

// newDownload takes over a connection, and a chunk of the budget, for the rest of an answer.
func newDownload(n *Back, c *back.Conn, got received) *download {
	c.Stall = streamStall
	c.Cap.N = 2 * message.Max // chunks have lengths of their own
	return &download{Reader: io.MultiReader(bytes.NewReader(got.body), got.resp.Body), head: int64(len(got.body)), conn: c, resp: got.resp, held: got.held, pool: n.Pool, budget: n.Budget}
}

const (
	// An answer that trickles is left to gather so many bytes behind its first ones,
	gather = 16 << 10
	// or for so long: passing on each little piece by itself would take a node most of its time.
	lull    = 100 * time.Millisecond
	framing = 16 // about what stands between the data of two chunks
)

// Read passes on what has come, and marks a sound end.
func (d *download) Read(p []byte) (int, error) {
	if d.passed > d.head && d.conn.Drained && d.conn.In.Buffered() <= framing {
		if d.conn.Drained = false; d.gathered < gather {
			time.Sleep(lull)
		}
		d.gathered = 0
	}
	read := d.Reader.Read
	if len(d.resp.TransferEncoding) > 0 && d.passed >= d.head {
		read = d.readChunks
	}
	n, err := read(p)
	d.gathered += n
	if d.passed += int64(n); d.passed > message.Max {
		return 0, message.ErrTooLarge
	}
	d.ended = err == io.EOF
	return n, err
}

// readChunks reads from a body in chunks. Their parser fills all that it is given, however long a chunk takes to come:
// it is asked only for what is there. Behind the data of a chunk comes a '\r', so that all before the next one is data.
func (d *download) readChunks(p []byte) (int, error) {
	in := d.conn.In
	for n := 0; ; {
		there, _ := in.Peek(in.Buffered())
		want := bytes.IndexByte(there, '\r')
		if want < 0 {
			want = len(there)
		}
		if want == 0 { // nothing is there, or perhaps a chunk's end: the next one's first byte may have to be waited for
			next := bytes.IndexByte(there, '\n') + 1
			if size := bytes.IndexByte(there[next:], '\n'); n > 0 && (size < 0 || next+size+1 == len(there)) {
				return n, nil
			}
			want = 1
		}
		if want = min(want, len(p)-n); want == 0 {
			return n, nil
		}
		m, err := d.Reader.Read(p[n : n+want])
		if n += m; err != nil {
			return n, err
		}
	}
}

// Close gives back what the answer held. Only a connection on which it was sound is used again.
func (d *download) Close() error {
	if d.ended && reusable(d.conn, d.resp) {
		d.pool.Put(d.conn)
	} else {
		d.pool.Close(d.conn)
	}
	d.budget.AnswerDone(d.held)
	return nil
}
