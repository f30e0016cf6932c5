package member

import (
	"math"
	"slices"
	"time"
)

// Evidence is what one member has seen of a web server: never a verdict. It fades from when it was heard of.
type ServerReport struct {
	By          string
	Server      string
	FailedShare float64 // part of its own latest attempts that failed, from 0 to 1
	Attempts    float64 // how many those were, faded
	ReceivedAt  time.Duration
	inc         uint64
	seq         uint64
}

type reportKey struct{ by, server string }

// evidenceTau is over what evidence fades, and evidenceMost how much is remembered.
const (
	reportTimeConstant = 10 * time.Second
	maxReports         = 4096
)

// Witness tells the others what this member has seen of a web server.
func (m *Member) Witness(now time.Duration, server string, bad, weight float64) {
	if len(server) > maxName || len(server) == 0 || m.stopped {
		return
	}
	m.seq++
	share := uint8(255 * min(1, max(0, bad)))
	count := uint8(min(255, max(0, weight)))
	f := &Fact{Kind: factServerReport, By: m.name, About: server, Inc: m.inc, Seq: m.seq, Data: []byte{share, count}}
	m.enqueue(now, "witness "+server, signFact(f, m.keys.Sign), 1)
}

func (m *Member) handleServerReport(now time.Duration, f *Fact, s signed) {
	if len(f.Data) != 2 {
		return
	}
	k := reportKey{f.By, f.About}
	if _, known := m.serverReports[k]; !known && len(m.serverReports) >= maxReports {
		for key, e := range m.serverReports {
			if now > e.ReceivedAt+3*reportTimeConstant {
				delete(m.serverReports, key)
			}
		}
		if len(m.serverReports) >= maxReports {
			return
		}
	}
	m.serverReports[k] = ServerReport{By: f.By, Server: f.About, FailedShare: float64(f.Data[0]) / 255, Attempts: float64(f.Data[1]), ReceivedAt: now, inc: f.Inc, seq: f.Seq}
	m.enqueue(now, "witness "+f.About+" "+f.By, s, 1)
}

// Doubted are the web servers that somebody else sees fail, in the order of their names.
func (m *Member) Doubted(now time.Duration) []string {
	all := map[string]bool{}
	for k, e := range m.serverReports {
		if e.FailedShare > 0.1 && now <= e.ReceivedAt+3*reportTimeConstant {
			all[k.server] = true
		}
	}
	return sortedKeys(all)
}

// Doubt is how much the others' evidence speaks against a web server, from 0 to 1, and of how many of them: what it is worth
// is a look of one's own, and a share of requests fewer until then. It is the median of the witnesses that are there, so that
// fewer than half of them, whatever they say, can't move it past what the others saw.
func (m *Member) Doubt(now time.Duration, server string) (doubt float64, witnesses int) {
	var seen []float64
	for _, name := range m.peerNames() {
		e, known := m.serverReports[reportKey{name, server}]
		if p := m.peers[name]; !known || p.State > Suspect || e.inc != p.Inc || e.Attempts < 1 || now > e.ReceivedAt+3*reportTimeConstant {
			continue
		}
		seen = append(seen, e.FailedShare*math.Exp(-float64(now-e.ReceivedAt)/float64(reportTimeConstant)))
	}
	if len(seen) < 2 { // one alone is nobody
		return 0, len(seen)
	}
	slices.Sort(seen)
	return seen[(len(seen)-1)/2], len(seen) // of an even number the lower one
}
