package lab

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
)

// fleet is a kind of fleet that bad hours come to.
type fleet byte

// The kinds.
const (
	ofOutages fleet = iota
	ofCopies
	ofTuning
)

// hour is a bad hour: faults that come together and heal together. What it waits for are conditions; a time is how long a
// fault lasts, longer than a lease.
type hour struct {
	name  string
	draw  func(p *picker, f fleet) []string
	needs string // a step that sets up the fleet for it
}

// hours are the bad hours that there are.
var hours = []hour{
	{"region lost while the leader moves and the tuner publishes", func(p *picker, f fleet) []string {
		switch f {
		case ofCopies:
			return []string{"new hot", "shift leader", "lose b", "return b", "await able"}
		case ofTuning:
			return []string{"await inhand", "lose leader", "jump 2", "await closed 1", "return lost", "await able"}
		}
		return []string{"await permit", "lose leader", "await out lost", "return lost", "await in lost", "await able", "resume"}
	}, "sites"},
	{"links cut one way", func(p *picker, f fleet) []string {
		p.rng.Shuffle(len(p.sites), func(i, j int) { p.sites[i], p.sites[j] = p.sites[j], p.sites[i] })
		out := append(busy(p, f), "hush "+p.sites[0]+" "+p.sites[1])
		if p.rng.IntN(2) == 0 { // and another pair
			out = append(out, "hush "+p.sites[2]+" "+p.sites[0])
		}
		return append(out, fmt.Sprintf("wait %d", 3000+p.rng.IntN(5000)), "heal", "await able")
	}, ""},
	{"a third restarted at once", func(p *picker, f fleet) []string {
		return append(busy(p, f), "bounce "+strings.Join(p.routers(2), " "), "await able")
	}, ""},
	{"clocks that jump", func(p *picker, f fleet) []string {
		d := p.routers(3)
		return append(busy(p, f), fmt.Sprintf("clock %s %d", d[0], 60_000+p.rng.IntN(3_600_000)), fmt.Sprintf("clock %s -%d", d[1], 60_000+p.rng.IntN(3_600_000)),
			"bounce "+d[2], "await able", "clock all 0")
	}, ""},
	{"most of the store lost and back", func(p *picker, f fleet) []string {
		return append(busy(p, f), "freeze", "await dark", "continue all", "await able")
	}, ""},
	{"everything slow by ten times", func(p *picker, f fleet) []string {
		out := append([]string{fmt.Sprintf("crawl %d", 10+p.rng.IntN(20))}, busy(p, f)...)
		if p.rng.IntN(2) == 0 {
			out = append(out, "bounce "+strings.Join(p.routers(2), " "))
		}
		return append(out, "heal", "await able")
	}, ""},
}

// busy has a fleet be in the midst of what it is for.
func busy(p *picker, f fleet) []string {
	switch f {
	case ofCopies:
		return []string{"new hot"}
	case ofTuning:
		return [][]string{{"await inhand"}, {"jump 2"}, {"twice"}}[p.rng.IntN(3)]
	}
	return []string{"await permit"}
}

// picker draws.
type picker struct {
	rng   *rand.Rand
	sites []string
}

// routers are some, no two alike.
func (p *picker) routers(n int) (out []string) {
	for _, i := range p.rng.Perm(6)[:n] {
		out = append(out, fmt.Sprint("d", i+1))
	}
	return out
}

// drawHours draws two or three bad hours, none twice; without sites none that needs their plan.
func drawHours(rng *rand.Rand, f fleet, sited bool) (out []string) {
	p := &picker{rng: rng, sites: slices.Clone(siteNames)}
	left := 2 + rng.IntN(2)
	for _, i := range rng.Perm(len(hours)) {
		h := hours[i]
		if left == 0 || h.needs == "sites" && !sited && f != ofTuning {
			continue
		}
		left--
		out = append(append(out, "group "+h.name), h.draw(p, f)...)
		if f == ofTuning {
			out = append(out, "await closed 1")
		}
	}
	return out
}

// badSeed is what draws of bad hours begin with, beside their seed.
const badSeed = 0xbad

// DrawBadOutages draws a release, of servers or routers, good or bad, and bad hours meanwhile.
func DrawBadOutages(seed uint64) OutageSchedule {
	rng := rand.New(rand.NewPCG(seed, badSeed))
	s := OutageSchedule{Seed: seed}
	sited := rng.IntN(2) == 0
	if sited {
		s.Steps = append(s.Steps, "with sites")
	}
	release := []string{"release server bad", "release server v2", "release router v2"}[rng.IntN(3)]
	s.Steps = append(append(s.Steps, release), drawHours(rng, ofOutages, sited)...)
	if release == "release server bad" {
		s.Steps = append(s.Steps, "await halted", "back")
	}
	return s
}

// DrawBadCopies draws bad hours of a fleet that copies openings.
func DrawBadCopies(seed uint64) CopySchedule {
	rng := rand.New(rand.NewPCG(seed, badSeed+1))
	s := CopySchedule{Seed: seed}
	sited := rng.IntN(2) == 0
	if sited {
		s.Steps = append(s.Steps, "sited")
	}
	s.Steps = append(append(s.Steps, "scan on", "await 1 copies", "flash on"), drawHours(rng, ofCopies, sited)...)
	return s
}

// DrawBadTuning draws bad hours of a fleet that makes samples.
func DrawBadTuning(seed uint64) TuningSchedule {
	rng := rand.New(rand.NewPCG(seed, badSeed+2))
	return TuningSchedule{Seed: seed, Steps: append([]string{"await closed 1"}, drawHours(rng, ofTuning, true)...)}
}

// ReadSteps reads a schedule of outages, copies or tuning from its print; lines that begin with # are passed over.
func ReadSteps(r io.Reader) (seed uint64, steps []string, err error) {
	lines, seeded := bufio.NewScanner(r), false
	for n := 1; lines.Scan(); n++ {
		line := strings.TrimSpace(lines.Text())
		switch {
		case line == "" || strings.HasPrefix(line, "#"):
		case !seeded:
			if _, err := fmt.Sscanf(line, "seed %d", &seed); err != nil {
				return 0, nil, fmt.Errorf("line %d: %q is not 'seed N': %w", n, line, err)
			}
			seeded = true
		default:
			steps = append(steps, line)
		}
	}
	if err := lines.Err(); err != nil {
		return 0, nil, err
	}
	if !seeded || len(steps) == 0 {
		return 0, nil, fmt.Errorf("no line 'seed N' with steps after it")
	}
	return seed, steps, nil
}
