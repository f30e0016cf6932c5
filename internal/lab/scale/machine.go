package scale

import "github.com/prometheus/procfs"

// machine reads how busy this machine is from its kernel. Values that can't be read count as 0.
type machine struct{ fs procfs.FS }

// newMachine returns a machine that reads from the given mount point of /proc.
func newMachine(proc string) machine {
	fs, _ := procfs.NewFS(proc) // without a file system all values are 0
	return machine{fs}
}

// load returns the load average of the last minute.
func (m machine) load() float64 {
	average, err := m.fs.LoadAvg()
	if err != nil {
		return 0
	}
	return average.Load1
}

// stolen returns the CPU time in seconds, over all cores, that the host has taken from this machine since its boot
// (steal time).
func (m machine) stolen() float64 {
	s, err := m.fs.Stat()
	if err != nil {
		return 0
	}
	return s.CPUTotal.Steal
}

// PartRow reports how busy the machine was during a part of a run.
type PartRow struct {
	Part  string  `json:"part"`
	Took  float64 `json:"took_s"`
	Load  float64 `json:"load"`    // load average of the last minute, at the part's start
	Steal float64 `json:"steal_s"` // CPU time that the machine's host took meanwhile, over all cores
}

// StolenShare returns the share of the machine's CPU time that its host took, 0 to 1.
func (p *PartRow) StolenShare(cores int) float64 {
	if p.Took <= 0 || cores <= 0 {
		return 0
	}
	return p.Steal / p.Took / float64(cores)
}
