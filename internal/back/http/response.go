package http

import (
	"context"
	"errors"
	"fmt"
	"io"
	stdhttp "net/http"
	"os"
	"time"

	"portstall/internal/back"
	"portstall/internal/core"
	"portstall/internal/flow"
	"portstall/internal/message"
)

// maxHeadBytes is the maximum size of a response's head.
const maxHeadBytes = 16 << 10

const (
	// bufferedStallAllowance is how long a response that is buffered, so that its request can still be retried, may take
	// once it has begun, beyond its time at back.MinRate.
	bufferedStallAllowance = 250 * time.Millisecond
	// maxChunkOverhead is how many bytes the framing of chunks adds to each byte of a body at most.
	maxChunkOverhead = 31
)

// errMalformed reports a response that cannot be the web server's response to the request. The request may have run.
var errMalformed = errors.New("malformed response")

// errSecondCopy reports a second copy of the response before it, without a response to the request. The request may have
// run.
var errSecondCopy = errors.New("second copy of the response before it on the connection")

const (
	// minSecondWait and secondWaitFactor bound the wait for the next response after one that may be a copy: the factor
	// times how long the response before took to begin, and at least minSecondWait.
	minSecondWait    = 100 * time.Millisecond
	secondWaitFactor = 4
	// copyWaitDivisor divides the attempt's time into the longest wait, so that a retry still has time.
	copyWaitDivisor = 2
	// maxUnknownWait is the longest wait where little is known of the class. It is waited through once for a class of
	// which all responses are equal.
	maxUnknownWait = time.Second
)

// secondWait returns how long the next response is awaited after one that equals the response before it.
func secondWait(known likeness, previous, timeout time.Duration) time.Duration {
	wait := max(minSecondWait, secondWaitFactor*previous)
	switch known {
	case distinctClass:
		return max(wait, timeout/copyWaitDivisor)
	case unknownLikeness:
		return max(wait, min(maxUnknownWait, timeout/copyWaitDivisor))
	}
	return wait
}

// response is the response to an attempt: buffered, or streamed if its body is larger than flow.MaxBuffered or may be.
type response struct {
	resp        *stdhttp.Response
	body        []byte        // nil if streamed
	beginning   *beginning    // reads the first bytes of a streamed body; nil: none are read ahead
	streamed    bool          // the rest of the body is still on the connection
	share       flow.Share    // of the budget
	firstByteAt time.Duration // when its first byte arrived, on the core's clock
	digest      back.Digest   // 0 if streamed and not read ahead
	requestKey  uint64        // the request's keyHash
	class       string        // the request's class
	surplus     bool          // a second copy came before it: the connection is not used again
	maybeCopy   bool          // it may be a second copy of the rejection before it: the request may have run
}

// read returns the response to the request that was just sent. A web server may send a second copy of a response after
// it, as long as no byte of another request has reached the server: such a copy arrives before the response to the
// request, and equals the response before it.
func (s *Sender) read(ctx context.Context, c *back.Conn, a *core.Attempt, expiry *expiry) (response, error) {
	in := a.Request.Message.(*stdhttp.Request)
	sentAt := s.Core.Now()
	got, err := s.readResponse(ctx, c, in, expiry)
	if err != nil {
		return response{}, err
	}
	// A copy has the header fields of the response before it, which did not announce the end of the connection.
	if equal, known := s.repeats(c, got); equal && !got.resp.Close {
		wait := secondWait(known, c.LastWait, a.Timeout)
		if got, err = s.skipCopy(ctx, c, in, got, known == distinctClass, wait, expiry); err != nil {
			return response{}, err
		}
	}
	c.LastWait = got.firstByteAt - sentAt
	return got, nil
}

// skipCopy returns the response to a request whose first response equals the one before it on the connection. If that
// is a second copy, as it is if copied is true, the request's own response is still to come, within wait.
func (s *Sender) skipCopy(ctx context.Context, c *back.Conn, in *stdhttp.Request, first response, copied bool, wait time.Duration, expiry *expiry) (response, error) {
	switch {
	case first.resp.StatusCode != stdhttp.StatusOK:
		first.maybeCopy = in.Method != stdhttp.MethodGet
		return first, nil
	case first.streamed && !copied:
		return first, nil
	case first.streamed:
		first.share.Release()
		return response{}, errSecondCopy
	}
	err := awaitInput(c, wait)
	if errors.Is(err, os.ErrDeadlineExceeded) && !copied {
		s.history.recordRepeated(first.digest)
		return first, nil
	}
	s.Pool.ReportSurplus()
	first.share.Release()
	if err != nil {
		return response{}, fmt.Errorf("%w: %w", errSecondCopy, err)
	}
	second, err := s.readResponse(ctx, c, in, expiry)
	if err == nil {
		s.repeats(c, second)
		second.surplus = true
	}
	return second, err
}

// awaitInput waits until the connection has input, for a limited time if limit is over 0.
func awaitInput(c *back.Conn, limit time.Duration) error {
	c.Limit.N = maxHeadBytes
	if err := c.LimitWait(limit); err != nil {
		return err
	}
	_, err := c.In.Peek(1)
	return err
}

// readResponse reads one response. A body of up to flow.MaxBuffered is read completely before any of it is passed on, so
// that the request can still be retried if the response breaks off. Only the attempt's own timeout limits the wait for
// its first byte.
func (s *Sender) readResponse(ctx context.Context, c *back.Conn, in *stdhttp.Request, expiry *expiry) (response, error) {
	resp, firstByteAt, err := s.readHead(c, in.Method)
	if err != nil {
		return response{}, err
	}
	got := response{resp: resp, firstByteAt: firstByteAt, requestKey: keyHash(in),
		class: in.Header.Get("X-Class")}
	if got.share, err = s.Budget.AcquireShare(ctx, resp.ContentLength); err != nil {
		return response{}, err
	}
	if err := got.readBody(c, bufferedStallAllowance+s.StallSlack, expiry); err != nil {
		got.share.Release()
		return response{}, fmt.Errorf("%w: %w", errMalformed, err)
	}
	if !got.streamed {
		got.share.SetBuffered()
	}
	return got, nil
}

// readHead reads the head of a final response, and returns when its first byte arrived.
func (s *Sender) readHead(c *back.Conn, method string) (*stdhttp.Response, time.Duration, error) {
	malformed := func(err error) (*stdhttp.Response, time.Duration, error) {
		return nil, 0, fmt.Errorf("%w: %w", errMalformed, err)
	}
	for {
		if err := awaitInput(c, 0); err != nil {
			return nil, 0, err
		}
		firstByteAt := s.Core.Now()
		if err := c.LimitWait(bufferedStallAllowance + s.StallSlack + back.TransferTime(maxHeadBytes+flow.MaxBuffered)); err != nil {
			return nil, 0, err
		}
		resp, err := stdhttp.ReadResponse(c.In, &stdhttp.Request{Method: method})
		if err != nil {
			return malformed(err)
		}
		if resp.StatusCode == stdhttp.StatusSwitchingProtocols {
			return malformed(errors.New("unexpected status 101 Switching Protocols"))
		}
		if resp.StatusCode < 200 { // informational: the final response follows, perhaps later
			continue
		}
		if resp.ContentLength > message.MaxBody {
			return malformed(fmt.Errorf("Content-Length of %d bytes is over the limit", resp.ContentLength))
		}
		resp.Header = keptFields(resp.Header)
		return resp, firstByteAt, nil
	}
}

// keptFields returns the fields of a response's head that are used once it has been read. The others would take some
// hundred bytes of memory each for as long as the response is passed on.
func keptFields(all stdhttp.Header) stdhttp.Header {
	kept := stdhttp.Header{}
	for _, name := range []string{"Content-Type", "X-Load", "X-Not-Run"} {
		if values, ok := all[name]; ok {
			kept[name] = values
		}
	}
	return kept
}

// readBody reads the body completely, or what is needed of it before it is streamed, and computes the digest. The
// beginning of a streamed body of known length is read ahead only if the response may be a copy.
func (r *response) readBody(c *back.Conn, allowance time.Duration, expiry *expiry) error {
	length := r.resp.ContentLength
	switch {
	case length > flow.MaxBuffered && length != c.LastStreamLength:
		r.streamed = true
		return nil
	case length > flow.MaxBuffered:
		return r.readAhead(c, digestPrefix, expiry)
	case length < 0:
		return r.readAhead(c, flow.MaxBuffered+1, expiry)
	}
	if err := c.LimitWait(allowance + back.TransferTime(length)); err != nil {
		return err
	}
	c.Limit.N = wireSize(flow.MaxBuffered)
	r.body = make([]byte, length)
	if _, err := io.ReadFull(r.resp.Body, r.body); err != nil {
		return err
	}
	return r.finishBody()
}

// readAhead reads up to limit bytes of a body that may have to be streamed. It is streamed if there are more, if it was
// held back for long enough, or if the attempt's time is up: a large response is timed by its first byte.
func (r *response) readAhead(c *back.Conn, limit int, expiry *expiry) error {
	if err := limitStream(c, r.resp); err != nil {
		return err
	}
	r.beginning = readBeginning(r.resp.Body, limit)
	var passOn <-chan struct{} // nil for a response that is not passed on in any case
	if r.resp.StatusCode == stdhttp.StatusOK {
		held, release := expiry.holdBack()
		defer release()
		passOn = held
	}
	ended, err := r.beginning.await(passOn)
	if err != nil {
		return err
	}
	read := r.beginning.read()
	if ended {
		r.body, r.beginning = read, nil
		return r.finishBody()
	}
	r.streamed = true
	if len(read) >= digestPrefix {
		r.digest = digest(r.resp.StatusCode, r.resp.ContentLength, read[:digestPrefix])
	}
	return nil
}

// finishBody computes the digest of a body that was read completely, and reads what follows it: the last chunk and the
// trailers.
func (r *response) finishBody() error {
	r.digest = digest(r.resp.StatusCode, int64(len(r.body)), r.body)
	_, err := r.resp.Body.Read(make([]byte, 1))
	if err == io.EOF {
		err = nil
	}
	return err
}

// wireSize returns how many bytes a response of the given size takes at most, with its head and the framing of chunks.
func wireSize(body int64) int64 { return (1+maxChunkOverhead)*body + maxHeadBytes }

// reusable reports whether another request may be sent on a connection whose response was read completely: it stays
// open, and no bytes follow the response.
func reusable(c *back.Conn, resp *stdhttp.Response) bool {
	return !resp.Close && c.In.Buffered() == 0 && c.LimitWait(0) == nil
}
