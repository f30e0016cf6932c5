package member

import (
	"math"
	"slices"
	"time"
)

// ServerReport is what one member has observed of a web server. It is evidence, never a verdict, and decays
// exponentially from the time at which it was received.
type ServerReport struct {
	By          string // name of the reporting member
	Server      string
	FailedShare float64 // share of the member's own recent attempts that failed, from 0 to 1
	Attempts    float64 // number of those attempts, decayed; from 0 to 255
	ReceivedAt  time.Duration
	inc         uint64
	seq         uint64
}

// reportKey identifies the latest report of one member about one web server.
type reportKey struct{ by, server string }

const (
	// reportTimeConstant is the time constant by which reports decay. After three of them a report is ignored.
	reportTimeConstant = 10 * time.Second
	// maxReports bounds the reports that a member stores.
	maxReports = 4096
)

// ReportServer reports to the other members the failed share of this member's recent attempts at a web server, and
// their number.
func (m *Member) ReportServer(now time.Duration, server string, failedShare, attempts float64) {
	if len(server) > maxName || len(server) == 0 || m.stopped {
		return
	}
	m.seq++
	share := uint8(255 * min(1, max(0, failedShare)))
	count := uint8(min(255, max(0, attempts)))
	f := &Fact{Kind: factServerReport, By: m.name, About: server, Inc: m.inc, Seq: m.seq, Data: []byte{share, count}}
	m.enqueue(now, "report "+server, signFact(f, m.keys.Sign), 1)
}

// handleServerReport stores the report of another member, and passes it on.
func (m *Member) handleServerReport(now time.Duration, f *Fact, s signed) {
	if len(f.Data) != 2 {
		return
	}
	k := reportKey{f.By, f.About}
	if _, known := m.serverReports[k]; !known && len(m.serverReports) >= maxReports {
		for key, r := range m.serverReports {
			if now > r.ReceivedAt+3*reportTimeConstant {
				delete(m.serverReports, key)
			}
		}
		if len(m.serverReports) >= maxReports {
			return
		}
	}
	m.serverReports[k] = ServerReport{By: f.By, Server: f.About, FailedShare: float64(f.Data[0]) / 255, Attempts: float64(f.Data[1]), ReceivedAt: now, inc: f.Inc, seq: f.Seq}
	m.enqueue(now, "report "+f.About+" "+f.By, s, 1)
}

// DoubtedServers returns the sorted IDs of the web servers that some other member recently reported as failing.
func (m *Member) DoubtedServers(now time.Duration) []string {
	all := map[string]bool{}
	for k, r := range m.serverReports {
		if r.FailedShare > 0.1 && now <= r.ReceivedAt+3*reportTimeConstant {
			all[k.server] = true
		}
	}
	return sortedKeys(all)
}

// FailureEstimate returns the failed share that the other members report of a web server, from 0 to 1, and the number
// of members that it is based on. It justifies an earlier probe by this node, and fewer requests until then, no more.
// It is the median of the decayed reports of live members, so that fewer than half of them can't move it beyond what
// the others observed, whatever they report.
func (m *Member) FailureEstimate(now time.Duration, server string) (failedShare float64, reporters int) {
	var shares []float64
	for _, name := range m.peerNames() {
		r, known := m.serverReports[reportKey{name, server}]
		if p := m.peers[name]; !known || p.State > Suspect || r.inc != p.Inc || r.Attempts < 1 || now > r.ReceivedAt+3*reportTimeConstant {
			continue
		}
		shares = append(shares, r.FailedShare*math.Exp(-float64(now-r.ReceivedAt)/float64(reportTimeConstant)))
	}
	if len(shares) < 2 { // a single member is not believed
		return 0, len(shares)
	}
	slices.Sort(shares)
	return shares[(len(shares)-1)/2], len(shares) // the lower median of an even number
}
