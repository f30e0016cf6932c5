package scale

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"portstall/internal/resource"
)

// trackedChange is a change of the server list and, if the nodes follow control, one of the configuration, each with
// the time at which it was made.
type trackedChange struct {
	listVersion   int64
	listTime      time.Time
	configVersion resource.Version
	configTime    time.Time
}

// queries returns the worker commands that ask which nodes have the change: of the list, then of the configuration.
func (c *trackedChange) queries() []workerCommand {
	all := []workerCommand{{Do: "reached", Version: c.listVersion}}
	if !c.configVersion.IsZero() {
		all = append(all, workerCommand{Do: "reached", Changed: c.configVersion.String()})
	}
	return all
}

// makeChange makes a change of the list, and one of the configuration if the nodes follow control.
func (f *fleet) makeChange(ctx context.Context) (c trackedChange, err error) {
	if f.files != nil {
		if c.configTime, c.configVersion, err = f.reconfigure(); err != nil {
			return c, err
		}
	}
	c.listTime = time.Now()
	c.listVersion = f.discovery.SetState("Ready", true, 1)
	return c, nil
}

// reconfigure makes one configuration change, and returns when it began and the version that it made. It waits while
// another change is being made and while the writer is down.
func (f *fleet) reconfigure() (at time.Time, v resource.Version, err error) {
	f.changeMu.Lock()
	defer f.changeMu.Unlock()
	at = time.Now()
	if err := f.files.changeNext(); err != nil {
		return at, v, err
	}
	v, err = f.controls[0].reload()
	return at, v, err
}

// reconfigureAtRandom changes the configuration at random times until ctx ends, faster than in production by the plan's
// speed.
func (f *fleet) reconfigureAtRandom(ctx context.Context) error {
	interval := time.Duration(24 * time.Hour.Seconds() / (f.run.plan.Size.Changes * f.plan.Speed) * float64(time.Second))
	rng := rand.New(rand.NewPCG(31, 8))
	for pause(ctx, time.Duration(rng.ExpFloat64()*float64(interval))) == nil {
		if _, _, err := f.reconfigure(); err != nil {
			return err
		}
	}
	return nil
}

// churnStepDelay separates a server's draining, its removal and its new start.
const churnStepDelay = 500 * time.Millisecond

// churn replaces servers at random times until ctx ends, faster than in production by the plan's speed.
func (f *fleet) churn(ctx context.Context) {
	size := &f.run.plan.Size
	day := 24 * time.Hour.Seconds()
	interval := time.Duration(day / ((size.Restarts + size.Failures) * f.plan.Speed) * float64(time.Second))
	rng := rand.New(rand.NewPCG(31, 7))
	var wg sync.WaitGroup
	defer wg.Wait()
	for pause(ctx, time.Duration(rng.ExpFloat64()*float64(interval))) == nil {
		server := rng.IntN(f.plan.Servers)
		states := []string{"Terminating", "Gone", "Ready"}
		if rng.Float64() < size.Failures/(size.Failures+size.Restarts) {
			states = states[1:]
		}
		wg.Go(func() {
			for _, s := range states {
				f.discovery.SetState(s, s == "Ready", server)
				if pause(ctx, churnStepDelay) != nil {
					return
				}
			}
		})
	}
}
