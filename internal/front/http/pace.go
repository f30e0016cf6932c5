package http

import "time"

const (
	// requestRate is how many requests a second that the node answers by itself one connection may go on sending.
	requestRate = 200
	// requestBurst is how many of them it may send at once.
	requestBurst = 100
	// servedCost is what a request counts that a web server has served, which has its own limits: the policy's.
	servedCost = 0.4
	// maxEmptyBytes is how many bytes of empty lines may come before a request.
	maxEmptyBytes = 1 << 10
)

// pacer limits how fast one connection's requests are read, so that a client that sends at full speed leaves the processor
// to others. Requests are delayed before they are read, never once they are accepted. It is a token bucket whose zero
// value is full.
type pacer struct {
	spent   float64 // tokens, at most requestBurst
	countAt time.Time
}

// charge takes what a request costs, and returns how long to wait before the next one is read.
func (p *pacer) charge(served bool, now time.Time) time.Duration {
	cost := 1.0
	if served {
		cost = servedCost
	}
	p.spent = max(0, p.spent-now.Sub(p.countAt).Seconds()*requestRate) + cost
	p.countAt = now
	if p.spent <= requestBurst {
		return 0
	}
	return time.Duration((p.spent - requestBurst) / requestRate * float64(time.Second))
}
