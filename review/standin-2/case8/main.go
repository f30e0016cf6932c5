// Case 8: good new settings are rejected, and the node goes on repeating requests that must not be repeated.
package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"standin2/rig"
)

const (
	servers = 6 // in each of two cells
	rate    = 20
	length  = 20 * time.Second
	sighup  = 5 * time.Second
)

func main() {
	rec := rig.NewRecord(os.Args[1])
	runs := &rig.Runs{}
	begun := time.Now()
	// Until the new settings are in use all web servers share one record of keys, then those of one cell do.
	shared := &rig.Pod{Window: 10 * time.Second}
	pods := [2]*rig.Pod{shared, shared}
	var fleet []*rig.Server
	var list []rig.Entry
	var mu sync.Mutex
	resets := 0
	answer := func(s *rig.Server) func(c net.Conn, r *http.Request, run rig.Run) bool {
		return func(c net.Conn, r *http.Request, run rig.Run) bool {
			mu.Lock()
			reset := false
			// Some connections are reset under requests that have begun: one in ten, from 1.2 s after SIGHUP on.
			if rig.Trouble() && time.Since(begun) > sighup+1200*time.Millisecond && run.Executed {
				resets++
				reset = resets%10 == 0
			}
			mu.Unlock()
			if reset {
				rec.Logf("web server %s: resets the connection under %s, which it has run", s.ID, run.ID)
				rig.Reset(c)
				return false
			}
			return rig.OK(c, fmt.Sprintf("served %s by %s", run.ID, s.ID))
		}
	}
	for cell := range pods {
		for i := range servers {
			s := rig.StartServer(rec, runs, fmt.Sprintf("s-%d%02d", cell, i), "", int64(cell), pods[cell],
				func(*http.Request) time.Duration { return 80 * time.Millisecond })
			s.Answer = answer(s)
			fleet, list = append(fleet, s), append(list, s.Entry)
		}
	}
	disc := rig.NewDiscovery(rec, list...)
	classes := rig.Site()
	classes[0]["aim_stretch"] = 2.0 // of search alone: the key may be absent
	node := rig.NewNode(rec, ".", rig.Settings(classes), disc.Addr, disc.List())
	node.Start()
	begun = time.Now()

	var clients sync.WaitGroup
	answers := map[int]int{}
	hupped := false
	for n := 0; time.Since(begun) < length; n++ {
		if rig.Trouble() && !hupped && time.Since(begun) > sighup {
			hupped = true
			// The same settings but for one class with a stricter effect: repeats are dropped by one cell only.
			next := rig.Site()
			next[0]["aim_stretch"] = 2.0
			next[1]["group"] = "cell"
			node.Config["settings"] = rig.Settings(next)
			node.WriteConfig()
			rec.Logf("new settings: waitlist-join guarded by cell, no longer by all")
			node.Signal(syscall.SIGHUP)
			time.AfterFunc(1200*time.Millisecond, func() {
				byCell := [2]*rig.Pod{{Window: 10 * time.Second}, {Window: 10 * time.Second}}
				for _, s := range fleet {
					s.SetPod(byCell[s.Cell])
				}
			})
		}
		clients.Go(func() {
			status, _ := rig.Do(rec, node.Listen, &rig.Request{ID: fmt.Sprintf("r%05d", n), Class: "waitlist-join", Key: fmt.Sprintf("key-%05d", n), Deadline: 2 * time.Second})
			mu.Lock()
			answers[status]++
			mu.Unlock()
		})
		time.Sleep(time.Second / rate)
	}
	clients.Wait()
	node.Stop()
	if answers[200] < 100 {
		rec.Verdict("not enough was served for a verdict: %v", answers)
		os.Exit(rig.NotRun)
	}
	twice := 0
	for id, all := range runs.Executed() {
		if len(all) > 1 && all[0].At.Sub(begun) > sighup+1300*time.Millisecond {
			twice++
			text := ""
			for _, run := range all {
				text += fmt.Sprintf(" %s (cell %d) at %s", run.Server.ID, run.Server.Cell, run.At.Format("15:04:05.000"))
			}
			rec.Verdict("%s was executed %d times:%s", id, len(all), text)
		}
	}
	rec.Verdict("answers by status: %v; requests executed more than once: %d", answers, twice)
	if twice > 0 {
		os.Exit(rig.Broken)
	}
}
