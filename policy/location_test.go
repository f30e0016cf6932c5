package policy

import (
	"fmt"
	"testing"
	"time"
)

// fleetOf returns the given number of warm servers in two cells: those with odd ids are in cell 1 and zone "a", the
// others in cell 2 and zone "b".
func fleetOf(count uint32) (entries []Entry) {
	for id := uint32(1); id <= count; id++ {
		e := Entry{ID: id, Zone: "b", Cell: 2}
		if id%2 == 1 {
			e.Zone, e.Cell = "a", 1
		}
		entries = append(entries, e)
	}
	return entries
}

// Guards against a keyed request that runs in two groups: once an attempt may have run, retries go to the group in which
// its server was at the send, whatever lists say of that server meanwhile; and a retry that this allows is made. Checked
// in short lists and in long ones, of which selections see a sample.
func TestRetryStaysWhereRequestMayHaveRun(t *testing.T) {
	const cold = t0 + time.Second // a later start than any other server's
	for name, change := range map[string]func(tried uint32, fleet []Entry) (kind ListKind, entries []Entry, alone bool){
		"no change": func(tried uint32, fleet []Entry) (ListKind, []Entry, bool) { return ListDelta, nil, false },
		"removed, told by its number alone": func(tried uint32, fleet []Entry) (ListKind, []Entry, bool) {
			return ListDelta, []Entry{{ID: tried, State: Removed}}, false
		},
		"removed, told by a whole list and its number": func(tried uint32, fleet []Entry) (ListKind, []Entry, bool) {
			return ListFull, append(without(fleet, tried), Entry{ID: tried, State: Removed}), false
		},
		"missing in a whole list": func(tried uint32, fleet []Entry) (ListKind, []Entry, bool) {
			return ListFull, without(fleet, tried), false
		},
		"drains": func(tried uint32, fleet []Entry) (ListKind, []Entry, bool) {
			return ListDelta, []Entry{{ID: tried, State: Draining}}, false
		},
		"moves to the other cell": func(tried uint32, fleet []Entry) (ListKind, []Entry, bool) {
			return ListDelta, []Entry{{ID: tried, Zone: "b", Cell: 2}}, false
		},
		"starts again in the other cell": func(tried uint32, fleet []Entry) (ListKind, []Entry, bool) {
			return ListDelta, []Entry{{ID: tried, Zone: "b", Cell: 2, Launched: cold}}, false
		},
		"starts again": func(tried uint32, fleet []Entry) (ListKind, []Entry, bool) {
			return ListDelta, []Entry{{ID: tried, Zone: "a", Cell: 1, Launched: cold}}, false
		},
		"a server of the other cell takes its number": func(tried uint32, fleet []Entry) (ListKind, []Entry, bool) {
			return ListFull, append(without(fleet, tried), Entry{ID: tried, Zone: "b", Cell: 2, Launched: cold}), false
		},
		"its cell is gone": func(tried uint32, fleet []Entry) (ListKind, []Entry, bool) {
			var others []Entry
			for _, e := range fleet {
				if e.Cell == 2 {
					others = append(others, e)
				}
			}
			return ListFull, others, true
		},
		"its cell is replaced": func(tried uint32, fleet []Entry) (ListKind, []Entry, bool) {
			var entries []Entry
			for _, e := range fleet {
				if e.Cell == 1 {
					entries = append(entries, Entry{ID: e.ID, State: Removed})
					e.ID += 1000
				}
				entries = append(entries, e)
			}
			return ListFull, entries, false
		},
	} {
		for _, group := range []Group{GroupZone, GroupCell, GroupAll} {
			for _, count := range []uint32{6, 2 * maxFullScan} {
				t.Run(fmt.Sprintf("%s, group %d, %d servers", name, group, count), func(t *testing.T) {
					set := defaultSettings(func(s *Settings) { s.Classes[2].Group, s.MaxAttempts = group, 4 })
					fleet := fleetOf(count)
					b := newNode(t, set, fleet...)
					first := submitTo(t, b, func(e Entry) bool { return e.Cell == 1 })
					second := report(b, t0+100*time.Millisecond, first, Reset, Load{})
					if second.Kind != ActSend {
						t.Fatalf("the first retry: %+v, want a send", second)
					}
					second.Attempt = 1
					kind, entries, alone := change(first.Server, fleet)
					b.Handle(t0+150*time.Millisecond, &Event{Kind: EvList, List: kind, Entries: entries}, nil)
					third := report(b, t0+200*time.Millisecond, second, Reset, Load{})
					if alone && group != GroupAll {
						if third.Kind != ActFail {
							t.Errorf("with no server of the group left: %+v, want a failure at once", third)
						}
						return
					}
					if third.Kind != ActSend {
						t.Fatalf("the second retry: %+v, want a send", third)
					}
					if s := b.servers[third.Server]; group != GroupAll && (s.Cell != 1 || s.Zone != "a") {
						t.Errorf("sent again to server %d in cell %d and zone %q, want cell 1 and zone a", s.ID, s.Cell, s.Zone)
					}
				})
			}
		}
	}
}

// without returns the entries but for that of one server.
func without(entries []Entry, id uint32) (rest []Entry) {
	for _, e := range entries {
		if e.ID != id {
			rest = append(rest, e)
		}
	}
	return rest
}

// submitTo submits keyed requests until one is sent to a server that is wanted, and returns that send.
func submitTo(t *testing.T, b *Balancer, wanted func(Entry) bool) Action {
	t.Helper()
	for i := range 1000 {
		send := submit(b, t0, fmt.Sprint("k", i), "key")
		if send.Kind == ActSend && wanted(b.servers[send.Server].Entry) {
			return send
		}
		report(b, t0, send, OK, Load{})
	}
	t.Fatal("no request was sent to a server that is wanted")
	return Action{}
}
