package scale

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"portstall/internal/resource"
)

// change is one of the list and, where control is followed, one of the configuration, each with when it was made.
type trackedChange struct {
	listVersion   int64
	listTime      time.Time
	configVersion resource.Version
	configTime    time.Time
}

// orders ask who has it.
func (c *trackedChange) queries() []workerCommand {
	all := []workerCommand{{Do: "reached", Version: c.listVersion}}
	if !c.configVersion.IsZero() {
		all = append(all, workerCommand{Do: "reached", Changed: c.configVersion.String()})
	}
	return all
}

// change makes one.
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

// reconfigure makes one change of the configuration, and tells when it began and the version that it made. It waits while another one
// is made, and while the writer is away.
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

// configure lets the configuration be changed as in life, so many times faster, until ctx ends.
func (f *fleet) reconfigureAtRandom(ctx context.Context) error {
	each := time.Duration(24 * time.Hour.Seconds() / (f.run.plan.Size.Changes * f.plan.Speed) * float64(time.Second))
	rng := rand.New(rand.NewPCG(31, 8))
	for pause(ctx, time.Duration(rng.ExpFloat64()*float64(each))) == nil {
		if _, _, err := f.reconfigure(); err != nil {
			return err
		}
	}
	return nil
}

const churnStepDelay = 500 * time.Millisecond // between a server's draining, its end and its new start

// churn lets servers be replaced as in life, so many times faster, until ctx ends.
func (f *fleet) churn(ctx context.Context) {
	size := &f.run.plan.Size
	day := 24 * time.Hour.Seconds()
	each := time.Duration(day / ((size.Restarts + size.Failures) * f.plan.Speed) * float64(time.Second))
	rng := rand.New(rand.NewPCG(31, 7))
	var wg sync.WaitGroup
	defer wg.Wait()
	for pause(ctx, time.Duration(rng.ExpFloat64()*float64(each))) == nil {
		which := rng.IntN(f.plan.Servers)
		states := []string{"Terminating", "Gone", "Ready"}
		if rng.Float64() < size.Failures/(size.Failures+size.Restarts) {
			states = states[1:]
		}
		wg.Go(func() {
			for _, s := range states {
				f.discovery.SetState(s, s == "Ready", which)
				if pause(ctx, churnStepDelay) != nil {
					return
				}
			}
		})
	}
}
