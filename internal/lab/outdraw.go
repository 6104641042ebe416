package lab

import (
	"fmt"
	"math/rand/v2"
	"strings"
)

// OutageSchedule is what happens to a fleet under releases and drains: a step a line, each begun once the one before it
// has come about. It is drawn from its seed, and prints as it is read.
type OutageSchedule struct {
	Seed  uint64
	Steps []string
}

func (s OutageSchedule) String() string {
	return fmt.Sprintf("seed %d\n%s\n", s.Seed, strings.Join(s.Steps, "\n"))
}

// DrawOutages draws a schedule: a release of servers or of routers, good or bad, and what goes wrong meanwhile.
func DrawOutages(seed uint64) OutageSchedule {
	rng := rand.New(rand.NewPCG(seed, 23))
	s := OutageSchedule{Seed: seed}
	add := func(step string, args ...any) { s.Steps = append(s.Steps, fmt.Sprintf(step, args...)) }
	one := func(list ...string) string { return list[rng.IntN(len(list))] }
	bad := rng.IntN(4) == 0
	sites := rng.IntN(4) == 0 // a site may be lost
	if sites {
		add("with sites")
	}
	switch {
	case bad:
		add("release server bad")
	case rng.IntN(4) == 0:
		add("release router v2")
	default:
		add("release server v2")
	}
	for range 1 + rng.IntN(4) {
		add("await permit")
		switch rng.IntN(21) {
		case 0:
			add("kill decider")
			add("start all")
		case 1:
			add("stop decider")
			add("await other")
			add("continue all")
		case 2:
			add("crash s%d", 1+rng.IntN(9))
			add("await lost")
			add("revive all")
		case 3:
			add("drain s%d", 1+rng.IntN(9))
		case 4:
			add("kill leader")
			add("start all")
		case 5:
			add("isolate %s", one("d1", "d3", "d5", "d6"))
			add("wait 600")
			add("heal")
		case 6:
			add("deployer off")
			add("wait 500")
			add("deployer on")
		case 7:
			add("halt")
			add("%s", one("resume", "resume", "back"))
		case 8:
			add("%s %s", one("deaf", "mute"), one("d2", "d4", "d6"))
			add("wait %d", 400+rng.IntN(3000)) // past a lease, or not
			add("heal")
		case 9:
			add("six drains")
			add("serve all")
		case 10:
			add("budget 1")
		case 11:
			add("%s", one("split", "half", "shatter"))
			add("wait %d", 300+rng.IntN(3000))
			add("heal")
		case 12:
			x := one("d1", "d4", "d6")
			add("stop %s", x)
			add("await gone %s", x)
			add("continue all")
		case 13:
			add("clash")
		case 14:
			add("deployer %s", one("old", "twice", "twice"))
		case 15:
			add("drains s%d s%d", 1+rng.IntN(4), 5+rng.IntN(5))
			add("serve all")
		case 16:
			add("late")
			add("clash")
			add("heal")
		case 17:
			add("sick 0.05")
			add("await permit")
			add("sick off")
		case 18: // the deployer is away and what it was to replace dies
			add("deployer off")
			add("crash s%d", 1+rng.IntN(9))
			add("await lost")
			add("deployer on")
			add("revive all")
		case 19:
			if sites {
				x := one("a", "b", "c")
				add("lose %s", x)
				add("await out %s", x)
				add("return %s", x)
				add("await in %s", x)
				add("resume")
			}
		case 20:
			if rng.IntN(3) == 0 { // it takes as long as a return may
				add("deployer never")
				add("await halted")
				add("remove dead")
				add("resume")
			}
		}
	}
	if bad {
		add("await halted")
		add("back")
		if rng.IntN(2) == 0 {
			add("kill decider")
			add("back")
			add("start all")
		}
	} else if rng.IntN(4) == 0 {
		add("back")
		add("back")
	}
	return s
}
