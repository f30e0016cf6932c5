// Command case3 sends large requests to web servers of which one has hung (no reset, no answer), and checks that each
// request gets its final answer by its deadline.
package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"review/rig"
)

const (
	// How much of a body the systems hold between a client and the node, and between the node and a web server that has
	// hung, is not known ahead: the bodies have several sizes, from 4 MB up. The page allows 32 MB.
	smallest, step = 4 << 20, 256 << 10
	deadline       = 2 * time.Second // of the class waitlist-join, and of each request
	// slack is the page's half second after a request's time, within which its answer only earns nothing, and the 50 ms
	// of sockets.
	slack    = 550 * time.Millisecond
	requests = 10
	servers  = 4
	hung     = 2 // of the servers
)

var record *rig.Record

func main() {
	record = rig.NewRecord(filepath.Join(rig.Dir(), "record.txt"))
	record.Say("case 3, trouble %v", rig.Trouble())
	var list []rig.Server
	for i := range servers {
		id := fmt.Sprintf("s-%d", i+1)
		list = append(list, rig.Server{ID: id, Addr: webServer(id, rig.Trouble() && i < hung), Zone: "austin-dc1", Kind: "std-2c", Cell: 1, State: "Ready", Weight: 1})
	}
	n := rig.StartNode(record, "n1", rig.Discovery(list), list, rig.Austin(rig.AustinClasses()))
	var wg sync.WaitGroup
	var mu sync.Mutex
	var lost []string
	taken := 0
	for i := range requests {
		wg.Go(func() {
			whole, text := client(n, i)
			mu.Lock()
			defer mu.Unlock()
			if whole {
				taken++
			}
			if text != "" {
				lost = append(lost, text)
			}
		})
		time.Sleep(20 * time.Millisecond)
	}
	wg.Wait()
	rig.StopNodes()
	if len(lost) > 0 {
		for _, text := range lost {
			record.Say("lost: %s", text)
		}
		record.Say("BROKEN: requests that the node had taken whole got no answer in their time")
		os.Exit(1)
	}
	if taken == 0 {
		rig.Skip("no request was written whole")
	}
	record.Say("held")
}

func client(n *rig.Node, i int) (whole bool, lost string) {
	size := smallest + i*step
	conn, err := net.Dial("tcp", n.Addr)
	if err != nil {
		rig.Skip("connect: %v", err)
	}
	defer conn.Close()
	r := &rig.Request{ID: fmt.Sprintf("r-%d-%d", i, time.Now().UnixNano()), Class: "waitlist-join", Key: fmt.Sprintf("key-%d-%d", i, time.Now().UnixNano()),
		Deadline: deadline, Body: make([]byte, size)}
	begun := time.Now()
	record.Add("client begins %s, a waitlist-join of %d bytes with a deadline of %v", r.ID, size, deadline)
	conn.SetWriteDeadline(begun.Add(5 * time.Second))
	_, err = io.WriteString(conn, r.Head())
	if err == nil {
		_, err = conn.Write(r.Body)
	}
	if err != nil {
		record.Say("client: %s was not written whole: %v", r.ID, err)
		return false, ""
	}
	sent := time.Now()
	record.Say("client has written the last byte of %s after %.3f s", r.ID, sent.Sub(begun).Seconds())
	conn.SetReadDeadline(sent.Add(deadline + slack))
	in := bufio.NewReader(conn)
	answer := rig.Receive(in)
	record.Say("client: %s, %.2f s after its last byte: %v", r.ID, answer.At.Sub(sent).Seconds(), answer)
	if answer.Err != nil {
		lost = fmt.Sprintf("%s: %v, %.2f s after its last byte", r.ID, answer, answer.At.Sub(sent).Seconds())
		conn.SetReadDeadline(sent.Add(15 * time.Second))
		late := rig.Receive(in)
		record.Say("client: %s, %.2f s after its last byte: %v", r.ID, late.At.Sub(sent).Seconds(), late)
	}
	return true, lost
}

// webServer starts a web server, and returns its address. One that hangs accepts connections and reads nothing.
func webServer(id string, hangs bool) string {
	ln := rig.Listen()
	if hangs {
		go func() {
			var open []net.Conn
			for {
				c, err := ln.Accept()
				if err != nil {
					return
				}
				open = append(open, c) // one that is collected would be closed
				record.Add("%s, which hangs, has a connection from %v", id, c.RemoteAddr())
			}
		}()
		return ln.Addr().String()
	}
	go http.Serve(ln, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requestID := r.Header.Get("X-Request-Id")
		n, err := io.Copy(io.Discard, r.Body)
		record.Add("%s got %d bytes of %s: %v", id, n, requestID, err)
		if err != nil {
			return
		}
		record.Add("%s runs %s", id, requestID)
		time.Sleep(100 * time.Millisecond)
		fmt.Fprintf(w, "joined: %s\n", requestID)
	}))
	return ln.Addr().String()
}
