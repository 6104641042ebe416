// Package phases decides how many workers of a service read prompts and how many write answers, and which one changes its
// phase next. It weighs both phases: each one's work, measured as how much of its workers is in use, against the use that
// leaves room for bursts, and shares the workers out so that both have the same room.
package phases

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// The phases of a worker, as heartbeats and orders name them.
const (
	Reading = "reading"
	Writing = "writing"
)

// Worker is one worker with its latest report.
type Worker struct {
	ID       string
	Zone     string
	Phase    string
	Capacity int
	Working  int     // requests that it runs
	Queued   int     // requests that wait
	Memory   float64 // share of its memory that can't give way
	Silent   bool    // it did not answer when it was last asked: its load is not known
	Changing bool    // an order for it is under way
}

// Balance follows one service. Its zero value is ready.
type Balance struct {
	WithoutLinks bool // moves that wait for links do not count: for trials

	loads      loads
	target     int           // writers that are wanted
	uneven     time.Duration // since when the phases have been uneven
	moving     bool          // workers are being moved, until the phases are even
	changed    time.Duration // when orders were last given or under way
	changeTime time.Duration // that a change of phase takes, mean; 0: none was seen
	traffic    time.Duration // when the first request was seen; 0: none yet
	seen       View
}

// Order changes one worker's phase.
type Order struct {
	Worker string
	Phase  string
}

// View is what the balance saw and wanted when it was last told of the workers.
type View struct {
	Readers, Writers int     // that answered
	ReadersInUse     float64 // readers' worth of work, mean
	WritersInUse     float64 // writers' worth of work, mean
	ReadPressure     float64 // use against what is meant, 1: as meant
	WritePressure    float64
	Target           int
	Reason           Reason
	ReadsQueued      int // requests that wait at readers, mean
}

// Reason is why the balance wants what it wants.
type Reason string

// The reasons.
const (
	ReasonCold      Reason = "no traffic yet: shares by places"
	ReasonWarming   Reason = "traffic has just begun"
	ReasonEven      Reason = "both phases have like room"
	ReasonBrief     Reason = "uneven for a moment only"
	ReasonChanging  Reason = "changes are under way, or were just now"
	ReasonUnknown   Reason = "too few workers answer"
	ReasonReaders   Reason = "readers lack room"
	ReasonWriters   Reason = "writers lack room"
	ReasonEnoughNow Reason = "neither phase is short of room"
)

const (
	// warmTime is for how long after the first request no writer becomes a reader: nothing is kept yet, so all prompts are
	// read whole, which passes by itself.
	warmTime = 6 * time.Second
	// persistTime is how long the phases must have been uneven before workers change.
	persistTime = 2 * time.Second
	// restTime is how long after the last change the next may come: until the means show what the last one did.
	restTime = 3 * time.Second
	// evenBand is the ratio between the phases' pressures within which they count as even, for changes that take no time.
	evenBand = 1.25
	// payBack is the time over which a change has to earn what it costs: the band grows by a change's time over this.
	payBack = 12 * time.Second
	// changeSamples is over how many changes their time is averaged.
	changeSamples = 8
	// atOnceShare of a service's workers change at a time at most.
	atOnceShare = 0.25
	// atOnceMost of them change at a time however many there are: each order is news for every router.
	atOnceMost = 32
	// answeredShare of the workers must have answered for a decision.
	answeredShare = 0.5
	// placesForHalf is the number of places at which as many workers write as read before there is any traffic: an answer
	// takes some ten times as long as reading its prompt, and a reader reads one prompt at a time.
	placesForHalf = 12.0
	// leastWriters are kept where there are enough workers: the loss of one must not stop all answers.
	leastWriters = 2
	// linkShare of the workers are writers in any case: the links by which they fetch prompts' memory fill long before
	// their places and their memory do, and reports do not tell of them.
	linkShare = 0.2
	// mostWriters is the largest share of writers that the least number may make up.
	mostWriters = 1.0 / 3
)

// Took notes how long a worker's change of phase took, from the order to its heartbeat in the new phase.
func (b *Balance) Took(change time.Duration) {
	if b.changeTime == 0 {
		b.changeTime = change
	}
	b.changeTime += (change - b.changeTime) / changeSamples
}

// Observe takes the workers' reports and gives the orders to send now.
func (b *Balance) Observe(now time.Duration, workers []Worker) []Order {
	if len(workers) < 2 {
		return nil
	}
	first := b.loads.rounds == 0
	b.loads.withoutLinks = b.WithoutLinks
	b.loads.learn(now, workers)
	if b.traffic == 0 && b.loads.any() {
		b.traffic = now
		if first {
			b.takeOver(now)
		}
	}
	b.aim(now, workers)
	orders := b.orders(workers)
	if len(orders) > 0 || changing(workers) > 0 {
		b.changed = now
	}
	return orders
}

// takeOver begins in the middle of traffic, as after the loss of the former owner: one round of reports shows a moment, not a
// load, and the last change may just have been. The traffic is older than what this balance has seen.
func (b *Balance) takeOver(now time.Duration) {
	b.traffic = now - warmTime
	b.uneven, b.changed = now, now
}

// View is what the balance saw and wanted last.
func (b *Balance) View() View { return b.seen }

// aim settles how many writers are wanted.
func (b *Balance) aim(now time.Duration, workers []Worker) {
	least, most := leastOf(workers), len(workers)-1
	wanted, reason := b.decide(now, workers)
	b.target = min(max(wanted, least), most)
	b.seen = b.loads.view()
	b.seen.Target, b.seen.Reason = b.target, reason
}

// decide tells how many writers are wanted, and why.
func (b *Balance) decide(now time.Duration, workers []Worker) (int, Reason) {
	writers := count(workers, Writing)
	if b.traffic == 0 {
		return coldWriters(workers), ReasonCold
	}
	if b.loads.answered < answeredShare*float64(len(workers)) {
		return writers, ReasonUnknown
	}
	uneven, reason := b.loads.uneven(b.band(), b.moving)
	if !uneven {
		b.uneven, b.moving = now, false
		return writers, reason
	}
	if reason == ReasonReaders && now-b.traffic < warmTime {
		return writers, ReasonWarming
	}
	if changing(workers) > 0 || now-b.changed < restTime {
		return writers, ReasonChanging
	}
	if now-b.uneven < persistTime {
		return writers, ReasonBrief
	}
	b.moving = true
	return b.loads.share(writers, len(workers)), reason
}

// band is the ratio between the phases' pressures within which no worker changes: what a change costs must come back.
func (b *Balance) band() float64 {
	return evenBand + b.changeTime.Seconds()/payBack.Seconds()
}

// coldWriters is how many workers write before there is any traffic, by their places.
func coldWriters(workers []Worker) int {
	places := 0.0
	for _, worker := range workers {
		places += float64(max(worker.Capacity, 1))
	}
	places /= float64(len(workers))
	return int(math.Round(float64(len(workers)) * placesForHalf / (placesForHalf + places)))
}

// leastOf is the least number of writers: one in each zone, so that prompts' memory need not leave it, and a share of the
// workers for their links, but not more than a part of the workers.
func leastOf(workers []Worker) int {
	zones := map[string]struct{}{}
	for _, worker := range workers {
		zones[worker.Zone] = struct{}{}
	}
	links := int(math.Ceil(linkShare * float64(len(workers))))
	share := int(math.Ceil(mostWriters * float64(len(workers))))
	return max(min(max(len(zones), leastWriters, links), share), 1)
}

func count(workers []Worker, phase string) (of int) {
	for _, worker := range workers {
		if worker.Phase == phase {
			of++
		}
	}
	return of
}

func changing(workers []Worker) (under int) {
	for _, worker := range workers {
		if worker.Changing {
			under++
		}
	}
	return under
}

// atOnce is how many workers may change together.
func atOnce(workers []Worker) int {
	return max(min(int(atOnceShare*float64(len(workers))), atOnceMost), 1)
}

// orders are the next changes towards the target.
func (b *Balance) orders(workers []Worker) []Order {
	if changing(workers) > 0 { // what the changes under way will make of the count shows only in later heartbeats
		return nil
	}
	writers := count(workers, Writing)
	var orders []Order
	workers = slices.Clone(workers)
	for room := atOnce(workers); room > 0 && writers != b.target; room-- {
		from, to, step := Writing, Reading, -1
		if writers < b.target {
			from, to, step = Reading, Writing, 1
		}
		at := choose(workers, from)
		if at < 0 {
			break
		}
		workers[at].Phase = to
		writers += step
		orders = append(orders, Order{Worker: workers[at].ID, Phase: to})
	}
	return orders
}

// choose picks the worker to change: of the zone that has the most of its phase compared with the other, the least busy of
// those that answer.
func choose(workers []Worker, phase string) int {
	excess := map[string]int{}
	for _, worker := range workers {
		if worker.Phase == phase {
			excess[worker.Zone]++
		} else {
			excess[worker.Zone]--
		}
	}
	best := -1
	for at := range workers {
		if workers[at].Phase != phase || workers[at].Silent {
			continue
		}
		if best < 0 || before(workers[at], workers[best], excess) {
			best = at
		}
	}
	return best
}

func before(a, b Worker, excess map[string]int) bool {
	return cmp.Or(excess[b.Zone]-excess[a.Zone], a.Working+a.Queued-b.Working-b.Queued, cmp.Compare(a.ID, b.ID)) < 0
}
