package node

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"portstall/internal/flow"
	"portstall/internal/wire"
)

// shortDeadline is the deadline of all classes in settings with short deadlines.
const shortDeadline = 300 * time.Millisecond

// shortSettings returns settingsJSON with short deadlines, and with other changes: old and new text in turn.
func shortSettings(change ...string) string {
	change = append(change, `"aim_s":30,"deadline_s":60`, `"aim_s":0.2,"deadline_s":0.3`)
	return strings.NewReplacer(change...).Replace(settingsJSON)
}

// reloadSettings applies new settings to a node.
func (n *testNode) reloadSettings(t *testing.T, text string) {
	t.Helper()
	set, err := wire.DecodeSettings([]byte(text))
	must(t, err)
	must(t, n.reload(Config{Discovery: n.discovery.client.Addr(), Settings: set}))
}

// newHoldingServer returns a web server that responds to a request only after hold.
func newHoldingServer(t *testing.T, hold time.Duration) *stubServer {
	return newStubServer(t, func(c net.Conn, r *http.Request, nth int) bool {
		time.Sleep(hold)
		return respondOK(c, r, nth)
	})
}

// A request keeps the deadline under which it was accepted: neither SIGTERM nor a successor closes its connection by the
// shorter deadlines of settings that came later, in one reload or two.
func TestRequestOutlivesShorterDeadlines(t *testing.T) {
	t.Parallel()
	const hold = acceptGrace + shortDeadline + 2*lateResponseAllowance // longer than a request of the later settings is waited for
	send := func(t *testing.T, node *testNode, server *stubServer) *client {
		c := node.dial(t)
		c.send(save("long").text())
		waitFor(t, "the request at the web server", func() bool { return len(server.requests()) == 1 })
		node.reloadSettings(t, shortSettings(`"name":"save"`, `"name":"store"`))
		node.reloadSettings(t, shortSettings(`"name":"save"`, `"name":"stock"`))
		return c
	}
	check := func(t *testing.T, c *client) {
		if resp, body := c.readResponse(); resp.StatusCode != 200 || body != "done long" {
			t.Errorf("status %d, body %q; want 200 and done long", resp.StatusCode, body)
		}
	}
	t.Run("SIGTERM", func(t *testing.T) {
		t.Parallel()
		server := newHoldingServer(t, hold)
		node := newTestNode(t, newStubDiscovery(t), settingsJSON, withProductTimeouts, server.entry("w1"))
		c := send(t, node, server)
		node.terminate()
		check(t, c)
	})
	t.Run("successor", func(t *testing.T) {
		t.Parallel()
		server := newHoldingServer(t, hold)
		discovery := newStubDiscovery(t)
		node := newTestNode(t, discovery, settingsJSON, withProductTimeouts, server.entry("w1"))
		c := send(t, node, server)
		startSuccessor(t, node.requestHandover(t), discovery, shortSettings())
		check(t, c)
	})
}

// A request whose last byte comes late in a shutdown, at a node with short deadlines, gets a final response although its
// web server hangs: its connection is not closed before the time by which that response is due.
func TestLateRequestToHangingServerIsAnswered(t *testing.T) {
	t.Parallel()
	server := newHangingServer(t)
	node := newTestNode(t, newStubDiscovery(t), shortSettings(), withProductTimeouts, server.entry("w1"))
	c := node.connectClient(t)
	text := save("late").text()
	c.send(text[:30])
	waitFor(t, "the node to read the first half", func() bool { return flow.PeekInput(c.end) == flow.NoInput })
	node.terminateAndStopAccepting(t)
	c.send(text[30:])
	if resp, _ := c.readResponse(); resp.StatusCode != 500 && resp.StatusCode != 503 {
		t.Errorf("status %d, want 500 or 503", resp.StatusCode)
	}
}

// The time of SIGKILL goes by the settings in force when SIGTERM arrived or by later, shorter ones: settings with longer
// deadlines that are read during the shutdown do not extend the time for late requests.
func TestReloadAfterSIGTERMDoesNotExtendLateRequests(t *testing.T) {
	var l lifecycle
	l.leave(time.Second)
	l.terminatedAt = l.terminatedAt.Add(-acceptGrace)
	for _, c := range []struct{ reload, want time.Duration }{{5 * time.Second, time.Second}, {time.Second / 2, time.Second / 2},
		{2 * time.Second, time.Second / 2}} {
		l.settingsReplaced(c.reload)
		limit := c.want + killGrace - killResponseMargin - acceptGrace
		if got, bound := l.finalResponseTimeout(); !bound || got > limit {
			t.Errorf("after a reload to %v: %v, %v; want at most %v", c.reload, got, bound, limit)
		}
	}
}

// A shorter grace of new settings applies to the drains announced under the old ones.
func TestShorterGraceAppliesToAnnouncedDrains(t *testing.T) {
	t.Parallel()
	server, other := newStubServer(t, respondOK), newStubServer(t, respondOK)
	draining := server.entry("w1")
	draining.State = "Terminating"
	node := newTestNode(t, newStubDiscovery(t), settingsJSON, nil, draining, other.entry("w2"))
	before := time.Duration(node.serverByID("w1").StopAt.Load())
	node.reloadSettings(t, strings.Replace(settingsJSON, `"drain_grace_s":2`, `"drain_grace_s":0.5`, 1))
	if got, want := time.Duration(node.serverByID("w1").StopAt.Load()), before-1500*time.Millisecond*9/10; got != want {
		t.Errorf("after a reload to a grace of 0.5 s the stop moved by %v, want by %v", got-before, want-before)
	}
	if node.serverByID("w2").StopAt.Load() != 0 {
		t.Error("a server that does not drain has a stop")
	}
	node.reloadSettings(t, settingsJSON)
	if got, want := time.Duration(node.serverByID("w1").StopAt.Load()), before-1500*time.Millisecond*9/10; got != want {
		t.Errorf("a longer grace moved the stop by %v", got-want)
	}
}

// Two reloads in quick succession: requests that fit the settings before the first are accepted as after one.
func TestSecondReloadKeepsEarlierClasses(t *testing.T) {
	t.Parallel()
	server := newStubServer(t, respondOK)
	node := newTestNode(t, newStubDiscovery(t), settingsJSON, nil, server.entry("w1"))
	node.reloadSettings(t, strings.Replace(settingsJSON, `"view"`, `"look"`, 1))
	node.reloadSettings(t, strings.Replace(settingsJSON, `"view"`, `"glance"`, 1))
	c := node.dial(t)
	for _, class := range []string{"view", "look", "glance"} {
		if resp, _ := c.roundTrip(testRequest{"GET", class, "r-" + class, "", "", "50000m"}); resp.StatusCode != 200 {
			t.Errorf("%s: status %d, want 200", class, resp.StatusCode)
		}
	}
}
