package phases

import (
	"math/rand/v2"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// narrow is a deployment whose workers have few places and whose prompts take long while nothing is kept: writers are as
// scarce as readers.
func narrow() deployment {
	return deployment{
		workers: 44, zones: 4, slots: 12, writers: 31,
		readTime: 45 * time.Millisecond, coldTime: 75 * time.Millisecond, warmRate: 60,
		writeTime: 480 * time.Millisecond, changeTime: 2300 * time.Millisecond,
		rate: 280, patience: 3 * time.Second, queue: 36,
	}
}

// The times of a played day.
const (
	beforeTraffic = 10 * time.Second
	dayTime       = 34 * time.Second
)

// hard are the troubles that a balance must outlive, by name, for a day that begins with the traffic.
func hard() map[string][]trouble {
	at := time.Second + beforeTraffic
	return map[string][]trouble{
		"nothing":          nil,
		"a burst of twice": {{from: at + 12*time.Second, to: at + 20*time.Second, rate: 1.6}},
		"a ramp": {
			{from: at + 8*time.Second, to: at + 34*time.Second, rate: 1.2},
			{from: at + 14*time.Second, to: at + 34*time.Second, rate: 1.2},
		},
		"a sixth is lost":     {{from: at + 11*time.Second, to: at + 16*time.Second, lost: 1.0 / 6}},
		"answers grow longer": {{from: at + 12*time.Second, to: at + 34*time.Second, write: 1.7}},
		"prompts grow longer": {{from: at + 12*time.Second, to: at + 34*time.Second, read: 1.7}},
		"reports are late":    {{from: at, to: at + 34*time.Second, late: 2 * time.Second}},
		"reports are missing": {{from: at, to: at + 34*time.Second, missing: 0.4}},
	}
}

func TestBalanceOutlivesTroubles(t *testing.T) {
	for name, troubles := range hard() {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			// Given a cold deployment with as much work for its writers as for its readers.
			m := newModel(narrow(), 7, troubles...)
			// When a day is played.
			m.play(&Balance{}, beforeTraffic, dayTime)
			t.Logf("served %.3f of %d, %d orders, at least %d readers and %d writers", m.share(), m.asked, m.orders, m.fewestReaders, m.fewestWriters)
			// Then nearly all is served in time, and no phase was ever left with less than a seventh of the workers.
			c.Assert(m.share() > 0.9, qt.IsTrue, qt.Commentf("served %.3f", m.share()))
			c.Assert(min(m.fewestReaders, m.fewestWriters) >= m.workers/7, qt.IsTrue)
		})
	}
}

// The model bites: the balance that looked at the writers alone ran away on the same day.
func TestBalanceOfWritersAloneRunsAway(t *testing.T) {
	c := qt.New(t)
	m := newModel(narrow(), 7)
	m.play(&former{}, beforeTraffic, dayTime)
	t.Logf("served %.3f of %d, %d orders, at least %d readers and %d writers", m.share(), m.asked, m.orders, m.fewestReaders, m.fewestWriters)
	c.Assert(m.share() < 0.7, qt.IsTrue)
	c.Assert(m.fewestReaders < m.workers/7, qt.IsTrue)
}

// How many deployments are drawn, and how many where LAB_LONG is set.
const (
	fewDeployments  = 16
	manyDeployments = 60
)

// Over drawn deployments that some split of the workers can serve, the balance serves nearly what the best split does that
// never changes, and comes to rest.
func TestBalanceIsStableOverDrawnDeployments(t *testing.T) {
	c := qt.New(t)
	lost, worst := 0.0, 0.0
	drawnDeployments := fewDeployments
	if os.Getenv("LAB_LONG") != "" {
		drawnDeployments = manyDeployments
	}
	for seed := range uint64(drawnDeployments) {
		d, troubles := drawn(rand.New(rand.NewPCG(seed, 2)))
		best := bestStanding(d, troubles)
		m := newModel(d, seed, troubles...)
		m.play(&Balance{}, beforeTraffic, dayTime)
		missed := best - m.share()
		t.Logf("seed %d: served %.3f, standing %.3f, %d orders for %d workers of %d places, %d writers at first, %+v", seed, m.share(), best, m.orders, d.workers, d.slots, d.writers, troubles)
		lost += max(missed, 0) / float64(drawnDeployments)
		worst = max(worst, missed)
		c.Check(m.orders <= 3*d.workers, qt.IsTrue, qt.Commentf("seed %d: %d orders for %d workers", seed, m.orders, d.workers))
	}
	t.Logf("missed %.3f on the average, %.3f at worst", lost, worst)
	c.Assert(lost < 0.01, qt.IsTrue, qt.Commentf("%.3f", lost))
	c.Assert(worst < 0.05, qt.IsTrue, qt.Commentf("%.3f", worst))
}

// bestStanding is what the best split serves that never changes.
func bestStanding(d deployment, troubles []trouble) (best float64) {
	for part := 1; part <= 9; part += 2 {
		d.writers = max(d.workers*part/10, 1)
		still := newModel(d, 3, troubles...)
		still.play(standing{}, time.Second, dayTime)
		best = max(best, still.share())
	}
	return best
}

// standing is a controller that gives no orders.
type standing struct{}

func (standing) Observe(time.Duration, []Worker) []Order { return nil }

// drawn is a deployment that is used to some two thirds by its best split, and a trouble in the middle of its day, or none.
func drawn(random *rand.Rand) (deployment, []trouble) {
	between := func(least, most float64) float64 { return least + (most-least)*random.Float64() }
	seconds := func(least, most float64) time.Duration {
		return time.Duration(between(least, most) * float64(time.Second))
	}
	d := deployment{
		workers:    9 + random.IntN(82),
		zones:      1 + random.IntN(4),
		slots:      []int{8, 12, 16, 32, 64, 128}[random.IntN(6)],
		readTime:   seconds(0.025, 0.15),
		changeTime: seconds(0.5, 3),
		patience:   3 * time.Second,
	}
	d.coldTime = time.Duration(float64(d.readTime) * between(1, 2.5))
	d.writeTime = time.Duration(float64(d.readTime) * between(3, 30))
	d.queue = 3 * d.slots
	worked := d.readTime.Seconds()/0.75 + d.writeTime.Seconds()/float64(d.slots)/0.75 // of a worker, for a request
	d.rate = between(0.4, 0.75) * float64(d.workers) / worked
	d.warmRate = d.rate * between(0.1, 0.5)
	d.writers = max(int(float64(d.workers)*between(0.2, 0.8)), 1)
	at := time.Second + beforeTraffic + 10*time.Second
	one := trouble{from: at, to: at + seconds(3, 12)}
	switch random.IntN(6) {
	case 0:
		one.rate = 1.4
	case 1:
		one.lost = 1.0 / 6
	case 2:
		one.write = 1.5
	case 3:
		one.read = 1.5
	case 4:
		one.missing = 0.4
	}
	return d, []trouble{one}
}

// handedOver is a controller whose owner is lost again and again: the next one knows nothing of what was.
type handedOver struct {
	every time.Duration
	now   *Balance
	since time.Duration
}

func (h *handedOver) Observe(now time.Duration, workers []Worker) []Order {
	if h.now == nil || now-h.since >= h.every {
		h.now, h.since = &Balance{}, now
	}
	return h.now.Observe(now, workers)
}

// An owner that takes over in the middle of a burst sees one moment of it. It does not order on that.
func TestNewOwnerWatchesBeforeItOrders(t *testing.T) {
	c := qt.New(t)
	// Given a service whose writers are full for a moment, with requests that wait for them.
	workers := fleet(22, 22, 4)
	occupy(workers, 64, 32)
	balance := &Balance{}
	now := 20 * time.Second
	// When a new owner sees that, it gives no order, and none later if it has passed.
	c.Assert(balance.Observe(now, workers), qt.HasLen, 0)
	occupy(workers, 0, 0)
	for range 10 {
		now += reportEvery
		c.Assert(balance.Observe(now, workers), qt.HasLen, 0)
	}
}

// A load that stays is met by a new owner too, and one that is lost again and again does no harm.
func TestOwnersThatAreLostDoNoHarm(t *testing.T) {
	for name, troubles := range hard() {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			m := newModel(narrow(), 7, troubles...)
			m.play(&handedOver{every: 8 * time.Second}, beforeTraffic, dayTime)
			t.Logf("served %.3f of %d, %d orders, at least %d readers and %d writers", m.share(), m.asked, m.orders, m.fewestReaders, m.fewestWriters)
			c.Assert(m.share() > 0.9, qt.IsTrue, qt.Commentf("served %.3f", m.share()))
			c.Assert(min(m.fewestReaders, m.fewestWriters) >= m.workers/7, qt.IsTrue)
		})
	}
}

// The room that is meant for bursts is used by them: no worker moves, and none loses what it has kept, until a phase is short.
func TestBurstsUseTheRoomThatIsMeantForThem(t *testing.T) {
	c := qt.New(t)
	// Given a service whose writers are two thirds full for as long as a burst lasts, while its readers have room.
	workers := fleet(22, 22, 4)
	occupy(workers, 43, 0)
	balance := &Balance{}
	// When it is observed, no order is given.
	now := 20 * time.Second
	for range 20 {
		c.Assert(balance.Observe(now, workers), qt.HasLen, 0)
		now += reportEvery
	}
	// When the writers become full, orders are.
	occupy(workers, 64, 0)
	ordered := 0
	for range 10 {
		now += reportEvery
		ordered += len(balance.Observe(now, workers))
	}
	c.Assert(ordered > 0, qt.IsTrue)
}
