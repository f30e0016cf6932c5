package http

import (
	"bytes"
	"hash/maphash"
	"io"
	stdhttp "net/http"
	"time"

	"portstall/internal/back"
	"portstall/internal/flow"
	"portstall/internal/message"
)

const (
	// streamStallAllowance is how long a streamed response may take beyond its time at back.MinRate.
	streamStallAllowance = 5 * time.Second
	// maxPiece is the size in bytes of the largest piece that a server writes at once: while it prepares the next one, a
	// streamed response rests for as long as that takes at back.MinRate.
	maxPiece = 4 << 20
)

// download is the body of a large response, streamed from a web server. It owns the connection and a share of the
// budget until Close. It has one reader at a time.
type download struct {
	io.Reader            // the body behind the beginning
	beginning  io.Reader // what was read before the download began; nil: none, or all of it was delivered
	startBy    time.Time // when startedBytes must have arrived; zero: no limit
	readAhead  int64     // bytes of the beginning that were delivered
	delivered  int64     // bytes returned by Read
	sincePause int       // bytes since the reader last waited for more input
	conn       *back.Conn
	resp       *stdhttp.Response
	share      flow.Share // of the budget
	sender     *Sender
	requestKey uint64        // the request's keyHash
	class      string        // the request's class
	digest     *maphash.Hash // over the first digestPrefix bytes, to be recorded at the end; nil: recorded already
	complete   bool          // the body was read to its end without an error
}

// newDownload returns a download for the rest of a response. It takes ownership of the connection and of the response's
// bytes of the budget.
func newDownload(s *Sender, c *back.Conn, got response) *download {
	d := &download{Reader: got.resp.Body, conn: c, resp: got.resp, share: got.share, sender: s, requestKey: got.requestKey,
		class: got.class}
	if got.beginning == nil {
		limitStream(c, got.resp) // an error shows up in Read
	} else {
		d.beginning, d.startBy = got.beginning.reader(), got.beginning.startBy
	}
	if got.digest == 0 {
		d.digest = newDigest(got.resp.StatusCode, got.resp.ContentLength)
	}
	return d
}

// limitStream limits the waits and the size of a response that may be streamed.
func limitStream(c *back.Conn, resp *stdhttp.Response) error {
	remaining := int64(message.MaxBody)
	if resp.ContentLength >= 0 {
		remaining = resp.ContentLength
	}
	c.Limit.N = wireSize(message.MaxBody)
	return c.LimitWait(streamStallAllowance + back.TransferTime(min(remaining, maxPiece)))
}

const (
	// minBatch is how many bytes of a slowly arriving response are passed on without a pause. With fewer, the reader
	// waits for batchDelay: passing on each small piece by itself would take most of a node's time.
	minBatch = 16 << 10
	// batchDelay is how long the reader waits for more input after less than minBatch has arrived.
	batchDelay = 100 * time.Millisecond
	// maxChunkFraming is about how many bytes of framing are between the data of two chunks.
	maxChunkFraming = 16
)

// Read returns bytes of the body that have arrived, after a pause if they arrive slowly. It records whether the end was
// reached without an error.
func (d *download) Read(p []byte) (int, error) {
	if d.beginning != nil {
		n, err := d.beginning.Read(p)
		if err != io.EOF {
			d.readAhead += int64(n)
			return d.count(p[:n], err)
		}
		d.beginning = nil
	}
	if !d.startBy.IsZero() {
		if err := d.limitStart(); err != nil {
			return 0, err
		}
	}
	if d.delivered > d.readAhead && d.conn.SocketEmpty && d.conn.In.Buffered() <= maxChunkFraming {
		if d.conn.SocketEmpty = false; d.sincePause < minBatch {
			time.Sleep(batchDelay)
		}
		d.sincePause = 0
	}
	read := d.Reader.Read
	if len(d.resp.TransferEncoding) > 0 && d.delivered >= d.readAhead {
		read = d.readChunks
	}
	n, err := read(p)
	d.sincePause += n
	return d.count(p[:n], err)
}

// limitStart limits the wait for startedBytes, and ends that limit once they are there.
func (d *download) limitStart() error {
	if d.delivered >= startedBytes {
		d.startBy = time.Time{}
		return limitStream(d.conn, d.resp)
	}
	left := time.Until(d.startBy)
	if left <= 0 {
		return errStopped
	}
	return d.conn.LimitWait(left)
}

// count records what a read returned, and returns it.
func (d *download) count(p []byte, err error) (int, error) {
	if d.digest != nil {
		d.digest.Write(p[:min(int64(len(p)), max(0, digestPrefix-d.delivered))])
	}
	if d.delivered += int64(len(p)); d.delivered > message.MaxBody {
		return 0, message.ErrBodyTooLarge
	}
	d.complete = err == io.EOF
	return len(p), err
}

// readChunks reads from a chunked body. The parser of chunks fills its whole buffer however long the next chunk takes
// to arrive, so it is asked only for what is buffered. The data of a chunk is followed by '\r': all bytes before the
// next '\r' count as data. Behind a chunk they may also be the beginning of the next chunk's size, which the parser waits
// for: only a line that is complete has been parsed already.
func (d *download) readChunks(p []byte) (int, error) {
	in := d.conn.In
	for n := 0; ; {
		buffered, _ := in.Peek(in.Buffered())
		want := bytes.IndexByte(buffered, '\r')
		if want < 0 {
			want = len(buffered)
		}
		if want == 0 { // nothing is buffered, or possibly a chunk's end: reading the next chunk's first byte may block
			next := bytes.IndexByte(buffered, '\n') + 1
			if size := bytes.IndexByte(buffered[next:], '\n'); n > 0 && (size < 0 || next+size+1 == len(buffered)) {
				return n, nil
			}
			want = 1
		}
		if n > 0 && bytes.IndexByte(buffered, '\n') < 0 {
			return n, nil
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

// Close releases what the download holds. The connection is used again only after a complete body.
func (d *download) Close() error {
	if d.complete && reusable(d.conn, d.resp) {
		if d.digest != nil {
			d.conn.LastResponse = back.Digest(d.digest.Sum64())
			d.sender.history.record(d.conn.LastResponse, d.conn.Number, d.requestKey, d.class)
		}
		d.sender.Pool.Put(d.conn)
	} else {
		d.sender.Pool.Close(d.conn)
	}
	d.share.Release()
	return nil
}
