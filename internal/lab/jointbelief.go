package lab

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"time"

	"sumacloft/internal/decide/reuse"
)

// beliefMost is how long a copy may stand once its server's later start is told: a report and a turn, and the next router's
// where that of the first is lost.
const beliefMost = 2 * time.Second

// belief follows copies at servers that were started again since: what such a server had read is gone.
type belief struct {
	starts map[string][]string // by server, in their order, as the lists tell them
	stood  map[int64]time.Duration
	worst  time.Duration
	wrong  []string
}

func newBelief() *belief {
	return &belief{starts: map[string][]string{}, stood: map[int64]time.Duration{}}
}

// started notes what a server's record tells now.
func (b *belief) started(server string, ms float64) {
	boot := strconv.FormatInt(int64(ms), 10)
	if list := b.starts[server]; !slices.Contains(list, boot) {
		b.starts[server] = append(list, boot)
	}
}

// see looks at the copies that stand, some time after the last look.
func (b *belief) see(copies []reuse.Copy, passed time.Duration) {
	there := map[int64]bool{}
	for _, c := range copies {
		list := b.starts[c.Server]
		if at := slices.Index(list, c.Boot); at < 0 || at == len(list)-1 {
			continue
		}
		there[c.ID] = true
		was, known := b.stood[c.ID]
		if !known { // the start was told after the last look
			b.stood[c.ID] = 0
			continue
		}
		now := was + passed
		b.stood[c.ID], b.worst = now, max(b.worst, now)
		if was <= beliefMost && now > beliefMost {
			b.wrong = append(b.wrong, fmt.Sprintf("copy %d of %016x at %s is believed in %v after its server started again", c.ID, uint64(c.Prefix), c.Server, now.Round(time.Millisecond)))
		}
	}
	maps.DeleteFunc(b.stood, func(id int64, _ time.Duration) bool { return !there[id] })
}

// believes looks at the copies until ctx ends. While the store does not answer nobody can end one: that time does not count.
func (f *jointFleet) believes(ctx context.Context) {
	last := time.Now()
	for ctx.Err() == nil {
		time.Sleep(100 * time.Millisecond)
		s := f.copies.Copies(ctx)
		now := time.Now()
		f.mu.Lock()
		if s != nil {
			f.belief.see(s.Copies, min(now.Sub(last), 300*time.Millisecond))
		}
		f.mu.Unlock()
		last = now
	}
}
