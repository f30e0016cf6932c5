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

// MemberTraffic reports the traffic between members, in virtual time on a network that delays packets but loses none.
type MemberTraffic struct {
	Members             int
	BytesPerSecond      float64 // sent by a member on average, once all have joined
	PacketsPerSecond    float64 // sent by a member on average, once all have joined
	JoinBytesPerSecond  float64 // sent by a member on average while all join
	MinKnownShare       float64 // share of all members that the worst informed one considers alive at the end
	SignaturesPerSecond float64 // signatures made by a member on average, once all have joined
	ChecksPerSecond     float64 // signatures checked by a member on average, once all have joined
}

// errTooSlow reports that a simulation did not finish within its limit of real time.
var errTooSlow = errors.New("did not finish in time")

// countingMACs signs and verifies in a simulation, as one member: only with a name's secret can one sign for that name.
// Its signatures are as long as those of Ed25519, but cheaper, and their uses are counted.
type countingMACs struct {
	secrets       map[string]uint64
	name          string
	signs, checks *int64
}

// mac returns the signature of b by the named member.
func (m countingMACs) mac(name string, b []byte) []byte {
	d := xxhash.NewWithSeed(m.secrets[name])
	d.Write(b)
	sig := make([]byte, 64)
	for i := 0; i < len(sig); i += 8 {
		binary.LittleEndian.PutUint64(sig[i:], d.Sum64()+uint64(i))
	}
	return sig
}

// Sign signs b as the own member.
func (m countingMACs) Sign(b []byte) []byte {
	*m.signs++
	return m.mac(m.name, b)
}

// Verify checks a signature of the named member.
func (m countingMACs) Verify(name string, b, sig []byte) error {
	*m.checks++
	if _, known := m.secrets[name]; !known {
		return member.ErrUnknownMember
	}
	if string(m.mac(name, b)) != string(sig) {
		return member.ErrSignature
	}
	return nil
}

// packet is a packet in flight; without data it is a timer tick of the receiving member.
type packet struct {
	at       time.Duration
	sequence int
	to       int
	from     string
	data     []byte
}

// packetQueue is a heap of packets by arrival time, then by the order in which they were sent.
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

// SimulateMembers simulates n members for two phases of equal length: in the first they join, in the second their
// traffic is counted. It returns errTooSlow if that takes longer than the limit of real time.
func SimulateMembers(ctx context.Context, n int, seed uint64, phase, limit time.Duration) (MemberTraffic, error) {
	rng := rand.New(rand.NewPCG(seed, 31))
	secrets, byAddr := map[string]uint64{}, map[string]int{}
	name := func(i int) string { return fmt.Sprintf("node-%03d", i) }
	addr := func(i int) string { return fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250) }
	for i := range n {
		secrets[name(i)] = rng.Uint64()
		byAddr[addr(i)] = i
	}
	var queue packetQueue
	sequence := 0
	enqueue := func(p packet) {
		sequence++
		p.sequence = sequence
		heap.Push(&queue, p)
	}
	var bytes, count, joining int64
	var signs, checks, signsBefore, checksBefore int64 // in total, and before the second phase
	members := make([]*member.Member, n)
	for i := range n {
		members[i] = member.New(0, name(i), addr(i), 1, member.DefaultSettings(), countingMACs{secrets, name(i), &signs,
			&checks}, rand.New(rand.NewPCG(rng.Uint64(), uint64(i))), addr(0), addr(1))
		enqueue(packet{at: time.Duration(rng.Int64N(int64(time.Second))), to: i})
	}
	now := time.Duration(0)
	send := func(from int, outs []member.Outgoing) {
		for _, outgoing := range outs {
			if now >= phase {
				bytes += int64(len(outgoing.Data))
				count++
			} else {
				joining += int64(len(outgoing.Data))
			}
			if to, known := byAddr[outgoing.Addr]; known {
				enqueue(packet{at: now + time.Duration(1+rng.IntN(5))*time.Millisecond, to: to, from: addr(from),
					data: outgoing.Data})
			}
		}
	}
	startedAt := time.Now()
	for steps := 0; len(queue) > 0 && queue[0].at < 2*phase; steps++ {
		if steps%1024 == 0 && ctx.Err() != nil {
			return MemberTraffic{Members: n}, context.Cause(ctx)
		}
		if steps%1024 == 0 && time.Since(startedAt) > limit {
			return MemberTraffic{Members: n}, fmt.Errorf("%d members: %w: %v of %v of virtual time within %v", n,
				errTooSlow, now.Round(time.Second), 2*phase, limit)
		}
		p := heap.Pop(&queue).(packet)
		if now < phase && p.at >= phase {
			signsBefore, checksBefore = signs, checks
		}
		now = p.at
		if p.data == nil {
			outs, next := members[p.to].Tick(now)
			send(p.to, outs)
			enqueue(packet{at: next, to: p.to})
			continue
		}
		outs, _ := members[p.to].Receive(now, p.from, p.data)
		send(p.to, outs)
	}
	memberSeconds := float64(n) * phase.Seconds()
	t := MemberTraffic{Members: n, BytesPerSecond: float64(bytes) / memberSeconds,
		PacketsPerSecond: float64(count) / memberSeconds, JoinBytesPerSecond: float64(joining) / memberSeconds,
		SignaturesPerSecond: float64(signs-signsBefore) / memberSeconds,
		ChecksPerSecond:     float64(checks-checksBefore) / memberSeconds, MinKnownShare: 1}
	for _, m := range members {
		t.MinKnownShare = min(t.MinKnownShare, float64(m.AliveCount())/float64(n))
	}
	return t, nil
}
