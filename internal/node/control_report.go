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

// page returns the management page with the follower's report. It can be read at any time.
func (f *configFollower) page() mgmt.Page {
	return mgmt.Page{Path: "configuration", Type: "application/json", Write: func(w io.Writer, _ url.Values) error {
		return writeJSON(w, f.report(), nil)
	}}
}

// Configuration is a node's report of the configuration that it has from control.
type Configuration struct {
	Version        string                `json:"version"`         // version in force; 0.0: none
	Since          *time.Time            `json:"since,omitempty"` // since when that version is in force
	MissingReason  string                `json:"missing,omitempty"`
	Resources      map[resource.Kind]int `json:"resources"`
	Sources        []string              `json:"sources"`             // in the order in which they are asked, the nearest first
	Source         string                `json:"source,omitempty"`    // the source that replied last
	LastReplyAt    *time.Time            `json:"last_good,omitempty"` // when a source last replied
	LastFailure    string                `json:"last_failure,omitempty"`
	RefusedVersion string                `json:"refused,omitempty"` // a version that was refused; empty again once a later one is accepted
	LastRefusal    *refusedChange        `json:"last_refusal,omitempty"`
	Refusals       int64                 `json:"refusals"`
	Changes        int64                 `json:"changes"` // changes applied since the start, the first configuration included
	Calls          follow.Stats          `json:"calls"`
}

// report returns the follower's state for operators.
func (f *configFollower) report() Configuration {
	status := f.status.Read()
	report := Configuration{Source: status.Source, LastFailure: status.LastError, Calls: status}
	if status.LastResponse > 0 {
		at := time.Unix(0, int64(status.LastResponse)).UTC()
		report.LastReplyAt = &at
	}
	if !status.Refused.IsZero() {
		report.RefusedVersion = status.Refused.String()
	}
	if err := f.missingConfiguration(); err != nil {
		report.MissingReason = err.Error()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	report.Version, report.Sources, report.LastRefusal, report.Refusals, report.Changes = f.set.Version().String(), f.sources, f.lastRefusal, status.Failures[follow.Refused], f.changesApplied
	if report.RefusedVersion != "" && (f.lastRefusal == nil || f.lastRefusal.Version != report.RefusedVersion) { // refused before it was checked here
		report.LastRefusal = &refusedChange{At: time.Unix(0, int64(status.LastResponse)).UTC(), Version: report.RefusedVersion, Why: status.Reason}
	}
	if f.changesApplied > 0 {
		at := f.appliedAt.UTC()
		report.Since = &at
	}
	report.Resources = maps.Clone(f.counts)
	return report
}

var (
	versionDesc   = prometheus.NewDesc("portstall_configuration_version", "The configuration in force; always 1.", []string{"epoch", "number"}, nil)
	ageDesc       = prometheus.NewDesc("portstall_configuration_age_seconds", "Time since the last reply of control.", nil, nil)
	changesDesc   = prometheus.NewDesc("portstall_configuration_changes_total", "Changes applied, the first configuration included.", nil, nil)
	refusalsDesc  = prometheus.NewDesc("portstall_configuration_refusals_total", "Changes refused as invalid.", nil, nil)
	failuresDesc  = prometheus.NewDesc("portstall_configuration_failures_total", "Failed calls to control, by kind of failure.", []string{"kind"}, nil)
	callsDesc     = prometheus.NewDesc("portstall_configuration_calls_total", "Calls to control.", nil, nil)
	bytesDesc     = prometheus.NewDesc("portstall_configuration_bytes_total", "Bytes from and to control.", []string{"way"}, nil)
	resourcesDesc = prometheus.NewDesc("portstall_configuration_resources", "Resources in force, by kind.", []string{"kind"}, nil)
)

// collect sends the follower's metrics.
func (f *configFollower) collect(ch chan<- prometheus.Metric) {
	count := func(desc *prometheus.Desc, value int64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(desc, prometheus.CounterValue, float64(value), labels...)
	}
	report := f.report()
	epoch, number, _ := strings.Cut(report.Version, ".")
	ch <- prometheus.MustNewConstMetric(versionDesc, prometheus.GaugeValue, 1, epoch, number)
	if report.LastReplyAt != nil {
		ch <- prometheus.MustNewConstMetric(ageDesc, prometheus.GaugeValue, time.Since(*report.LastReplyAt).Seconds())
	}
	for kind, value := range report.Resources {
		ch <- prometheus.MustNewConstMetric(resourcesDesc, prometheus.GaugeValue, float64(value), string(kind))
	}
	for kind, value := range report.Calls.Failures {
		count(failuresDesc, value, string(kind))
	}
	count(changesDesc, report.Changes)
	count(refusalsDesc, report.Refusals)
	count(callsDesc, report.Calls.Calls)
	count(bytesDesc, report.Calls.BytesIn, "in")
	count(bytesDesc, report.Calls.BytesOut, "out")
}
