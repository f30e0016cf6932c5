package http

import (
	"bufio"
	"errors"
	"io"
	stdhttp "net/http"
	"strconv"
	"sync"
	"time"

	"portstall/internal/back"
	"portstall/internal/core"
	"portstall/internal/flow"
	"portstall/internal/message"
)

const (
	// arrivalPollInterval is how often it is looked whether the last byte of a large request body has arrived, or must
	// not be awaited any more.
	arrivalPollInterval = 50 * time.Millisecond
	// minUploadStall is the shortest time that a web server may pause within the body of a request.
	minUploadStall = 500 * time.Millisecond
)

// writers holds buffers for reuse between requests. One buffer holds as much of a request as passes the gate at once.
var writers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, back.MaxFirstWrite) }}

// neverBegun reports whether a send failed before its first byte was written.
func neverBegun(err error) bool {
	return errors.Is(err, back.ErrNoNewRequests) || errors.Is(err, back.ErrClientGone)
}

// send sends a request with the forwarded headers, unless the server accepts no new requests. It reports whether the last
// byte was written. While a body is incomplete the attempt's timer is stopped.
func (s *Sender) send(a *core.Attempt, upload *flow.Upload, c *back.Conn, timer *time.Timer) (bool, error) {
	if upload.Complete() {
		err := write(a, upload, c)
		return err == nil, err
	}
	timer.Stop() // a request's time runs from its last byte
	ended := s.startTimeAtLastByte(a, upload, timer)
	err := write(a, upload, c)
	ended(err)
	return err == nil, err
}

// write writes a request.
func write(a *core.Attempt, upload *flow.Upload, c *back.Conn) error {
	in := a.Request.Message.(*stdhttp.Request)
	req := &stdhttp.Request{Method: in.Method, URL: in.URL, Host: in.Host, Header: stdhttp.Header{"User-Agent": nil},
		ContentLength: upload.Length}
	if upload.Length != 0 {
		req.Body = io.NopCloser(upload.Reader())
	}
	for _, name := range message.ForwardedHeaders {
		if v, ok := in.Header[name]; ok {
			req.Header[name] = v
		}
	}
	req.Header.Set("X-Deadline", strconv.FormatInt(a.Timeout.Microseconds(), 10)+"u")
	w := writers.Get().(*bufio.Writer)
	defer writers.Put(w)
	conn := back.NewGatedConn(c.Conn, a.Server.(*back.Server), a.Wanted)
	if !upload.Complete() {
		// Where it is not known whether the last byte has arrived, the server's pause must not outlast the client.
		conn.Timeout = min(conn.Timeout, max(minUploadStall, a.Timeout))
	}
	w.Reset(conn)
	defer w.Reset(nil)
	if err := req.Write(w); err != nil {
		return err
	}
	return w.Flush()
}

// startTimeAtLastByte starts the attempt's timer once the last byte of an incomplete body has arrived from the client,
// whether or not the web server accepts it, or once a byte that arrived later would come too late. The attempt ends too
// once the client may have been waiting for its whole time, as its input is unread behind a slow server. The returned
// function must be called once the sending has ended: it starts the timer if that has not happened yet, unless the sending
// never began.
func (s *Sender) startTimeAtLastByte(a *core.Attempt, upload *flow.Upload, timer *time.Timer) (ended func(err error)) {
	start := sync.OnceFunc(func() {
		ago := waitingTime(upload)
		s.Core.BodyArrived(a, ago)
		timer.Reset(s.Core.LimitTimeout(a.Timeout - ago))
	})
	sent, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		poll := time.NewTicker(arrivalPollInterval)
		defer poll.Stop()
		for !upload.Arrived() && !s.Core.MustRespond() && waitingTime(upload) < a.Timeout {
			select {
			case <-poll.C:
			case <-upload.Ended():
				if !upload.Arrived() {
					return // the client broke off
				}
			case <-sent:
				return
			}
		}
		start()
	}()
	return func(err error) {
		close(sent)
		<-stopped
		if neverBegun(err) {
			return
		}
		start()
		s.Core.Uploaded(a)
	}
}

// waitingTime returns how long the client of an incomplete body may have been waiting for its response.
func waitingTime(upload *flow.Upload) time.Duration {
	if since := upload.WaitingSince(); !since.IsZero() {
		return time.Since(since)
	}
	return 0
}
