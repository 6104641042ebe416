package lab

import (
	"context"
	"os"
	"strings"
	"testing"
	"time"
)

// copied carries out a schedule over processes and gives what was seen.
func copied(t *testing.T, bin, broken string, seed uint64, copies bool, steps ...string) CopiesReport {
	t.Helper()
	ctx, done := context.WithTimeout(t.Context(), 3*time.Minute)
	defer done()
	s := CopySchedule{Seed: seed, Steps: steps}
	o := Options{Dir: logsIn(t), Bin: bin}
	if broken != "" {
		o.Env = []string{"SUMACLOFT_BROKEN=" + broken}
	}
	rep, err := CarryCopies(ctx, s, o, copies)
	if err != nil {
		t.Fatalf("%v\n%s\n%v", err, s, rep.Wrong)
	}
	inLogs(t, 6, o.Dir)
	t.Logf("%d states, %d ordered, %d here, %d released, %d at once; %d warmed; %d requests, %d not served, worth %.0f; read %v; flash: %d asked, %d read, %d at first; belief %.0f ms; %.1f s",
		rep.States, rep.Ordered, rep.Here, rep.Released, rep.Most, rep.Warmed, rep.Requests, rep.NotServed, rep.Worth, rep.Read, rep.FlashAsked, rep.FlashRead, rep.FirstRead, rep.BeliefMs, rep.Took.Seconds())
	return rep
}

// What is hot in one region is copied before another asks for it, so that most of it need not be read there when it is asked
// first; a scan and the opening of one session are not copied. A long run has the same without copies, where all must be read.
func TestCopiesFlash(t *testing.T) {
	bin := build(t, "")
	steps := []string{"scan on", "await 6 copies", "flash on", "await 80 asked", "flash off"}
	with := copied(t, bin, "", 1, true, steps...)
	for _, w := range with.Wrong {
		t.Error(w)
	}
	if with.Here < 6 || with.Warmed < 6 {
		t.Errorf("%d copies, %d warmed", with.Here, with.Warmed)
	}
	if with.FirstRead > hots-5 { // six were there before b asked
		t.Errorf("%d of %d openings were read as b first asked", with.FirstRead, hots)
	}
	if os.Getenv("LAB_LONG") == "" {
		return
	}
	none := copied(t, bin, "", 1, false, steps...)
	if none.Warmed > 0 || none.FirstRead < hots-1 || none.FlashRead <= with.FlashRead || len(none.Wrong) > 0 {
		t.Errorf("without the table: %+v", none)
	}
}

// Each case over six routers, five members of the store and nine servers in three regions.
func TestCopiesHardCases(t *testing.T) {
	bin := build(t, "")
	for _, c := range []struct {
		name  string
		long  bool
		steps string
	}{
		{"a server starts again under a lease, then one drains", true, "await 2 copies;restart holder;new hot;drain holder;serve all"},
		{"a server is emptied before it is let out", true, "emptied;await 2 copies;drain holder;serve all"},
		{"the target is lost in mid-copy", true, "await 1 copies;new hot;crash target;wait 1000;revive all"},
		{"the source is lost in mid-copy", true, "await 1 copies;new hot;kill source;wait 2000;start all"},
		{"a link is cut one way", true, "oneway b;wait 3000;heal;new hot;await 2 copies"},
		{"reports are missing from half a region", true, "await 1 copies;mute a;new hot;await 2 copies;heal"},
		{"the decider is stopped and goes on, then is killed", true, "await 1 copies;stop decider;new hot;await other;continue all;new hot;await 2 copies;kill decider;await other;start all"},
		{"a region is lost and returns", true, "sited;await 2 copies;lose b;return b"},
		{"a region has more than its servers can take: they are not read to", true, "jam on;wait 5000;new hot;wait 6000"},
		{"the store is split, its leader killed", true, "await 1 copies;split;wait 900;heal;new hot;await 2 copies;kill leader;start all"},
	} {
		t.Run(c.name, func(t *testing.T) {
			brief(t, c.long)
			rep := copied(t, bin, "", 1, true, strings.Split(c.steps, ";")...)
			for _, w := range rep.Wrong {
				t.Error(w)
			}
		})
	}
}

// Programs that break a rule are found by the checkers, over processes.
func TestCopiesCheckersBite(t *testing.T) {
	bin := build(t, "broken")
	for _, c := range []struct {
		broken, finds, steps string // finds: by which it is to be found
		long                 bool
	}{
		{"believes-after-restart", "copies are believed in", "abrupt;await 2 copies;restart holder", false},
		{"no-fence", "follows state", "abrupt;await 1 copies;new hot;await 4 copies;new hot;await 4 copies", true},
		{"warms-busy", "was read to in background", "abrupt;jam on;wait 5000;new hot;wait 6000", true},
	} {
		t.Run(c.broken, func(t *testing.T) {
			brief(t, c.long)
			rep := copied(t, bin, c.broken, 2, true, strings.Split(c.steps, ";")...)
			if !strings.Contains(strings.Join(rep.Wrong, "\n"), c.finds) {
				t.Errorf("%s was not found", c.broken)
			}
			t.Log(rep.Wrong[:min(len(rep.Wrong), 5)])
		})
	}
}
