package core

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"sumacloft/brain"
	"sumacloft/internal/standin"
)

// mostlySilentJob is a job whose releases only one worker answers. The others are cut off.
type mostlySilentJob struct {
	*fake
	answering brain.EngineID
	asked     atomic.Int64
	most      atomic.Int64
}

// Release implements Job.
func (f *mostlySilentJob) Release(ctx context.Context, w Worker) error {
	f.most.Store(max(f.most.Load(), f.asked.Add(1)))
	defer f.asked.Add(-1)
	if w.ID == f.answering {
		time.Sleep(2 * time.Millisecond)
		return nil
	}
	<-ctx.Done()
	return ctx.Err()
}

// With all but one of nine workers cut off, state is released within 500 ms, whichever is asked first, and only a few
// workers are asked at once. Asking in sequence, with 120 ms for each, took up to 960 ms.
func TestReleasePastSilentWorkers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := New(brain.Settings{}, 1, &fake{}, standin.Log())
		for i := range brain.EngineID(9) {
			c.workers[i] = &Worker{Engine: brain.Engine{ID: i}}
		}
		for i := range 200 {
			job := &mostlySilentJob{answering: brain.EngineID(i % 9)}
			began := time.Now()
			c.release(job)
			if took := time.Since(began); took > 300*time.Millisecond {
				t.Fatalf("release %d was taken after %v", i, took)
			}
			synctest.Wait()
			if n := job.most.Load(); n > 5 {
				t.Fatalf("%d workers were asked at once, want at most 5", n)
			}
		}
	})
}

// CallReady calls only a ready worker, and checks that again just before the write. OpenAttempts counts attempts by
// worker.
func TestCallReady(t *testing.T) {
	c, list := startCore(t, "r1", "w1")
	ctx := t.Context()
	asked := 0
	call := func(_ context.Context, w Worker, clear func() error) error {
		asked++
		if w.Name != "r1" {
			t.Errorf("called at %s", w.Name)
		}
		return clear()
	}
	if err := c.CallReady(ctx, list[0].ID, call); err != nil || asked != 1 {
		t.Errorf("ready worker: error %v, called %d times", err, asked)
	}
	drains := list[0]
	drains.Availability = brain.Draining
	if err := c.CallReady(ctx, list[0].ID, func(ctx context.Context, w Worker, clear func() error) error {
		c.Listed(brain.ListDelta, []Worker{drains}) // during the dial
		return call(ctx, w, clear)
	}); !errors.Is(err, ErrNotReady) {
		t.Errorf("worker that drains during the dial: error %v", err)
	}
	if err := c.CallReady(ctx, list[0].ID, call); !errors.Is(err, ErrNotReady) || asked != 2 {
		t.Errorf("draining worker: error %v, called %d times", err, asked)
	}
	hold := make(chan struct{})
	job := &fake{left: 2 * time.Second, try: func(context.Context, Worker, func() error) (Reply, error) {
		<-hold
		return Reply{}, broken(Head)
	}}
	c.Listed(brain.ListDelta, list[:1])
	done := make(chan struct{})
	go func() { defer close(done); c.Do(ctx, job, job) }()
	standin.Eventually(t, time.Second, "one attempt is out", func() bool { return c.OpenAttempts()["r1"] == 1 })
	close(hold)
	<-done
	standin.Eventually(t, time.Second, "no attempt is out", func() bool { return len(c.OpenAttempts()) == 0 })
}

// TrackOpen counts down to 0 once the requests open at its call have ended, whatever arrives later.
func TestTrackOpen(t *testing.T) {
	c, _ := startCore(t, "r1", "w1")
	ask := func() (end func()) {
		hold, done := make(chan struct{}), make(chan struct{})
		job := &fake{left: 5 * time.Second, try: func(context.Context, Worker, func() error) (Reply, error) {
			<-hold
			return Reply{}, broken(Head)
		}}
		open := c.Open()
		go func() { defer close(done); c.Do(context.Background(), job, job) }()
		standin.Eventually(t, time.Second, "the request is open", func() bool { return c.Open() == open+1 })
		return func() { close(hold); <-done }
	}
	if left := c.TrackOpen(); left() != 0 {
		t.Error("requests counted though none is open")
	}
	before := ask()
	left := c.TrackOpen()
	after := ask()
	if left() != 1 {
		t.Errorf("%d requests counted, want 1", left())
	}
	before()
	standin.Eventually(t, time.Second, "the tracked request has ended", func() bool { return left() == 0 })
	if c.Open() != 1 {
		t.Errorf("%d requests open, want 1", c.Open())
	}
	after()
}
