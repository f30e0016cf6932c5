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

var errNoCells = errors.New("no cells are laid out")

// levelsMost bounds how many contracts are told of, and with it the number of series: the first ones of the file that
// were used. What is left out is counted.
const levelsMost = 200

// asJSON writes a value, unless there is an error.
func asJSON(w io.Writer, v any, err error) error {
	if err != nil {
		return err
	}
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

// pages are what operators can read beyond the platform's calls, where the product's own file is named.
func (n *node) pages() []mgmt.Page {
	registry := prometheus.NewRegistry()
	registry.MustRegister(&collector{node: n})
	pages := []mgmt.Page{
		{Path: "explain", Type: "application/json", Write: func(w io.Writer, q url.Values) error {
			v, err := n.Explain(q)
			return asJSON(w, v, err)
		}},
		{Path: "cell", Type: "application/json", Write: func(w io.Writer, q url.Values) error {
			c, ok := n.cellOf(q.Get("tenant"))
			if !ok {
				return errNoCells
			}
			return asJSON(w, c, nil)
		}},
		{Path: "contracts", Type: "application/json", Write: func(w io.Writer, _ url.Values) error {
			st := n.core.Stats(levelsMost)
			if !st.Contracts {
				return core.ErrNoContracts
			}
			return asJSON(w, st.Levels, nil)
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
	if n.edge != nil {
		pages = append(pages, mgmt.Page{Path: "members", Type: "application/json", Write: func(w io.Writer, _ url.Values) error {
			return asJSON(w, n.members(), nil)
		}})
	}
	if n.checker != nil {
		pages = append(pages, mgmt.Page{Path: "health", Type: "application/json", Write: func(w io.Writer, q url.Values) error {
			v, err := n.healthOf(q.Get("server"))
			return asJSON(w, v, err)
		}})
	}
	if n.cfg.followed != nil {
		pages = append(pages, n.cfg.followed.page())
	}
	return pages
}

// collector reads the ledger when it is asked, so that counting costs requests nothing.
type collector struct{ node *node }

var (
	admittedDesc = prometheus.NewDesc("portstall_contract_admitted_total", "Requests let in.", []string{"contract"}, nil)
	refusedDesc  = prometheus.NewDesc("portstall_contract_refused_total", "Requests refused, by the rule.", []string{"contract", "rule"}, nil)
	inFlightDesc = prometheus.NewDesc("portstall_contract_in_flight", "Requests under way.", []string{"contract"}, nil)
	demandDesc   = prometheus.NewDesc("portstall_contract_demand", "Server-seconds a second asked for.", []string{"contract"}, nil)
	costDesc     = prometheus.NewDesc("portstall_contract_cost_seconds", "Mean server-seconds of a request.", []string{"contract"}, nil)
	pressureDesc = prometheus.NewDesc("portstall_pressure", "Part of the latest requests that met no normal server.", nil, nil)
	allowedDesc  = prometheus.NewDesc("portstall_work_allowed", "Server-seconds a second that all contracts may use together; +Inf at ease.", nil, nil)
	inUseDesc    = prometheus.NewDesc("portstall_work_in_use", "Server-seconds a second that they use.", nil, nil)
	partDesc     = prometheus.NewDesc("portstall_contract_part", "Part of each contract that this node hands out.", nil, nil)
	tunnelsDesc  = prometheus.NewDesc("portstall_tunnels_open", "Opaque tunnels that stand.", nil, nil)
	endedDesc    = prometheus.NewDesc("portstall_tunnels_ended_total", "Opaque tunnels that have ended, by the cause.", []string{"cause"}, nil)
	passedDesc   = prometheus.NewDesc("portstall_tunnel_bytes_total", "Bytes through opaque tunnels that have ended, both ways.", nil, nil)
	takenDesc    = prometheus.NewDesc("portstall_requests_open", "Requests that the node has taken and not answered.", nil, nil)
)

// Describe and Collect make it a prometheus.Collector.
func (c *collector) Describe(ch chan<- *prometheus.Desc) { prometheus.DescribeByCollect(c, ch) }

func (c *collector) Collect(ch chan<- prometheus.Metric) {
	st := c.node.core.Stats(levelsMost)
	gauges := map[*prometheus.Desc]float64{pressureDesc: st.Pressure, takenDesc: float64(st.Open)}
	if st.Contracts {
		gauges[allowedDesc], gauges[inUseDesc], gauges[partDesc] = st.Allowed, st.InUse, st.Part
	}
	tunnels := c.node.opaque.Stats()
	gauges[tunnelsDesc] = float64(tunnels.Open)
	ch <- prometheus.MustNewConstMetric(passedDesc, prometheus.CounterValue, float64(tunnels.Bytes))
	for cause, n := range tunnels.Ended {
		ch <- prometheus.MustNewConstMetric(endedDesc, prometheus.CounterValue, float64(n), string(cause))
	}
	if f := c.node.cfg.followed; f != nil {
		f.collect(ch)
	}
	for desc, v := range gauges {
		ch <- prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, v)
	}
	for _, l := range st.Levels {
		ch <- prometheus.MustNewConstMetric(admittedDesc, prometheus.CounterValue, float64(l.Admitted), l.Name)
		ch <- prometheus.MustNewConstMetric(inFlightDesc, prometheus.GaugeValue, float64(l.InFlight), l.Name)
		ch <- prometheus.MustNewConstMetric(demandDesc, prometheus.GaugeValue, l.Demand, l.Name)
		ch <- prometheus.MustNewConstMetric(costDesc, prometheus.GaugeValue, l.MeanCost, l.Name)
		for _, r := range l.RefusedBy {
			ch <- prometheus.MustNewConstMetric(refusedDesc, prometheus.CounterValue, float64(r.N), l.Name, string(r.Rule))
		}
	}
}
