package node

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"

	"portstall/internal/endpoints"
	"portstall/policy"
)

// podServers is a number of web servers in two pods, each pod in a zone of its own. The first two attempts of a request
// break after it may have run, the second one only once it is released; any further one is served.
type podServers struct {
	servers map[string]*stubServer // by id
	entries []endpoints.Endpoint
	sent    chan string // ids of the servers, as attempts arrive
	release chan struct{}
}

// newPodServers starts two pods, one of them with the number 0, of three web servers, and two web servers that are not listed yet.
func newPodServers(t *testing.T) *podServers {
	p := &podServers{servers: map[string]*stubServer{}, sent: make(chan string, 10), release: make(chan struct{})}
	for _, id := range []string{"a-1", "a-2", "a-3", "b-1", "b-2", "b-3", "a-spare", "b-spare"} {
		p.servers[id] = newStubServer(t, func(c net.Conn, r *http.Request, nth int) bool {
			p.sent <- id
			switch len(p.attempts(r.Header.Get("X-Request-Id"))) {
			case 1:
				return false
			case 2:
				<-p.release
				return false
			}
			return respondOK(c, r, nth)
		})
		if !strings.HasSuffix(id, "spare") {
			p.entries = append(p.entries, p.entry(id, id))
		}
	}
	return p
}

// entry returns a list's entry for the server that was started as the given one, under an id of the same pod.
func (p *podServers) entry(id, started string) endpoints.Endpoint {
	e := p.servers[started].entry(id)
	e.Zone, e.Cell = "north", 1
	if strings.HasPrefix(id, "b-") {
		e.Zone, e.Cell = "south", 0
	}
	return e
}

// attempts returns the ids of the servers that a request was sent to, in no order.
func (p *podServers) attempts(request string) (ids []string) {
	for id, server := range p.servers {
		for _, r := range server.requests() {
			if r.Header.Get("X-Request-Id") == request {
				ids = append(ids, id)
			}
		}
	}
	return ids
}

// without returns the list without the servers that drop returns true for.
func (p *podServers) without(drop func(id string) bool) []endpoints.Endpoint {
	return slices.DeleteFunc(slices.Clone(p.entries), func(e endpoints.Endpoint) bool { return drop(e.ID) })
}

// Guards against a keyed request that runs in two pods while the server that it may have run on is replaced: by a whole
// list or by a delta, by another id at its address or at another address, and whether or not it returns.
func TestRetryStaysInPodWhileServersAreReplaced(t *testing.T) {
	t.Parallel()
	type update struct {
		kind    policy.ListKind
		entries []endpoints.Endpoint
	}
	one := func(kind policy.ListKind, entries ...endpoints.Endpoint) []update { return []update{{kind, entries}} }
	for name, c := range map[string]struct {
		updates func(p *podServers, tried, pod string) []update
		status  int
	}{
		"another id at its address, whole list": {func(p *podServers, tried, pod string) []update {
			return one(policy.ListFull, append(p.without(func(id string) bool { return id == tried }), p.entry(pod+"9", tried))...)
		}, 200},
		"another id at its address, delta": {func(p *podServers, tried, pod string) []update {
			return one(policy.ListDelta, p.entry(pod+"9", tried))
		}, 200},
		"its id at another address, whole list": {func(p *podServers, tried, pod string) []update {
			return one(policy.ListFull, append(p.without(func(id string) bool { return id == tried }), p.entry(tried, pod+"spare"))...)
		}, 200},
		"its id at another address, delta": {func(p *podServers, tried, pod string) []update {
			return one(policy.ListDelta, p.entry(tried, pod+"spare"))
		}, 200},
		"gone, delta with its id alone": {func(p *podServers, tried, pod string) []update {
			return one(policy.ListDelta, endpoints.Endpoint{ID: tried, State: "Gone"})
		}, 200},
		"drains, delta with its id alone": {func(p *podServers, tried, pod string) []update {
			return one(policy.ListDelta, endpoints.Endpoint{ID: tried, State: "Terminating"})
		}, 200},
		"not in a whole list": {func(p *podServers, tried, pod string) []update {
			return one(policy.ListFull, p.without(func(id string) bool { return id == tried })...)
		}, 200},
		"goes and returns": {func(p *podServers, tried, pod string) []update {
			return []update{{policy.ListFull, p.without(func(id string) bool { return id == tried })}, {policy.ListFull, p.entries}}
		}, 200},
		"starts again": {func(p *podServers, tried, pod string) []update {
			e := p.entry(tried, tried)
			e.StartedMS = 1
			return one(policy.ListDelta, e)
		}, 200},
		"its pod is replaced at the old addresses": {func(p *podServers, tried, pod string) []update {
			entries := p.without(func(id string) bool { return strings.HasPrefix(id, pod) })
			for i := 1; i <= 3; i++ {
				entries = append(entries, p.entry(fmt.Sprint(pod, i+10), fmt.Sprint(pod, i)))
			}
			return one(policy.ListFull, entries...)
		}, 200},
		"its pod is gone": {func(p *podServers, tried, pod string) []update {
			return one(policy.ListFull, p.without(func(id string) bool { return strings.HasPrefix(id, pod) })...)
		}, 500},
		"its pod is gone, one of the other pod has its address": {func(p *podServers, tried, pod string) []update {
			other := "b-9"
			if pod == "b-" {
				other = "a-9"
			}
			return one(policy.ListFull, append(p.without(func(id string) bool { return strings.HasPrefix(id, pod) }), p.entry(other, tried))...)
		}, 500},
	} {
		for _, group := range []string{"zone", "cell"} {
			t.Run(name+", by "+group, func(t *testing.T) {
				t.Parallel()
				p := newPodServers(t)
				settings := strings.Replace(settingsJSON, `"group":"zone"`, fmt.Sprintf(`"group":%q`, group), 1)
				node := newTestNode(t, newStubDiscovery(t), settings, withTestTimeouts, p.entries...)
				cl := node.dial(t)
				cl.send(save("accept").text())
				tried := receive(t, "the first attempt", p.sent)
				receive(t, "the second attempt", p.sent)
				pod := tried[:2]
				for i, u := range c.updates(p, tried, pod) {
					node.publish(int64(i+10), u.kind, u.entries)
				}
				close(p.release)
				resp, _ := cl.readResponse()
				if resp.StatusCode != c.status {
					t.Errorf("status %d, want %d", resp.StatusCode, c.status)
				}
				for _, id := range p.attempts("accept") {
					if !strings.HasPrefix(id, pod) {
						t.Errorf("it may have run at %s first, and was sent to %s of another pod", tried, id)
					}
				}
			})
		}
	}
}
