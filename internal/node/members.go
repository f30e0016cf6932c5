package node

import (
	"context"
	"fmt"
	"math"
	"time"

	"portstall/internal/member"
)

// talkEach is how often this instance tells the others what it has seen, and listens to what they have.
const talkEach = time.Second

// join opens the sockets on which this instance talks with others; where the file names none it does nothing.
func (n *node) join(ctx context.Context) error {
	f := n.cfg.Product
	if f == nil || f.Members == nil {
		return nil
	}
	set, ring, err := f.Members.Ready()
	if err != nil {
		return err
	}
	n.edge, err = member.Listen(ctx, member.Options{Name: f.Members.Name, Addr: f.Members.Listen, Seeds: f.Members.Seeds, Set: set, Keys: ring, Log: n.log})
	if err != nil {
		return err
	}
	if n.checker != nil {
		n.core.Lock()
		n.core.Go(n.checker.talk)
		n.core.Unlock()
	}
	return nil
}

// talk shares what real requests show of web servers: evidence, never a verdict. Of a server that nobody sees fail nothing is
// said; where others see one fail it is looked at sooner, and gets less until it answers here.
func (c *checker) talk() {
	n := c.node
	fade := math.Exp(-talkEach.Seconds() / 10)
	for ctx := n.core.Context(); ctx.Err() == nil; sleep(ctx, talkEach) {
		type seen struct{ bad, count float64 }
		mine := map[string]seen{}
		c.mu.Lock()
		for _, s := range c.servers {
			if all := s.oks + s.kos; all >= 1 {
				mine[s.ID] = seen{s.kos / all, all}
			}
			s.oks, s.kos = s.oks*fade, s.kos*fade
		}
		c.mu.Unlock()
		var fails []string // by most of those who saw it
		n.edge.Do(func(now time.Duration, m *member.Member) {
			asked := map[string]bool{}
			for _, id := range m.Doubted(now) {
				asked[id] = true
				if doubt, _ := m.Doubt(now, id); doubt >= 0.5 {
					fails = append(fails, id)
				}
			}
			for id, s := range mine {
				if s.bad > 0.1 || asked[id] {
					m.Witness(now, id, s.bad, s.count)
				}
			}
		})
		var changed []uint32
		c.mu.Lock()
		now := n.core.Now()
		for _, id := range fails {
			number, known := c.ids[id]
			if !known {
				continue
			}
			c.book.Others(now, number)
			for _, k := range c.kinds {
				k.due.Sooner(now, number)
				k.nudge()
			}
			if _, ch := c.book.Weigh(now, number); ch {
				changed = append(changed, number)
			}
		}
		c.mu.Unlock()
		for _, number := range changed {
			c.apply(number)
		}
	}
}

// ring is the keys of a file that was read again; nil where no instances talk.
func (n *node) ring(cfg Config) (*member.Ring, error) {
	if n.edge == nil || cfg.Product == nil || cfg.Product.Members == nil {
		return nil, nil
	}
	_, ring, err := cfg.Product.Members.Ready()
	return ring, err
}

// rekey puts other keys in force. The core's lock is not held.
func (n *node) rekey(ring *member.Ring) {
	if ring != nil {
		n.edge.Do(func(now time.Duration, m *member.Member) { m.Rekey(now, ring) })
	}
}

// Member tells operators how another instance stands.
type Member struct {
	Name        string   `json:"name"`
	Addr        string   `json:"addr"`
	State       string   `json:"state"`
	Incarnation uint64   `json:"incarnation"`
	SinceS      float64  `json:"since_s"`
	Accusers    []string `json:"accusers,omitempty"` // of one that is suspected, or was given up
}

// Members tells operators of all.
type Members struct {
	Name     string         `json:"name"`
	Alive    int            `json:"alive"`    // this one included
	Conflict bool           `json:"conflict"` // another instance has this one's name, and this one has given way
	Slowness int            `json:"slowness"` // how slow it takes itself to be: 0 is well, 8 the worst
	Sent     int64          `json:"sent_bytes"`
	Refused  map[string]int `json:"refused"` // packets and facts that were not taken, by why
	Members  []Member       `json:"members"`
}

// members is whom this instance knows.
func (n *node) members() (out Members) {
	out.Refused, out.Members, out.Sent = map[string]int{}, []Member{}, n.edge.Sent()
	n.edge.Do(func(now time.Duration, m *member.Member) {
		out.Name, out.Alive, out.Conflict, out.Slowness = n.cfg.Product.Members.Name, m.Alive(), m.Conflict, m.Slowness()
		for why, times := range m.Refused {
			out.Refused[why.Error()] = times
		}
		for _, p := range m.Peers() {
			out.Members = append(out.Members, Member{p.Name, p.Addr, p.State.String(), p.Inc, (now - p.Since).Seconds(), p.Accusers})
		}
	})
	return out
}

func (m Member) String() string {
	return fmt.Sprintf("%-24s %-8s %8.0f s  %s  %v", m.Name, m.State, m.SinceS, m.Addr, m.Accusers)
}
