package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

const (
	// leadIn is how long only the shorter kind comes; nothing of it is counted.
	leadIn = 2 * time.Second
	// calm is how long clients come at their usual rate before the burst, burst how long they come at burstFactor times
	// that, and settled how long they come as usual again before the final fault.
	calm        = 15 * time.Second
	burst       = 10 * time.Second
	burstFactor = 2.0
	settled     = 6 * time.Second
	// down is how long the machine of the final fault is away, recovery is recovery_s.
	down     = 900 * time.Millisecond
	recovery = 12 * time.Second
	// afterwards is how long requests are judged after that.
	afterwards = 20 * time.Second
	// longerRate and shorterRate are the usual requests a second: the longer kind takes 10 of the workers' 18 slots.
	longerRate, shorterRate = 25, 100
	// leastShare of the requests has to be served before the final fault and after the recovery.
	leastShare = 0.25
)

// overload plays the case: clients of the longer kind come at twice their usual rate for a while, then as usual. A control
// member loses its disk later.
func overload(f *fleet, r *record, trouble bool) (int, error) {
	longer, shorter := firstKind, laterKind
	longer.rate, shorter.rate = longerRate, shorterRate
	if err := start(f, r, longer.route()+","+shorter.route()); err != nil {
		return couldNotRun, err
	}
	began := time.Now().Add(leadIn)
	flow(f, r, shorter, began, began, &tally{}) // the shorter kind is there first, so that routers don't begin with the longer one
	finalFault := began.Add(calm + burst + settled)
	judgedFrom := finalFault.Add(down + recovery)
	phases := []*phase{
		{name: "calm", from: began, until: began.Add(calm), factor: 1},
		{name: "burst", from: began.Add(calm), until: began.Add(calm + burst), factor: burstFactor},
		{name: "as usual again", from: began.Add(calm + burst), until: finalFault, factor: 1},
		{name: "recovery", from: finalFault, until: judgedFrom, factor: 1},
		{name: "after the recovery", from: judgedFrom, until: judgedFrom.Add(afterwards), factor: 1},
	}
	var flows sync.WaitGroup
	var failed error
	if trouble {
		flows.Go(func() {
			time.Sleep(time.Until(finalFault))
			failed = f.loseDisk(r)
		})
	}
	for _, p := range phases {
		time.Sleep(time.Until(p.from))
		more := longer
		if trouble {
			more.rate *= p.factor
		}
		r.line("clients", "%s: %.0f requests a second on %s, %.0f on %s", p.name, more.rate, longer.name, shorter.rate, shorter.name)
		flows.Go(func() { flow(f, r, more, p.from, p.until, &p.longer) })
		flows.Go(func() { flow(f, r, shorter, p.from, p.until, &p.shorter) })
	}
	flows.Wait()
	if failed != nil {
		return couldNotRun, failed
	}
	for _, p := range phases {
		r.line("seen", "%s, %s: %s", p.name, longer.name, &p.longer)
		r.line("seen", "%s, %s: %s", p.name, shorter.name, &p.shorter)
	}
	before, after := served(phases[:3]), served(phases[4:])
	switch {
	case before < leastShare:
		return couldNotRun, fmt.Errorf("%.3f of the requests were served before the final fault", before)
	case after < leastShare:
		r.result("BROKEN RECOVER: %.3f of the requests were served before the final fault, and %.3f from %v after it on", before, after, recovery)
		return broken, nil
	}
	r.result("held: %.3f of the requests were served before the final fault, and %.3f from %v after it on", before, after, recovery)
	return held, nil
}

// phase is a span of the case with a rate of its own.
type phase struct {
	name            string
	from, until     time.Time
	factor          float64 // of the longer kind's rate
	longer, shorter tally
}

// served is the share of the requests of some phases that were served.
func served(phases []*phase) float64 {
	asked, good := 0, 0
	for _, p := range phases {
		asked += p.longer.asked + p.shorter.asked
		good += p.longer.served + p.shorter.served
	}
	return float64(good) / float64(max(asked, 1))
}

// loseDisk is the final fault: right after a change of the configuration was acknowledged, one control member, as many as bear
// allows, loses its disk and is back with an empty one.
func (f *fleet) loseDisk(r *record) error {
	body := []byte(`{"version":2,"add":{"notes":[{"name":"last"}]}}`)
	if err := f.order("/v1/Settings.Change", "1", body, 5*time.Second); err != nil {
		return err
	}
	lost := f.controls[0]
	lost.kill()
	r.line("fault", "version 2 is acknowledged; %s has lost its disk", lost.name)
	data := filepath.Join(f.folder, lost.name+"-data")
	if err := os.RemoveAll(data); err != nil {
		return err
	}
	if err := os.MkdirAll(data, 0o700); err != nil {
		return err
	}
	time.Sleep(down)
	r.line("fault", "%s is back, with an empty disk", lost.name)
	return lost.start()
}
