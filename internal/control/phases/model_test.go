package phases

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// The model's own times.
const (
	modelStep   = 20 * time.Millisecond
	reportEvery = time.Second
	heartbeat   = 1200 * time.Millisecond // a phase shows at the latest so much later
	orderBound  = 5 * time.Second         // after which an order is taken for failed
)

// deployment is a service in the model.
type deployment struct {
	workers    int
	zones      int
	slots      int
	readTime   time.Duration // of a prompt whose beginning is kept
	coldTime   time.Duration // of one whose beginning is not
	warmRate   float64       // by which the part of requests whose beginning is kept grows, for each request of a second
	writeTime  time.Duration
	changeTime time.Duration
	writers    int     // at the start
	rate       float64 // requests a second
	patience   time.Duration
	queue      int // that a worker takes besides its places
}

// trouble is what happens to a deployment between two times.
type trouble struct {
	from, to time.Duration
	rate     float64 // by which the rate is multiplied; 0: as it is
	write    float64 // by which the time of an answer is multiplied; 0: as it is
	read     float64 // by which the time of a read is multiplied; 0: as it is
	lost     float64 // share of the workers that are down, and do not answer
	missing  float64 // share of the reports that do not come
	late     time.Duration
}

// controller is what decides in the model.
type controller interface {
	Observe(now time.Duration, workers []Worker) []Order
}

// job is a request on its way.
type job struct {
	born time.Duration
	left time.Duration // of its stage
}

// machine is one worker of the model.
type machine struct {
	Worker
	running  []job
	waiting  []job
	ordered  string        // phase that it is to have; "": none
	since    time.Duration // of the order
	out      time.Duration // until then it serves nobody
	shows    string        // phase that its heartbeats tell
	showsAt  time.Duration // from when
	nextShow string
	down     bool
	past     []Worker // its reports, newest last
}

// model plays a deployment under a controller.
type model struct {
	deployment
	random   *rand.Rand
	now      time.Duration
	machines []*machine
	troubles []trouble
	kept     float64 // part of the beginnings that readers keep

	asked, served, refused int
	orders                 int
	fewestReaders          int
	fewestWriters          int
}

func newModel(d deployment, seed uint64, troubles ...trouble) *model {
	m := &model{deployment: d, random: rand.New(rand.NewPCG(seed, 1)), troubles: troubles, fewestReaders: d.workers, fewestWriters: d.workers}
	for i := range d.workers {
		phase := Reading
		if i < d.writers {
			phase = Writing
		}
		m.machines = append(m.machines, &machine{
			Worker: Worker{ID: fmt.Sprintf("w%03d", i), Zone: fmt.Sprintf("z%d", i%d.zones), Phase: phase, Capacity: d.slots},
			shows:  phase,
		})
	}
	return m
}

// inForce is the trouble of the moment.
func (m *model) inForce() trouble {
	sum := trouble{rate: 1, write: 1, read: 1}
	for _, one := range m.troubles {
		if m.now < one.from || m.now >= one.to {
			continue
		}
		if one.rate > 0 {
			sum.rate *= one.rate
		}
		if one.write > 0 {
			sum.write *= one.write
		}
		if one.read > 0 {
			sum.read *= one.read
		}
		sum.lost = max(sum.lost, one.lost)
		sum.missing = max(sum.missing, one.missing)
		sum.late = max(sum.late, one.late)
	}
	return sum
}

// play runs the model for a time before traffic and one with it.
func (m *model) play(decide controller, before, with time.Duration) {
	m.now = time.Second
	begin := m.now + before
	nextReport := m.now
	for m.now < begin+with {
		in := m.inForce()
		m.lose(in)
		if m.now >= begin {
			m.arrive(in)
		}
		for _, one := range m.machines {
			m.step(one, in)
		}
		if m.now >= nextReport {
			nextReport += reportEvery
			m.obey(decide.Observe(m.now, m.reports(in)))
		}
		m.count()
		m.now += modelStep
	}
}

// lose takes workers down, or has them back.
func (m *model) lose(in trouble) {
	for i, one := range m.machines {
		down := float64(i%6) < in.lost*6
		if down && !one.down {
			one.running, one.waiting = nil, nil
		}
		one.down = down
	}
}

// ready are the workers that take requests of a phase.
func (m *model) ready(phase string) (list []*machine) {
	for _, one := range m.machines {
		if one.Phase == phase && one.ordered == "" && m.now >= one.out && !one.down {
			list = append(list, one)
		}
	}
	return list
}

func (m *model) count() {
	m.fewestReaders = min(m.fewestReaders, len(m.ready(Reading)))
	m.fewestWriters = min(m.fewestWriters, len(m.ready(Writing)))
}

// arrive brings the step's requests to readers.
func (m *model) arrive(in trouble) {
	expected := m.rate * in.rate * modelStep.Seconds()
	for expected > 0 && (expected >= 1 || m.random.Float64() < expected) {
		expected--
		m.asked++
		took := m.readTime
		if m.random.Float64() > m.kept {
			took = m.coldTime
		}
		m.kept = min(m.kept+m.warmRate/m.rate, 0.97)
		took = time.Duration(float64(took) * in.read * (0.5 + m.random.Float64()))
		if !m.send(m.ready(Reading), 1, job{born: m.now, left: took}) {
			m.refused++
		}
	}
}

// send gives a job to the less loaded of two workers.
func (m *model) send(list []*machine, places int, one job) bool {
	if len(list) == 0 {
		return false
	}
	to := list[m.random.IntN(len(list))]
	if other := list[m.random.IntN(len(list))]; len(other.running)+len(other.waiting) < len(to.running)+len(to.waiting) {
		to = other
	}
	if len(to.running) >= places && len(to.waiting) >= m.queue {
		return false
	}
	to.waiting = append(to.waiting, one)
	return true
}

// step has a worker work.
func (m *model) step(one *machine, in trouble) {
	if one.down {
		return
	}
	places := one.Capacity
	if one.Phase == Reading {
		places = 1
	}
	left := one.running[:0]
	for _, work := range one.running {
		if work.left -= modelStep; work.left > 0 {
			left = append(left, work)
			continue
		}
		m.finished(one, work, in)
	}
	one.running = left
	for len(one.running) < places && len(one.waiting) > 0 && one.ordered == "" && m.now >= one.out {
		one.running = append(one.running, one.waiting[0])
		one.waiting = one.waiting[1:]
	}
	m.change(one)
}

// finished takes a job on to its next stage.
func (m *model) finished(one *machine, work job, in trouble) {
	if one.Phase == Writing {
		if m.now-work.born < m.patience {
			m.served++
		} else {
			m.refused++
		}
		return
	}
	took := time.Duration(float64(m.writeTime) * in.write * (0.5 + m.random.Float64()))
	if m.now-work.born > m.patience || !m.send(m.ready(Writing), m.slots, job{born: work.born, left: took}) {
		m.refused++
	}
}

// change carries an order out: what runs comes to its end, what waits is turned away, and after a while it is back.
func (m *model) change(one *machine) {
	if one.ordered != "" && one.out <= m.now {
		for _, work := range one.waiting {
			if one.Phase == Writing || !m.send(m.ready(Reading), 1, work) {
				m.refused++
			}
		}
		one.waiting = nil
		if len(one.running) == 0 {
			if one.Phase == Reading {
				m.kept *= 1 - 1/float64(max(len(m.ready(Reading)), 1)+1) // what it kept is gone
			}
			one.Phase, one.ordered = one.ordered, ""
			one.out = m.now + m.changeTime
			one.nextShow, one.showsAt = one.Phase, one.out+time.Duration(m.random.Int64N(int64(heartbeat)))
		}
	}
	if one.nextShow != "" && m.now >= one.showsAt {
		one.shows, one.nextShow = one.nextShow, ""
	}
}

// reports are the workers as the duty sees them.
func (m *model) reports(in trouble) []Worker {
	var list []Worker
	for _, one := range m.machines {
		report := one.Worker
		report.Phase = one.shows
		report.Working, report.Queued = len(one.running), len(one.waiting)
		report.Memory = 0
		one.past = append(one.past, report)
		old := max(len(one.past)-1-int(in.late/reportEvery), 0)
		report = one.past[old]
		report.Phase = one.shows
		report.Changing = (one.ordered != "" || one.nextShow != "") && m.now-one.since < orderBound
		if one.down || m.random.Float64() < in.missing {
			report.Working, report.Queued, report.Silent = 0, 0, true
		}
		list = append(list, report)
	}
	return list
}

// obey hands orders to the workers.
func (m *model) obey(orders []Order) {
	for _, order := range orders {
		at := slices.IndexFunc(m.machines, func(one *machine) bool { return one.ID == order.Worker })
		one := m.machines[at]
		m.orders++
		if one.Phase != order.Phase && !one.down {
			one.ordered, one.since = order.Phase, m.now
		}
	}
}

// share is what part of the requests was served in time.
func (m *model) share() float64 { return float64(m.served) / float64(max(m.asked, 1)) }
