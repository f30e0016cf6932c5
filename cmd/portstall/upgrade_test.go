package main

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// A successor process takes over from its predecessor while clients send requests without a pause: no request is
// refused, a web server that an operator disabled stays disabled, and the predecessor exits by itself. A process that
// was killed does not hinder the next one.
func TestUpgradeLosesNoRequest(t *testing.T) {
	var disabledHits atomic.Int64 // requests to the disabled web server
	newServer := func(hits *atomic.Int64) string {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			hits.Add(1)
			io.WriteString(w, "made for "+r.Header.Get("X-Request-Id"))
		}))
		t.Cleanup(s.Close)
		return s.Listener.Addr().String()
	}
	known := fmt.Sprintf(`{"version":2,"full":true,"servers":[{"id":"s-1","addr":%q,"zone":"n","kind":"k","state":"Ready"},`+
		`{"id":"s-2","addr":%q,"zone":"n","kind":"k","state":"Ready"}]}`, newServer(new(atomic.Int64)), newServer(&disabledHits))
	newProcess := newProcesses(t, known)
	next := func() *process {
		p, env := newProcess()
		p.startAndWaitReady(t, env...)
		return p
	}
	predecessor := next()
	predecessor.operatorCall(t, "/-/web-servers/s-2/disable")
	before := disabledHits.Load()

	var clients sync.WaitGroup
	stop := make(chan struct{})
	for i := range 4 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
					predecessor.request(t, fmt.Sprintf("r-%d-%d", i, n))
				}
			}
		}()
	}
	successor := next()
	select {
	case err := <-predecessor.exited:
		if err != nil {
			t.Errorf("the predecessor: %v\n%s", err, predecessor.log.String())
		}
	case <-time.After(testTimeout):
		t.Error("the predecessor does not exit")
	}
	close(stop)
	clients.Wait()
	if n := disabledHits.Load() - before; n > 0 {
		t.Errorf("%d requests went to the web server that an operator disabled", n)
	}
	successor.operatorCall(t, "/-/web-servers/s-2/enable")
	successor.cmd.Process.Kill()
	<-successor.exited
	last := next()
	last.request(t, "last")
	last.terminate(t)
}
