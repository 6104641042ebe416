package core

import (
	"context"
	"errors"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"sumacloft/brain"
)

// randomJob is a job whose connections come up late or never, whose worker may be gone by then, and whose attempts
// end in every possible way. It records whether anything of it was written to a worker.
type randomJob struct {
	*fake
	mu     sync.Mutex
	random *rand.Rand
	sent   bool
	steps  []string
}

func (f *randomJob) roll(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.IntN(n)
}

func (f *randomJob) addStep(fate string, sent bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.steps, f.sent = append(f.steps, fate), f.sent || sent
}

// Try implements Job.
func (f *randomJob) Try(ctx context.Context, w Worker, clear func() error) (Reply, error) {
	fail := func(stage Stage, verdict Verdict, err error) (Reply, error) {
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		return Reply{}, &AttemptError{Stage: stage, Verdict: verdict, Err: err}
	}
	select { // the connection comes up
	case <-ctx.Done():
		f.addStep("no connection in time", false)
		return fail(NotConnected, NoVerdict, nil)
	case <-time.After(time.Duration(f.roll(250)) * time.Millisecond):
	}
	switch f.roll(6) {
	case 0:
		f.addStep("no connection", false)
		return fail(NotConnected, NoVerdict, errors.New("refused"))
	case 1:
		f.addStep("no socket", false)
		return fail(NotConnected, NoVerdict, ErrNoSocket)
	}
	if err := clear(); err != nil {
		f.addStep("not clear", false)
		return fail(NotConnected, NoVerdict, err)
	}
	f.addStep("written", true)
	switch f.roll(6) {
	case 0:
		return fail(PartlyWritten, NoVerdict, errors.New("broke"))
	case 1:
		return fail(Head, NotStarted, errors.New("full"))
	case 2:
		return fail(Head, Faulted, errors.New("500"))
	case 3:
		<-ctx.Done()
		return fail(Written, NoVerdict, nil)
	}
	if w.Name[0] == 'r' {
		return Reply{}, nil
	}
	return Reply{Stream: &stub{pieces: []string{"a"}, err: errors.New("broke")}}, nil
}

// A request that was never sent is refused, not failed. A failure would count as a refusal all the same, and the
// client would not know that a retry is harmless. The runs include late and missing connections, workers that come
// and go, short client timeouts and an EndUndecided in the middle.
func TestNeverSentIsNeverFailed(t *testing.T) {
	const runs, requests = 60, 25
	var count sync.Mutex
	unsent, failed := 0, 0
	for seed := range uint64(runs) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 22))
			names := strings.Fields("r1 r2 w1 w2")[random.IntN(3):]
			if random.IntN(4) == 0 {
				names = nil // no worker to send to
			}
			c, list := startCore(t, names...)
			ctx, stop := context.WithCancel(t.Context())
			defer stop()
			var all sync.WaitGroup
			for i := range requests {
				f := &randomJob{fake: &fake{class: i % 2, left: time.Duration(20+random.IntN(600)) * time.Millisecond}, random: rand.New(rand.NewPCG(seed, uint64(i)))}
				all.Go(func() {
					time.Sleep(time.Duration(f.roll(400)) * time.Millisecond)
					c.Do(ctx, f, f)
					answer := f.joined(&f.answers)
					f.mu.Lock()
					defer f.mu.Unlock()
					count.Lock()
					defer count.Unlock()
					if !f.sent {
						unsent++
					}
					if answer == "failed" {
						failed++
						if !f.sent {
							t.Errorf("seed %d, request %d: failed although it was never sent: %q", seed, i, f.steps)
						}
					}
				})
			}
			if len(list) > 0 {
				time.Sleep(150 * time.Millisecond)
				list[0].Availability = brain.Draining
				c.Listed(brain.ListDelta, list[:1])
			}
			time.Sleep(100 * time.Millisecond)
			c.EndUndecided()
			all.Wait()
			time.Sleep(10 * time.Second) // releases end
		})
	}
	if unsent < runs || failed < runs {
		t.Errorf("%d requests were never sent and %d failed: too few for the test", unsent, failed)
	}
	t.Logf("%d requests, %d never sent, %d failed", runs*requests, unsent, failed)
}

// A request that EndUndecided refused is never written afterwards, however late its connection comes up, even if the
// scheduler is dead and cancels nothing.
func TestRefusedIsNotSentLater(t *testing.T) {
	for _, dead := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			c, _ := startCore(t, "r1", "w1")
			f := &slowJob{fake: &fake{left: time.Minute, class: unsafe}}
			go c.Do(t.Context(), f, f)
			synctest.Wait()
			if c.mu.Lock(); dead {
				c.sched = nil
			}
			c.mu.Unlock()
			if c.EndUndecided() != 1 {
				t.Error("EndUndecided did not end the request")
			}
			time.Sleep(10 * time.Second)
			if got := f.joined(&f.answers); got != "refused" || f.asked == nil {
				t.Errorf("scheduler dead %v: answered %q, and then its connection was allowed to write: %v", dead, got, f.asked == nil)
			}
		})
	}
}

// Clients keep sending until the process is killed. Requests after EndUndecided must be answered at once: there is no
// later chance.
func TestRequestAfterEndUndecided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, _ := startCore(t, "r1", "w1")
		c.EndUndecided()
		began := time.Now()
		for range 3 {
			f := &fake{left: limit, class: unsafe, try: answersByRole(func(Worker) (Reply, error) { return Reply{}, broken(Written) })}
			c.Do(t.Context(), f, f)
			if got := f.joined(&f.answers); got != "refused" || f.joined(&f.calls) != "" || f.joined(&f.dones) != "over" {
				t.Errorf("answered %q, sent to %q, over %q", got, f.joined(&f.calls), f.joined(&f.dones))
			}
		}
		if took := time.Since(began); took > 0 {
			t.Errorf("took %v", took)
		}
	})
}

// slowJob is a job whose connections come up after 2 s, even if it has ended by then.
type slowJob struct {
	*fake
	asked error
}

// Try implements Job.
func (l *slowJob) Try(_ context.Context, _ Worker, clear func() error) (Reply, error) {
	time.Sleep(2 * time.Second)
	l.asked = clear()
	return Reply{}, &AttemptError{Stage: NotConnected, Err: l.asked}
}
