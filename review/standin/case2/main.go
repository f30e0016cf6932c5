// Command case2 replaces the configuration of a node by one without the class with the longest deadline, ends the node
// by SIGTERM soon after, as at a planned restart, and checks that each request that it had taken is answered.
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
	"syscall"
	"time"

	"review/rig"
)

const (
	requests = 6
	deadline = 6 * time.Second // of the class place-accept, and of each request
	// heavyWork is the time of a place-accept of 0.1 to 0.19 s of work that costs 12 to 29 times the usual.
	heavyWork = 3800 * time.Millisecond
	hupAfter  = 500 * time.Millisecond  // after the first request
	termAfter = 1200 * time.Millisecond // after the first request
	// slack is the page's half second after a request's time, within which its answer only earns nothing, and the 50 ms
	// of sockets.
	slack = 550 * time.Millisecond
)

var record *rig.Record

func main() {
	record = rig.NewRecord(filepath.Join(rig.Dir(), "record.txt"))
	record.Say("case 2, trouble %v", rig.Trouble())
	var list []rig.Server
	for i := range 3 {
		id := fmt.Sprintf("s-%d", i+1)
		list = append(list, rig.Server{ID: id, Addr: webServer(id), Zone: "austin-dc1", Kind: "std-2c", Cell: 1, State: "Ready", Weight: 1})
	}
	n := rig.StartNode(record, "n1", rig.Discovery(list), list, rig.Austin(rig.AustinClasses()))
	time.Sleep(1500 * time.Millisecond) // SIGHUP never comes within the first second

	start := time.Now()
	var wg sync.WaitGroup
	lost := make(chan string, requests)
	for i := range requests {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * 15 * time.Millisecond)
			if text := client(n, i); text != "" {
				lost <- text
			}
		})
	}
	time.Sleep(time.Until(start.Add(hupAfter)))
	if rig.Trouble() {
		// place-accept and search vanish, and a new class appears.
		n.WriteConfig(rig.Austin([]any{rig.Class("waitlist-join", "guarded", "all", 0.75, 2, 10, 3),
			rig.Class("place-hold", "guarded", "cell", 0.75, 2, 12, 8)}))
		record.Say("a new configuration: the classes waitlist-join and place-hold, both with a deadline of 2 s")
		n.Signal(syscall.SIGHUP)
	}
	time.Sleep(time.Until(start.Add(termAfter)))
	n.Signal(syscall.SIGTERM)
	termAt := time.Now()
	wg.Wait()
	select {
	case <-n.Exited:
		if n.Err != nil {
			record.Say("the node ended with %v", n.Err)
		}
	case <-time.After(15 * time.Second):
		rig.Skip("the node did not end after SIGTERM")
	}
	record.Say("the node has ended by itself, %.2f s after SIGTERM at the latest; SIGKILL was never sent", time.Since(termAt).Seconds())
	rig.StopNodes()
	if len(lost) > 0 {
		for range len(lost) {
			record.Say("lost: %s", <-lost)
		}
		record.Say("BROKEN: requests that the node had taken got no answer")
		os.Exit(1)
	}
	record.Say("held")
}

// client sends one place-accept and returns what is wrong with its answer, empty for nothing.
func client(n *rig.Node, i int) string {
	conn, err := net.Dial("tcp", n.Addr)
	if err != nil {
		rig.Skip("connect: %v", err)
	}
	defer conn.Close()
	r := &rig.Request{ID: fmt.Sprintf("r-%d-%d", i, time.Now().UnixNano()), Class: "place-accept", Key: fmt.Sprintf("key-%d-%d", i, time.Now().UnixNano()),
		Deadline: deadline, Body: []byte(`{"place":"toddler"}`)}
	if _, err := io.WriteString(conn, r.Head()+string(r.Body)); err != nil {
		rig.Skip("send: %v", err)
	}
	sent := time.Now()
	record.Add("client sends %s, a place-accept with a deadline of %v", r.ID, deadline)
	conn.SetReadDeadline(sent.Add(deadline + slack))
	answer := rig.Receive(bufio.NewReader(conn))
	record.Say("client: %s after %.2f s: %v", r.ID, answer.At.Sub(sent).Seconds(), answer)
	if answer.Err != nil {
		return fmt.Sprintf("%s: %v after %.2f s", r.ID, answer, answer.At.Sub(sent).Seconds())
	}
	return ""
}

// webServer starts a web server on which each place-accept is a heavy one, and returns its address.
func webServer(id string) string {
	ln := rig.Listen()
	go http.Serve(ln, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requestID := r.Header.Get("X-Request-Id")
		io.Copy(io.Discard, r.Body)
		record.Add("%s runs %s", id, requestID)
		select {
		case <-time.After(heavyWork):
			record.Add("%s answers %s with 200", id, requestID)
			fmt.Fprintf(w, "accepted: %s\n", requestID)
		case <-r.Context().Done():
			record.Add("%s: the node has given up %s", id, requestID)
		}
	}))
	return ln.Addr().String()
}
