package control

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"portstall/internal/control/follow"
	"portstall/internal/resource"
)

// statusReport is the body of GET /v1/status.
type statusReport struct {
	Role            string            `json:"role"` // "writer" or "follower"
	Version         resource.Version  `json:"version"`
	Checksum        resource.Checksum `json:"sum"`
	InForceS        float64           `json:"in_force_s"` // since the version was applied
	Resources       int               `json:"resources"`
	Deltas          int               `json:"deltas_kept"`
	Watches         int               `json:"watches"`
	MaxWatches      int               `json:"most_watches"`
	Connections     int               `json:"connections"`
	SnapshotsSent   int               `json:"snapshots_told"`
	Ahead           resource.Version  `json:"ahead"` // latest version that a caller has and this process lacks; 0.0: none
	Callers         int               `json:"callers"`
	Versions        []versionReport   `json:"callers_by_version"`
	AtOtherVersions int               `json:"callers_at_other_versions"`
	Refusing        int               `json:"refusing"`
	Refusals        []callerReport    `json:"refusals"`
	Behind          int               `json:"behind"`
	Late            []callerReport    `json:"late"`
	Files           *filesReport      `json:"files,omitempty"`   // writer only
	Follows         *follow.Stats     `json:"follows,omitempty"` // follower only
}

// versionReport is the number of callers that have a version in force.
type versionReport struct {
	Version resource.Version `json:"version"`
	Callers int              `json:"callers"`
}

// callerReport describes one caller.
type callerReport struct {
	Name      string           `json:"name"`
	Process   string           `json:"process,omitempty"`
	Role      string           `json:"role"`
	Version   resource.Version `json:"version"`
	Refused   resource.Version `json:"refused"` // version that it refuses; 0.0: none
	Why       string           `json:"why,omitempty"`
	HeardAgoS float64          `json:"heard_s_ago"`
	BehindS   float64          `json:"behind_s"`
}

// filesReport describes the latest reload of a writer's files.
type filesReport struct {
	Path          string  `json:"path"`
	Error         string  `json:"error,omitempty"` // of the latest reload, if it failed; it had no effect then
	ReadAgoS      float64 `json:"read_s_ago"`      // 0: no reload since the start
	ReadDurationS float64 `json:"took_s"`
	Reloads       int64   `json:"reloads"`
	BadReloads    int64   `json:"bad_reloads"`
}

// status collects the report of GET /v1/status and of the metrics.
func (s *server) status() statusReport {
	now := s.Clock.Now()
	s.mu.Lock()
	st := s.store.Status(now)
	s.mu.Unlock()
	report := statusReport{Role: "follower", Version: st.Version, Checksum: st.Sum, Resources: st.Resources, Deltas: st.Deltas, Watches: st.Watches,
		MaxWatches: s.Limits.MaxWatches, SnapshotsSent: st.SnapshotsSent, Ahead: st.Ahead, Callers: st.Callers, AtOtherVersions: st.AtOtherVersions,
		Refusing: st.Refusing, Behind: st.Behind,
		Refusals: callerReports(st.Refusals), Late: callerReports(st.Late), Versions: []versionReport{}}
	report.Connections, _ = s.connections.stats()
	if !st.Version.IsZero() {
		report.InForceS = (now - st.AppliedAt).Seconds()
	}
	for _, r := range st.Versions {
		report.Versions = append(report.Versions, versionReport(r))
	}
	if s.writer == nil {
		f := s.followStatus.Read()
		report.Follows = &f
		return report
	}
	report.Role = "writer"
	w := s.writer
	w.statusMu.Lock()
	defer w.statusMu.Unlock()
	report.Files = &filesReport{Path: s.Files, Error: w.lastError, ReadDurationS: w.readDuration.Seconds(),
		Reloads: s.counters.reloads.Load(), BadReloads: s.counters.badReloads.Load()}
	if w.readAt > 0 {
		report.Files.ReadAgoS = (now - w.readAt).Seconds()
	}
	return report
}

// callerReports converts the store's caller statuses; the result is not nil, so that JSON has an empty list.
func callerReports(callers []CallerStatus) []callerReport {
	reports := []callerReport{}
	for _, c := range callers {
		reports = append(reports, callerReport{c.Name, c.Process, c.Role, c.Version, c.Refused, c.Why,
			c.HeardAgo.Seconds(), c.BehindFor.Seconds()})
	}
	return reports
}

// metrics returns the handler of GET /metrics, in Prometheus's text format.
func (s *server) metrics() http.Handler {
	registry := prometheus.NewRegistry()
	registry.MustRegister(&collector{s})
	h := promhttp.HandlerFor(registry, promhttp.HandlerOpts{MaxRequestsInFlight: 4, DisableCompression: true})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		http.NewResponseController(w).SetWriteDeadline(time.Now().Add(responseTimeout))
		h.ServeHTTP(w, r)
	})
}

// collector is a prometheus.Collector that reads the server's state when it is scraped, so that calls have no cost for
// metrics.
type collector struct{ *server }

// describe returns the description of one of control's metrics.
func describe(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc("portstall_control_"+name, help, labels, nil)
}

var (
	epochDesc              = describe("version_epoch", "Epoch of the version in force, in ms of Unix time; 0: no version yet.")
	numberDesc             = describe("version_number", "Number of the version in force within its epoch.")
	versionAgeDesc         = describe("version_age_seconds", "Time since the version in force was applied.")
	resourcesDesc          = describe("resources", "Resources in force.")
	deltasDesc             = describe("deltas_kept", "Deltas retained for callers that fall behind.")
	watchesDesc            = describe("watches", "Calls that are held until a new version.")
	callersDesc            = describe("callers", "Nodes and control processes that called recently.")
	behindDesc             = describe("callers_behind", "Callers that have been behind for longer than the limit.")
	refusingDesc           = describe("callers_refusing", "Callers that refuse a version.")
	connectionsDesc        = describe("connections", "Open connections.")
	connectionsRefusedDesc = describe("connections_refused_total", "Connections closed because of the limit on open connections.")
	versionsDesc           = describe("versions_total", "Versions applied since the start.")
	responsesDesc          = describe("answers_total", "Responses to calls for resources, by HTTP status.", "status")
	snapshotsDesc          = describe("snapshots_total", "Responses with a snapshot.")
	encodedDesc            = describe("texts_total", "Response bodies encoded; callers of one version share a body.")
	bytesDesc              = describe("bytes_total", "Bytes on connections of callers, by direction.", "way")
	reloadsDesc            = describe("reloads_total", "Reloads of the writer's files, by result.", "result")
	filesBadDesc           = describe("files_bad", "1 if the latest reload of the files was rejected.")
	callsDesc              = describe("follow_calls_total", "Calls that this follower made.")
	failuresDesc           = describe("follow_failures_total", "Calls of this follower that failed, by kind of failure.", "kind")
	heardAgeDesc           = describe("follow_heard_age_seconds", "Time since the latest response from a control process that is followed.")
)

// Describe implements prometheus.Collector.
func (c *collector) Describe(ch chan<- *prometheus.Desc) { prometheus.DescribeByCollect(c, ch) }

// Collect implements prometheus.Collector.
func (c *collector) Collect(ch chan<- prometheus.Metric) {
	report := c.status()
	emit := func(desc *prometheus.Desc, kind prometheus.ValueType, value float64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(desc, kind, value, labels...)
	}
	const gauge, counter = prometheus.GaugeValue, prometheus.CounterValue
	_, closed := c.connections.stats()
	c.responses.mu.Lock()
	encoded := c.responses.encodedCount
	c.responses.mu.Unlock()
	emit(epochDesc, gauge, float64(report.Version.Epoch))
	emit(numberDesc, gauge, float64(report.Version.Number))
	emit(versionAgeDesc, gauge, report.InForceS)
	emit(resourcesDesc, gauge, float64(report.Resources))
	emit(deltasDesc, gauge, float64(report.Deltas))
	emit(watchesDesc, gauge, float64(report.Watches))
	emit(callersDesc, gauge, float64(report.Callers))
	emit(behindDesc, gauge, float64(report.Behind))
	emit(refusingDesc, gauge, float64(report.Refusing))
	emit(connectionsDesc, gauge, float64(report.Connections))
	emit(connectionsRefusedDesc, counter, float64(closed))
	emit(versionsDesc, counter, float64(c.counters.versions.Load()))
	emit(responsesDesc, counter, float64(c.counters.ok.Load()), "200")
	emit(responsesDesc, counter, float64(c.counters.behind.Load()), "409")
	emit(responsesDesc, counter, float64(c.counters.full.Load()), "503")
	emit(responsesDesc, counter, float64(c.counters.bad.Load()), "400")
	emit(snapshotsDesc, counter, float64(report.SnapshotsSent))
	emit(encodedDesc, counter, float64(encoded))
	emit(bytesDesc, counter, float64(c.counters.bytesIn.Load()), "in")
	emit(bytesDesc, counter, float64(c.counters.bytesOut.Load()), "out")
	if f := report.Files; f != nil {
		bad := 0.0
		if f.Error != "" {
			bad = 1
		}
		emit(filesBadDesc, gauge, bad)
		emit(reloadsDesc, counter, float64(f.Reloads-f.BadReloads), "good")
		emit(reloadsDesc, counter, float64(f.BadReloads), "bad")
	}
	if f := report.Follows; f != nil {
		emit(callsDesc, counter, float64(f.Calls))
		for kind, n := range f.Failures {
			emit(failuresDesc, counter, float64(n), string(kind))
		}
		since := f.LastResponse
		if since == 0 {
			since = c.startedAt
		}
		emit(heardAgeDesc, gauge, (c.Clock.Now() - since).Seconds())
	}
}
