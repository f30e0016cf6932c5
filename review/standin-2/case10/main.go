// Case 10: a large request whose last byte comes after SIGTERM has no final answer when SIGKILL comes.
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
	hang      = 2 // of these from SIGTERM on: a third
	bodySize  = 100 << 10
	pieceSize = 4 << 10
	byteRate  = 64_000 // bytes a second: a body takes 1.6 s
	requests  = 12
	killAfter = 3750 * time.Millisecond // the longest deadline is 6 s, counted as 3 s, and 0.7 s; and 50 ms
	came      = 700 * time.Millisecond
	// Each client begins its head before SIGTERM and ends it 0.8 s after it; it may take 2 s for it.
	beforeTerm = 300 * time.Millisecond
	headTime   = 1100 * time.Millisecond
)

type outcome struct {
	id      string
	last    time.Time // when its last byte was written
	ended   time.Time
	status  int
	problem error
}

func main() {
	rec := rig.NewRecord(os.Args[1])
	runs := &rig.Runs{}
	var hanging atomic.Bool
	var list []rig.Entry
	for i := range servers {
		s := rig.StartServer(rec, runs, fmt.Sprintf("s-%02d", i), "", int64(i/3), &rig.Pod{Window: 12 * time.Second},
			func(*http.Request) time.Duration { return 150 * time.Millisecond })
		s.Answer = func(c net.Conn, r *http.Request, run rig.Run) bool {
			if i < hang && hanging.Load() {
				rec.Logf("web server %s: hangs with %s", s.ID, run.ID)
				time.Sleep(time.Minute)
			}
			return rig.OK(c, fmt.Sprintf("served %s by %s", run.ID, s.ID))
		}
		list = append(list, s.Entry)
	}
	disc := rig.NewDiscovery(rec, list...)
	node := rig.NewNode(rec, ".", rig.Settings(rig.Site()), disc.Addr, disc.List())
	node.Start()
	for i := range 40 { // some requests before, so that the node knows its web servers
		rig.Do(rec, node.Listen, &rig.Request{ID: fmt.Sprintf("w%02d", i), Class: "search", Deadline: 3 * time.Second})
	}
	var clients sync.WaitGroup
	results := make(chan outcome, requests)
	for i := range requests {
		clients.Go(func() {
			results <- upload(rec, node.Listen, fmt.Sprintf("r%02d", i), time.Duration(i)*20*time.Millisecond)
		})
	}
	time.Sleep(beforeTerm)
	var term time.Time
	if rig.Trouble() {
		hanging.Store(true)
		term = time.Now()
		node.Signal(syscall.SIGTERM)
		if node.Ended(time.Until(term.Add(killAfter))) {
			rec.Logf("the node has ended by itself")
		} else {
			node.Signal(syscall.SIGKILL)
		}
	}
	clients.Wait()
	node.Stop()
	close(results)
	lost, answered := 0, 0
	for o := range results {
		if o.status != 0 {
			answered++
			continue
		}
		late := o.last.Sub(term)
		if !o.last.IsZero() && (term.IsZero() || late > came) {
			lost++
			rec.Verdict("%s: its last byte came %.3f s after SIGTERM, no final answer %.3f s after SIGTERM: %v", o.id, late.Seconds(), o.ended.Sub(term).Seconds(), o.problem)
		} else {
			rec.Verdict("%s has no answer, which the rule allows: %v", o.id, o.problem)
		}
	}
	rec.Verdict("answered: %d of %d, lost: %d", answered, requests, lost)
	switch {
	case lost > 0:
		os.Exit(rig.Broken)
	case answered == 0:
		os.Exit(rig.NotRun)
	}
}

// upload sends a request with a large body at byteRate and waits for its answer.
func upload(rec *rig.Record, addr, id string, wait time.Duration) (o outcome) {
	time.Sleep(wait)
	o.id = id
	defer func() { o.ended = time.Now() }()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		o.problem = err
		return o
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(12 * time.Second))
	q := &rig.Request{ID: id, Class: "place-accept", Key: "key-" + id, Deadline: 6 * time.Second}
	rec.Logf("client: begins %s, %d bytes", id, bodySize)
	head := q.Head("backend.local", bodySize)
	io.WriteString(c, head[:40])
	time.Sleep(headTime)
	io.WriteString(c, head[40:])
	rec.Logf("client: has sent the head of %s", id)
	piece := bytes.Repeat([]byte("x"), pieceSize)
	for sent := 0; sent < bodySize; sent += pieceSize {
		time.Sleep(pieceSize * time.Second / byteRate)
		if _, o.problem = c.Write(piece); o.problem != nil {
			return o
		}
	}
	o.last = time.Now()
	rec.Logf("client: has sent all of %s", id)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err == nil {
		if _, err = io.Copy(io.Discard, resp.Body); err == nil {
			o.status = resp.StatusCode
			rec.Logf("client: %s answered %d, %.3f s after its last byte", id, o.status, time.Since(o.last).Seconds())
			return o
		}
	}
	o.problem = err
	rec.Logf("client: %s has no whole answer, %.3f s after its last byte: %v", id, time.Since(o.last).Seconds(), err)
	return o
}
