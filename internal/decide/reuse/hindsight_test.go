package reuse

import (
	"testing"

	"sumacloft/internal/decide/turn"
)

// A copy that a request found was right. One that ends unused was wrong, and so is its release if the prefix is requested within a
// lease after it. One whose server restarts first is void. The auditor accepts every state and detects counts that are lost or
// made up.
func TestCopiesInHindsight(t *testing.T) {
	idle := func(f *fleet, seconds int) {
		for range seconds {
			f.advance(func() {})
		}
	}
	for _, c := range []struct {
		name             string
		after            func(f *fleet)
		copies, releases turn.VerdictCounts
	}{
		{"found", func(f *fleet) {
			for _, r := range []string{"b", "c"} {
				f.statuses[r] = append(f.statuses[r], CopyStatus{ID: f.copyAt(r, flashKey).ID, Hits: 1})
				f.meters[r].Use(flashKey, 3000, f.now)
			}
			idle(f, 90)
		}, turn.VerdictCounts{Right: 2}, turn.VerdictCounts{Right: 2}},
		{"not found, not requested later", func(f *fleet) { idle(f, 130) }, turn.VerdictCounts{Wrong: 2}, turn.VerdictCounts{Right: 2}},
		{"not found, requested later", func(f *fleet) {
			for f.copyAt("b", flashKey) != nil {
				idle(f, 1)
			}
			idle(f, 20)
			f.meters["b"].Use(flashKey, 3000, f.now)
			idle(f, 90)
		}, turn.VerdictCounts{Wrong: 2}, turn.VerdictCounts{Right: 1, Wrong: 1}},
		{"its server restarts", func(f *fleet) {
			for i := range f.servers {
				f.servers[i].Boot = "2"
			}
			idle(f, 1)
		}, turn.VerdictCounts{Void: 2}, turn.VerdictCounts{}},
	} {
		f := newFleet("")
		f.model.LeaseMs = 40_000
		f.flashCrowd(10)
		idle(f, 5)
		c.after(f)
		h := f.last.Hindsight
		if h.Copies != c.copies || h.Releases != c.releases {
			t.Errorf("%s: hindsight of copies %v, of releases %v; state has %+v %+v %+v",
				c.name, h.Copies, h.Releases, f.last.Copies, f.last.Cooldowns, f.last.Notes)
		}
		for _, fault := range f.auditor.Violations {
			t.Errorf("%s: %s", c.name, fault)
		}
		for _, broken := range []Hindsight{{}, {Copies: turn.VerdictCounts{Open: 9, Right: 9, Wrong: 9, Void: 9}, Releases: h.Releases}} {
			s := *f.last
			s.Seq, s.Hindsight = s.Seq+1, broken
			b := &Auditor{Model: f.model}
			b.Observe(f.last)
			if b.Observe(&s); len(b.Violations) == 0 {
				t.Errorf("%s: no violation reported for hindsight %+v after %+v", c.name, broken, h)
			}
		}
	}
}
