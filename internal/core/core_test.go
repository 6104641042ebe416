package core

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"sumacloft/brain"
	"sumacloft/internal/standin"
)

// fake is a job and its client in one. Its workers' behaviour is scripted by worker name.
type fake struct {
	mu        sync.Mutex
	left      time.Duration
	class     int
	try       func(ctx context.Context, w Worker, clear func() error) (Reply, error)
	released  []string
	refuses   func(w Worker) bool // a worker that does not take a release
	answers   []string
	dones     []string
	forgotten []string
	calls     []string
}

func (f *fake) record(to *[]string, format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	*to = append(*to, fmt.Sprintf(format, args...))
}

func (f *fake) joined(of *[]string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return strings.Join(*of, " ")
}

func (f *fake) Arrival(id brain.RequestID) brain.Arrived {
	return brain.Arrived{Request: id, Class: f.class, Session: 1, PromptTokens: 100, MaxTokens: 10, Timeout: f.left}
}

func (f *fake) Try(ctx context.Context, w Worker, clear func() error) (Reply, error) {
	if err := clear(); err != nil {
		return Reply{}, &AttemptError{Stage: NotConnected, Err: err}
	}
	f.record(&f.calls, "%s", w.Name)
	return f.try(ctx, w, clear)
}

func (f *fake) Release(_ context.Context, w Worker) error {
	if f.refuses != nil && f.refuses(w) {
		return errors.New("down")
	}
	f.record(&f.released, "%s", w.Name)
	return nil
}

func (f *fake) Done() { f.record(&f.dones, "over") }

func (f *fake) Refuse(time.Duration) { f.record(&f.answers, "refused") }
func (f *fake) Fail()                { f.record(&f.answers, "failed") }
func (f *fake) Finish()              { f.record(&f.answers, "finished") }
func (f *fake) Break()               { f.record(&f.answers, "broke") }
func (f *fake) Pass(b []byte) error  { f.record(&f.answers, "%s", b); return nil }

func (f *fake) Probe(context.Context, Worker) error { return nil }
func (f *fake) Forget(w Worker)                     { f.record(&f.forgotten, "%s", w.Name) }

// stub is a stream of prepared pieces that ends with err.
type stub struct {
	pieces []string
	err    error
	closed bool
}

func (l *stub) Next() ([]byte, error) {
	if len(l.pieces) == 0 {
		return nil, l.err
	}
	p := l.pieces[0]
	l.pieces = l.pieces[1:]
	return []byte(p), nil
}

func (l *stub) Close() { l.closed = true }

const (
	safe, unsafe = 0, 1
	limit        = 300 * time.Millisecond
)

// startCore starts a core with the named workers; the first letter of a name is the role (r or w).
func startCore(t *testing.T, names ...string) (*Core, []Worker) {
	class := brain.Class{Aim: time.Second, Deadline: time.Second, Worth: 1}
	set := brain.Settings{Classes: []brain.Class{class, class}, Cancelling: true, Step: 4 * time.Millisecond, PinLimit: 500 * time.Millisecond, MaxAttempts: 6,
		Kinds: []brain.Kind{{Role: brain.Reader, MemoryTokens: 1e5}, {Role: brain.Writer, MemoryTokens: 1e5}}}
	set.Classes[unsafe].Effect = brain.Unsafe
	c := New(set, 1, &fake{}, standin.Log())
	var list []Worker
	for i, name := range names {
		list = append(list, Worker{Name: name, Engine: brain.Engine{ID: brain.EngineID(i + 1), Kind: strings.Index("rw", name[:1])}})
	}
	c.Listed(brain.ListComplete, list)
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	go c.Run(ctx)
	return c, list
}

func broken(stage Stage) error { return &AttemptError{Stage: stage, Err: errors.New("broke")} }

// answersByRole prefills at readers and returns the result of answer at writers.
func answersByRole(answer func(w Worker) (Reply, error)) func(context.Context, Worker, func() error) (Reply, error) {
	return func(_ context.Context, w Worker, _ func() error) (Reply, error) {
		if w.Name[0] == 'r' {
			return Reply{CachedTokens: 3}, nil
		}
		return answer(w)
	}
}

// The stage of an attempt decides whether it may have run. A filing that may have run is never sent again and never
// refused, whatever else is known.
func TestOneAnswer(t *testing.T) {
	deadline := func(err error) func(context.Context, Worker, func() error) (Reply, error) {
		return func(ctx context.Context, w Worker, _ func() error) (Reply, error) {
			if w.Name[0] == 'r' {
				return Reply{}, nil
			}
			<-ctx.Done()
			return Reply{}, &AttemptError{Stage: Written, Err: errors.Join(err, context.Cause(ctx))}
		}
	}
	fails := func(err error) func(context.Context, Worker, func() error) (Reply, error) {
		return answersByRole(func(Worker) (Reply, error) { return Reply{}, err })
	}
	streams := func(err error) func(context.Context, Worker, func() error) (Reply, error) {
		return answersByRole(func(Worker) (Reply, error) { return Reply{Stream: &stub{pieces: []string{"a", "b"}, err: err}}, nil })
	}
	for name, c := range map[string]struct {
		workers string
		class   int
		try     func(context.Context, Worker, func() error) (Reply, error)
		answers string
		writes  int // maximum number of sends to writers
	}{
		"served":                    {"r1 w1", unsafe, streams(io.EOF), "a b finished", 1},
		"stream breaks":             {"r1 w1 w2", safe, streams(broken(Streaming)), "a b broke", 1},
		"no worker up":              {"", unsafe, nil, "refused", 0},
		"filing never ran":          {"r1 w1", unsafe, fails(broken(PartlyWritten)), "refused", 6},
		"filing may have run":       {"r1 w1 w2", unsafe, fails(broken(Written)), "failed", 1},
		"query may have run":        {"r1 w1 w2", safe, fails(broken(Written)), "refused", 6},
		"filing not started":        {"r1 w1", unsafe, fails(&AttemptError{Stage: Head, Verdict: NotStarted, Err: io.EOF}), "refused", 6},
		"filing, silent writer":     {"r1 w1", unsafe, deadline(nil), "failed", 1},
		"query, silent writer":      {"r1 w1", safe, deadline(nil), "refused", 6},
		"a panic may have run":      {"r1 w1", unsafe, answersByRole(func(Worker) (Reply, error) { panic("x") }), "failed", 1},
		"an error of another sort":  {"r1 w1", unsafe, fails(io.EOF), "failed", 1},
		"request at fault":          {"r1 w1 w2", safe, fails(&AttemptError{Stage: Head, Verdict: Rejected, Err: io.EOF}), "failed", 1},
		"head came, filing unknown": {"r1 w1", unsafe, fails(broken(Head)), "failed", 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			core, _ := startCore(t, strings.Fields(c.workers)...)
			f := &fake{left: limit, class: c.class, try: c.try}
			began := time.Now()
			core.Do(context.Background(), f, f)
			if took := time.Since(began); took > limit+100*time.Millisecond {
				t.Errorf("took %v", took)
			}
			if got := f.joined(&f.answers); got != c.answers {
				t.Errorf("answers %q, want %q", got, c.answers)
			}
			if n := strings.Count(f.joined(&f.calls), "w"); n > c.writes {
				t.Errorf("%d sends to writers", n)
			}
			standin.Eventually(t, time.Second, "the request is forgotten", func() bool {
				core.mu.Lock()
				defer core.mu.Unlock()
				return len(core.requests) == 0
			})
			if got := f.joined(&f.dones); got != "over" { // or its ID and the memory of its body are never freed
				t.Errorf("Done calls: %q", got)
			}
		})
	}
}

// The list may change while a connection comes up. The worker must still be ready at the time of the write.
func TestNoWriteToDrainedWorker(t *testing.T) {
	c, list := startCore(t, "r1", "w1", "w2")
	f := &fake{left: limit}
	drained := ""
	f.try = func(_ context.Context, w Worker, clear func() error) (Reply, error) {
		if w.Name[0] == 'r' {
			return Reply{}, nil
		}
		if drained == "" {
			drained = w.Name
			gone := append([]Worker(nil), list...)
			gone[w.ID-1].Availability = brain.Draining
			c.Listed(brain.ListDelta, gone)
			return Reply{}, &AttemptError{Stage: NotConnected, Err: clear()}
		}
		return Reply{Stream: &stub{pieces: []string{w.Name}, err: io.EOF}}, nil
	}
	c.Do(context.Background(), f, f)
	if got := f.joined(&f.answers); !strings.HasSuffix(got, " finished") || strings.HasPrefix(got, drained) {
		t.Errorf("answers %q, but %s was draining", got, drained)
	}
}

// State that is no longer needed must be released at some worker even if others do not respond, also when the client
// leaves while the attempt is out.
func TestRelease(t *testing.T) {
	c, _ := startCore(t, "r1", "w1")
	f := &fake{left: limit, refuses: func(w Worker) bool { return w.Name == "w1" }}
	f.try = answersByRole(func(Worker) (Reply, error) { return Reply{}, broken(NotConnected) })
	c.Do(context.Background(), f, f)
	standin.Eventually(t, time.Second, "the state is released", func() bool { return f.joined(&f.released) == "r1" })

	left, waiting := &fake{left: time.Minute}, make(chan struct{})
	left.try = func(ctx context.Context, _ Worker, _ func() error) (Reply, error) {
		close(waiting)
		<-ctx.Done()
		return Reply{}, &AttemptError{Stage: Written, Err: context.Cause(ctx)}
	}
	ctx, leave := context.WithCancel(context.Background())
	go func() { <-waiting; leave() }()
	c.Do(ctx, left, left)
	standin.Eventually(t, time.Second, "the state of a client that left is released", func() bool { return left.joined(&left.released) != "" })
	if got := left.joined(&left.answers); got != "" {
		t.Errorf("a client that had left was answered %q", got)
	}
}

// An answer that begins after the request was decided is dropped: no client gets two answers.
func TestLateAnswerIsDropped(t *testing.T) {
	c, _ := startCore(t, "r1", "w1")
	f, late := &fake{left: limit, class: unsafe}, &stub{pieces: []string{"late"}, err: io.EOF}
	ended := make(chan struct{})
	f.try = func(ctx context.Context, w Worker, _ func() error) (Reply, error) {
		if w.Name[0] == 'r' {
			return Reply{}, nil
		}
		<-ctx.Done()
		defer close(ended)
		return Reply{Stream: late}, nil
	}
	c.Do(context.Background(), f, f)
	<-ended
	standin.Eventually(t, time.Second, "the late answer is closed and the request forgotten", func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return len(c.requests) == 0 && late.closed
	})
	if got := f.joined(&f.answers); got != "failed" {
		t.Errorf("answers %q", got)
	}
}

// What is kept for a worker is dropped with it. Otherwise connections pile up where workers are replaced all day.
func TestWorkersForgotten(t *testing.T) {
	c, list := startCore(t, "r1", "w1", "w2", "w3")
	prober := c.prober.(*fake)
	drained, removed := list[1], list[2]
	drained.Availability, removed.Availability = brain.Draining, brain.Removed
	c.Listed(brain.ListDelta, []Worker{drained})
	c.Listed(brain.ListDelta, []Worker{removed})
	c.Listed(brain.ListComplete, list[:1])
	if got := prober.joined(&prober.forgotten); got != "w1 w2 w3" || len(c.workers) != 1 {
		t.Errorf("forgotten %q, %d workers known", got, len(c.workers))
	}
}

// If the scheduler panics, the request still gets its answer in time. It was never sent, so it is refused.
func TestSchedulerPanics(t *testing.T) {
	c, _ := startCore(t, "r1", "w1")
	c.sched = nil
	f := &fake{left: 50 * time.Millisecond}
	c.Do(context.Background(), f, f)
	if got := f.joined(&f.answers); got != "refused" {
		t.Errorf("answers %q", got)
	}
}

// A draining router answers a client before the request's state is released, and must not end in between. A release
// that no worker takes does not keep the router running for ever.
func TestWaitIdleWaitsForReleases(t *testing.T) {
	for taken, wait := range map[bool]time.Duration{true: 5 * time.Second, false: 50 * time.Millisecond} {
		c, _ := startCore(t, "r1", "w1")
		may := make(chan struct{})
		f := &fake{left: limit, class: unsafe}
		f.refuses = func(Worker) bool {
			select {
			case <-may:
				return false
			default:
				return true
			}
		}
		f.try = answersByRole(func(w Worker) (Reply, error) {
			if w.Name == "r1" {
				return Reply{}, nil
			}
			return Reply{}, broken(Written)
		})
		c.Do(context.Background(), f, f)
		if got := f.joined(&f.answers); got != "failed" || f.joined(&f.released) != "" {
			t.Fatalf("answered %q, released at %q, want an open release", got, f.joined(&f.released))
		}
		if taken {
			time.AfterFunc(60*time.Millisecond, func() { close(may) })
		}
		ctx, stop := context.WithTimeout(context.Background(), wait)
		c.WaitIdle(ctx)
		if ended := ctx.Err() != nil; ended == taken {
			t.Errorf("taken %v: ran into its time limit %v", taken, ended)
		}
		if got := f.joined(&f.released); (got != "") != taken {
			t.Errorf("taken %v: released at %q afterwards", taken, got)
		}
		stop()
		if !taken {
			close(may)
		}
	}
}

// A paused process must not count its own pause as its workers' time. The answers that came meanwhile were there at
// once, and later requests are served. Otherwise all later requests were refused for ever.
func TestProcessPauseIsNotWorkerTime(t *testing.T) {
	class := brain.Class{Aim: 500 * time.Millisecond, Deadline: 20 * time.Second, Worth: 1}
	set := brain.Settings{Classes: []brain.Class{class}, Cancelling: true, Step: time.Millisecond, MaxAttempts: 3,
		Kinds: []brain.Kind{{Role: brain.Mixed, MemoryTokens: 1e5}}}
	c := New(set, 1, &fake{}, standin.Log())
	c.Listed(brain.ListComplete, []Worker{{Name: "m1", Engine: brain.Engine{ID: 1}}})
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	go c.Run(ctx)
	serve := func(wait <-chan struct{}) *fake {
		return &fake{left: 20 * time.Second, try: func(context.Context, Worker, func() error) (Reply, error) {
			<-wait
			return Reply{Stream: &stub{pieces: []string{"x"}, err: io.EOF}}, nil
		}}
	}
	answered := make(chan struct{})
	var all sync.WaitGroup
	for range 12 {
		f := serve(answered)
		all.Add(1)
		go func() { defer all.Done(); c.Do(t.Context(), f, f) }()
	}
	standin.Eventually(t, 5*time.Second, "all are sent", func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		sent := 0
		for _, r := range c.requests {
			sent += len(r.attempts)
		}
		return sent == 12
	})
	c.mu.Lock() // blocks the core
	close(answered)
	time.Sleep(4 * time.Second)
	c.mu.Unlock()
	all.Wait()
	f := serve(answered)
	c.Do(t.Context(), f, f)
	if got := f.joined(&f.answers); got != "x finished" {
		t.Errorf("after the pause: %q", got)
	}
}
