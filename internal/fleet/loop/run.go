package loop

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"sumacloft/internal/etcd"
)

// Runner is what a loop does at a router.
type Runner struct {
	Client      *etcd.Client
	WatchPrefix string // a change under this prefix has the state looked at, within milliseconds
	// Period is how often a report is written and decisions are made; false: not at all just now.
	Period func() (time.Duration, bool)
	// Tick reports and decides; since is the time since the last tick.
	Tick func(ctx context.Context, since, period time.Duration)
	// Refresh follows the state.
	Refresh func(ctx context.Context, period time.Duration)
}

// Run keeps a loop until ctx ends. Ticks and looks are made by one goroutine, so that they need no lock against each
// other.
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
			default: // one that waits already reads it all
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

// FaultLogger says each fault of a loop once, not at every look.
type FaultLogger struct {
	Log  logrus.FieldLogger
	last map[string]string
}

// adviser is an error that says what an operator can do.
type adviser interface{ Advice() string }

// Report logs an error under a topic, unless it was the topic's last; nil says that the topic is well again.
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
	log := c.Log.WithField("topic", topic).WithError(err)
	var a adviser
	if errors.As(err, &a) {
		log = log.WithField("advice", a.Advice())
	}
	log.Warn("a decision of the fleet is in trouble")
}
