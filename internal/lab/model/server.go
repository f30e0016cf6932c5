package model

import (
	"math"
	"time"

	"portstall/internal/lab/fleet"
	"portstall/internal/lab/scenario"
	"portstall/policy"
)

// job is one attempt, at its node and at its server.
type job struct {
	try        *try
	server     *server
	index      int
	life       int32 // of the server when it was sent
	sent       time.Duration
	left       float64 // seconds of work on a standard core
	place      int     // in server.out; -1 once it is not there
	connecting bool
	noConn     bool // holds no connection that counts
	done       bool // its node waits no more
	met        int  // requests held when it arrived
	breaks     policy.Outcome
	reported   bool
	stood      time.Duration // when its tunnel came to stand; 0: it is a request, or has not
	queue      float64       // as reported in its answer,
	held       float64       // and how many its server held; -1: not told
}

// server is one web server: cores that share the requests in work evenly, a waiting room before them, a ramp after each
// start. What troubles it is set by the faults in force.
type server struct {
	scenario.Server
	index    int
	slots    int
	queueCap int
	life     int32
	up       bool // its process runs
	silent   bool // its machine is cut off from all
	fallen   bool // pushed over while cold: it stays down
	until    time.Duration
	launched time.Duration // scenario time; negative: long ago
	done     float64       // work since its start,
	total    float64       // and in all
	queue    []*job
	work     []*job
	out      []*job // attempts whose node waits for them
	conns    int
	at       time.Duration // up to when work is booked
	gen      int32
	sent     int

	trouble fleet.Trouble
	reports fleet.Reports     // of what waits
	holds   fleet.Reports     // and of what is held
	listing int32             // counts what the roster was given to tell
	took    [16]time.Duration // smoothed time that answers took, by the requests held on arrival; for probes
}

func (v *server) reset() {
	v.launched, v.trouble = -1, fleet.Trouble{Slow: 1, Lie: 1}
}

// entry is the server as the roster lists it.
func (v *server) entry(state policy.State) policy.Entry {
	launched := time.Duration(0)
	if v.launched >= 0 {
		launched = epoch + v.launched
	}
	return policy.Entry{ID: v.ID, Zone: scenario.ZoneName(v.Zone), Cell: int64(v.Pod), Kind: v.Kind.Name,
		Launched: launched, State: state}
}

// remember and forget keep the list of attempts that somebody waits for.
func (v *server) remember(j *job) {
	j.place = len(v.out)
	v.out = append(v.out, j)
}

func (v *server) forget(j *job) {
	if j.place < 0 {
		return
	}
	last := len(v.out) - 1
	v.out[j.place] = v.out[last]
	v.out[j.place].place = j.place
	v.out[last] = nil
	v.out, j.place = v.out[:last], -1
}

// ramp is the part of its capacity that it has.
func (v *server) ramp(w *world) float64 {
	if v.launched < 0 {
		return 1
	}
	return fleet.Ramp(v.Kind, v.Speed, w.now-v.launched, w.s.Rules.ColdFor, v.done)
}

func (v *server) warm(w *world) bool { return v.ramp(w) == 1 }

// capacity is the work it does at this moment, in seconds a second, where nothing else slows it.
func (v *server) capacity(w *world) float64 { return float64(v.Kind.Cores) * v.Speed * v.ramp(w) }

// rate is how fast each request in work gets on.
func (v *server) rate(w *world) float64 {
	if len(v.work) == 0 {
		return 0
	}
	r := v.Speed * v.ramp(w) / w.weather.Slowdown * min(1, float64(v.Kind.Cores)/float64(len(v.work)))
	held := float64(len(v.work)+len(v.queue)) / float64(v.Kind.Cores)
	if c := w.s.Servers.Choke; c.By > 0 && held > c.At {
		r /= 1 + c.By*(held-c.At)
	}
	return r
}

// advance books the work since it was last called, ends what is done and starts what waits.
func (v *server) advance(w *world) {
	dt := (w.now - v.at).Seconds()
	v.at = w.now
	if len(v.work) == 0 {
		return
	}
	did := v.rate(w) * dt
	v.done += did * float64(len(v.work))
	v.total += did * float64(len(v.work))
	v.note(w)
	kept := v.work[:0]
	for _, j := range v.work {
		if j.left -= did; j.left > 1e-9 {
			kept = append(kept, j)
			continue
		}
		out := policy.OK
		if j.breaks != 0 {
			out = j.breaks
		}
		v.learn(j, w.now-j.sent)
		v.reply(w, j, out)
	}
	for i := len(kept); i < len(v.work); i++ {
		v.work[i] = nil
	}
	v.work = kept
	v.fill(w)
}

// fill takes waiting requests into work.
func (v *server) fill(w *world) {
	for len(v.work) < v.slots && len(v.queue) > 0 {
		v.note(w)
		v.work = append(v.work, v.queue[0])
		v.queue[0] = nil
		v.queue = v.queue[1:]
	}
}

// learn books how long an answer took against how many requests were held when it arrived.
func (v *server) learn(j *job, took time.Duration) {
	if t := &v.took[min(j.met, len(v.took)-1)]; *t == 0 {
		*t = took
	} else {
		*t += (took - *t) / 5
	}
}

// expects is how long an answer has taken lately with as many requests held as now, or with the next number known.
func (v *server) expects() time.Duration {
	held := min(len(v.work)+len(v.queue), len(v.took)-1)
	for d := range v.took {
		for _, i := range []int{held - d, held + d} {
			if i >= 0 && i < len(v.took) && v.took[i] > 0 {
				return v.took[i] * time.Duration(held+1) / time.Duration(i+1)
			}
		}
	}
	return 0
}

// schedule sets when it has to be looked at next: when the first request is done, or while it warms up, as its speed
// changes then.
func (v *server) schedule(w *world) {
	v.gen++
	r := v.rate(w)
	if r <= 0 {
		return
	}
	least := math.Inf(1)
	for _, j := range v.work {
		least = min(least, j.left)
	}
	wait := time.Duration(math.Ceil(least / r * 1e9))
	if v.launched >= 0 && !v.warm(w) {
		wait = min(wait, 50*time.Millisecond)
	}
	w.at(w.now+wait, event{kind: evServe, a: int32(v.index), gen: v.gen})
}

// reach takes an attempt in, or turns it away.
func (w *world) reach(j *job) {
	v := j.server
	if j.life != v.life || !v.up || v.silent {
		return // nobody is there; what holds of its connection is settled where that changed
	}
	if j.done {
		return // its node has closed the connection meanwhile
	}
	j.connecting = false
	if w.s.Classes[j.try.ask.Class].Stands > 0 { // nothing of it is work; it stands, and ends when its sides have done
		way := w.delay(w.s.Network.OneWay)
		n := int32(j.try.node.index)
		w.at(w.now+way, event{kind: evStood, a: n, gen: j.try.node.life, job: j})
		w.at(w.now+way+w.s.Holds(&j.try.ask.Ask, w.now), event{kind: evOutcome, a: n, gen: j.try.node.life, job: j, out: policy.OK})
		return
	}
	v.advance(w)
	j.met = len(v.work) + len(v.queue)
	if w.poisons(j) {
		f := v.until
		w.down(v, false)
		v.until = max(f, w.now+w.poison)
		w.at(v.until, event{kind: evBack, a: int32(v.index)})
		return
	}
	switch {
	case v.trouble.Errors > 0 && w.rng.Float64() < v.trouble.Errors, v.Kind.ErrorRate > 0 && w.rng.Float64() < v.Kind.ErrorRate:
		v.reply(w, j, policy.Failed)
	case v.trouble.Resets > 0 && w.rng.Float64() < v.trouble.Resets:
		v.reply(w, j, policy.Reset)
	default:
		if v.trouble.Part > 0 && w.rng.Float64() < v.trouble.Part {
			j.left *= v.trouble.Slow
		}
		if v.trouble.Cuts > 0 && w.rng.Float64() < v.trouble.Cuts {
			j.breaks = policy.Reset
		}
		v.note(w)
		if len(v.work) < v.slots {
			v.work = append(v.work, j)
		} else if len(v.queue) < v.queueCap {
			v.queue = append(v.queue, j)
		} else {
			v.reply(w, j, policy.Full)
		}
	}
	v.schedule(w)
}

// reply sends an answer on its way, with a report.
func (v *server) reply(w *world, j *job, out policy.Outcome) {
	n := j.try.node
	if j.done || w.isCut(n, v) {
		return
	}
	if out != policy.Reset {
		q := float64(v.reports.Read(w.now, w.s.Servers.Reports.Delay+w.weather.Lag, len(v.queue))) * v.trouble.Lie
		if noise := w.s.Servers.Reports.Noise; noise > 0 {
			q = max(0, q*(1+noise*w.rng.NormFloat64()))
		}
		j.queue, j.held, j.reported = math.Round(q), -1, true
		if w.s.Servers.Reports.Held {
			j.held = float64(v.holds.Read(w.now, w.s.Servers.Reports.Delay+w.weather.Lag, len(v.queue)+len(v.work)))
		}
	}
	w.at(w.now+w.delay(w.s.Network.OneWay), event{kind: evOutcome, a: int32(n.index), gen: n.life, job: j, out: out})
}

// note books what is reported, before it changes.
func (v *server) note(w *world) {
	v.reports.Note(w.now, len(v.queue))
	v.holds.Note(w.now, len(v.queue)+len(v.work))
}

// drop hears that an attempt was given up. What is in work or waits is dropped where the machine does so.
func (w *world) drop(j *job) {
	v := j.server
	if j.life != v.life || !v.up || v.Kind.Keeps {
		return
	}
	v.advance(w)
	for i, k := range v.work {
		if k == j {
			v.note(w)
			v.work = append(v.work[:i], v.work[i+1:]...)
			break
		}
	}
	for i, k := range v.queue {
		if k == j {
			v.note(w)
			v.queue = append(v.queue[:i], v.queue[i+1:]...)
			break
		}
	}
	v.fill(w)
	v.schedule(w)
}

// probe is a peer's question for the load. A server that is away does not answer.
func (w *world) probe(n *node, v *server) {
	if v.up && !v.silent && !w.isCut(n, v) {
		w.at(w.now+w.delay(w.s.Network.OneWay), event{kind: evProbed, a: int32(n.index), b: int32(v.index), gen: n.life})
	}
}

// down ends a server: silent, its machine says nothing more; else its process is gone and connections are reset.
func (w *world) down(v *server, silent bool) {
	if !v.up || v.silent {
		return
	}
	v.advance(w)
	if silent {
		v.silent = true
	} else {
		v.up = false
		w.breakAll(v)
	}
	v.note(w)
	v.queue, v.work = nil, nil
	v.gen++
	notice := w.s.Roster.Notice
	if silent {
		notice = w.s.Roster.SilentNotice
	}
	w.list(v, policy.Left, notice)
}

// breakAll resets all connections of a server, and ends the attempts on them.
func (w *world) breakAll(v *server) {
	for _, j := range append([]*job(nil), v.out...) {
		n := j.try.node
		out := policy.Reset
		if j.connecting {
			out = policy.ConnectFailed
		}
		j.noConn = true
		w.at(w.now+w.delay(w.s.Network.OneWay), event{kind: evOutcome, a: int32(n.index), gen: n.life, job: j, out: out})
	}
	for _, n := range w.nodes {
		n.idle[v.index], n.open[v.index] = nil, 0
	}
	v.conns = 0
	v.life++
}

// returns brings a server up again, cold.
func (w *world) returns(v *server) {
	if v.fallen || w.now < v.until {
		return
	}
	if v.up && !v.silent { // it restarts in an instant
		w.down(v, false)
	}
	if v.silent {
		w.breakAll(v) // the machine is back, and knows nothing of the old connections
	}
	v.up, v.silent = true, false
	v.launched, v.done, v.at = w.now, 0, w.now
	v.reports.Start(w.now)
	v.holds.Start(w.now)
	w.book.Started(w.now, v.ID)
	w.list(v, policy.Active, w.s.Roster.AddLag)
}
