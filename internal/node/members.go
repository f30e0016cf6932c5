package node

import (
	"context"
	"fmt"
	"math"
	"time"

	"portstall/internal/member"
)

// evidenceInterval is how often this instance shares with its peers what it has observed, and evaluates what they have.
const evidenceInterval = time.Second

// joinMembers opens the sockets for communication with other instances; without members in the file it does nothing.
func (n *node) joinMembers(ctx context.Context) error {
	product := n.cfg.Product
	if product == nil || product.Members == nil {
		return nil
	}
	settings, ring, err := product.Members.Load()
	if err != nil {
		return err
	}
	n.memberTransport, err = member.Listen(ctx, member.Options{Name: product.Members.Name, Addr: product.Members.Listen, Seeds: product.Members.Seeds, Settings: settings, Keys: ring, Log: n.log})
	if err != nil {
		return err
	}
	if n.checker != nil {
		n.core.Lock()
		n.core.Go(n.checker.shareEvidence)
		n.core.Unlock()
	}
	return nil
}

// shareEvidence shares with other instances how real requests fare at web servers: evidence, never a verdict. Nothing
// is shared of a server that no instance sees fail. A server that others see fail is probed sooner, and gets less
// traffic until it answers here.
func (c *healthChecker) shareEvidence() {
	n := c.node
	decay := math.Exp(-evidenceInterval.Seconds() / 10) // per interval, with a time constant of 10 s
	for ctx := n.core.Context(); ctx.Err() == nil; sleep(ctx, evidenceInterval) {
		type observation struct{ failedShare, requests float64 }
		observations := map[string]observation{}
		c.mu.Lock()
		for _, server := range c.servers {
			if total := server.successes + server.failures; total >= 1 {
				observations[server.ID] = observation{server.failures / total, total}
			}
			server.successes, server.failures = server.successes*decay, server.failures*decay
		}
		c.mu.Unlock()
		var failing []string // servers that fail for most of the instances that observed them
		n.memberTransport.Do(func(now time.Duration, self *member.Member) {
			doubted := map[string]bool{}
			for _, id := range self.DoubtedServers(now) {
				doubted[id] = true
				if doubt, _ := self.FailureEstimate(now, id); doubt >= 0.5 {
					failing = append(failing, id)
				}
			}
			for id, seen := range observations {
				if seen.failedShare > 0.1 || doubted[id] {
					self.ReportServer(now, id, seen.failedShare, seen.requests)
				}
			}
		})
		var changed []uint32
		c.mu.Lock()
		now := n.core.Now()
		for _, id := range failing {
			number, known := c.ids[id]
			if !known {
				continue
			}
			c.tracker.RecordPeerFailure(now, number)
			for _, protocol := range c.protocols {
				protocol.schedule.ProbeNow(now, number)
				protocol.wakeUp()
			}
			if _, verdictChanged := c.tracker.Evaluate(now, number); verdictChanged {
				changed = append(changed, number)
			}
		}
		c.mu.Unlock()
		for _, number := range changed {
			c.applyVerdict(number)
		}
	}
}

// memberKeyring returns the keys in a file that was read again, or nil where no instances communicate.
func (n *node) memberKeyring(cfg Config) (*member.Keyring, error) {
	if n.memberTransport == nil || cfg.Product == nil || cfg.Product.Members == nil {
		return nil, nil
	}
	_, ring, err := cfg.Product.Members.Load()
	return ring, err
}

// updateKeyring puts other keys in force. The core's lock is not held.
func (n *node) updateKeyring(ring *member.Keyring) {
	if ring != nil {
		n.memberTransport.Do(func(now time.Duration, m *member.Member) { m.SetKeys(now, ring) })
	}
}

// Member is the state of another instance, for operators.
type Member struct {
	Name        string   `json:"name"`
	Addr        string   `json:"addr"`
	State       string   `json:"state"`
	Incarnation uint64   `json:"incarnation"`
	SinceS      float64  `json:"since_s"`
	Accusers    []string `json:"accusers,omitempty"` // accusers of an instance that is suspected or dead
}

// Members is this instance's view of all instances, for operators.
type Members struct {
	Name      string         `json:"name"`
	Alive     int            `json:"alive"`    // number of live instances, this one included
	Conflict  bool           `json:"conflict"` // another instance has the same name, and this one has yielded
	Slowness  int            `json:"slowness"` // how slow this instance estimates itself to be: 0 is best, 8 worst
	SentBytes int64          `json:"sent_bytes"`
	Rejected  map[string]int `json:"refused"` // rejected packets and statements, by reason
	Members   []Member       `json:"members"`
}

// members returns the instances that this one knows.
func (n *node) members() (out Members) {
	out.Rejected, out.Members, out.SentBytes = map[string]int{}, []Member{}, n.memberTransport.BytesSent()
	n.memberTransport.Do(func(now time.Duration, m *member.Member) {
		out.Name, out.Alive, out.Conflict, out.Slowness = n.cfg.Product.Members.Name, m.AliveCount(), m.Conflict, m.Slowness()
		for why, times := range m.Refused {
			out.Rejected[why.Error()] = times
		}
		for _, p := range m.Peers() {
			out.Members = append(out.Members, Member{p.Name, p.Addr, p.State.String(), p.Inc, (now - p.Since).Seconds(), p.Accusers})
		}
	})
	return out
}

// String returns the member as one line of a table.
func (m Member) String() string {
	return fmt.Sprintf("%-24s %-8s %8.0f s  %s  %v", m.Name, m.State, m.SinceS, m.Addr, m.Accusers)
}
