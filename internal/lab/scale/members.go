package scale

import (
	"container/heap"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"portstall/internal/member"
)

// Talk is what members' talk costs, in virtual time on a network that delays packets and loses none.
type MemberTraffic struct {
	Members             int
	BytesPerSecond      float64 // a second and member, once all have joined
	PacketsPerSecond    float64 // the same
	JoinBytesPerSecond  float64 // bytes a second and member while they join
	MinKnownShare       float64 // part of all that the one who knows the fewest holds for alive at the end
	SignaturesPerSecond float64 // signatures made, a second and member
	ChecksPerSecond     float64 // signatures checked, the same
}

// errSlow says that a world did not come to its end in time.
var errTooSlow = errors.New("did not come to its end in time")

// macs are the keys of a virtual world: who lacks a name's secret can't sign for it. They are as long as Ed25519's, and cheaper;
// how often they are used is counted.
type countingMACs struct {
	secrets       map[string]uint64
	name          string
	signs, checks *int64
}

func (m countingMACs) mac(name string, b []byte) []byte {
	d := xxhash.NewWithSeed(m.secrets[name])
	d.Write(b)
	sig := make([]byte, 64)
	for i := 0; i < len(sig); i += 8 {
		binary.LittleEndian.PutUint64(sig[i:], d.Sum64()+uint64(i))
	}
	return sig
}

func (m countingMACs) Sign(b []byte) []byte {
	*m.signs++
	return m.mac(m.name, b)
}

func (m countingMACs) Verify(name string, b, sig []byte) error {
	*m.checks++
	if _, known := m.secrets[name]; !known {
		return member.ErrStranger
	}
	if string(m.mac(name, b)) != string(sig) {
		return member.ErrSignature
	}
	return nil
}

// packet is one on its way; without data it is a member's tick.
type packet struct {
	at       time.Duration
	sequence int
	to       int
	from     string
	data     []byte
}

type packetQueue []packet

func (p packetQueue) Len() int { return len(p) }
func (p packetQueue) Less(i, j int) bool {
	return p[i].at < p[j].at || p[i].at == p[j].at && p[i].sequence < p[j].sequence
}
func (p packetQueue) Swap(i, j int) { p[i], p[j] = p[j], p[i] }
func (p *packetQueue) Push(x any)   { *p = append(*p, x.(packet)) }
func (p *packetQueue) Pop() any {
	last := len(*p) - 1
	e := (*p)[last]
	*p = (*p)[:last]
	return e
}

// PlayMembers plays so many members: for a time in which they join, and as long again that is counted. It is an error if it takes more
// than the limit of real time.
func SimulateMembers(ctx context.Context, n int, seed uint64, each, limit time.Duration) (MemberTraffic, error) {
	rng := rand.New(rand.NewPCG(seed, 31))
	secrets, byAddr := map[string]uint64{}, map[string]int{}
	name := func(i int) string { return fmt.Sprintf("node-%03d", i) }
	addr := func(i int) string { return fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250) }
	for i := range n {
		secrets[name(i)] = rng.Uint64()
		byAddr[addr(i)] = i
	}
	var queue packetQueue
	nth := 0
	at := func(p packet) {
		nth++
		p.sequence = nth
		heap.Push(&queue, p)
	}
	var bytes, count, joining int64
	var signs, checks, signsBefore, checksBefore int64 // all, and those before what is counted
	all := make([]*member.Member, n)
	for i := range n {
		all[i] = member.New(0, name(i), addr(i), 1, member.Usual(), countingMACs{secrets, name(i), &signs, &checks}, rand.New(rand.NewPCG(rng.Uint64(), uint64(i))), addr(0), addr(1))
		at(packet{at: time.Duration(rng.Int64N(int64(time.Second))), to: i})
	}
	now := time.Duration(0)
	send := func(from int, outs []member.Out) {
		for _, o := range outs {
			if now >= each {
				bytes += int64(len(o.Data))
				count++
			} else {
				joining += int64(len(o.Data))
			}
			if to, known := byAddr[o.Addr]; known {
				at(packet{at: now + time.Duration(1+rng.IntN(5))*time.Millisecond, to: to, from: addr(from), data: o.Data})
			}
		}
	}
	begun := time.Now()
	for steps := 0; len(queue) > 0 && queue[0].at < 2*each; steps++ {
		if steps%1024 == 0 && ctx.Err() != nil {
			return MemberTraffic{Members: n}, context.Cause(ctx)
		}
		if steps%1024 == 0 && time.Since(begun) > limit {
			return MemberTraffic{Members: n}, fmt.Errorf("%d members: %w: %v of %v of virtual time within %v", n, errTooSlow, now.Round(time.Second), 2*each, limit)
		}
		p := heap.Pop(&queue).(packet)
		if now < each && p.at >= each {
			signsBefore, checksBefore = signs, checks
		}
		now = p.at
		if p.data == nil {
			outs, next := all[p.to].Tick(now)
			send(p.to, outs)
			at(packet{at: next, to: p.to})
			continue
		}
		outs, _ := all[p.to].Receive(now, p.from, p.data)
		send(p.to, outs)
	}
	per := float64(n) * each.Seconds()
	t := MemberTraffic{Members: n, BytesPerSecond: float64(bytes) / per, PacketsPerSecond: float64(count) / per, JoinBytesPerSecond: float64(joining) / per,
		SignaturesPerSecond: float64(signs-signsBefore) / per, ChecksPerSecond: float64(checks-checksBefore) / per, MinKnownShare: 1}
	for _, m := range all {
		t.MinKnownShare = min(t.MinKnownShare, float64(m.Alive())/float64(n))
	}
	return t, nil
}
