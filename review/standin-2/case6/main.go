// Case 6: where web servers turn requests away, second copies of answers are served to other requests, and shift all
// answers that follow on their connections.
package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"standin2/rig"
)

const (
	servers     = 12
	netDelay    = 300 * time.Microsecond // each way, within the data centre: 0.12 to 0.33 ms
	places      = 4                      // a web server holds so many requests, works on two at a time, and turns others away
	rate        = 300
	length      = 100 * time.Second
	copies      = 0.25 // share of the 200 answers that bring a second copy
	minCopyWait = 4 * time.Millisecond
	maxCopyWait = 20 * time.Millisecond
)

// place is a web server's room for requests.
type place struct {
	held  atomic.Int64
	cores chan struct{}
}

func main() {
	rec := rig.NewRecord(os.Args[1])
	runs := &rig.Runs{}
	var list []rig.Entry
	for i := range servers {
		p := &place{cores: make(chan struct{}, 2)}
		s := rig.StartServer(rec, runs, fmt.Sprintf("s-%02d", i), "", int64(i%2), nil, nil)
		s.Turn = func() bool { // turns a request away when it holds as many as it may
			if p.held.Add(1) > places {
				p.held.Add(-1)
				return true
			}
			return false
		}
		s.Work = func(r *http.Request) time.Duration {
			p.cores <- struct{}{}
			work := 30*time.Millisecond + time.Duration(rand.ExpFloat64()*float64(30*time.Millisecond))
			if rand.Float64() < 0.02 { // the work's coefficient of variation is 2.2; the site file has 1.4 to 2.7
				work *= 20
			}
			time.Sleep(work)
			<-p.cores
			p.held.Add(-1)
			return 0
		}
		s.After = func(c net.Conn, in *bufio.Reader, answer []byte, id string) {
			if !rig.Trouble() || !bytes.HasPrefix(answer, []byte("HTTP/1.1 200 ")) || rand.Float64() > copies {
				return
			}
			// A second copy, some milliseconds late, if nothing else waits on the connection by then.
			wait := minCopyWait + time.Duration(rand.Int64N(int64(maxCopyWait-minCopyWait)))
			c.SetReadDeadline(time.Now().Add(wait))
			_, err := in.Peek(1)
			c.SetReadDeadline(time.Time{})
			if ne, ok := err.(net.Error); ok && ne.Timeout() {
				rec.Logf("web server %s: a second copy, %.0f ms late, of its answer to %s: %s", s.ID, wait.Seconds()*1000, id, bytes.SplitN(answer, []byte("\r"), 2)[0])
				c.Write(answer)
			}
		}
		e := s.Entry
		e.Addr = rig.NewProxy(s.Addr, netDelay).Addr
		list = append(list, e)
	}
	disc := rig.NewDiscovery(rec, list...)
	node := rig.NewNode(rec, ".", rig.Settings(rig.Site()), disc.Addr, disc.List())
	node.Start()

	conns := make(chan *client, 256)
	for range cap(conns) {
		conns <- &client{}
	}
	var clients sync.WaitGroup
	var mu sync.Mutex
	answers, wrong := map[int]int{}, 0
	begun := time.Now()
	for n := 0; time.Since(begun) < length; n++ {
		time.Sleep(time.Until(begun.Add(time.Duration(n) * time.Second / rate)))
		q := &rig.Request{ID: fmt.Sprintf("r%06d", n), Class: "search", Deadline: 2700 * time.Millisecond}
		if n%3 == 1 {
			q.Class, q.Key, q.Deadline = "waitlist-join", fmt.Sprintf("key-%06d", n), 1800*time.Millisecond
		} else if n%6 == 2 {
			q.Class, q.Key, q.Deadline = "place-accept", fmt.Sprintf("key-%06d", n), 5*time.Second
		}
		c := <-conns
		clients.Go(func() {
			status, body := c.do(node.Listen, q)
			conns <- c
			mu.Lock()
			defer mu.Unlock()
			answers[status]++
			rec.Logf("client: %s %s answered %d %.40q", q.ID, q.Class, status, body)
			if status == 200 && !strings.HasPrefix(body, "served "+q.ID+" ") {
				if wrong++; wrong <= 20 {
					rec.Verdict("%s (%s) was served with an answer that was not made for it: %.60q", q.ID, q.Class, body)
				}
			}
		})
	}
	clients.Wait()
	node.Stop()
	rec.Verdict("answers by status: %v; served with another request's answer: %d", answers, wrong)
	switch {
	case wrong > 0:
		os.Exit(rig.Broken)
	case answers[200] < 1000:
		os.Exit(rig.NotRun)
	}
}

// client is a client's connection, kept between requests.
type client struct {
	conn net.Conn
	in   *bufio.Reader
}

// do sends a request and returns its answer. On a kept connection that the node has closed it sends it once more.
func (c *client) do(addr string, q *rig.Request) (int, string) {
	for {
		kept := c.conn != nil
		if !kept {
			conn, err := net.Dial("tcp", addr)
			if err != nil {
				return 0, err.Error()
			}
			c.conn, c.in = conn, bufio.NewReader(conn)
		}
		c.conn.SetDeadline(time.Now().Add(q.Deadline + time.Second))
		_, err := io.WriteString(c.conn, q.Head("backend.local", 0))
		if err == nil {
			var resp *http.Response
			if resp, err = http.ReadResponse(c.in, nil); err == nil {
				var text []byte
				if text, err = io.ReadAll(resp.Body); err == nil {
					if resp.Close {
						c.end()
					}
					return resp.StatusCode, string(text)
				}
			}
		}
		c.end()
		if ne, timeout := err.(net.Error); !kept || timeout && ne.Timeout() {
			return 0, err.Error()
		}
	}
}

func (c *client) end() {
	c.conn.Close()
	c.conn = nil
}
