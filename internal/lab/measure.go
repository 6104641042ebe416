package lab

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"sumacloft/internal/decide/rollout"
	"sumacloft/internal/etcd"
	"sumacloft/internal/fleet/policy"
)

// Measure is what one kind of trouble does to changes of policy. Times are in milliseconds.
type Measure struct {
	Trouble   string  `json:"trouble"`
	Changes   int     `json:"changes"`
	Committed int     `json:"committed"`
	CommitP50 float64 `json:"commit_ms_p50"`
	CommitMax float64 `json:"commit_ms_max"`
	// Of requests to daemons that run, those that arrived while a change was under way against those before it.
	QuietP50  float64 `json:"quiet_ms_p50"`
	QuietP99  float64 `json:"quiet_ms_p99"`
	ChangeP50 float64 `json:"change_ms_p50"`
	ChangeP99 float64 `json:"change_ms_p99"`
	ChangeMax float64 `json:"change_ms_max"`
	Requests  int     `json:"requests"` // while a change was under way
	Refused   int     `json:"refused"`  // of them, by daemons that run
}

// The troubles that are measured, each brought about just before a change is proposed.
var troubles = []string{"none", "one killed", "one stopped", "leader killed"}

const (
	measurers = 3 // clients of each daemon
	quiet     = 700 * time.Millisecond
)

// MeasurePolicy measures changes of policy under load: so many changes with each trouble.
func MeasurePolicy(ctx context.Context, o Options, changes int, said func(string)) ([]Measure, error) {
	o.Daemons, o.Servers, o.OnLapse, o.Calm = 5, 2, rollout.Refuse, true
	f, err := Open(o)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	if err := f.Up(ctx); err != nil {
		return nil, err
	}
	client, err := etcd.NewClient(f.Desks())
	if err != nil {
		return nil, err
	}
	defer client.Close()
	load := startLoad(ctx, f)
	defer load.stop()
	var out []Measure
	for _, trouble := range troubles {
		m := Measure{Trouble: trouble}
		commits, before, during := newHistogram(), newHistogram(), newHistogram()
		for n := range changes {
			if err := one(ctx, f, policy.Store{Client: client}, load, trouble, n, &m, commits, before, during); err != nil {
				return out, fmt.Errorf("%s: %w", trouble, err)
			}
			said(fmt.Sprintf("%s: %d of %d changes", trouble, n+1, changes))
		}
		ms := func(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
		m.CommitP50, m.CommitMax = ms(commits, 50), ms(commits, 100)
		m.QuietP50, m.QuietP99 = ms(before, 50), ms(before, 99)
		m.ChangeP50, m.ChangeP99, m.ChangeMax = ms(during, 50), ms(during, 99), ms(during, 100)
		m.Requests = int(during.TotalCount())
		out = append(out, m)
	}
	return out, nil
}

// newHistogram is one of microseconds, up to a minute.
func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 60_000_000, 3) }

// one makes one change with a trouble and notes what it took; all is mended after it.
func one(ctx context.Context, f *Fleet, s policy.Store, l *load, trouble string, n int, m *Measure, commits, before, during *hdrhistogram.Histogram) error {
	l.phase(nil)
	time.Sleep(quiet / 4) // what the change before it caused is over
	l.phase(&window{into: before})
	time.Sleep(quiet)
	v, err := s.View(ctx)
	if err != nil {
		return err
	}
	at := f.Daemons[n%len(f.Daemons)]
	if trouble == "leader killed" {
		if at = f.Leader(ctx); at == nil {
			return fmt.Errorf("no daemon leads")
		}
	}
	w := &window{into: during}
	if trouble != "none" {
		w.down = at.Name
	}
	l.phase(w)
	switch trouble {
	case "one killed", "leader killed":
		at.Kill()
	case "one stopped":
		at.Stop()
	}
	text := fmt.Sprintf("[[chat.class]]\nname = \"query\"\nmodels = [\"query\"]\neffect = \"safe\"\ndeadline_ms = %d\n", 1000+v.Revision)
	began := time.Now()
	var id string
	for { // an operator whose call finds no leader calls again
		if id, err = s.Propose(ctx, v, text, "lab", "", rollout.Limits{StepBackMs: 300, WaitMs: 15000}); err == nil {
			break
		}
		if time.Since(began) > 20*time.Second {
			return err
		}
		if fresh, err := s.View(ctx); err == nil {
			v = fresh
		}
		time.Sleep(10 * time.Millisecond)
	}
	wait, done := context.WithTimeout(ctx, 20*time.Second)
	defer done()
	c, err := s.Await(wait, id, func(rollout.View, rollout.Change) {})
	if err != nil {
		return err
	}
	m.Changes++
	if c.Phase == rollout.Committed {
		m.Committed++
		if err := commits.RecordValue(time.Since(began).Microseconds()); err != nil {
			return err
		}
	}
	l.phase(nil)
	w.mu.Lock()
	m.Refused += w.refused
	w.mu.Unlock()
	at.Continue()
	if err := f.Start(at); err != nil {
		return err
	}
	return f.Ready(ctx, settles)
}

// window collects what requests of a span of time met.
type window struct {
	mu      sync.Mutex
	into    *hdrhistogram.Histogram
	refused int
	down    string // a daemon whose answers don't count
}

// load keeps asking all daemons.
type load struct {
	mu  sync.Mutex
	now *window
	end context.CancelFunc
	all sync.WaitGroup
}

func (l *load) phase(w *window) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.now = w
}

func (l *load) stop() {
	l.end()
	l.all.Wait()
}

func startLoad(ctx context.Context, f *Fleet) *load {
	l := &load{}
	ctx, l.end = context.WithCancel(ctx)
	for _, d := range f.Daemons {
		for range measurers {
			l.all.Add(1)
			go func() {
				defer l.all.Done()
				client := &http.Client{Timeout: asks, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
				defer client.CloseIdleConnections()
				for ctx.Err() == nil {
					l.ask(client, d)
					time.Sleep(think)
				}
			}()
		}
	}
	return l
}

func (l *load) ask(client *http.Client, d *Daemon) {
	l.mu.Lock()
	w := l.now
	l.mu.Unlock()
	began := time.Now()
	resp, err := client.Post("http://"+d.Listen+"/v1/chat/completions", "application/json", strings.NewReader(`{"model":"query","messages":[{"role":"user","content":"x"}]}`))
	if err != nil {
		return
	}
	_ = resp.Body.Close()
	if w == nil || w.down == d.Name {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if resp.StatusCode != http.StatusOK {
		w.refused++
	}
	_ = w.into.RecordValue(time.Since(began).Microseconds()) // within its range: a client waits no minute
}
