// Package outage decides what may be out of service at once, for a fleet as a whole: members drained by hand, releases
// of a new program, and what was lost without anybody's wish share one budget. A permit stands in the state before
// anything is taken out, and ends only by evidence that its thing is back, or by an operator's word that it is gone. It
// does no I/O and knows no clock: times are arguments, monotonic and of any origin.
package outage

import (
	"cmp"
	"fmt"
	"math"
	"time"
)

// Model is what a fleet's policy says of outages ([outage]). Without workers and routers there is no budget.
type Model struct {
	// Workers and Routers are how many servers and routers may be out at once: a number from 1 on, or a share of all
	// below 1. WorkersSite and WorkersRole bound the servers of one site and of one role in the same way; 0: as Workers.
	Workers     float64 `toml:"workers"`
	Routers     float64 `toml:"routers"`
	WorkersSite float64 `toml:"workers_site,omitzero"`
	WorkersRole float64 `toml:"workers_role,omitzero"`
	HeadroomLimit
	// Classes state what must go on serving each class.
	Classes []ClassFloor `toml:"class,omitempty"`
	// PauseMs is the least time between the end of a wave of a release and the next one, in which it is looked at.
	PauseMs float64 `toml:"pause_ms,omitzero"`
	// LostMs is how long a server must be silent to most routers until it counts as lost.
	LostMs float64 `toml:"lost_ms,omitzero"`
	// WarmMs is how long what is back must answer before its permit ends; ReturnMs how long it may take to come back.
	WarmMs   float64 `toml:"warm_ms,omitzero"`
	ReturnMs float64 `toml:"return_ms,omitzero"`
	// CopyWaitMs is how long a server that has its turn to be let out is kept at most so that what it holds and is worth keeping is
	// copied elsewhere ([reuse]); 0: not at all.
	CopyWaitMs float64 `toml:"copy_wait_ms,omitzero"`
	// ReportMs is how often routers report.
	ReportMs float64 `toml:"report_ms,omitzero"`
	// Deciders is how many routers read all reports and decide; 0: all of them. The others follow the state.
	Deciders int `toml:"deciders,omitzero"`
	// Lag is by how many revisions a member of the store may be behind and still counts as caught up.
	Lag  int64 `toml:"lag,omitzero"`
	Halt Halt  `toml:"halt,omitempty"`
}

// ClassFloor is the least that must go on serving a class.
type ClassFloor struct {
	Name string  `toml:"name"`
	Part float64 `toml:"keep"` // of the weight of all servers, from 0 to 1
}

// Halt bounds what a new version may do before its release is halted.
type Halt struct {
	Least   int64   `toml:"least,omitzero"`   // requests of the new version that must be seen before it is judged
	Worse   float64 `toml:"worse,omitzero"`   // how many times the old version's rate of failures is put up with
	Level   float64 `toml:"level,omitzero"`   // chance of halting a release that is no worse, over all looks
	Refused float64 `toml:"refused,omitzero"` // part of a class's requests that may be refused while it runs; 0: any
	OverMs  float64 `toml:"over_ms,omitzero"` // how long losses alone may use up the budget
	// Seen is how many requests of the new version the wave after the first waits for, beyond the pause, for SeenMs at most; 0: for
	// none. A canary that is home to little, or that routers turn away from since it fails, has nothing to be judged by otherwise.
	Seen   int64   `toml:"seen,omitzero"`
	SeenMs float64 `toml:"seen_ms,omitzero"` // 60,000 if it is not there
}

// On tells whether there is a budget.
func (m Model) On() bool { return m.Workers > 0 || m.Routers > 0 || m.FollowsHeadroom() }

// WithDefaults gives the model with its defaults.
func (m Model) WithDefaults() Model {
	all := cmp.Or(m.Max, m.Workers)
	m.WorkersSite, m.WorkersRole, m.HeadroomLimit = cmp.Or(m.WorkersSite, all), cmp.Or(m.WorkersRole, all), m.HeadroomLimit.withDefaults()
	m.PauseMs, m.LostMs, m.WarmMs = cmp.Or(m.PauseMs, 5000), cmp.Or(m.LostMs, 1500), cmp.Or(m.WarmMs, 5000)
	m.ReturnMs, m.ReportMs, m.Lag = cmp.Or(m.ReturnMs, 120_000), cmp.Or(m.ReportMs, 500), cmp.Or(m.Lag, 200)
	h := &m.Halt
	h.Least, h.Worse, h.Level, h.OverMs = cmp.Or(h.Least, 20), cmp.Or(h.Worse, 1.5), cmp.Or(h.Level, 0.01), cmp.Or(h.OverMs, 30_000)
	h.SeenMs = cmp.Or(h.SeenMs, 60_000)
	return m
}

// ModelError names a key of [outage] that can't hold.
type ModelError struct {
	Key   string
	Value any
	Why   string
}

func (e *ModelError) Error() string { return fmt.Sprintf("outage.%s: %v, %s", e.Key, e.Value, e.Why) }

// Advice says what an operator can do.
func (e *ModelError) Advice() string {
	return "correct the key in the policy's file and apply it again"
}

// Check names the first key that can't hold.
func (m Model) Check() error {
	for _, c := range []struct {
		key string
		v   float64
	}{{"workers", m.Workers}, {"routers", m.Routers}, {"workers_site", m.WorkersSite}, {"workers_role", m.WorkersRole}} {
		if c.v < 0 || math.IsNaN(c.v) || c.v > 1 && c.v != math.Trunc(c.v) {
			return &ModelError{c.key, c.v, "must be a whole number from 1, or a share below 1"}
		}
	}
	for _, c := range []struct {
		key string
		v   float64
	}{{"pause_ms", m.PauseMs}, {"lost_ms", m.LostMs}, {"warm_ms", m.WarmMs}, {"return_ms", m.ReturnMs}, {"halt.over_ms", m.Halt.OverMs}, {"halt.seen", float64(m.Halt.Seen)}, {"halt.seen_ms", m.Halt.SeenMs}, {"lag", float64(m.Lag)}, {"deciders", float64(m.Deciders)}, {"halt.least", float64(m.Halt.Least)}} {
		if !(c.v >= 0) {
			return &ModelError{c.key, c.v, "must not be negative"}
		}
	}
	if !(m.CopyWaitMs >= 0 && m.CopyWaitMs <= 600_000) {
		return &ModelError{"copy_wait_ms", m.CopyWaitMs, "must be from 0 to 600000"}
	}
	if m.ReportMs != 0 && !(m.ReportMs >= 50 && m.ReportMs <= 60_000) {
		return &ModelError{"report_ms", m.ReportMs, "must be from 50 to 60000"}
	}
	if h := m.Halt; h.Worse != 0 && !(h.Worse >= 1) {
		return &ModelError{"halt.worse", h.Worse, "must be at least 1"}
	} else if h.Level < 0 || h.Level >= 1 {
		return &ModelError{"halt.level", h.Level, "must be between 0 and 1"}
	} else if !(h.Refused >= 0 && h.Refused <= 1) {
		return &ModelError{"halt.refused", h.Refused, "must be from 0 to 1"}
	}
	if err := m.HeadroomLimit.check(); err != nil {
		return err
	}
	for _, k := range m.Classes {
		if k.Name == "" || !(k.Part >= 0 && k.Part <= 1) {
			return &ModelError{"class", k.Name, "needs a name and a keep from 0 to 1"}
		}
	}
	return nil
}

// limit is how many of n may be out by a bound.
func limit(bound float64, n int) int {
	switch {
	case bound <= 0:
		return 0
	case bound >= 1:
		return int(bound)
	}
	return max(int(bound*float64(n)), 1)
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
