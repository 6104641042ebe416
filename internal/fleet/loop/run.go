package loop

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"sumacloft/internal/etcd"
)

// Runner runs one loop on a router.
type Runner struct {
	Client      *etcd.Client
	WatchPrefix string // a change under this prefix triggers Refresh within milliseconds
	// Period returns the time between ticks, or false while the loop is off.
	Period func() (time.Duration, bool)
	// Tick writes a report and makes decisions. since is the time since the last tick.
	Tick func(ctx context.Context, since, period time.Duration)
	// Refresh reads and applies the state.
	Refresh func(ctx context.Context, period time.Duration)
}

// Run runs the loop until ctx ends. One goroutine calls Tick and Refresh, so they need no lock against each other.
func (s Runner) Run(ctx context.Context) {
	changed := make(chan struct{}, 1)
	var watcher sync.WaitGroup
	defer watcher.Wait()
	watcher.Add(1)
	go func() {
		defer watcher.Done()
		s.Client.Notify(ctx, s.WatchPrefix, func(int) {
			select {
			case changed <- struct{}{}:
			default: // a pending refresh reads this change too
			}
		})
	}()
	lastTick := time.Now()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-changed:
			if period, enabled := s.Period(); enabled {
				s.Refresh(ctx, period)
			}
			continue
		case <-timer.C:
		}
		period, enabled := s.Period()
		timer.Reset(period)
		if enabled {
			now := time.Now()
			s.Tick(ctx, now.Sub(lastTick), period)
			lastTick = now
		}
	}
}

// FaultLogger logs a repeated fault of a loop only once.
type FaultLogger struct {
	Log  logrus.FieldLogger
	last map[string]string
}

// adviser is an error with advice for the operator.
type adviser interface{ Advice() string }

// Report logs an error under a topic unless its text equals the topic's last error. nil clears the topic.
func (c *FaultLogger) Report(topic string, err error) {
	if c.last == nil {
		c.last = map[string]string{}
	}
	if err == nil {
		delete(c.last, topic)
		return
	}
	if c.last[topic] == err.Error() {
		return
	}
	c.last[topic] = err.Error()
	entry := c.Log.WithField("topic", topic).WithError(err)
	var advised adviser
	if errors.As(err, &advised) {
		entry = entry.WithField("advice", advised.Advice())
	}
	entry.Warn("fault in a fleet decision loop")
}
