package policy_test

import (
	"fmt"
	"testing"
	"time"

	"portstall/policy"
)

// BenchmarkRequest measures one request, its selection and its outcome, for lists of different lengths.
func BenchmarkRequest(b *testing.B) {
	for _, servers := range []int{12, 120, 1200, 12000} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			b.ReportAllocs()
			node, err := policy.New(testSettings(1, false), 1)
			if err != nil {
				b.Fatal(err)
			}
			now := time.Hour
			ev := policy.Event{Kind: policy.EvList, List: policy.ListCached}
			for i := range servers {
				ev.Entries = append(ev.Entries, policy.Entry{ID: uint32(i + 1), Zone: "east", ServerType: "k"})
			}
			node.Handle(now, &ev, nil)
			var out []policy.Action
			names := make([]string, 1024)
			for i := range names {
				names[i] = fmt.Sprint(i)
			}
			id := 0
			for b.Loop() {
				id++
				now += ms
				name := names[id%len(names)]
				out = node.Handle(now, &policy.Event{Kind: policy.EvRequest, ID: name, Class: "read", TimeLeft: time.Second}, out[:0])
				for _, a := range out {
					if a.Kind == policy.ActSend {
						out = node.Handle(now+ms/2, &policy.Event{Kind: policy.EvOutcome, ID: name, Server: a.Server, Elapsed: ms / 2,
							Final: true, Load: policy.Load{Known: true, Held: -1}}, out[:0])
						break
					}
				}
			}
		})
	}
}

// BenchmarkList measures the time for which an update of the list delays requests: a full snapshot and a change of one
// entry.
func BenchmarkList(b *testing.B) {
	for _, servers := range []int{12, 120, 1200, 12000} {
		node, err := policy.New(testSettings(1, false), 1)
		if err != nil {
			b.Fatal(err)
		}
		now := time.Hour
		full := policy.Event{Kind: policy.EvList, List: policy.ListFull}
		for i := range servers {
			full.Entries = append(full.Entries, policy.Entry{ID: uint32(i + 1), Zone: fmt.Sprint(i % 3), ServerType: "k"})
		}
		var out []policy.Action
		b.Run(fmt.Sprintf("full/servers=%d", servers), func(b *testing.B) {
			for b.Loop() {
				now += ms
				out = node.Handle(now, &full, out[:0])
			}
		})
		b.Run(fmt.Sprintf("one/servers=%d", servers), func(b *testing.B) {
			i := 0
			for b.Loop() {
				now += ms
				i++
				e := full.Entries[i%servers]
				e.State = policy.State(i / servers % 2) // Active and Draining in turn
				out = node.Handle(now, &policy.Event{Kind: policy.EvList, List: policy.ListDelta, Entries: []policy.Entry{e}}, out[:0])
			}
		})
	}
}
