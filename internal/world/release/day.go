// Package release has a fleet of servers be released at some hour of a day, in virtual time: what clerks ask follows the
// hour, deciders of outages give permits under one budget, a deployer follows them. It measures what a budget costs.
package release

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"sumacloft/internal/decide/outage"
)

// Setting is one day and one budget. What is asked and what is lost depends on Seed alone, so that budgets can be compared.
type Setting struct {
	Seed  uint64
	Model outage.Model // HeadroomLimit.InHand is the world's Slots
	// Peak is the part of what all servers can take that is asked at noon, Night that at midnight.
	Peak, Night float64
	Hour        float64       // of the day at which the release begins
	Window      time.Duration // that is looked at, from the release's beginning on
}

// The world's figures: servers, how many requests one has at once, for how long each, how long clerks wait for a place.
const (
	Servers  = 60
	Slots    = 8
	takes    = 6.0
	patience = 8.0
	worth    = 2.6 // of a request: 3 of a query, 2 of a filing, three to two
	step     = 5 * time.Second
	before   = 30 * time.Minute // that the fleet has stood when the release begins
)

// Result is what came of a day, over the window.
type Result struct {
	Hour, Peak    float64
	Done          time.Duration // since the release began; 0: it was not done
	Asked, Missed float64       // in worth
	Late          float64       // of Missed, while the release ran
	Most          int           // servers out at once, by permits and losses
	Faults        []string      // of the auditor
}

type server struct {
	boot, label string
	down        time.Duration // until when it is down
	cold        time.Duration // until when it is slow
}

type day struct {
	Setting
	now     time.Duration
	traffic *rand.Rand
	mood    float64 // of what is asked, about its mean
	surge   time.Duration
	waiting float64
	running float64
	servers []server
	losses  []time.Duration // when which server is lost, by its index
	decider outage.Decider
	state   *outage.State
	rev     int64
	audit   outage.Auditor
	Result
}

// Run has one day go by.
func Run(s Setting) Result {
	d := &day{Setting: s, traffic: rand.New(rand.NewPCG(s.Seed, 1)), servers: make([]server, Servers), losses: make([]time.Duration, Servers), decider: outage.Decider{Router: "a"}}
	d.Result = Result{Hour: s.Hour, Peak: s.Peak}
	lost := rand.New(rand.NewPCG(s.Seed, 2))
	for i := range d.servers {
		d.servers[i] = server{boot: "1", label: "v1"}
		d.losses[i] = time.Duration(lost.ExpFloat64() * 5 * 24 * float64(time.Hour)) // each in five days
	}
	d.audit.Model = func(int64) (outage.Model, bool) { return s.Model, true }
	d.now = step
	for end := before + s.Window; d.now < end; d.now += step {
		begun := d.state != nil && d.state.Release != nil
		if !begun && d.now >= before {
			next, err := d.view().Start(outage.Spec{Name: "r", Kind: outage.Server, To: "v2", Waves: []float64{1, Servers}}, "op")
			if err != nil {
				d.audit.Faults = append(d.audit.Faults, err.Error())
				break
			}
			d.write(next)
			begun = true
		}
		d.ask(begun)
		d.deploy()
		if d.Done > 0 {
			continue
		}
		if next := d.decider.Next(d.view(), d.now); next != nil {
			d.write(next)
		}
		if begun && d.state.Release.Phase.Finished() {
			d.Done = d.now - before
		}
	}
	d.Faults = d.audit.Faults
	return d.Result
}

// demand is the part of all that servers can take which is asked now.
func (d *day) demand() float64 {
	hour := math.Mod(d.Setting.Hour+(d.now-before).Hours()+24, 24)
	rise := func(from, to float64) float64 { return min(max((hour-from)/(to-from), 0), 1) }
	part := rise(6, 10) - rise(17, 22)
	seconds := step.Seconds()
	d.mood += -d.mood*seconds/600 + 0.05*math.Sqrt(2*seconds/600)*d.traffic.NormFloat64()
	if d.traffic.Float64() < seconds/(6*3600) { // four a day, for a quarter of an hour
		d.surge = d.now + 15*time.Minute
	}
	all := (d.Night + (d.Setting.Peak-d.Night)*part) * (1 + d.mood)
	if d.now < d.surge {
		all *= 1.15
	}
	return all
}

// ask has clerks ask for a step: a fluid of requests over servers that have Slots each, those that wait too long are missed.
func (d *day) ask(begun bool) {
	seconds := step.Seconds()
	can := 0.0
	for i, s := range d.servers {
		_, out := d.permit(i)
		switch {
		case out || d.now < s.down:
		case d.now < s.cold:
			can += 0.5
		default:
			can++
		}
	}
	mean := d.demand() * Servers * Slots / takes * seconds
	asked := max(mean+math.Sqrt(mean)*d.traffic.NormFloat64(), 0)
	missed := 0.0
	for i, at := range d.losses { // with what it has
		if at > 0 && d.now >= at && d.now >= d.servers[i].down {
			d.losses[i] = 0
			if _, out := d.permit(i); !out {
				missed += d.running / max(can, 1)
				d.running -= d.running / max(can, 1)
				d.servers[i].down, d.servers[i].boot = d.now+10*time.Minute, d.servers[i].boot+"l"
				d.servers[i].cold = d.servers[i].down + 90*time.Second
			}
		}
	}
	d.running -= d.running * seconds / takes
	d.waiting += asked
	place := min(d.waiting, max(can*Slots-d.running, 0))
	d.waiting, d.running = d.waiting-place, d.running+place
	if most := can * Slots / takes * patience; d.waiting > most {
		missed += d.waiting - most
		d.waiting = most
	}
	if !begun {
		return
	}
	d.Asked, d.Missed = d.Asked+worth*asked, d.Missed+worth*missed
	if d.Done == 0 {
		d.Late += worth * missed
	}
}

func name(i int) string { return fmt.Sprintf("s%02d", i) }

// permit tells whether nothing new goes to a server.
func (d *day) permit(i int) (outage.Permit, bool) {
	if d.state == nil {
		return outage.Permit{}, false
	}
	p, is := d.state.Permits[outage.ID(outage.Server, name(i))]
	return p, is && p.Stage != outage.Returning
}

// deploy replaces what is clear: half a minute until it is empty, then two to four until it answers, cold at first.
func (d *day) deploy() {
	for i := range d.servers {
		s := &d.servers[i]
		if p, out := d.permit(i); out && p.Stage == outage.Acknowledged && p.To != "" && s.boot == p.Boot && d.now >= s.down {
			h := rand.New(rand.NewPCG(d.Seed, uint64(i)+100))
			s.down = d.now + 30*time.Second + time.Duration((2+2*h.Float64())*float64(time.Minute))
			s.cold = s.down + 90*time.Second
			s.boot, s.label = s.boot+"r", p.To
		}
	}
}

func (d *day) view() outage.View {
	v := outage.View{Model: d.Model, Version: 1, Last: d.state, Routers: map[string]outage.Registration{}}
	up := 0
	for i, s := range d.servers {
		if _, out := d.permit(i); !out && d.now >= s.down {
			up++
		}
	}
	for n, router := range []string{"a", "b"} {
		d.rev++
		r := outage.Report{Router: router, Boot: "1", Rev: d.rev, Open: int(d.running+d.waiting) / 2, Observed: map[string]outage.Observation{}}
		if d.state != nil {
			r.StateSeq = d.state.Seq
		}
		for i, s := range d.servers {
			sight := outage.Observation{Site: string(rune('a' + i%3)), Role: "chat", Boot: s.boot, Label: s.label, Probed: true}
			if d.now < s.down {
				sight.SilentMs = 10_000
			} else if _, out := d.permit(i); !out {
				sight.Busy = int(d.running/float64(max(up, 1))+float64(i%2)) / 2 // of half of them, either way
				if n == 1 {
					sight.Busy = int(d.running/float64(max(up, 1))+float64(1-i%2)) / 2
				}
			}
			r.Observed[name(i)] = sight
		}
		v.Reports = append(v.Reports, r)
		v.Routers[router] = outage.Registration{Boot: "1", Label: "v1", Live: true}
	}
	return v
}

func (d *day) write(next *outage.State) {
	d.rev++
	next.Rev = d.rev
	d.state = next
	d.audit.Check(next)
	d.Most = max(d.Most, next.Budget.ServersOut)
}
