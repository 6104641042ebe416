package lab

import (
	"fmt"
	"math/rand/v2"
	"strings"
)

// TuningSchedule is what happens to a fleet that makes samples: a step a line, each begun once the one before it has come
// about. It is drawn from its seed, and prints as it is read.
type TuningSchedule struct {
	Seed  uint64
	Steps []string
}

func (s TuningSchedule) String() string {
	return fmt.Sprintf("seed %d\n%s\n", s.Seed, strings.Join(s.Steps, "\n"))
}

// DrawTuning draws a schedule.
func DrawTuning(seed uint64) TuningSchedule {
	rng := rand.New(rand.NewPCG(seed, 0x7e))
	s := TuningSchedule{Seed: seed, Steps: []string{"await closed 1"}}
	add := func(steps ...string) { s.Steps = append(s.Steps, steps...) }
	one := func(list ...string) string { return list[rng.IntN(len(list))] }
	for range 2 + rng.IntN(3) {
		switch rng.IntN(14) {
		case 0:
			add("kill decider", "await other", "start all")
		case 1:
			add("stop decider", "await other", "continue all")
		case 2:
			add("kill leader", "start all")
		case 3:
			add("await inhand", "kill "+one("d1", "d2", "d3", "d4", "d5", "d6"), "await closed 1", "start all")
		case 4:
			add("half", "await closed 1", "heal")
		case 5:
			add("isolate "+one("d1", "d3", "d5", "d6"), "wait 1500", "heal")
		case 6:
			add("twice", "backwards", "await back")
		case 7:
			add("jump 6", "await reload", "await part")
		case 8:
			add("tuner off", "await stalled", "tuner on", "await part")
		case 9:
			add("deployer off", "await closed 1", "deployer on")
		case 10:
			add("crash "+one("s1", "s4", "s7"), "wait 1500", "revive all")
		case 11:
			add("liar " + one("s2", "s5", "s8"))
		case 13:
			add("revoke decider")
		case 12:
			add("deaf "+one("d2", "d4"), "wait 800", "heal")
		}
		add("await closed 1")
	}
	return s
}
