package scale

import "github.com/prometheus/procfs"

// machine is what this machine's kernel tells of how busy it is. What can't be read counts as 0.
type machine struct{ fs procfs.FS }

// machineAt reads from where /proc is.
func newMachine(proc string) machine {
	fs, _ := procfs.NewFS(proc) // one that can't be read tells nothing
	return machine{fs}
}

// load is the load average of a minute.
func (m machine) load() float64 {
	l, err := m.fs.LoadAvg()
	if err != nil {
		return 0
	}
	return l.Load1
}

// stolen is how much processor time its host has taken from it since it began (steal), over all cores, in seconds.
func (m machine) stolen() float64 {
	s, err := m.fs.Stat()
	if err != nil {
		return 0
	}
	return s.CPUTotal.Steal
}

// PartRow is what the machine was like during a part of a run.
type PartRow struct {
	Part  string  `json:"part"`
	Took  float64 `json:"took_s"`
	Load  float64 `json:"load"`    // average of a minute, at its begin
	Steal float64 `json:"steal_s"` // processor time that the machine's host took meanwhile, over all cores
}

// Stolen is the part of the machine's processor time that its host took, 0 to 1.
func (p *PartRow) StolenShare(cores int) float64 {
	if p.Took <= 0 || cores <= 0 {
		return 0
	}
	return p.Steal / p.Took / float64(cores)
}
