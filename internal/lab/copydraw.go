package lab

import (
	"fmt"
	"math/rand/v2"
	"strings"
)

// CopySchedule is what happens to a fleet that copies openings: a step a line, each begun once the one before it has come about.
// It is drawn from its seed, and prints as it is read.
type CopySchedule struct {
	Seed  uint64
	Steps []string
}

func (s CopySchedule) String() string {
	return fmt.Sprintf("seed %d\n%s\n", s.Seed, strings.Join(s.Steps, "\n"))
}

// DrawCopies draws a schedule: openings become hot in one region, another asks for them, and what goes wrong meanwhile.
func DrawCopies(seed uint64) CopySchedule {
	rng := rand.New(rand.NewPCG(seed, 29))
	s := CopySchedule{Seed: seed}
	add := func(steps ...string) { s.Steps = append(s.Steps, steps...) }
	one := func(list ...string) string { return list[rng.IntN(len(list))] }
	sited := rng.IntN(4) == 0
	if sited {
		add("sited")
	}
	if rng.IntN(2) == 0 {
		add("scan on")
	}
	add("await 1 copies")
	if rng.IntN(2) == 0 {
		add("flash on")
	}
	for range 1 + rng.IntN(3) {
		add("new hot")
		switch rng.IntN(11) {
		case 0:
			add("restart holder")
		case 1:
			add("crash target", "wait 500", "revive all")
		case 2:
			add("kill source", "wait 1500", "start all")
		case 3:
			add("drain holder", "wait 500", "serve all")
		case 4:
			add("oneway b", "wait 1500", "heal")
		case 5:
			add("mute a", fmt.Sprintf("wait %d", 500+rng.IntN(1500)), "heal")
		case 6:
			add("stop decider", "await other", "continue all")
		case 7:
			add("kill decider", "await other", "start all")
		case 8:
			add("kill leader", "start all")
		case 9:
			add("isolate "+one("d1", "d3", "d5", "d6"), "wait 1000", "heal")
		case 10:
			if sited {
				add("lose b", "return b")
			} else {
				add("split", "wait 900", "heal")
			}
		}
		if rng.IntN(3) == 0 {
			add("flash " + one("on", "off"))
		}
	}
	return s
}
