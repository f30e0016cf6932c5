package scale

import (
	"fmt"
	"slices"
	"time"
)

// addDailyRows calculates the load of an ordinary day on nodes, discovery, control and web servers from what was
// measured.
func (r *run) addDailyRows() {
	size, at := &r.plan.Size, func(id string) (float64, bool) {
		if row := r.report.row(id); row != nil {
			return row.At, true
		}
		return 0, false
	}
	day := 24 * time.Hour.Seconds()
	// Changes of the list: a restart is draining, removal and return; a failure only the last two.
	lists := 3*size.Restarts + 2*size.Failures
	if idle, ok := at("node.rest"); ok {
		delta, _ := at("node.delta.cpu")
		bytes, _ := at("node.delta.bytes")
		asks := day / meanListWatchSeconds
		r.addRows(Row{ID: "node.day.cpu", Role: "node",
			Figure: "CPU time per second for its server list, ordinary day", Unit: "s", Origin: Calculated,
			At: idle + lists/day*delta, Note: "idle cost plus each change by itself"},
			Row{ID: "node.day.bytes", Role: "node", Figure: "bytes per second for its server list, ordinary day",
				Unit: "B", Origin: Calculated,
				At:   (lists + asks) * bytes / day,
				Note: "each change, and each watch that ends without one, counted as a call with one change"},
			Row{ID: "discovery.day.calls", Role: "discovery", Figure: "calls per second of all nodes, ordinary day",
				Unit: "", Origin: Calculated,
				At: (lists + asks) / day * float64(size.Nodes), Note: "each change ends each node's watch"})
	}
	if idle, ok := at("conf.rest"); ok {
		list, _ := at("node.delta.cpu")
		listBytes, _ := at("node.delta.bytes")
		conf, _ := at("conf.delta.cpu")
		confBytes, _ := at("conf.delta.bytes")
		for _, times := range []float64{1, 100} {
			figure, id := "ordinary day", "control.day"
			if times > 1 {
				figure, id = "100 times the configuration changes", "control.day100"
			}
			changes := times * size.Changes / day
			r.addRows(Row{ID: id + ".cpu", Role: "node",
				Figure: "CPU time per second for server list and configuration, " + figure, Unit: "s", Origin: Calculated,
				At:   idle + lists/day*list + changes*conf,
				Note: "idle cost plus each change of list and configuration by itself"},
				Row{ID: id + ".bytes", Role: "node",
					Figure: "bytes per second for server list and configuration, " + figure, Unit: "B", Origin: Calculated,
					At:   (lists/day+1/meanListWatchSeconds)*listBytes + (changes+1/meanConfigWatchSeconds)*confBytes,
					Note: "a watch that ends without a change is counted as one with a change; traffic between members is not counted"})
		}
	}
	if fresh, ok := at("pool.fresh"); ok {
		rate := size.Rate / float64(size.Servers)
		r.addRows(Row{ID: "web.rate", Role: "web server", Figure: "requests per second, from all nodes", Unit: "",
			Origin: Calculated, At: rate, Note: "seconds between two requests of one node: " +
				fmt.Sprintf("%.0f", float64(size.Nodes)/rate)},
			Row{ID: "web.fresh", Role: "web server", Figure: "new connections per second, from all nodes", Unit: "",
				Origin: Calculated, At: rate * fresh, Note: "by the share measured for one node"},
			Row{ID: "web.conns", Role: "web server", Figure: "idle connections", Unit: "", Origin: Calculated,
				At: rate * fresh * 0.9 * serverIdleTimeout.Seconds(), Note: "each new one is idle for nine tenths of 10 s"},
			Row{ID: "web.report", Role: "node", Figure: "mean age of a server's load report", Unit: "s",
				Origin: Calculated, At: float64(size.Nodes) / rate,
				Note: "time between two requests of a node to the same server"})
	}
	slices.SortStableFunc(r.report.Rows, func(a, b Row) int { return roleOrder(a.Role) - roleOrder(b.Role) })
}

const (
	// meanListWatchSeconds is the mean duration of a watch of the server list: it waits a random 8 to 24 s.
	meanListWatchSeconds = 16.0
	// meanConfigWatchSeconds is the mean duration of a watch of control: it waits a random 10 to 20 s.
	meanConfigWatchSeconds = 15.0
)

// roles are the roles of rows in the order of the report.
var roles = []string{"node", "node by file", "hollow node", "discovery", "control", "web server", "members"}

// roleOrder returns the place of a role in the report.
func roleOrder(role string) int { return slices.Index(roles, role) }
