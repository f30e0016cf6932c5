package node

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"portstall/internal/endpoints"
)

// manyServers returns a list of n web servers.
func manyServers(n int) endpoints.List {
	l := endpoints.List{Version: 2, Full: true}
	for i := range n {
		l.Servers = append(l.Servers, endpoints.Endpoint{ID: fmt.Sprintf("s-%08x", i), Addr: fmt.Sprintf("10.%d.%d.%d:5000", i>>16, i>>8&255, i&255),
			Zone: fmt.Sprintf("z%d", i%11), Kind: fmt.Sprintf("m%d", i%3), Cell: int64(i % 40), State: "Ready"})
	}
	return l
}

// Guards against a start that waits for discovery although a list is known: the node is ready at once, while none of
// its calls to discovery is answered with a list.
func TestReadyWithKnownList(t *testing.T) {
	t.Parallel()
	for _, reaction := range []string{"reset", "503", "silent"} {
		t.Run(reaction, func(t *testing.T) {
			t.Parallel()
			discovery := newScriptedDiscovery(t, func(c net.Conn, _ int64, _ string) bool {
				switch reaction {
				case "503":
					io.WriteString(c, unavailableResponse)
				case "reset":
					c.Close()
				}
				return reaction == "503"
			})
			began := time.Now()
			node := newTestNode(t, &stubDiscovery{addr: discovery.addr}, askSettingsJSON, nil, manyServers(6600).Servers...)
			if s := readyStatus(t, node); s != 200 {
				t.Errorf("GET /ready at the start with 6,600 web servers known: status %d, want 200", s)
			}
			t.Logf("started with 6,600 web servers known, ready after %v", time.Since(began))
		})
	}
}

// Guards against a start without a list that stalls after refusals: once discovery sends its list of 6,600 web servers,
// the node has all of them and is ready.
func TestReadyAfterDiscoveryRefusals(t *testing.T) {
	t.Parallel()
	const servers = 6600
	text := listResponse(manyServers(servers))
	var written time.Time
	discovery := newScriptedDiscovery(t, func(c net.Conn, nth int64, _ string) bool {
		switch {
		case nth <= 5:
			io.WriteString(c, unavailableResponse)
		case nth == 6:
			written = time.Now()
			io.WriteString(c, text)
		default:
			return false
		}
		return true
	})
	node := newTestNode(t, &stubDiscovery{addr: discovery.addr}, askSettingsJSON, func(c *Config) { c.clock = fastClock{time.Now()} })
	if s := readyStatus(t, node); s != 503 {
		t.Errorf("GET /ready without a list: status %d, want 503", s)
	}
	waitFor(t, "GET /ready to return 200", func() bool { return readyStatus(t, node) == 200 })
	t.Logf("%d web servers in %d bytes of indented JSON: ready after %v", servers, len(text), time.Since(written))
	node.core.Lock()
	defer node.core.Unlock()
	if len(node.serversByID) != servers || len(node.serversByNumber) != servers || node.listVersion != 2 {
		t.Errorf("%d web servers by id, %d by number, list version %d; want 6,600, 6,600 and 2", len(node.serversByID), len(node.serversByNumber), node.listVersion)
	}
	for _, b := range node.serversByID {
		if b.StopAt.Load() != 0 || !strings.HasPrefix(b.Addr, "10.") {
			t.Fatalf("web server %s at %s, draining since %d; want an address in 10.0.0.0/8 and no drain", b.ID, b.Addr, b.StopAt.Load())
		}
	}
}
