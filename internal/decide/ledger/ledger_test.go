package ledger

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sumacloft/internal/standin"
)

// Every cell of the table at Record.Recovery, and the limits at which the result changes.
func TestRecovery(t *testing.T) {
	const deadline, first, window = 10_000, 1_000, 5_000
	for _, c := range []struct {
		step        Step
		effect      Effect
		now         int64
		attempts    int // attempts made, of 3
		bodyOmitted bool
		want        Recovery
	}{
		{Waiting, Safe, 2000, 0, false, Run},
		{Waiting, Keyed, 2000, 0, false, Run},
		{Waiting, Unsafe, 2000, 0, false, Run},
		{Waiting, Unsafe, 2000, 0, true, Drop},
		{Waiting, Unsafe, deadline, 0, false, Drop},
		{Waiting, Unsafe, 2000, 3, false, Drop},
		{Sent, Safe, 2000, 1, false, Repeat},
		{Sent, Safe, 2000, 3, false, Drop},
		{Sent, Safe, 2000, 1, true, Drop},
		{Sent, Safe, deadline, 1, false, Drop},
		{Sent, Keyed, first + window - clockMargin - 1, 1, false, Repeat},
		{Sent, Keyed, first + window - clockMargin, 1, false, Settle},
		{Sent, Keyed, 2000, 3, false, Settle},
		{Sent, Keyed, 2000, 1, true, Settle},
		{Sent, Unsafe, 2000, 1, false, Settle},
		{Streaming, Safe, 2000, 1, false, Repeat},
		{Streaming, Keyed, 2000, 1, false, Repeat},
		{Streaming, Unsafe, 2000, 1, false, Settle},
		{Ended, Safe, 2000, 1, false, Keep},
		{Ended, Keyed, 2000, 1, false, Keep},
		{Ended, Unsafe, deadline, 1, false, Keep},
	} {
		r := Record{Step: c.step, Effect: c.effect, Attempts: c.attempts, Deadline: deadline, FirstMs: first, Window: window, Request: Request{BodyOmitted: c.bodyOmitted}}
		if got := r.Recovery(c.now, 3); got != c.want {
			t.Errorf("%v, effect %d, at %d, %d attempts, body omitted %v: %v, want %v", c.step, c.effect, c.now, c.attempts, c.bodyOmitted, got, c.want)
		}
	}
}

// The remaining routers share a lost router's records about evenly. Records of other routers don't move.
func TestSuccessor(t *testing.T) {
	live := []Owner{{"a", "1"}, {"b", "1"}, {"c", "1"}, {"d", "1"}}
	if _, any := Successor("x", nil); any {
		t.Error("a record was assigned without a live router")
	}
	count := map[Owner]int{}
	for i := range 4000 {
		key := fmt.Sprint("key-", i)
		beforeLoss, _ := Successor(key, live)
		afterLoss, _ := Successor(key, live[:3])
		if beforeLoss != live[3] && beforeLoss != afterLoss {
			t.Fatalf("%s moved from %v to %v though neither was lost", key, beforeLoss, afterLoss)
		}
		count[afterLoss]++
	}
	for _, o := range live[:3] {
		if count[o] < 1000 || count[o] > 1700 {
			t.Errorf("uneven: %v", count)
		}
	}
}

func TestAccount(t *testing.T) {
	a := NewAccount(Limits{Open: 2, Kept: 3, Keep: 10 * time.Second})
	now := int64(1000)
	for range 5 {
		if err := a.Open(now); err != nil {
			t.Fatal(err)
		}
		a.Close(now, true)
		now += 1000
	}
	if err := a.Open(now); !errors.Is(err, ErrFull) {
		t.Errorf("a full ledger accepted another record: %v", err)
	}
	now = 11_500 // the first has expired
	if err := a.Open(now); err != nil {
		t.Error(err)
	}
	if open, kept := a.Counts(now); open != 1 || kept != 4 {
		t.Errorf("%d open, %d kept", open, kept)
	}
	a.Close(now, false)
	if open, kept := a.Counts(now + 60_000); open != 0 || kept != 0 {
		t.Errorf("%d open, %d kept", open, kept)
	}
}

// world models a store with one record, three routers that know what they read last, and a server that counts runs. A
// router may be suspended between any two steps. Two rules are checked: an unsafe request runs at most once, and its
// client gets at most one final answer (one that does not invite a retry).
type world struct {
	broken       string
	draw         func(int) int
	now          int64
	effect       Effect
	rec          *Record // as stored
	rev          int64
	runs         int
	finalAnswers map[string]bool
	routers      []*process
}

type process struct {
	me          Owner
	lease       bool // whether its lease is alive in the store
	session     int  // number of the lease; a lost lease is followed by a new one
	sentSession int  // lease session in which the send was recorded
	boot        int
	rec         *Record // record as last read or written
	owns        bool
	sending     bool // the send is recorded, nothing is sent yet
	checked     bool // the lease was checked just before sending
	atServer    bool // the request is at the server
	answered    bool // the server has answered
}

func newWorld(broken string, effect Effect, draw func(int) int) *world {
	w := &world{broken: broken, draw: draw, now: 1, effect: effect, finalAnswers: map[string]bool{}}
	for _, name := range []string{"a", "b", "c"} {
		w.routers = append(w.routers, &process{me: Owner{name, "0"}, lease: true})
	}
	return w
}

// cas replaces the record if it is unchanged since it was read.
func (w *world) cas(p *process, next *Record) bool {
	if w.broken != "no-compare" && ((w.rec == nil) != (p.rec == nil) || (w.rec != nil && w.rec.Rev != p.rec.Rev)) {
		return false
	}
	w.rev++
	if next != nil {
		next.Rev = w.rev
	}
	w.rec, p.rec = next, next
	return true
}

func (w *world) live() (out []Owner) {
	for _, p := range w.routers {
		if p.lease {
			out = append(out, p.me)
		}
	}
	return out
}

func (w *world) step() error {
	w.now += int64(w.draw(400))
	p := w.routers[w.draw(len(w.routers))]
	switch w.draw(9) {
	case 0: // a client sends a request
		if p.owns || !p.lease || w.rec != nil || len(w.finalAnswers) > 0 {
			break
		}
		if p.rec = nil; !p.sending && !p.atServer && !p.answered {
			r := Record{Key: "k", Digest: "d", Effect: w.effect, Window: 5000, Owner: p.me, Epoch: 1, Deadline: w.now + 20_000, TakenMs: w.now}
			p.owns = w.cas(p, &r)
		}
	case 1: // the process restarts, or its lease ends while it continues
		if w.draw(3) == 0 {
			p.boot++
			*p = process{me: Owner{p.me.Name, fmt.Sprint(p.boot)}, boot: p.boot, lease: true}
		} else {
			p.lease = false
		}
	case 2:
		if !p.lease && w.draw(2) == 0 { // it registers again under the same boot
			p.lease = true
			p.session++
		}
	case 3: // record the send
		if p.owns && !p.sending && !p.atServer && !p.answered && p.rec != nil && p.rec.Step == Waiting {
			if w.broken == "late-intent" {
				p.sending, p.sentSession = true, p.session
				break
			}
			next := p.rec.MarkSent("s", w.now)
			if p.sending = w.cas(p, &next); !p.sending {
				p.owns = false
			}
			p.sentSession = p.session
		}
	case 4: // check the lease before sending
		if p.sending && !p.checked {
			if p.checked = (p.lease && p.sentSession == p.session) || w.broken == "no-check"; !p.checked {
				p.sending, p.owns = false, false
			}
		}
	case 5: // send; unless suspended, the time since the check is shorter than the lease's margin
		if p.sending && p.checked {
			p.sending, p.checked = false, false
			if (!p.lease || p.sentSession != p.session) && w.broken != "no-check" {
				p.owns = false // the lease was lost between check and send, which the lease's margin covers
				break
			}
			if w.rec == nil || w.rec.Step == Ended || w.rec.Epoch > p.rec.Epoch {
				return errors.New("sent after the record was taken over or settled")
			}
			p.atServer = true
			if w.runs++; w.runs > 1 && w.effect == Unsafe {
				return errors.New("a filing ran twice")
			}
			if w.broken == "late-intent" {
				next := p.rec.MarkSent("s", w.now)
				if !w.cas(p, &next) {
					p.owns = false
				}
			}
		}
	case 6:
		if p.atServer {
			p.atServer, p.answered = false, true
		}
	case 7: // the outcome is written before the client gets it
		if p.answered && p.owns {
			next := p.rec.End(Answered, Answer{Status: 200}, w.now)
			p.answered, p.owns = false, false
			if w.cas(p, &next) {
				return w.recordFinal("200")
			}
		}
	case 8: // another router checks for an orphan
		if w.rec == nil || !p.lease || p.owns || p.sending || p.atServer || p.answered || !w.rec.Orphan(w.live()) {
			break
		}
		p.rec = w.rec
		switch w.rec.Recovery(w.now, 3) {
		case Run, Repeat:
			next := w.rec.Claim(p.me)
			next = next.MarkNotRun()
			if w.rec.Step != Waiting {
				next.FirstMs, next.Attempts = w.rec.FirstMs, w.rec.Attempts
			}
			p.owns = w.cas(p, &next)
		case Settle:
			next := w.rec.Claim(p.me).End(Unknown, Answer{}, w.now)
			if w.cas(p, &next) {
				return w.recordFinal("unknown")
			}
		case Drop:
			w.cas(p, nil)
		}
	}
	return nil
}

func (w *world) recordFinal(answer string) error {
	w.finalAnswers[answer] = true
	if len(w.finalAnswers) > 1 {
		return errors.New("two different final answers")
	}
	return nil
}

func TestLifecycle(t *testing.T) {
	standin.Steady(t)
	rapid.Check(t, func(rt *rapid.T) {
		effect := Effect(rapid.IntRange(0, 2).Draw(rt, "effect"))
		w := newWorld("", effect, func(n int) int { return rapid.IntRange(0, n-1).Draw(rt, "") })
		for range 200 {
			if err := w.step(); err != nil && (effect == Unsafe || err.Error() != "a filing ran twice") {
				rt.Fatal(err)
			}
		}
	})
}

// Each injected fault is detected. Without one, both answered and unknown outcomes occur often enough.
func TestLifecycleFindsInjectedFaults(t *testing.T) {
	const runs, steps = 20000, 120
	for _, broken := range []string{"", "no-compare", "late-intent", "no-check"} {
		found, answered, settled := 0, 0, 0
		for seed := uint64(1); seed <= runs && found == 0; seed++ {
			r := rand.New(rand.NewPCG(seed, 2))
			w := newWorld(broken, Unsafe, r.IntN)
			for range steps {
				if w.step() != nil {
					found = int(seed)
					break
				}
			}
			answered, settled = answered+len(w.finalAnswers), settled+map[bool]int{true: 1}[w.finalAnswers["unknown"]]
		}
		if (broken == "") != (found == 0) {
			t.Errorf("%q: found in run %d of %d", broken, found, runs)
		}
		if broken == "" && (settled < 100 || answered-settled < 100) {
			t.Errorf("too few outcomes: %d answered, %d settled", answered-settled, settled)
		}
		t.Logf("%q: found in run %d; %d ended, %d of them unknown", broken, found, answered, settled)
	}
}
