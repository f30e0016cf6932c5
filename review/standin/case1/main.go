// Command case1 plays web servers of another zone that now and then write a second copy of an answer a few
// milliseconds behind it, and checks that each client gets the answer made for its own request.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"review/rig"
)

const (
	nodes    = 10 // in the zone duluth
	duration = 25 * time.Second
	// The zone duluth has slow boxes, the zone milwaukee full ones. Their times for a request of the class standings.
	slowBoxes, slowWork = 2, 66 * time.Millisecond
	fullBoxes, fullWork = 2, 36 * time.Millisecond
	// near is the network's delay each way within a zone.
	near = 200 * time.Microsecond
	// oneWay is the network's delay each way between a node and a web server of another zone. The site's cross_ms are
	// 5.6 to 10; half of that is taken, as though they were for both ways.
	oneWay = 4 * time.Millisecond
	// A second copy follows its answer after minLate to maxLate, if nothing else waits on the connection then.
	minLate, maxLate = 4 * time.Millisecond, 9 * time.Millisecond
	spoiltShare      = 0.05 // of the answers
)

var (
	record *rig.Record
	copies atomic.Int64
)

func main() {
	record = rig.NewRecord(filepath.Join(rig.Dir(), "record.txt"))
	record.Say("case 1, trouble %v", rig.Trouble())
	var list []rig.Server
	for i := range slowBoxes + fullBoxes {
		s := rig.Server{ID: fmt.Sprintf("s-%d", i+1), Zone: "duluth", Kind: "slow-box", Cell: 1, State: "Ready", Weight: 1}
		if i < slowBoxes {
			s.Addr = webServer(s.ID, slowWork, near)
		} else {
			s.Zone, s.Kind = "milwaukee", "full-box"
			s.Addr = webServer(s.ID, fullWork, oneWay)
		}
		list = append(list, s)
	}
	discovery := rig.Discovery(list)
	var wg sync.WaitGroup
	var served, other, foreign atomic.Int64
	for i := range nodes {
		n := rig.StartNode(record, fmt.Sprintf("n%d", i+1), discovery, list, lakes(i))
		wg.Go(func() { client(n, i, &served, &other, &foreign) })
	}
	wg.Wait()
	rig.StopNodes()
	record.Say("%d requests were served with their own answer, %d were not served, %d got another request's answer; %d second copies were written",
		served.Load(), other.Load(), foreign.Load(), copies.Load())
	switch {
	case foreign.Load() > 0:
		record.Say("BROKEN: a client was served with what was not the answer made for its request")
		os.Exit(1)
	case served.Load() < 100 || rig.Trouble() && copies.Load() == 0:
		rig.Skip("too few requests were served, or no second copy was written")
	}
	record.Say("held")
}

// lakes returns settings of kit/more/mass/other/lakes-tourney.toml.
func lakes(ordinal int) map[string]any {
	set := rig.Austin([]any{
		rig.Class("result-entry", "free", "all", 0.5, 1.2, 5, 12),
		rig.Class("standings", "free", "all", 0.5, 1.2, 5, 1),
		rig.Class("deck-check", "free", "all", 2, 4, 5, 1),
	})
	set["balancers"], set["ordinal"], set["projects"] = nodes, ordinal, []any{}
	set["zone"], set["zones"], set["tiers"] = "duluth", []string{"duluth", "milwaukee"}, []string{"tourney-web"}
	set["host_types"], set["worth_by"] = []string{"full-box", "slow-box"}, "request"
	set["report"] = map[string]any{"how": "silent", "names": []string{}}
	limits, rules := set["policy_limits"].(map[string]any), set["invariants"].(map[string]any)
	limits["max_attempts"], limits["conn_idle_s"], limits["parallel_tries"] = 4, 15.0, true
	rules["drain_grace_s"], rules["overload_factor"], rules["fall_s"] = 0.5, 4.0, 3.0
	return set
}

// client sends one request after the other on one connection, and compares each answer with the web server's.
func client(n *rig.Node, number int, served, other, foreign *atomic.Int64) {
	var conn net.Conn
	var in *bufio.Reader
	end := time.Now().Add(duration)
	for i := 0; time.Now().Before(end); i++ {
		if conn == nil {
			var err error
			if conn, err = net.Dial("tcp", n.Addr); err != nil {
				record.Add("client %d: %v", number, err)
				return
			}
			in = bufio.NewReader(conn)
		}
		r := &rig.Request{ID: fmt.Sprintf("c%d-%d-%08x", number, i, rand.Uint32()), Class: "standings", Deadline: 1200 * time.Millisecond}
		record.Add("client %d sends %s", number, r.ID)
		io.WriteString(conn, r.Head())
		conn.SetReadDeadline(time.Now().Add(3 * time.Second))
		answer := rig.Receive(in)
		switch {
		case answer.Err == nil && answer.Status == 200 && string(answer.Body) == answerTo(r.ID):
			served.Add(1)
			record.Add("client %d got its answer to %s", number, r.ID)
		case answer.Status == 200:
			foreign.Add(1)
			record.Say("client %d: %s was answered 200 with %q", number, r.ID, answer.Body)
		default:
			other.Add(1)
			record.Add("client %d: %s: %v", number, r.ID, answer)
			conn.Close()
			conn = nil
		}
	}
	if conn != nil {
		conn.Close()
	}
}

func answerTo(id string) string { return "the answer to " + id + "\n" }

// webServer starts a web server behind the delay of the network, and returns the address at which nodes reach it.
func webServer(id string, work, delay time.Duration) string {
	ln := rig.Listen()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go serve(id, c, work)
		}
	}()
	return delayed(ln.Addr().String(), delay)
}

// serve answers the requests on one connection. After some answers it writes a second copy, if by then not a byte of
// another request has come.
func serve(id string, c net.Conn, work time.Duration) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		io.Copy(io.Discard, req.Body)
		requestID := req.Header.Get("X-Request-Id")
		record.Add("%s runs %s (connection %v)", id, requestID, c.RemoteAddr())
		time.Sleep(work)
		body := answerTo(requestID)
		text := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		if _, err := io.WriteString(c, text); err != nil {
			return
		}
		if !rig.Trouble() || rand.Float64() >= spoiltShare {
			continue
		}
		late := minLate + time.Duration(rand.Int64N(int64(maxLate-minLate)))
		c.SetReadDeadline(time.Now().Add(late))
		_, err = in.Peek(1)
		c.SetReadDeadline(time.Time{})
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			continue // the next request is here, or the connection has ended
		}
		copies.Add(1)
		record.Add("%s writes a second copy of its answer to %s, %v behind it; nothing else waits (connection %v)", id, requestID, late, c.RemoteAddr())
		io.WriteString(c, text)
	}
}

// delayed returns an address that leads to another one through a network with the given delay each way.
func delayed(addr string, delay time.Duration) string {
	ln := rig.Listen()
	go func() {
		for {
			a, err := ln.Accept()
			if err != nil {
				return
			}
			b, err := net.Dial("tcp", addr)
			if err != nil {
				a.Close()
				continue
			}
			go carry(a, b, delay)
			go carry(b, a, delay)
		}
	}()
	return ln.Addr().String()
}

// carry passes on what arrives from a connection, later by the delay, and then its end.
func carry(from, to net.Conn, delay time.Duration) {
	type piece struct {
		due  time.Time
		text []byte
	}
	pieces := make(chan piece, 1000)
	go func() {
		defer close(pieces)
		buf := make([]byte, 32<<10)
		for {
			n, err := from.Read(buf)
			if n > 0 {
				pieces <- piece{time.Now().Add(delay), append([]byte(nil), buf[:n]...)}
			}
			if err != nil {
				return
			}
		}
	}()
	for p := range pieces {
		time.Sleep(time.Until(p.due))
		to.Write(p.text)
	}
	to.Close()
}
