package lab

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"time"
)

// Schedule is what is done to a fleet, step by step. It is drawn from a seed, printed, and replayed from its print.
type Schedule struct {
	Seed    uint64
	Daemons int
	OnLapse string
	Steps   []Step
}

// Step is one step: After the last one, Do it. The words of Do are
//
//	propose            an operator proposes a change (a process of sumactl, which waits for its outcome)
//	await PHASE        the last proposal comes to a phase, or is "over"; at most a while
//	kill X             SIGKILL to a daemon, to the "leader" of the store, or to the "proposer", the last sumactl
//	stop X, cont X     SIGSTOP and SIGCONT
//	term X             SIGTERM
//	start X            a daemon that does not run is started again
//	ready              every daemon that runs is ready, which one that was just started may not be for a while
//	fresh X            the same, without what its router kept in its directory
//	split X Y          nothing passes between two daemons' stores
//	isolate X          nothing passes between a daemon and the others
//	deaf X, mute X     nothing comes to a daemon from the others; nothing it sends comes to them
//	reset X, late X, slow X   its links are reset, each piece is late by 40 ms, 64 KB a second
//	desk X             operators don't reach a daemon's store, though connections stay open
//	minority X Y       two daemons on one side, all others on the other
//	numb X             a daemon's requests reach no server, though connections stay open
//	drain X, serve X   all servers of a daemon's list drain, or serve again
//	full X             the files of a daemon can't grow any more
//	heal               all links pass again
//	compact            the store's history is compacted
type Step struct {
	After time.Duration
	Do    []string
}

func (s Step) String() string { return fmt.Sprintf("+%v %s", s.After, strings.Join(s.Do, " ")) }

func (s Schedule) String() string {
	var b strings.Builder
	_, _ = fmt.Fprintf(&b, "seed %d daemons %d on_lapse %s\n", s.Seed, s.Daemons, s.OnLapse)
	for _, step := range s.Steps {
		_, _ = fmt.Fprintln(&b, step)
	}
	return b.String()
}

// Parse reads a schedule from its print.
func Parse(r io.Reader) (Schedule, error) {
	var s Schedule
	lines := bufio.NewScanner(r)
	for n := 1; lines.Scan(); n++ {
		line := strings.TrimSpace(lines.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		if strings.HasPrefix(line, "seed ") {
			if _, err := fmt.Sscanf(line, "seed %d daemons %d on_lapse %s", &s.Seed, &s.Daemons, &s.OnLapse); err != nil {
				return s, fmt.Errorf("line %d: %w", n, err)
			}
			continue
		}
		words := strings.Fields(line)
		after, err := time.ParseDuration(strings.TrimPrefix(words[0], "+"))
		if err != nil || len(words) < 2 {
			return s, fmt.Errorf("line %d: %q is not '+DURATION WORDS'", n, line)
		}
		s.Steps = append(s.Steps, Step{after, words[1:]})
	}
	if s.Daemons == 0 {
		return s, fmt.Errorf("no line 'seed N daemons N on_lapse WORD'")
	}
	return s, lines.Err()
}

// Draw draws a schedule for changes of policy under faults.
func Draw(seed uint64, daemons int) Schedule {
	r := rand.New(rand.NewPCG(seed, 0x5ca1ab1e))
	s := Schedule{Seed: seed, Daemons: daemons, OnLapse: "refuse"}
	if r.IntN(4) == 0 {
		s.OnLapse = "keep"
	}
	add := func(after int, words ...string) {
		s.Steps = append(s.Steps, Step{time.Duration(after) * time.Millisecond, words})
	}
	one := func() string { return fmt.Sprintf("d%d", 1+r.IntN(daemons)) }
	two := func() (string, string) {
		p := r.Perm(daemons)
		return fmt.Sprintf("d%d", 1+p[0]), fmt.Sprintf("d%d", 1+p[1])
	}
	down, stopped := map[string]bool{}, map[string]bool{}
	fault := func() {
		x, y := two()
		switch k := r.IntN(17); k {
		case 0, 1, 2: // a third of all: processes
			if len(down) < (daemons-1)/2 {
				add(r.IntN(60), "kill", x)
				down[x] = true
			}
		case 3, 4, 5:
			if len(stopped)+len(down) < daemons/2+1 {
				add(r.IntN(60), "stop", x)
				stopped[x] = true
			}
		case 6:
			add(r.IntN(60), "kill", "leader")
		case 7:
			add(r.IntN(60), "stop", "leader")
		case 8:
			add(r.IntN(60), "kill", "proposer")
		case 9:
			add(r.IntN(60), "isolate", x)
		case 10:
			add(r.IntN(60), "deaf", x)
		case 11:
			add(r.IntN(60), "mute", x)
		case 12:
			add(r.IntN(60), "split", x, y)
		case 13:
			add(r.IntN(60), "minority", x, y)
		case 14:
			add(r.IntN(60), [...]string{"reset", "late", "slow"}[r.IntN(3)], x)
		case 15:
			add(r.IntN(60), "term", x)
			down[x] = true
		case 16:
			add(r.IntN(60), "compact")
		}
	}
	mend := func() {
		add(r.IntN(400), "heal")
		for i := range daemons { // in the order of names: the print must not depend on a map's
			name := fmt.Sprintf("d%d", i+1)
			add(r.IntN(50), "cont", name)
			if r.IntN(5) == 0 {
				add(r.IntN(50), "fresh", name)
			} else {
				add(r.IntN(50), "start", name)
			}
		}
		clear(down)
		clear(stopped)
	}
	for range 2 + r.IntN(3) {
		for range r.IntN(2) { // faults before a change
			fault()
		}
		add(r.IntN(100), "propose")
		if r.IntN(6) == 0 {
			add(r.IntN(5), "propose") // two operators at once
		}
		if phase := r.IntN(4); phase > 0 {
			add(0, "await", [...]string{"", "checking", "preparing", "committed"}[phase])
		}
		for range 1 + r.IntN(2) {
			fault()
		}
		switch r.IntN(3) {
		case 0: // longer than a lease
			add(1300+r.IntN(700), "cont", one())
		case 1:
			add(r.IntN(700), "desk", one())
		}
		if r.IntN(2) == 0 {
			mend()
		}
	}
	mend()
	return s
}
