// Case 7: a confirmed place is repeated outside its pod while the pod's web servers are replaced.
package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"

	"standin2/rig"
)

const (
	perCell  = 6
	rate     = 20 // place-accept requests a second
	work     = 450 * time.Millisecond
	step     = 420 * time.Millisecond // between two replacements
	listedIn = 400 * time.Millisecond // from a replacement to the list that has it
	releases = 6
	between  = 10 * time.Second
)

func main() {
	rec := rig.NewRecord(os.Args[1])
	runs := &rig.Runs{}
	workOf := func(*http.Request) time.Duration { return work }
	pods := [2]*rig.Pod{{Window: 12 * time.Second}, {Window: 12 * time.Second}}
	var mu sync.Mutex
	var fleet [2][]*rig.Server
	for cell := range fleet {
		for i := range perCell {
			fleet[cell] = append(fleet[cell], rig.StartServer(rec, runs, fmt.Sprintf("s-%d%02d", cell, i), "", int64(cell), pods[cell], workOf))
		}
	}
	list := func() (all []rig.Entry) {
		mu.Lock()
		defer mu.Unlock()
		for _, servers := range fleet {
			for _, s := range servers {
				all = append(all, s.Entry)
			}
		}
		return all
	}
	disc := rig.NewDiscovery(rec, list()...)
	node := rig.NewNode(rec, ".", rig.Settings(rig.Site()), disc.Addr, disc.List())
	node.Start()

	stop := make(chan struct{})
	var clients sync.WaitGroup
	answers := map[int]int{}
	clients.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(time.Second / rate):
			}
			clients.Go(func() {
				status, _ := rig.Do(rec, node.Listen, &rig.Request{ID: fmt.Sprintf("r%05d", n), Class: "place-accept", Key: fmt.Sprintf("key-%05d", n), Deadline: 6 * time.Second})
				mu.Lock()
				answers[status]++
				mu.Unlock()
			})
		}
	})
	time.Sleep(4 * time.Second)
	for release := range releases {
		for i := range perCell {
			if rig.Trouble() {
				// One web server of pod 1 ends, and a new one starts under a new id at its address.
				mu.Lock()
				old := fleet[1][i]
				mu.Unlock()
				old.Kill()
				addr := old.Addr // four of six start at the address of the one that has gone
				if i%3 == 2 {
					addr = ""
				}
				s := rig.StartServer(rec, runs, fmt.Sprintf("s-1%02d-%d", i, release+1), addr, 1, pods[1], workOf)
				s.StartedMS = time.Now().UnixMilli()
				mu.Lock()
				fleet[1][i] = s
				mu.Unlock()
				time.AfterFunc(listedIn, func() { disc.Set(list()...) })
			}
			time.Sleep(step)
		}
		time.Sleep(between)
	}
	close(stop)
	clients.Wait()
	if node.Ended(0) {
		rec.Verdict("the node has ended")
	}
	node.Stop()
	if answers[200] < 100 {
		rec.Verdict("not enough was served for a verdict: %v", answers)
		os.Exit(rig.NotRun)
	}
	twice := 0
	for id, all := range runs.Executed() {
		if len(all) > 1 {
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
