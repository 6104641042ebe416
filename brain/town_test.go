package brain

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// simFleet simulates a fleet in virtual time: routers that share nothing, each with its own Scheduler, and engines
// with one queue each. Equal seeds give equal runs.
type simFleet struct {
	set         Settings
	random      *rand.Rand
	now         time.Duration
	queue       eventQueue
	seq         int
	routers     []*simRouter
	trafficSums []float64 // running sum of the routers' shares of the traffic
	engines     map[EngineID]*simEngine
	ids         RequestID
	noReports   bool // engines report nothing of their load
	// done is called with the outcome of each request.
	done func(a Arrived, end string)
}

// simEngine processes what it is sent in order.
type simEngine struct {
	Engine
	role     Role
	capacity float64 // requests of mean work per second when warm
	freeAt   time.Duration
	streams  int
	received []simSend
}

type simSend struct {
	at   time.Duration
	work float64 // in requests of mean work
}

type simRouter struct {
	*simFleet
	s          *Scheduler
	attempts   map[RequestID][]*simAttempt
	arrived    map[RequestID]Arrived
	generation int
}

type simAttempt struct {
	engine EngineID
	over   bool
}

const (
	meanPrompt, maxAnswer = 2000.0, 300.0
	streamTime            = 2 * time.Second
	simQueueLimit         = 2 * time.Second // requests with a longer wait are refused
)

type queuedEvent struct {
	at  time.Duration
	seq int
	do  func()
}

type eventQueue []queuedEvent

func (d eventQueue) Len() int { return len(d) }
func (d eventQueue) Less(i, j int) bool {
	return d[i].at < d[j].at || d[i].at == d[j].at && d[i].seq < d[j].seq
}
func (d eventQueue) Swap(i, j int) { d[i], d[j] = d[j], d[i] }
func (d *eventQueue) Push(x any)   { *d = append(*d, x.(queuedEvent)) }
func (d *eventQueue) Pop() any {
	last := (*d)[len(*d)-1]
	*d = (*d)[:len(*d)-1]
	return last
}

// newSimFleet has the number of routers in the settings, and engines that started long ago.
func newSimFleet(set Settings, seed uint64, engines []Engine, capacity float64) *simFleet {
	w := &simFleet{set: set, random: rand.New(rand.NewPCG(seed, 7)), now: time.Hour, engines: map[EngineID]*simEngine{}, done: func(Arrived, string) {}}
	for _, e := range engines {
		w.start(e, capacity)
	}
	sum := 0.0
	for range set.Routers {
		r := &simRouter{simFleet: w}
		r.restart()
		w.routers = append(w.routers, r)
		sum += 0.2 + w.random.ExpFloat64() // some see several times the mean
		w.trafficSums = append(w.trafficSums, sum)
	}
	return w
}

func (w *simFleet) start(e Engine, capacity float64) {
	w.engines[e.ID] = &simEngine{Engine: e, role: w.set.Kinds[e.Kind].Role, capacity: capacity}
}

// restart gives the router a new process that knows only the list.
func (r *simRouter) restart() {
	r.generation++
	r.s, r.attempts, r.arrived = New(r.set, r.random.Uint64()), map[RequestID][]*simAttempt{}, map[RequestID]Arrived{}
	list := Listed{Kind: ListCached}
	for _, e := range r.engines {
		list.Engines = append(list.Engines, e.Engine)
	}
	r.handle(list)
}

func (w *simFleet) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.queue, queuedEvent{w.now + d, w.seq, do})
}

// run advances the time and runs the due events.
func (w *simFleet) run(length time.Duration) {
	end := w.now + length
	for len(w.queue) > 0 && w.queue[0].at <= end {
		e := heap.Pop(&w.queue).(queuedEvent)
		w.now = e.at
		e.do()
	}
	w.now = end
}

// list sends changes to every router, with a random delay for each.
func (w *simFleet) list(changed ...Engine) {
	for _, r := range w.routers {
		w.after(time.Duration(w.random.IntN(800))*time.Millisecond, func() { r.handle(Listed{Kind: ListDelta, Engines: changed}) })
	}
}

// load adds arrivals at the rate for the length of time. draw completes each request.
func (w *simFleet) load(rate float64, length time.Duration, draw func(*Arrived)) {
	for t := time.Duration(0); ; {
		if t += time.Duration(w.random.ExpFloat64() / rate * float64(time.Second)); t > length {
			return
		}
		w.ids++
		at := w.random.Float64() * w.trafficSums[len(w.trafficSums)-1]
		i := 0
		for w.trafficSums[i] < at {
			i++
		}
		a := Arrived{Request: w.ids, Session: uint64(w.ids), MaxTokens: maxAnswer,
			PromptTokens: 600 + w.random.ExpFloat64()*(meanPrompt-600), Timeout: 3 * time.Second}
		if draw != nil {
			draw(&a)
		}
		r := w.routers[i]
		w.after(t, func() {
			r.arrived[a.Request] = a
			r.handle(a)
		})
	}
}

func (r *simRouter) schedule(d time.Duration, do func()) {
	life := r.generation
	r.after(d, func() {
		if r.generation == life {
			do()
		}
	})
}

func (r *simRouter) handle(ev Event) {
	for _, action := range r.s.Handle(r.now, ev, nil) {
		switch a := action.(type) {
		case SetTimer:
			r.schedule(max(a.At-r.now, 0), func() { r.handle(TimerFired{Key: a.Key}) })
		case Send:
			r.send(a)
		case Cancel:
			if r.open(a.Request, a.Attempt) {
				r.schedule(0, func() { r.end(a.Request, a.Attempt, Ended{Result: Cancelled}) })
			}
		case Refuse:
			r.finish(a.Request, "refused")
		case Fail:
			r.finish(a.Request, "failed")
		case Probe:
			r.schedule(5*time.Millisecond, func() {
				r.handle(Probed{Engine: a.Engine, Result: Served, Took: 5 * time.Millisecond, Load: r.report(a.Engine)})
			})
		}
	}
}

func (r *simRouter) finish(id RequestID, how string) {
	if a, open := r.arrived[id]; open {
		delete(r.arrived, id)
		r.done(a, how)
	}
}

// open reports whether the end of an attempt is still to be reported.
func (r *simRouter) open(id RequestID, attempt int) bool {
	list := r.attempts[id]
	return attempt < len(list) && !list[attempt].over
}

func (r *simRouter) end(id RequestID, attempt int, ev Ended) {
	if !r.open(id, attempt) {
		return
	}
	at := r.attempts[id][attempt]
	at.over = true
	ev.Request, ev.Attempt, ev.Engine, ev.Load = id, attempt, at.engine, r.report(at.engine)
	open := 0
	for _, other := range r.attempts[id] {
		open += toInt(!other.over)
	}
	r.handle(ev)
	if _, waits := r.arrived[id]; !waits && open == 0 {
		delete(r.attempts, id)
	}
}

// warm is the least share of its capacity that the settings give an engine of its age.
func (w *simFleet) warm(e *simEngine, at time.Duration) float64 {
	age := at - e.StartedAt
	if e.StartedAt == 0 || age >= w.set.WarmAfter {
		return 1
	}
	return w.set.ColdShare + (1-w.set.ColdShare)*max(age, 0).Seconds()/w.set.WarmAfter.Seconds()
}

func (w *simFleet) report(id EngineID) Load {
	e := w.engines[id]
	if e == nil || w.noReports {
		return Load{}
	}
	memory := float64(e.streams) * (meanPrompt + maxAnswer) / w.set.Kinds[e.Kind].MemoryTokens
	return Load{Known: true, MemoryShare: min(memory, 1), WaitTokens: max(e.freeAt-w.now, 0).Seconds() * e.capacity * w.warm(e, w.now) * meanPrompt, Queue: -1}
}

func (r *simRouter) send(s Send) {
	n, e, sent, a := len(r.attempts[s.Request]), r.engines[s.Engine], r.now, r.arrived[s.Request]
	r.attempts[s.Request] = append(r.attempts[s.Request], &simAttempt{engine: s.Engine})
	if e == nil {
		r.schedule(time.Millisecond, func() { r.end(s.Request, n, Ended{Result: ConnectFailed}) })
		return
	}
	work := a.PromptTokens / meanPrompt
	e.received = append(e.received, simSend{r.now, work})
	if e.freeAt-r.now > simQueueLimit {
		r.schedule(time.Millisecond, func() { r.end(s.Request, n, Ended{Result: Full, Took: time.Millisecond}) })
		return
	}
	e.freeAt = max(e.freeAt, r.now) + time.Duration(work/(e.capacity*r.warm(e, r.now))*float64(time.Second))
	ready := max(e.freeAt-r.now, 0) + 2*time.Millisecond
	if e.role == Reader {
		r.schedule(ready, func() { r.end(s.Request, n, Ended{Result: Read, Took: r.now - sent}) })
		return
	}
	r.schedule(ready, func() {
		if !r.open(s.Request, n) {
			return
		}
		r.finish(s.Request, "served")
		e.streams++
		r.after(streamTime, func() { e.streams-- })
		r.handle(Started{Request: s.Request, Attempt: n, Engine: s.Engine, Took: r.now - sent})
		r.schedule(streamTime, func() { r.end(s.Request, n, Ended{Result: Served, Took: r.now - sent, Last: true}) })
	})
}
