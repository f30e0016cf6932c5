package node

import (
	"encoding/json"
	"errors"
	"io"
	"net/url"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/common/expfmt"

	"portstall/internal/core"
	"portstall/internal/mgmt"
)

var errNoCells = errors.New("no cells are configured")

// maxLevels is the largest number of contracts that are reported, which also bounds the number of metric series: the
// first used ones in the order of the file. The others are still counted.
const maxLevels = 200

// writeJSON writes a value, unless err is set.
func writeJSON(w io.Writer, v any, err error) error {
	if err != nil {
		return err
	}
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

// managementPages returns the pages that operators can read beyond the platform's calls, for a node with the product's
// own file.
func (n *node) managementPages() []mgmt.Page {
	registry := prometheus.NewRegistry()
	registry.MustRegister(&collector{node: n})
	pages := []mgmt.Page{
		{Path: "explain", Type: "application/json", Write: func(w io.Writer, q url.Values) error {
			v, err := n.Explain(q)
			return writeJSON(w, v, err)
		}},
		{Path: "cell", Type: "application/json", Write: func(w io.Writer, q url.Values) error {
			c, ok := n.cellOf(q.Get("tenant"))
			if !ok {
				return errNoCells
			}
			return writeJSON(w, c, nil)
		}},
		{Path: "contracts", Type: "application/json", Write: func(w io.Writer, _ url.Values) error {
			stats := n.core.Stats(maxLevels)
			if !stats.HasContracts {
				return core.ErrNoContracts
			}
			return writeJSON(w, stats.ContractStatuses, nil)
		}},
		{Path: "metrics", Type: string(expfmt.NewFormat(expfmt.TypeTextPlain)), Write: func(w io.Writer, _ url.Values) error {
			families, err := registry.Gather()
			if err != nil {
				return err
			}
			for _, f := range families {
				if _, err := expfmt.MetricFamilyToText(w, f); err != nil {
					return err
				}
			}
			return nil
		}},
	}
	if n.memberTransport != nil {
		pages = append(pages, mgmt.Page{Path: "members", Type: "application/json", Write: func(w io.Writer, _ url.Values) error {
			return writeJSON(w, n.members(), nil)
		}})
	}
	if n.checker != nil {
		pages = append(pages, mgmt.Page{Path: "health", Type: "application/json", Write: func(w io.Writer, q url.Values) error {
			v, err := n.healthOf(q.Get("server"))
			return writeJSON(w, v, err)
		}})
	}
	if n.cfg.follower != nil {
		pages = append(pages, n.cfg.follower.page())
	}
	return pages
}

// collector reads the core's statistics when metrics are collected, so that they cost nothing per request.
type collector struct{ node *node }

var (
	admittedDesc     = prometheus.NewDesc("portstall_contract_admitted_total", "Requests admitted.", []string{"contract"}, nil)
	refusedDesc      = prometheus.NewDesc("portstall_contract_refused_total", "Requests refused, by rule.", []string{"contract", "rule"}, nil)
	inFlightDesc     = prometheus.NewDesc("portstall_contract_in_flight", "Requests in flight.", []string{"contract"}, nil)
	demandDesc       = prometheus.NewDesc("portstall_contract_demand", "Server-seconds demanded per second.", []string{"contract"}, nil)
	costDesc         = prometheus.NewDesc("portstall_contract_cost_seconds", "Mean server-seconds per request.", []string{"contract"}, nil)
	pressureDesc     = prometheus.NewDesc("portstall_pressure", "Fraction of the latest requests that found no normal server.", nil, nil)
	allowedDesc      = prometheus.NewDesc("portstall_work_allowed", "Server-seconds per second that all contracts together may use; +Inf without pressure.", nil, nil)
	inUseDesc        = prometheus.NewDesc("portstall_work_in_use", "Server-seconds per second that all contracts together use.", nil, nil)
	shareDesc        = prometheus.NewDesc("portstall_contract_part", "Share of each contract that this node hands out.", nil, nil)
	tunnelsOpenDesc  = prometheus.NewDesc("portstall_tunnels_open", "Open opaque tunnels.", nil, nil)
	tunnelsEndedDesc = prometheus.NewDesc("portstall_tunnels_ended_total", "Opaque tunnels that have ended, by cause.", []string{"cause"}, nil)
	tunnelBytesDesc  = prometheus.NewDesc("portstall_tunnel_bytes_total", "Bytes through ended opaque tunnels, both directions.", nil, nil)
	openRequestsDesc = prometheus.NewDesc("portstall_requests_open", "Requests accepted and not yet answered.", nil, nil)
)

// Describe and Collect implement prometheus.Collector.
func (c *collector) Describe(ch chan<- *prometheus.Desc) { prometheus.DescribeByCollect(c, ch) }

func (c *collector) Collect(ch chan<- prometheus.Metric) {
	stats := c.node.core.Stats(maxLevels)
	gauges := map[*prometheus.Desc]float64{pressureDesc: stats.Pressure, openRequestsDesc: float64(stats.OpenRequests)}
	if stats.HasContracts {
		gauges[allowedDesc], gauges[inUseDesc], gauges[shareDesc] = stats.AllowedWork, stats.WorkInUse, stats.ContractShare
	}
	tunnels := c.node.opaque.Stats()
	gauges[tunnelsOpenDesc] = float64(tunnels.Open)
	ch <- prometheus.MustNewConstMetric(tunnelBytesDesc, prometheus.CounterValue, float64(tunnels.Bytes))
	for cause, n := range tunnels.Ended {
		ch <- prometheus.MustNewConstMetric(tunnelsEndedDesc, prometheus.CounterValue, float64(n), string(cause))
	}
	if follower := c.node.cfg.follower; follower != nil {
		follower.collect(ch)
	}
	for desc, value := range gauges {
		ch <- prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, value)
	}
	for _, level := range stats.ContractStatuses {
		ch <- prometheus.MustNewConstMetric(admittedDesc, prometheus.CounterValue, float64(level.Admitted), level.Name)
		ch <- prometheus.MustNewConstMetric(inFlightDesc, prometheus.GaugeValue, float64(level.InFlight), level.Name)
		ch <- prometheus.MustNewConstMetric(demandDesc, prometheus.GaugeValue, level.Demand, level.Name)
		ch <- prometheus.MustNewConstMetric(costDesc, prometheus.GaugeValue, level.MeanCost, level.Name)
		for _, refusal := range level.RefusedBy {
			ch <- prometheus.MustNewConstMetric(refusedDesc, prometheus.CounterValue, float64(refusal.Count), level.Name, string(refusal.Rule))
		}
	}
}
