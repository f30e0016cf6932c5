package scale

import (
	"fmt"
	"slices"
	"time"
)

// day works out what an ordinary day and the web servers' side come to, from what was measured.
func (r *run) addDailyRows() {
	size, at := &r.plan.Size, func(id string) (float64, bool) {
		if row := r.report.row(id); row != nil {
			return row.At, true
		}
		return 0, false
	}
	day := 24 * time.Hour.Seconds()
	lists := 3*size.Restarts + 2*size.Failures // changes of the list: draining, gone, back
	if rest, ok := at("node.rest"); ok {
		delta, _ := at("node.delta.cpu")
		bytes, _ := at("node.delta.bytes")
		asks := day / meanListWatchSeconds
		r.addRows(Row{ID: "node.day.cpu", Role: "node", Figure: "processor time a second for its list, an ordinary day", Unit: "s", Origin: Calculated,
			At: rest + lists/day*delta, Note: "at rest, and each change by itself"},
			Row{ID: "node.day.bytes", Role: "node", Figure: "bytes a second for its list, an ordinary day", Unit: "B", Origin: Calculated,
				At: (lists + asks) * bytes / day, Note: "each change, and each watch that ends without one, as a call with one change"},
			Row{ID: "discovery.day.calls", Role: "discovery", Figure: "calls a second of all nodes, an ordinary day", Unit: "", Origin: Calculated,
				At: (lists + asks) / day * float64(size.Nodes), Note: "each change ends each node's watch"})
	}
	if rest, ok := at("conf.rest"); ok {
		list, _ := at("node.delta.cpu")
		listBytes, _ := at("node.delta.bytes")
		conf, _ := at("conf.delta.cpu")
		confBytes, _ := at("conf.delta.bytes")
		for _, times := range []float64{1, 100} {
			figure, id := "an ordinary day", "control.day"
			if times > 1 {
				figure, id = "100 times the changes of configuration", "control.day100"
			}
			changes := times * size.Changes / day
			r.addRows(Row{ID: id + ".cpu", Role: "node", Figure: "processor time a second for control, all of it: " + figure, Unit: "s", Origin: Calculated,
				At: rest + lists/day*list + changes*conf, Note: "at rest, and each change of list and configuration by itself"},
				Row{ID: id + ".bytes", Role: "node", Figure: "bytes a second for control, all of it: " + figure, Unit: "B", Origin: Calculated,
					At: (lists/day+1/meanListWatchSeconds)*listBytes + (changes+1/meanConfigWatchSeconds)*confBytes, Note: "a watch that ends without a change counts as one with; members not counted"})
		}
	}
	if fresh, ok := at("pool.fresh"); ok {
		rate := size.Rate / float64(size.Servers)
		r.addRows(Row{ID: "web.rate", Role: "web server", Figure: "requests a second, of all nodes", Unit: "", Origin: Calculated, At: rate, Note: "of each of them once in so many seconds: " +
			fmt.Sprintf("%.0f", float64(size.Nodes)/rate)},
			Row{ID: "web.fresh", Role: "web server", Figure: "new connections a second, of all nodes", Unit: "", Origin: Calculated, At: rate * fresh, Note: "by the part measured for one node"},
			Row{ID: "web.conns", Role: "web server", Figure: "connections that rest", Unit: "", Origin: Calculated, At: rate * fresh * 0.9 * serverIdleTimeout.Seconds(), Note: "each new one rests nine tenths of 10 s"},
			Row{ID: "web.report", Role: "node", Figure: "mean age of a server's report", Unit: "s", Origin: Calculated, At: float64(size.Nodes) / rate, Note: "from one request of a node to a server to the next"})
	}
	slices.SortStableFunc(r.report.Rows, func(a, b Row) int { return roleOrder(a.Role) - roleOrder(b.Role) })
}

const (
	meanListWatchSeconds = 16.0 // seconds: a watch waits 8 to 24 by chance
	// watchMean is the same of control's: 10 to 20 s.
	meanConfigWatchSeconds = 15.0
)

var roles = []string{"node", "node by file", "hollow node", "discovery", "control", "web server", "members"}

func roleOrder(role string) int { return slices.Index(roles, role) }
