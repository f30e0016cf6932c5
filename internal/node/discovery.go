package node

import (
	"context"
	"math/rand/v2"
	"time"

	"portstall/internal/endpoints"
	"portstall/policy"
)

// discoveryClient keeps a node's server list up to date from one discovery address. For another address the node
// replaces the client.
type discoveryClient struct {
	node   *node
	client *endpoints.Client
	ctx    context.Context // ends when the client is replaced; canceled only under the core's lock
	cancel context.CancelFunc

	watching bool               // whether the watch loop runs; guarded by the core's lock
	schedule endpoints.Schedule // belongs to the watch loop; survives the end of one, so that the next keeps what was learned of discovery
	// fullListPending is set until the complete list of this discovery has arrived: until then its version numbers can't
	// be compared with the node's. Guarded by the core's lock.
	fullListPending bool
	// announcedBy is the time by which everything in this discovery's list counts as announced, whether or not the node
	// asked for it. 0 stands for no such time. It is set before the client is shared.
	announcedBy time.Duration
}

func newDiscoveryClient(n *node, addr string) *discoveryClient {
	d := &discoveryClient{node: n, client: endpoints.NewClient(addr, n.core.Now)}
	d.ctx, d.cancel = context.WithCancel(n.core.Context())
	return d
}

// switchDiscovery replaces the discovery client. The web servers stay until the new discovery returns its list. The
// core's lock is held.
func (n *node) switchDiscovery(addr string) {
	n.log.Info("following another discovery", "from", n.discovery.client.Addr(), "to", addr)
	old := n.discovery
	old.cancel()
	n.discovery = newDiscoveryClient(n, addr)
	n.discovery.fullListPending, n.discovery.announcedBy = true, n.core.Now()+endpoints.ReloadAnnounceDelay
	n.discovery.watch()
	old.client.CloseIdle()
}

// watch starts the watch loop unless it runs. The core's lock is held.
func (d *discoveryClient) watch() {
	if d.watching {
		return
	}
	d.watching = true
	d.node.core.Go(d.watchLoop)
}

// watchLoop watches until the client is replaced. Where lists are pushed, or a fresh list is due, it retries after a
// failure; otherwise it reports the failure to the policy, which decides when to ask again.
func (d *discoveryClient) watchLoop() {
	schedule := &d.schedule
	schedule.Reset()
	for d.ctx.Err() == nil {
		started, current := time.Now(), d.node.settings.Load().Policy // a reload may have changed them
		schedule.Push, schedule.Grace = !current.MustAsk, current.DrainGrace
		d.node.core.Lock()
		since, full := d.node.listVersion, d.fullListPending
		d.node.core.Unlock()
		if full && d.announcedBy > 0 {
			schedule.RequireFresh(d.announcedBy)
		}
		wait, limit := schedule.CallTimes(full, rand.Float64())
		if adjust := d.node.cfg.adjustWatch; adjust != nil {
			wait, limit = adjust(wait, limit)
		}
		begun := d.node.core.Now()
		schedule.CallStarted(begun)
		waitEnd := begun + wait
		body := schedule.BodyTimeout() + d.node.cfg.slack
		update, failure, err := d.call(full, since, wait, limit, body)
		if err == nil {
			schedule.CallSucceeded(d.node.core.Now(), full || update.Full || len(update.Servers) > 0)
			kind := policy.ListDelta
			if full || update.Full {
				kind = policy.ListFull
			}
			d.applyResponse(update, kind, true)
			if pause := endpoints.MinWatchInterval - time.Since(started); pause > 0 {
				sleep(d.ctx, pause)
			}
			continue
		}
		if d.ctx.Err() != nil {
			return
		}
		d.node.log.Warn("watching discovery failed", "err", err)
		pause, retry := schedule.CallFailed(d.node.core.Now(), waitEnd, failure, rand.Float64())
		if !retry {
			d.watchEnded()
			return
		}
		sleep(d.ctx, pause)
	}
}

// call asks for the complete list, or watches for what has changed since a version.
func (d *discoveryClient) call(full bool, since int64, wait, limit, body time.Duration) (*endpoints.List, endpoints.Failure, error) {
	if full {
		return d.client.Fetch(d.ctx, limit, body)
	}
	return d.client.Watch(d.ctx, since, wait, limit, body)
}

// watchEnded notifies the policy that the watch loop has ended.
func (d *discoveryClient) watchEnded() {
	n := d.node
	n.core.Lock()
	defer n.core.Unlock()
	d.watching = false
	if d.ctx.Err() == nil {
		n.core.Handle(&policy.Event{Kind: policy.EvList, List: policy.ListFailed})
	}
}

// fetch asks for the complete list once. The core's lock is held.
func (d *discoveryClient) fetch() {
	n := d.node
	n.core.Go(func() {
		update, _, err := d.client.Fetch(d.ctx, endpoints.FetchTimeout, endpoints.FetchTimeout)
		if err == nil {
			d.applyResponse(update, policy.ListFull, false)
			return
		}
		n.log.Warn("fetching the server list failed", "err", err)
		n.core.Lock()
		defer n.core.Unlock()
		if d.ctx.Err() == nil {
			n.core.Handle(&policy.Event{Kind: policy.EvList, List: policy.ListFailed})
		}
	})
}

// sleep returns after d, or when ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// applyResponse applies a response of discovery, unless the client was replaced or the response is older than the list
// in force: the complete list that was asked for may cross with the response to a watch.
func (d *discoveryClient) applyResponse(update *endpoints.List, kind policy.ListKind, watched bool) {
	n := d.node
	n.core.Lock()
	defer n.core.Unlock()
	old := update.Version <= n.listVersion
	if kind == policy.ListFull { // a discovery that starts its version numbers again sends a full list to a watch as well
		old = update.Version < n.listVersion && !watched && !d.fullListPending
	}
	if old || d.ctx.Err() != nil {
		return
	}
	d.fullListPending = false
	n.applyList(update, kind)
}
