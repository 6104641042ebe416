package main

import (
	"sumacloft/internal/chat"
	"sumacloft/internal/fleet/outage"
	"sumacloft/internal/fleet/samples"
	"sumacloft/internal/fleet/siting"
)

// meters serves chat.Meter: what is decided for the fleet as a whole is told of each request.
type meters struct {
	sites   *siting.Agent
	outage  *outage.Agent
	samples *samples.Agent
}

// Arrived serves chat.Meter.
func (m meters) Arrived(class string, session uint64) float64 {
	m.outage.Arrived(class)
	rank := m.samples.Arrived(class)
	if planned := m.sites.Arrived(class, session); planned > 0 { // one order for both parts: theirs are multiplied
		return planned
	}
	return rank
}

// Tried serves chat.Meter.
func (m meters) Tried(a chat.Attempt) {
	m.sites.Tried(a.Worker.Zone, a.Heard, a.InTime, a.Session)
	if a.Heard && !a.Failed {
		m.samples.Answered(a.Class, a.InTime)
	}
	m.outage.Tried(outage.Attempt{Server: a.Worker.Name, Answered: a.Heard, InTime: a.InTime, Failed: a.Failed, FirstToken: a.First})
}

// Refused serves chat.Meter.
func (m meters) Refused(class string, rank float64) {
	if m.samples.Makes(class) { // by the board's word mostly: it says nothing of how much the servers carry
		return
	}
	m.samples.Refused(class)
	m.outage.Refused(class)
	m.sites.Refused(class, rank)
}
