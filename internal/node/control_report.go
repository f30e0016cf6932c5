package node

import (
	"io"
	"maps"
	"net/url"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"portstall/internal/control/follow"
	"portstall/internal/mgmt"
	"portstall/internal/resource"
)

// page is what operators read of it, at any time.
func (f *followed) page() mgmt.Page {
	return mgmt.Page{Path: "configuration", Type: "application/json", Write: func(w io.Writer, _ url.Values) error {
		return asJSON(w, f.report(), nil)
	}}
}

// Configuration tells operators how a node stands with control.
type Configuration struct {
	Version     string                `json:"version"`         // in force; 0.0: none is
	Since       *time.Time            `json:"since,omitempty"` // it is
	Missing     string                `json:"missing,omitempty"`
	Resources   map[resource.Kind]int `json:"resources"`
	Sources     []string              `json:"sources"`             // as they are asked, the nearest first
	Source      string                `json:"source,omitempty"`    // that answered last,
	LastGood    *time.Time            `json:"last_good,omitempty"` // and when
	LastFailure string                `json:"last_failure,omitempty"`
	Refused     string                `json:"refused,omitempty"` // the version that is not taken, until a later one is
	LastRefusal *refusedChange        `json:"last_refusal,omitempty"`
	Refusals    int64                 `json:"refusals"`
	Changes     int64                 `json:"changes"` // put in force since the start, the first one included
	Calls       follow.Figures        `json:"calls"`
}

func (f *followed) report() Configuration {
	s := f.status.Read()
	c := Configuration{Source: s.Source, LastFailure: s.LastError, Calls: s}
	if s.Heard > 0 {
		at := time.Unix(0, int64(s.Heard)).UTC()
		c.LastGood = &at
	}
	if !s.Refused.IsZero() {
		c.Refused = s.Refused.String()
	}
	if err := f.missing(); err != nil {
		c.Missing = err.Error()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	c.Version, c.Sources, c.LastRefusal, c.Refusals, c.Changes = f.set.Version().String(), f.sources, f.refused, s.Failures[follow.Refused], f.taken
	if c.Refused != "" && (f.refused == nil || f.refused.Version != c.Refused) { // it did not come so far as to be checked here
		c.LastRefusal = &refusedChange{At: time.Unix(0, int64(s.Heard)).UTC(), Version: c.Refused, Why: s.Why}
	}
	if f.taken > 0 {
		at := f.since.UTC()
		c.Since = &at
	}
	c.Resources = maps.Clone(f.counts)
	return c
}

var (
	versionDesc  = prometheus.NewDesc("portstall_configuration_version", "The configuration in force; always 1.", []string{"epoch", "number"}, nil)
	heardDesc    = prometheus.NewDesc("portstall_configuration_age_seconds", "Time since control last answered.", nil, nil)
	changesDesc  = prometheus.NewDesc("portstall_configuration_changes_total", "Changes put in force, the first configuration included.", nil, nil)
	refusalsDesc = prometheus.NewDesc("portstall_configuration_refusals_total", "Changes that did not fit and were refused.", nil, nil)
	failuresDesc = prometheus.NewDesc("portstall_configuration_failures_total", "Calls to control that failed, by how.", []string{"kind"}, nil)
	callsDesc    = prometheus.NewDesc("portstall_configuration_calls_total", "Calls to control.", nil, nil)
	bytesDesc    = prometheus.NewDesc("portstall_configuration_bytes_total", "Bytes from and to control.", []string{"way"}, nil)
	kindsDesc    = prometheus.NewDesc("portstall_configuration_resources", "Resources in force, by kind.", []string{"kind"}, nil)
)

// collect tells how a node stands with control.
func (f *followed) collect(ch chan<- prometheus.Metric) {
	count := func(desc *prometheus.Desc, n int64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(desc, prometheus.CounterValue, float64(n), labels...)
	}
	r := f.report()
	epoch, number, _ := strings.Cut(r.Version, ".")
	ch <- prometheus.MustNewConstMetric(versionDesc, prometheus.GaugeValue, 1, epoch, number)
	if r.LastGood != nil {
		ch <- prometheus.MustNewConstMetric(heardDesc, prometheus.GaugeValue, time.Since(*r.LastGood).Seconds())
	}
	for kind, n := range r.Resources {
		ch <- prometheus.MustNewConstMetric(kindsDesc, prometheus.GaugeValue, float64(n), string(kind))
	}
	for kind, n := range r.Calls.Failures {
		count(failuresDesc, n, string(kind))
	}
	count(changesDesc, r.Changes)
	count(refusalsDesc, r.Refusals)
	count(callsDesc, r.Calls.Calls)
	count(bytesDesc, r.Calls.BytesIn, "in")
	count(bytesDesc, r.Calls.BytesOut, "out")
}
