package fleettest

import (
	"time"

	"sumacloft/internal/fleettest/memnet"
)

// Cut makes all links silent between a control member and the other members and the edges. Workers and the operator
// still reach it.
func (f *Fleet) Cut(control *Control) { f.each(control.IP, f.routers(), f.Network.Cut) }

// Heal undoes Cut.
func (f *Fleet) Heal(control *Control) { f.each(control.IP, f.routers(), f.Network.Heal) }

// Stall makes all bytes between a control member and the other members and the edges travel for so long: what is sent
// to it is taken, and nothing comes back in time.
func (f *Fleet) Stall(control *Control, length time.Duration) {
	f.each(control.IP, f.routers(), func(one, other string) { f.Network.Delay(one, other, length) })
}

// Deafen has a control member hear none of the other members and the edges.
func (f *Fleet) Deafen(control *Control) {
	f.each(control.IP, f.routers(), func(one, other string) { f.Network.Set(other, one, memnet.Silent) })
}

// Mute has none of the other members and the edges hear a control member.
func (f *Fleet) Mute(control *Control) {
	f.each(control.IP, f.routers(), func(one, other string) { f.Network.Set(one, other, memnet.Silent) })
}

// CutOffEdge makes all links silent between an edge and the control members and the other edges.
func (f *Fleet) CutOffEdge(edge *Edge) { f.each(edge.IP, f.routers(), f.Network.Cut) }

// HealEdge undoes CutOffEdge.
func (f *Fleet) HealEdge(edge *Edge) { f.each(edge.IP, f.routers(), f.Network.Heal) }

// routers are the addresses of all control members and edges.
func (f *Fleet) routers() []string {
	var all []string
	for _, control := range f.Controls {
		all = append(all, control.IP)
	}
	for _, edge := range f.Edges {
		all = append(all, edge.IP)
	}
	return all
}

func (f *Fleet) each(ip string, others []string, do func(one, other string)) {
	for _, other := range others {
		if other != ip {
			do(ip, other)
		}
	}
}
