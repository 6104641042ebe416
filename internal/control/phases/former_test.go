package phases

import (
	"math"
	"time"
)

// former is the balance that this one took the place of: it looks at the writers alone and takes their queue for steady load.
type former struct {
	need, read float64
	at, enough time.Duration
	target     int
	traffic    bool
}

func (b *former) Observe(now time.Duration, workers []Worker) []Order {
	need, read := 0.0, 0.0
	for _, worker := range workers {
		if worker.Phase == Reading {
			read += float64(worker.Working + worker.Queued)
			continue
		}
		need += max(float64(worker.Working+worker.Queued)/float64(max(worker.Capacity, 1)), worker.Memory) / 0.4
	}
	b.traffic = b.traffic || read > 0 || need > 0
	weight := 1 - math.Exp(-(now-b.at).Seconds()/3)
	b.need += weight * (need - b.need)
	b.at = now
	least, most := leastOf(workers), len(workers)-1
	wanted := min(max(int(math.Ceil(b.need)), least), most)
	if b.target == 0 || !b.traffic || wanted > b.target {
		b.target, b.enough = wanted, now
	} else if fewer := min(max(int(math.Ceil(b.need+0.3)), least), most); fewer >= b.target {
		b.enough = now
	} else if now-b.enough > 10*time.Second {
		b.target--
		b.enough = now
	}
	as := Balance{target: b.target}
	return as.orders(workers)
}
