// Case 9: a web server's whole answer is thrown away because it equals the one before it on its connection.
package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"standin2/rig"
)

const (
	servers = 12
	rate    = 60 // place-accept requests a second
	length  = 60 * time.Second
	group   = 20 // of so many requests in a row two are for one place,
	apart   = 5  // so many requests apart
)

func main() {
	rec := rig.NewRecord(os.Args[1])
	runs := &rig.Runs{}
	begun := time.Now()
	var mu sync.Mutex
	answered := map[string]time.Time{} // when a web server had written its whole 200 answer to a request
	var list []rig.Entry
	for i := range servers {
		s := rig.StartServer(rec, runs, fmt.Sprintf("s-%02d", i), "", int64(i%2), &rig.Pod{Window: 12 * time.Second},
			func(*http.Request) time.Duration { return 40 * time.Millisecond })
		s.Answer = func(c net.Conn, r *http.Request, run rig.Run) bool {
			// Most answers have the request in them. A place that is gone by then has the same answer for everybody.
			body := fmt.Sprintf("place confirmed for %s", run.Key)
			var n int
			fmt.Sscanf(run.ID, "r%d", &n)
			if rig.Trouble() && (n%group == 0 || n%group == apart) {
				body = fmt.Sprintf("place %d was taken by another family", n/group)
			}
			if !rig.OK(c, body) {
				return false
			}
			rec.Logf("web server %s: has answered %s with 200: %q", s.ID, run.ID, body)
			mu.Lock()
			answered[run.ID] = time.Now()
			mu.Unlock()
			return true
		}
		list = append(list, s.Entry)
	}
	disc := rig.NewDiscovery(rec, list...)
	node := rig.NewNode(rec, ".", rig.Settings(rig.Site()), disc.Addr, disc.List())
	node.Start()
	begun = time.Now()
	var clients sync.WaitGroup
	answers, lost := map[int]int{}, 0
	for n := 0; time.Since(begun) < length; n++ {
		time.Sleep(time.Until(begun.Add(time.Duration(n) * time.Second / rate)))
		clients.Go(func() {
			q := &rig.Request{ID: fmt.Sprintf("r%06d", n), Class: "place-accept", Key: fmt.Sprintf("key-%06d", n), Deadline: 5 * time.Second}
			sent := time.Now()
			status, _ := rig.Do(rec, node.Listen, q)
			mu.Lock()
			defer mu.Unlock()
			answers[status]++
			if at, served := answered[q.ID]; served && status != 200 {
				lost++
				rec.Verdict("%s: a web server had answered it with 200 and a body %.3f s after it was sent; the client got %d after %.3f s",
					q.ID, at.Sub(sent).Seconds(), status, time.Since(sent).Seconds())
			}
		})
	}
	clients.Wait()
	node.Stop()
	rec.Verdict("answers by status: %v; whole answers that did not reach their clients: %d", answers, lost)
	switch {
	case lost > 0:
		os.Exit(rig.Broken)
	case answers[200] < 1000:
		os.Exit(rig.NotRun)
	}
}
