// Case 9: a request without a key, under way when new settings arrive, is sent again though it may have run.
package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"standin2/rig"
)

const (
	servers   = 6
	bodySize  = 56 << 10
	pieceSize = 4 << 10
	byteRate  = 64_000 // bytes a second: a body takes 0.9 s
	rounds    = 3
	each      = 12 // requests under way at each SIGHUP
)

func main() {
	rec := rig.NewRecord(os.Args[1])
	runs := &rig.Runs{}
	var list []rig.Entry
	var begun atomic.Int64
	for i := range servers {
		s := rig.StartServer(rec, runs, fmt.Sprintf("s-%02d", i), "", 0, &rig.Pod{Window: 10 * time.Second},
			func(*http.Request) time.Duration { return 80 * time.Millisecond })
		s.Answer = func(c net.Conn, r *http.Request, run rig.Run) bool {
			// Connections are reset under requests that have begun: under every other first attempt.
			if rig.Trouble() && len(runs.Executed()[run.ID]) == 1 && begun.Add(1)%2 == 0 {
				rec.Logf("web server %s: resets the connection under %s, which it has run", s.ID, run.ID)
				rig.Reset(c)
				return false
			}
			return rig.OK(c, fmt.Sprintf("served %s by %s", run.ID, s.ID))
		}
		list = append(list, s.Entry)
	}
	disc := rig.NewDiscovery(rec, list...)
	settings := func(unsafe bool) map[string]any {
		classes := rig.Site()
		if unsafe {
			classes[1] = rig.NewClass("waitlist-join", "single_shot", "all", 1.2, 3, 3, 10)
		} else {
			classes[1] = rig.NewClass("waitlist-join", "guarded", "all", 1.2, 3, 3, 10)
		}
		return rig.Settings(classes)
	}
	node := rig.NewNode(rec, ".", settings(true), disc.Addr, disc.List())
	node.Start()
	time.Sleep(1500 * time.Millisecond) // no SIGHUP within the first second

	var clients sync.WaitGroup
	var mu sync.Mutex
	answers := map[int]int{}
	for round := range rounds {
		for i := range each {
			clients.Go(func() {
				status := slowly(rec, node.Listen, fmt.Sprintf("r%d-%02d", round, i))
				mu.Lock()
				answers[status]++
				mu.Unlock()
			})
			time.Sleep(30 * time.Millisecond)
		}
		if rig.Trouble() {
			node.Config["settings"] = settings(false)
			node.WriteConfig()
			rec.Logf("new settings: waitlist-join guarded, no longer single_shot")
			node.Signal(syscall.SIGHUP)
		}
		clients.Wait()
		time.Sleep(2500 * time.Millisecond)
		if rig.Trouble() { // back, for the next round
			node.Config["settings"] = settings(true)
			node.WriteConfig()
			rec.Logf("new settings: waitlist-join single_shot again")
			node.Signal(syscall.SIGHUP)
			time.Sleep(4 * time.Second)
		}
	}
	node.Stop()
	twice := 0
	executed := runs.Executed()
	for id, all := range executed {
		if len(all) > 1 {
			twice++
			text := ""
			for _, run := range all {
				text += fmt.Sprintf(" %s at %s", run.Server.ID, run.At.Format("15:04:05.000"))
			}
			rec.Verdict("%s, a POST without a key, was executed %d times:%s", id, len(all), text)
		}
	}
	rec.Verdict("answers by status: %v; requests executed: %d, more than once: %d", answers, len(executed), twice)
	switch {
	case twice > 0:
		os.Exit(rig.Broken)
	case len(executed) < rounds*each/2:
		os.Exit(rig.NotRun)
	}
}

// slowly sends a POST without a key whose body moves at byteRate, and returns the status of its answer.
func slowly(rec *rig.Record, addr, id string) int {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return 0
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(8 * time.Second))
	q := &rig.Request{ID: id, Class: "waitlist-join", Deadline: 3 * time.Second}
	rec.Logf("client: begins %s, a POST without a key", id)
	io.WriteString(c, q.Head("backend.local", bodySize))
	piece := bytes.Repeat([]byte("x"), pieceSize)
	for sent := 0; sent < bodySize; sent += pieceSize {
		time.Sleep(pieceSize * time.Second / byteRate)
		c.Write(piece)
	}
	rec.Logf("client: has sent all of %s", id)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		rec.Logf("client: %s has no answer: %v", id, err)
		return 0
	}
	io.Copy(io.Discard, resp.Body)
	rec.Logf("client: %s answered %d", id, resp.StatusCode)
	return resp.StatusCode
}
