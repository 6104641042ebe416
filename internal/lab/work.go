package lab

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	pb "go.etcd.io/etcd/api/v3/etcdserverpb"

	"sumacloft/internal/decide/ledger"
	"sumacloft/internal/etcd"
	"sumacloft/internal/fleet/work"
)

// WorkClasses are the classes of a fleet whose work in hand is written down.
const WorkClasses = `[[chat.class]]
name = "query"
models = ["query"]
effect = "safe"
aim_ms = 1500
deadline_ms = 8000
whole_ms = 8000
handover = true
[[chat.class]]
name = "keyed"
models = ["keyed"]
effect = "keyed"
window_ms = 6000
aim_ms = 1500
deadline_ms = 8000
whole_ms = 8000
handover = true
[[chat.class]]
name = "filing"
models = ["filing"]
effect = "unsafe"
aim_ms = 1500
deadline_ms = 8000
whole_ms = 8000
handover = true
`

// WorkReport is what came of a run with work in hand.
type WorkReport struct {
	Seed       uint64         `json:"seed"`
	Requests   int            `json:"requests"` // by keyed clients
	Filings    int            `json:"filings"`
	Answered   int            `json:"answered"`
	Unknown    int            `json:"unknown"`
	Repeats    int            `json:"repeats"` // times that a client came again
	Older      int            `json:"older"`   // sends under an epoch that was over
	Faults     []string       `json:"faults"`
	Took       time.Duration  `json:"took"`
	Violations []string       `json:"violations,omitempty"`
	Statuses   map[string]int `json:"statuses"`
}

// DrawWork draws a schedule of faults for work in hand: routers die, are stopped, are cut off from the store, drain.
func DrawWork(seed uint64, daemons int) Schedule {
	r := rand.New(rand.NewPCG(seed, 0x1ed6e4))
	s := Schedule{Seed: seed, Daemons: daemons, OnLapse: "refuse"}
	add := func(after int, words ...string) {
		s.Steps = append(s.Steps, Step{time.Duration(after) * time.Millisecond, words})
	}
	for range 2 + r.IntN(2) {
		p := r.Perm(daemons)
		x, y := fmt.Sprintf("d%d", 1+p[0]), fmt.Sprintf("d%d", 1+p[1])
		switch r.IntN(10) {
		case 0, 1:
			add(300+r.IntN(300), "kill", x)
		case 2:
			add(300+r.IntN(300), "kill", x)
			add(r.IntN(700), "kill", y) // perhaps the taker
		case 3, 4: // for longer than a lease, or a little less
			add(300+r.IntN(300), "stop", x)
			add(600+r.IntN(1200), "cont", x)
		case 5:
			add(300+r.IntN(300), "isolate", x)
		case 6:
			add(300+r.IntN(300), [...]string{"deaf", "mute"}[r.IntN(2)], x)
		case 7:
			add(300+r.IntN(300), "kill", "leader")
		case 8:
			add(300+r.IntN(300), "term", x)
		case 9:
			add(300+r.IntN(300), "stop", "leader")
			add(500+r.IntN(900), "kill", x)
		}
		add(900+r.IntN(900), "heal")
		for i := range daemons {
			add(r.IntN(20), "cont", fmt.Sprintf("d%d", i+1))
			add(r.IntN(20), "start", fmt.Sprintf("d%d", i+1))
		}
	}
	return s
}

// asking is one request as its client sees it.
type asking struct {
	id, model string
	stream    bool
	finals    []string // final answers, in order: what was answered, or "unknown"
	given     bool     // the client gave up
}

const (
	workClients = 10
	// insists is how long a client comes again before it gives up, from the time when all is mended.
	insists = 20 * time.Second
)

// CarryWork starts a fleet, carries out a schedule while clients with keys come again until they have a final answer,
// and judges what ran and what was answered.
func CarryWork(ctx context.Context, s Schedule, o Options) (WorkReport, error) {
	began := time.Now()
	o.Classes, o.Clients = cmp.Or(o.Classes, WorkClasses), cmp.Or(o.Clients, workClients)
	counter, _ := o.Answers.(*Counter)
	if counter == nil {
		counter = NewCounter(s.Seed)
		o.Answers = counter
	}
	rep := WorkReport{Seed: s.Seed, Statuses: map[string]int{}}
	f, err := begin(ctx, s, o, 3)
	if err != nil {
		return rep, err
	}
	defer f.Close()
	r := &run{f: f, began: time.Now(), ctx: ctx, rep: &Report{}, exits: map[string]operatorResult{}}
	w := &workers{f: f, statuses: map[string]int{}}
	load, stop := context.WithCancel(ctx)
	defer stop()
	var loading sync.WaitGroup
	for i := range o.Clients {
		loading.Add(1)
		go func() { defer loading.Done(); w.client(load, ctx, s.Seed, i) }()
	}
	if err := r.carry(s); err != nil {
		return rep, err
	}
	stop() // no new requests; those that are asked are asked to their end
	loading.Wait()
	rep.Faults, rep.Violations = r.rep.Faults, r.rep.Violations
	settled, err := settledAt(ctx, f)
	if err != nil {
		return rep, err
	}
	w.judge(counter, &rep, slices.Contains(rep.Faults, "numb"), settled)
	rep.Took = time.Since(began)
	return rep, ctx.Err()
}

// settledAt tells when a client's request was settled as unknown, 0 if it was not.
func settledAt(ctx context.Context, f *Fleet) (func(id string) int64, error) {
	client, err := etcd.NewClient([]string{f.Daemons[0].Client, f.Daemons[1].Client})
	if err != nil {
		return nil, err
	}
	defer client.Close()
	client.Patient = true
	ctx, done := context.WithTimeout(ctx, settles)
	defer done()
	at := map[string]int64{}
	secret, err := client.Range(ctx, &pb.RangeRequest{Key: []byte(work.SecretKey)})
	if err != nil || len(secret.Kvs) == 0 {
		return nil, fmt.Errorf("the fleet has no secret: %w", err)
	}
	ended, err := client.Range(ctx, work.List(false, true))
	if err != nil {
		return nil, err
	}
	for _, pair := range ended.Kvs {
		if rec, err := work.Decode(pair.Value, 0); err == nil && rec.Outcome == ledger.Unknown {
			at[rec.Key] = rec.EndedMs
		}
	}
	return func(id string) int64 { return at[work.Secret(secret.Kvs[0].Value).ClientKey("", id)] }, nil
}

// lateBy is how much later than its settling a run may show at the server: what was written in time takes its way.
const lateBy = 300 * time.Millisecond

// workers are the clients of a run.
type workers struct {
	f       *Fleet
	repeats atomic.Int64

	mu       sync.Mutex
	all      []*asking
	statuses map[string]int
	bad      []string
}

func (w *workers) fault(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.bad = append(w.bad, fmt.Sprintf(format, args...))
}

// client makes one request after the other until load ends.
func (w *workers) client(load, ctx context.Context, seed uint64, id int) {
	r := rand.New(rand.NewPCG(seed, uint64(id)))
	client := &http.Client{Timeout: 12 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 2}}
	defer client.CloseIdleConnections()
	for n := 0; load.Err() == nil; n++ {
		a := &asking{id: fmt.Sprintf("c%d-%d", id, n), model: [...]string{"filing", "filing", "query", "keyed"}[r.IntN(4)], stream: r.IntN(2) == 0}
		w.mu.Lock()
		w.all = append(w.all, a)
		w.mu.Unlock()
		if r.IntN(12) == 0 { // at two routers at once
			var twin sync.WaitGroup
			twin.Add(1)
			other := rand.New(rand.NewPCG(seed, uint64(1000+id*1000+n)))
			go func() { defer twin.Done(); w.insist(ctx, load, client, a, other) }()
			w.insist(ctx, load, client, a, r)
			twin.Wait()
		} else {
			w.insist(ctx, load, client, a, r)
		}
		if r.IntN(6) == 0 { // once more, to see whether the answer is the same
			w.insist(ctx, load, client, a, r)
		}
		if r.IntN(25) == 0 {
			if what := w.ask(ctx, client, a, r.IntN(len(w.f.Daemons)), a.id+"-other"); strings.HasPrefix(what, "final") && what != "final 422" {
				w.fault("%s: another body under its key: %s", a.id, what)
			}
		}
		time.Sleep(time.Duration(r.IntN(15)) * time.Millisecond)
	}
}

// insist asks until there is a final answer.
func (w *workers) insist(ctx, load context.Context, client *http.Client, a *asking, r *rand.Rand) {
	var mended time.Time
	for ctx.Err() == nil {
		if load.Err() != nil && mended.IsZero() {
			mended = time.Now()
		}
		what := w.ask(ctx, client, a, r.IntN(len(w.f.Daemons)), a.id)
		if final, ok := strings.CutPrefix(what, "final "); ok {
			w.mu.Lock()
			a.finals = append(a.finals, final)
			w.mu.Unlock()
			return
		}
		w.repeats.Add(1)
		if !mended.IsZero() && time.Since(mended) > insists {
			w.mu.Lock()
			a.given = true
			w.mu.Unlock()
			return
		}
		time.Sleep(time.Duration(20+r.IntN(60)) * time.Millisecond)
	}
}

// ask asks one daemon once. What is no final answer is to be asked again.
func (w *workers) ask(ctx context.Context, client *http.Client, a *asking, at int, content string) string {
	body := fmt.Sprintf(`{"model":%q,"stream":%v,"messages":[{"role":"user","content":%q}]}`, a.model, a.stream, content)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+w.f.Front(w.f.Daemons[at].Name)+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return err.Error()
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Idempotency-Key", a.id)
	resp, err := client.Do(req)
	if err != nil {
		return "lost"
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	w.mu.Lock()
	w.statuses[strconv.Itoa(resp.StatusCode)]++
	w.mu.Unlock()
	switch {
	case err != nil:
		return "cut"
	case resp.StatusCode == http.StatusFailedDependency:
		return "final unknown"
	case resp.StatusCode == http.StatusUnprocessableEntity:
		return "final 422"
	case resp.StatusCode != http.StatusOK:
		return "again"
	case !a.stream:
		var out struct{ Answer string }
		if json.Unmarshal(data, &out) != nil {
			w.fault("%s: an answer that can't be read: %s", a.id, data)
		}
		return "final " + out.Answer
	case !bytes.HasSuffix(data, []byte("data: [DONE]\n\n")):
		w.fault("%s: a stream ended in good order without its closing event: %s", a.id, data)
		return "cut"
	}
	whole := ""
	for _, event := range strings.Split(string(data), "\n\n") {
		var piece struct{ Piece string }
		if text, ok := strings.CutPrefix(event, "data: {"); ok && json.Unmarshal([]byte("{"+text), &piece) == nil {
			whole += piece.Piece
		}
	}
	return "final " + whole
}

// judge counts what must not be. late tells that links held bytes back: what a router sent before it was lost may then
// reach a server long after.
func (w *workers) judge(c *Counter, rep *WorkReport, late bool, settled func(id string) int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	rep.Violations = append(rep.Violations, w.bad...)
	rep.Violations = append(rep.Violations, c.twice("filing")...)
	rep.Repeats, rep.Statuses, rep.Older = int(w.repeats.Load()), w.statuses, c.older
	for _, a := range w.all {
		rep.Requests++
		if a.model == "filing" {
			rep.Filings++
		}
		if len(a.finals) == 0 && a.given {
			rep.Violations = append(rep.Violations, fmt.Sprintf("%s %s got no final answer", a.model, a.id))
			continue
		}
		if at := settled(a.id); at > 0 && !late && c.ranAt[a.id].Sub(time.UnixMilli(at)) > lateBy {
			rep.Violations = append(rep.Violations, fmt.Sprintf("%s %s ran %v after it had been settled as unknown", a.model, a.id, c.ranAt[a.id].Sub(time.UnixMilli(at))))
		}
		for _, final := range a.finals {
			switch {
			case final != a.finals[0]:
				rep.Violations = append(rep.Violations, fmt.Sprintf("%s %s got two final answers: %q", a.model, a.id, a.finals))
			case final != "unknown" && !slices.Contains(c.made[a.id], final):
				rep.Violations = append(rep.Violations, fmt.Sprintf("%s %s got %q, which no server made: %q", a.model, a.id, final, c.made[a.id]))
			case final == "unknown" && a.model == "query":
				rep.Violations = append(rep.Violations, fmt.Sprintf("the query %s was settled as unknown", a.id))
			}
		}
		if len(a.finals) > 0 && a.finals[0] == "unknown" {
			rep.Unknown++
		} else if len(a.finals) > 0 {
			rep.Answered++
		}
	}
}
