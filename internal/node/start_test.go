package node

import (
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"testing"
	"time"
)

// readyIn is how soon nine in ten restarted processes are to be ready.
const readyWithin = 10 * time.Second

// A process that starts without any list and with its discovery down for 8 s, or where calls are refused at once or behind a stand
// in line, has its list within 10 s nine times in ten: by the schedule that the real rhythm and policy choose, in virtual time.
func TestListWithinTenSecondsOfStart(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name   string
		down   time.Duration
		refuse int           // so many calls,
		behind time.Duration // so long in line
	}{
		{name: "discovery down for 8 s", down: 8 * time.Second},
		{name: "five refusals at once", refuse: 5, behind: ms(1)},
		{name: "two refusals behind 2.4 s in line", refuse: 2, behind: ms(2400)},
		{name: "discovery down for 8 s, then 0.5 s in line", down: 8 * time.Second, behind: ms(500)},
	} {
		took := make([]time.Duration, 1000)
		for seed := range took {
			s := site{all: ms(20), stand: ms(2400), grace: ms(500)}
			s.script = func(h *hub, a *ask, nth int) bool {
				switch {
				case nth <= c.refuse:
					h.at(h.now+c.behind, func() { h.refuse(a) })
				case c.refuse == 0 && c.behind > 0:
					h.at(h.now+c.behind, func() { h.turn(a) })
				default:
					return false
				}
				return true
			}
			d := day{length: 40 * time.Second, down: span{0, c.down}, changes: []time.Duration{1}}
			took[seed] = play(s, d, 1, uint64(seed), paced).nodes[0].heard
			if took[seed] < 0 {
				t.Fatalf("%s, seed %d: no list", c.name, seed)
			}
		}
		slices.Sort(took)
		t.Logf("%s: a list behind %v at the median, %v at nine in ten, %v at worst", c.name, took[500], took[900], took[999])
		if took[900] > readyWithin {
			t.Errorf("%s: nine in ten have a list only behind %v", c.name, took[900])
		}
	}
}

// Seven in ten of 300 nodes are restarted at once without a list, where discovery has too many callers: how soon they have one is
// what discovery can do, and none is refused again and again while others are heard. A node that knows a list is ready before.
func TestFleetStartWithOverloadedDiscovery(t *testing.T) {
	t.Parallel()
	for _, all := range []time.Duration{ms(5200), ms(7900)} {
		for _, down := range []time.Duration{0, 8 * time.Second} {
			for _, seed := range []uint64{1, 2} {
				s := site{all: all * 210 / fleet, stand: time.Second, callers: 60, free: true, grace: ms(500)}
				d := day{length: 40 * time.Second, start: ms(200), down: span{0, down}, changes: []time.Duration{1}}
				h := play(s, d, 210, seed, paced)
				took := make([]time.Duration, 0, len(h.nodes))
				for _, n := range h.nodes {
					if n.heard < 0 {
						t.Fatal("a node got no list")
					}
					took = append(took, n.heard)
				}
				slices.Sort(took)
				if most := down + all*210/fleet + 4*time.Second; took[len(took)-1] > most || h.inRow > 10 {
					t.Errorf("all heard in %v, down for %v, seed %d: the last list came at %v, want it within %v; %d refusals in a row", all, down, seed,
						took[len(took)-1], most, h.inRow)
				}
				in := 0
				for in < len(took) && took[in] <= readyWithin {
					in++
				}
				if down == 0 && in < len(took)*9/10 {
					t.Errorf("all heard in %v, seed %d: %d of %d have a list within %v", all, seed, in, len(took), readyWithin)
				}
				t.Logf("all heard in %v, down for %v, seed %d: %d of %d have a list within %v, nine in ten behind %v, all behind %v; %v",
					all, down, seed, in, len(took), readyWithin, took[len(took)*9/10], took[len(took)-1], h.figures)
			}
		}
	}
}

// thousands is a list of so many web servers.
func manyServers(n int) list {
	l := list{Version: 2, Full: true}
	for i := range n {
		l.Servers = append(l.Servers, listed{ID: fmt.Sprintf("s-%08x", i), Addr: fmt.Sprintf("10.%d.%d.%d:5000", i>>16, i>>8&255, i&255),
			Zone: fmt.Sprintf("z%d", i%11), Kind: fmt.Sprintf("m%d", i%3), Cell: int64(i % 40), State: "Ready"})
	}
	return l
}

// A node that has a list from before is ready at its start whatever becomes of discovery: nothing that it asks is answered here.
func TestReadyWithKnownList(t *testing.T) {
	t.Parallel()
	for _, how := range []string{"reset", "503", "silent"} {
		t.Run(how, func(t *testing.T) {
			t.Parallel()
			m := newMute(t, func(c net.Conn, _ int64, _ string) bool {
				switch how {
				case "503":
					io.WriteString(c, refusal)
				case "reset":
					c.Close()
				}
				return how == "503"
			})
			began := time.Now()
			node := newRig(t, &registry{addr: m.addr}, asked, nil, manyServers(6600).Servers...)
			if s := readyStatus(t, node); s != 200 {
				t.Errorf("ready: %d with 6,600 servers known", s)
			}
			t.Logf("started with 6,600 servers known and ready behind %v", time.Since(began))
		})
	}
}

// A node without a list is ready once it has one, though it was refused before: of 6,600 web servers here, all of which it takes in.
func TestReadyAfterDiscoveryRefusals(t *testing.T) {
	t.Parallel()
	const servers = 6600
	text := listText(manyServers(servers))
	var written time.Time
	m := newMute(t, func(c net.Conn, nth int64, _ string) bool {
		switch {
		case nth <= 5:
			io.WriteString(c, refusal)
		case nth == 6:
			written = time.Now()
			io.WriteString(c, text)
		default:
			return false
		}
		return true
	})
	node := newRig(t, &registry{addr: m.addr}, asked, func(c *Config) { c.clock = hasty{time.Now()} })
	if s := readyStatus(t, node); s != 503 {
		t.Errorf("ready without a list: %d", s)
	}
	wait(t, "readiness", func() bool { return readyStatus(t, node) == 200 })
	t.Logf("%d servers, %d bytes, indented: ready behind %v", servers, len(text), time.Since(written))
	node.core.Lock()
	defer node.core.Unlock()
	if len(node.names) != servers || len(node.backends) != servers || node.version != 2 {
		t.Errorf("%d names, %d backends, version %d", len(node.names), len(node.backends), node.version)
	}
	for _, b := range node.names {
		if b.Stop.Load() != 0 || !strings.HasPrefix(b.Addr, "10.") {
			t.Fatalf("%s at %s, stopped at %d", b.ID, b.Addr, b.Stop.Load())
		}
	}
}
