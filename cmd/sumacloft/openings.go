package main

import (
	"context"

	"sumacloft/brain"
	"sumacloft/internal/chat"
	"sumacloft/internal/core"
	"sumacloft/internal/decide/reuse"
	"sumacloft/internal/decide/sites"
	"sumacloft/internal/discovery"
	fleetreuse "sumacloft/internal/fleet/reuse"
	"sumacloft/internal/fleet/siting"
)

// openings serves chat.Openings: requests' openings and the fleet's agreement on where they are held besides.
type openings struct{ *fleetreuse.Agent }

// Homes serves chat.Openings: the servers of this router's own region, by the numbers that the module knows them by.
func (o openings) Homes(prefix uint64) (out []brain.EngineID) {
	for _, name := range o.Near(reuse.Key(prefix)) {
		out = append(out, discovery.EngineID(name))
	}
	return out
}

// Served serves chat.Openings.
func (o openings) Served(s chat.Opening) {
	o.Agent.Served(fleetreuse.Served{Prefix: reuse.Key(s.Prefix), Tokens: s.Tokens, Session: s.Session, Model: s.Model, First: s.First, Server: s.Server, Answer: s.Answer})
}

// warmer has servers read openings in background, through the core's list and the pool's connections.
func warmer(known *fleetreuse.Openings, servers *chat.Servers, c *core.Core, guard func() error) *fleetreuse.Warmer {
	return &fleetreuse.Warmer{Openings: known, Read: func(ctx context.Context, server string, o fleetreuse.Opening) error {
		return servers.Warm(ctx, c, discovery.EngineID(server), o.Model, o.First, guard)
	}}
}

// conditions are those of regions by the plan of sites: nothing is copied into one that is lost, returns or is held.
func conditions(plan *siting.Agent) map[string]reuse.Condition {
	verdicts, orders := plan.Verdicts()
	out := map[string]reuse.Condition{}
	for name, v := range verdicts {
		switch v.State {
		case sites.Lost:
			out[name] = reuse.Lost
		case sites.Returning:
			out[name] = reuse.Returning
		}
	}
	for name, o := range orders {
		if o.Hold && out[name] == "" {
			out[name] = reuse.Held
		}
	}
	return out
}
