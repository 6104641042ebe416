package lab

import (
	"fmt"
	"hash/fnv"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"sumacloft/internal/emu"
)

// CopiesReport is what came of a run.
type CopiesReport struct {
	Seed       uint64         `json:"seed"`
	States     int            `json:"states"`
	Ordered    int            `json:"ordered"`
	Here       int            `json:"here"`
	Released   int            `json:"released"`
	Most       int            `json:"most_at_once"`
	Warmed     int            `json:"warmed"` // reads in background, by the servers' logs
	Requests   int            `json:"requests"`
	NotServed  int            `json:"not_served"`
	Twice      int            `json:"filings_run_twice"`
	Worth      float64        `json:"worth"`
	Read       map[string]int `json:"read"`        // openings that were not kept, by region
	FlashAsked int            `json:"flash_asked"` // requests of b for what is hot in a
	FlashRead  int            `json:"flash_read"`  // of them, for which it was read
	FirstRead  int            `json:"first_read"`  // openings for whose first request there it was
	BeliefMs   float64        `json:"belief_ms"`   // the longest that a copy was believed in after its server's end was told
	Took       time.Duration  `json:"took"`
	Store      BooksReport    `json:"store"`
	Wrong      []string       `json:"violations,omitempty"`
}

// served judges what clients saw.
func (f *CopiesFleet) served(rep *CopiesReport) error {
	ran, _, err := f.Ran()
	if err != nil {
		return err
	}
	rep.Read = map[string]int{}
	firsts := map[string]bool{}
	slices.SortFunc(f.asked, func(x, y CopyAsked) int { return int(x.At - y.At) })
	for _, a := range f.asked {
		if a.At > f.steps { // while all is mended nothing is compared
			break
		}
		rep.Requests++
		if a.Status != 200 {
			rep.NotServed++
			continue
		}
		if (Asked{Class: a.Class, Status: a.Status, Took: a.Took}).InTime() {
			rep.Worth += map[string]float64{"query": 3, "filing": 2}[a.Class]
		}
		if !a.Kept {
			rep.Read[a.Region]++
		}
		if a.Region == "b" && strings.HasPrefix(a.Opening, "hot-") {
			if rep.FlashAsked++; !a.Kept {
				rep.FlashRead++
			}
			if !firsts[a.Opening] && !a.Kept {
				rep.FirstRead++
			}
			firsts[a.Opening] = true
		}
	}
	for _, a := range f.asked {
		if n := ran[a.ID]; n > 3 || a.Class == "filing" && n > 1 {
			rep.Twice++
			f.fault("%s %s ran %d times", a.Class, a.ID, n)
		}
	}
	return nil
}

// warmed judges the reads in background, by the servers' own logs.
func (f *CopiesFleet) warmed(rep *CopiesReport) error {
	allowed := map[string]bool{}
	note := func(content string) {
		h := fnv.New64a()
		_, _ = h.Write([]byte(content)) // never fails
		allowed[fmt.Sprintf("%016x", h.Sum64())] = true
	}
	for _, content := range f.shared {
		note(content)
	}
	for i := range commons {
		note(openingText(common(i)))
	}
	for g := range f.generation.Load() + 1 {
		for i := range hots {
			note(openingText(hot(g, i)))
		}
	}
	for _, sv := range f.servers {
		text, err := os.ReadFile(sv.log)
		if err != nil {
			return err
		}
		for _, line := range strings.Split(string(text), "\n") {
			w := strings.Fields(line)
			if len(w) != 4 || w[0] != emu.Warmed {
				continue
			}
			rep.Warmed++
			if !allowed[w[1]] {
				f.fault("an opening that sessions don't share was read in background: %s", line)
			}
			if least, err := strconv.Atoi(w[3]); err != nil || least >= f.model.WarmBelow {
				f.fault("a server that never had fewer than %s requests for seconds was read to in background", w[3])
			}
		}
	}
	return nil
}
