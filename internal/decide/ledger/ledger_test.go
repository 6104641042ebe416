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

// The table of the design note, cell by cell, and the edges at which a verdict changes.
func TestRecovery(t *testing.T) {
	const deadline, first, window = 10_000, 1_000, 5_000
	for _, c := range []struct {
		step     Step
		effect   Effect
		now      int64
		attempts int // made so far, of 3
		cut      bool
		want     Recovery
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
		r := Record{Step: c.step, Effect: c.effect, Attempts: c.attempts, Deadline: deadline, FirstMs: first, Window: window, Request: Request{BodyOmitted: c.cut}}
		if got := r.Recovery(c.now, 3); got != c.want {
			t.Errorf("%v, effect %d, at %d, %d attempts, cut %v: %v, want %v", c.step, c.effect, c.now, c.attempts, c.cut, got, c.want)
		}
	}
}

// The survivors share a lost router's records about evenly, and a router that is not lost keeps its part.
func TestSuccessor(t *testing.T) {
	live := []Owner{{"a", "1"}, {"b", "1"}, {"c", "1"}, {"d", "1"}}
	if _, any := Successor("x", nil); any {
		t.Error("nobody takes it")
	}
	count := map[Owner]int{}
	for i := range 4000 {
		key := fmt.Sprint("key-", i)
		beforeLoss, _ := Successor(key, live)
		afterLoss, _ := Successor(key, live[:3])
		if beforeLoss != live[3] && beforeLoss != afterLoss {
			t.Fatalf("%s goes from %v to %v though neither was lost", key, beforeLoss, afterLoss)
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
		t.Errorf("a full ledger took one more: %v", err)
	}
	now = 11_500 // the first is over
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

// world is a store with one record, routers that know of it what they last read, and a server that counts. Each router
// may be paused between any two of its acts. The rules: a filing runs once at most, and its client gets one final
// answer at most that is no invitation to come again.
type world struct {
	broken       string
	draw         func(int) int
	now          int64
	effect       Effect
	rec          *Record // in the store
	rev          int64
	runs         int
	finalAnswers map[string]bool
	routers      []*process
}

type process struct {
	me          Owner
	lease       bool // as the store has it
	session     int  // of the lease: another after it was lost
	sentSession int  // the session of the intent
	boot        int
	rec         *Record // as it was read or written last
	mine        bool
	sending     bool // the intent is durable, nothing is written yet
	checked     bool // the lease was looked at just before the write
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

// cas writes a record if it is as it was read.
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
	case 0: // a client comes
		if p.mine || !p.lease || w.rec != nil || len(w.finalAnswers) > 0 {
			break
		}
		if p.rec = nil; !p.sending && !p.atServer && !p.answered {
			r := Record{Key: "k", Digest: "d", Effect: w.effect, Window: 5000, Owner: p.me, Epoch: 1, Deadline: w.now + 20_000, TakenMs: w.now}
			p.mine = w.cas(p, &r)
		}
	case 1: // the process dies, or its lease ends while it goes on
		if w.draw(3) == 0 {
			p.boot++
			*p = process{me: Owner{p.me.Name, fmt.Sprint(p.boot)}, boot: p.boot, lease: true}
		} else {
			p.lease = false
		}
	case 2:
		if !p.lease && w.draw(2) == 0 { // it registers again, under the same boot
			p.lease = true
			p.session++
		}
	case 3: // the intent
		if p.mine && !p.sending && !p.atServer && !p.answered && p.rec != nil && p.rec.Step == Waiting {
			if w.broken == "late-intent" {
				p.sending, p.sentSession = true, p.session
				break
			}
			next := p.rec.MarkSent("s", w.now)
			if p.sending = w.cas(p, &next); !p.sending {
				p.mine = false
			}
			p.sentSession = p.session
		}
	case 4: // the look before the write
		if p.sending && !p.checked {
			if p.checked = (p.lease && p.sentSession == p.session) || w.broken == "no-check"; !p.checked {
				p.sending, p.mine = false, false
			}
		}
	case 5: // the write. The time between look and write is shorter than the lease's margin, but for a pause
		if p.sending && p.checked {
			p.sending, p.checked = false, false
			if (!p.lease || p.sentSession != p.session) && w.broken != "no-check" {
				p.mine = false // the stated window between look and write, which the lease's margin covers
				break
			}
			if w.rec == nil || w.rec.Step == Ended || w.rec.Epoch > p.rec.Epoch {
				return errors.New("sent after it had been taken over or settled")
			}
			p.atServer = true
			if w.runs++; w.runs > 1 && w.effect == Unsafe {
				return errors.New("a filing ran twice")
			}
			if w.broken == "late-intent" {
				next := p.rec.MarkSent("s", w.now)
				if !w.cas(p, &next) {
					p.mine = false
				}
			}
		}
	case 6:
		if p.atServer {
			p.atServer, p.answered = false, true
		}
	case 7: // its end is written before its client has it
		if p.answered && p.mine {
			next := p.rec.End(Answered, Answer{Status: 200}, w.now)
			p.answered, p.mine = false, false
			if w.cas(p, &next) {
				return w.recordFinal("200")
			}
		}
	case 8: // a survivor looks
		if w.rec == nil || !p.lease || p.mine || p.sending || p.atServer || p.answered || !w.rec.Orphan(w.live()) {
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
			p.mine = w.cas(p, &next)
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

func (w *world) recordFinal(what string) error {
	w.finalAnswers[what] = true
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

// Each rule that is broken on purpose is found, and without a break all verdicts come about.
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
			t.Errorf("hardly anything happened: %d answered, %d settled", answered-settled, settled)
		}
		t.Logf("%q: found in run %d; %d ended, %d of them unknown", broken, found, answered, settled)
	}
}
