package control

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"portstall/internal/control/follow"
	"portstall/internal/resource"
)

// view is what GET /v1/status tells.
type statusReport struct {
	Role        string           `json:"role"` // writer or follower
	Version     resource.Version `json:"version"`
	Sum         resource.Sum     `json:"sum"`
	InForceS    float64          `json:"in_force_s"` // for how long
	Resources   int              `json:"resources"`
	Deltas      int              `json:"deltas_kept"`
	Watches     int              `json:"watches"`
	MostWatches int              `json:"most_watches"`
	Connections int              `json:"connections"`
	Snapshots   int              `json:"snapshots_told"`
	Ahead       resource.Version `json:"ahead"` // a caller has it, and we don't; 0.0: none
	Nodes       int              `json:"callers"`
	Versions    []versionReport  `json:"callers_by_version"`
	Others      int              `json:"callers_at_other_versions"`
	Refused     int              `json:"refusing"`
	Refusals    []callerReport   `json:"refusals"`
	Behind      int              `json:"behind"`
	Late        []callerReport   `json:"late"`
	Files       *filesReport     `json:"files,omitempty"`   // of a writer
	Follows     *follow.Figures  `json:"follows,omitempty"` // of a follower
}

type versionReport struct {
	Version resource.Version `json:"version"`
	Callers int              `json:"callers"`
}

// nodeView is one caller.
type callerReport struct {
	Name    string           `json:"name"`
	Process string           `json:"process,omitempty"`
	Role    string           `json:"role"`
	Version resource.Version `json:"version"`
	Refused resource.Version `json:"refused"` // 0.0: none
	Why     string           `json:"why,omitempty"`
	HeardS  float64          `json:"heard_s_ago"`
	BehindS float64          `json:"behind_s"`
}

// filesView is how a writer's files stand.
type filesReport struct {
	Path    string  `json:"path"`
	Error   string  `json:"error,omitempty"` // of the latest reading, which changed nothing
	ReadS   float64 `json:"read_s_ago"`      // 0: not since the start
	TookS   float64 `json:"took_s"`
	Reloads int64   `json:"reloads"`
	Bad     int64   `json:"bad_reloads"`
}

func (s *server) status() statusReport {
	now := s.Clock.Now()
	s.mu.Lock()
	st := s.store.Status(now)
	s.mu.Unlock()
	v := statusReport{Role: "follower", Version: st.Version, Sum: st.Sum, Resources: st.Resources, Deltas: st.Deltas, Watches: st.Watches, MostWatches: s.Limits.Watches,
		Snapshots: st.SnapshotsSent, Ahead: st.Ahead, Nodes: st.Callers, Others: st.AtOtherVersions, Refused: st.Refusing, Behind: st.Behind,
		Refusals: callerReports(st.Refusals), Late: callerReports(st.Late), Versions: []versionReport{}}
	v.Connections, _ = s.connections.stats()
	if !st.Version.IsZero() {
		v.InForceS = (now - st.AppliedAt).Seconds()
	}
	for _, r := range st.Versions {
		v.Versions = append(v.Versions, versionReport{r.Version, r.Callers})
	}
	if s.writer == nil {
		f := s.followStatus.Read()
		v.Follows = &f
		return v
	}
	v.Role = "writer"
	w := s.writer
	w.statusMu.Lock()
	defer w.statusMu.Unlock()
	v.Files = &filesReport{Path: s.Files, Error: w.lastError, TookS: w.readDuration.Seconds(), Reloads: s.counters.reloads.Load(), Bad: s.counters.badReloads.Load()}
	if w.readAt > 0 {
		v.Files.ReadS = (now - w.readAt).Seconds()
	}
	return v
}

func callerReports(nodes []CallerStatus) []callerReport {
	out := []callerReport{}
	for _, n := range nodes {
		out = append(out, callerReport{n.Name, n.Process, n.Role, n.Version, n.Refused, n.Why, n.HeardAgo.Seconds(), n.BehindFor.Seconds()})
	}
	return out
}

// metrics are for Prometheus.
func (s *server) metrics() http.Handler {
	registry := prometheus.NewRegistry()
	registry.MustRegister(&collector{s})
	h := promhttp.HandlerFor(registry, promhttp.HandlerOpts{MaxRequestsInFlight: 4, DisableCompression: true})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		http.NewResponseController(w).SetWriteDeadline(time.Now().Add(responseTimeout))
		h.ServeHTTP(w, r)
	})
}

// collector reads when it is asked, so that counting costs calls nothing.
type collector struct{ *server }

func describe(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc("portstall_control_"+name, help, labels, nil)
}

var (
	epochDesc              = describe("version_epoch", "Epoch of the version in force, in ms of Unix time; 0: none yet.")
	numberDesc             = describe("version_number", "Number of the version in force within its epoch.")
	versionAgeDesc         = describe("version_age_seconds", "For how long the version has been in force.")
	resourcesDesc          = describe("resources", "Resources in force.")
	deltasDesc             = describe("deltas_kept", "Deltas that are kept for who falls behind.")
	watchesDesc            = describe("watches", "Calls that are held.")
	callersDesc            = describe("callers", "Nodes and control processes heard of lately.")
	behindDesc             = describe("callers_behind", "Callers that are behind for longer than the bound.")
	refusingDesc           = describe("callers_refusing", "Callers that refuse a version.")
	connectionsDesc        = describe("connections", "Open connections.")
	connectionsRefusedDesc = describe("connections_refused_total", "Connections closed for the bound on them.")
	versionsDesc           = describe("versions_total", "Versions taken since the start.")
	responsesDesc          = describe("answers_total", "Answers to calls for resources, by their status.", "status")
	snapshotsDesc          = describe("snapshots_total", "Snapshots told.")
	encodedDesc            = describe("texts_total", "Texts of answers made; all who ask for one share it.")
	bytesDesc              = describe("bytes_total", "Bytes on connections of callers.", "way")
	reloadsDesc            = describe("reloads_total", "Readings of the writer's files.", "result")
	filesBadDesc           = describe("files_bad", "1 where the latest reading of the files was refused.")
	callsDesc              = describe("follow_calls_total", "Calls that a follower made.")
	failuresDesc           = describe("follow_failures_total", "Calls that failed, by how.", "kind")
	heardAgeDesc           = describe("follow_heard_age_seconds", "Since when nothing has been heard of those that are followed.")
)

// Describe and Collect make it a prometheus.Collector.
func (c *collector) Describe(ch chan<- *prometheus.Desc) { prometheus.DescribeByCollect(c, ch) }

func (c *collector) Collect(ch chan<- prometheus.Metric) {
	v := c.status()
	tell := func(desc *prometheus.Desc, kind prometheus.ValueType, value float64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(desc, kind, value, labels...)
	}
	const gauge, counter = prometheus.GaugeValue, prometheus.CounterValue
	_, closed := c.connections.stats()
	c.responses.mu.Lock()
	made := c.responses.encodedCount
	c.responses.mu.Unlock()
	tell(epochDesc, gauge, float64(v.Version.Epoch))
	tell(numberDesc, gauge, float64(v.Version.Number))
	tell(versionAgeDesc, gauge, v.InForceS)
	tell(resourcesDesc, gauge, float64(v.Resources))
	tell(deltasDesc, gauge, float64(v.Deltas))
	tell(watchesDesc, gauge, float64(v.Watches))
	tell(callersDesc, gauge, float64(v.Nodes))
	tell(behindDesc, gauge, float64(v.Behind))
	tell(refusingDesc, gauge, float64(v.Refused))
	tell(connectionsDesc, gauge, float64(v.Connections))
	tell(connectionsRefusedDesc, counter, float64(closed))
	tell(versionsDesc, counter, float64(c.counters.versions.Load()))
	tell(responsesDesc, counter, float64(c.counters.ok.Load()), "200")
	tell(responsesDesc, counter, float64(c.counters.behind.Load()), "409")
	tell(responsesDesc, counter, float64(c.counters.full.Load()), "503")
	tell(responsesDesc, counter, float64(c.counters.bad.Load()), "400")
	tell(snapshotsDesc, counter, float64(v.Snapshots))
	tell(encodedDesc, counter, float64(made))
	tell(bytesDesc, counter, float64(c.counters.bytesIn.Load()), "in")
	tell(bytesDesc, counter, float64(c.counters.bytesOut.Load()), "out")
	if f := v.Files; f != nil {
		bad := 0.0
		if f.Error != "" {
			bad = 1
		}
		tell(filesBadDesc, gauge, bad)
		tell(reloadsDesc, counter, float64(f.Reloads-f.Bad), "good")
		tell(reloadsDesc, counter, float64(f.Bad), "bad")
	}
	if f := v.Follows; f != nil {
		tell(callsDesc, counter, float64(f.Calls))
		for kind, n := range f.Failures {
			tell(failuresDesc, counter, float64(n), string(kind))
		}
		since := f.Heard
		if since == 0 {
			since = c.startedAt
		}
		tell(heardAgeDesc, gauge, (c.Clock.Now() - since).Seconds())
	}
}
