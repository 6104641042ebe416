// Package outage decides which members of a fleet, servers and routers, may be out of service at the same time. Members
// drained by hand, rolling releases and failures share one budget. A permit is recorded in the state before a member is
// taken out. It ends only when the member is observed back in service, or when an operator declares the member gone. The
// package does no I/O and reads no clock: times are arguments, monotonic and of any origin.
package outage

import (
	"cmp"
	"fmt"
	"math"
	"time"
)

// Model is the [outage] section of a fleet's policy. There is no budget unless it limits servers or routers.
type Model struct {
	// Workers and Routers limit how many servers and routers may be out at once: a number from 1, or a share of all
	// below 1. WorkersSite and WorkersRole limit the servers of one site and of one role in the same way. They default
	// to Workers.
	Workers     float64 `toml:"workers"`
	Routers     float64 `toml:"routers"`
	WorkersSite float64 `toml:"workers_site,omitzero"`
	WorkersRole float64 `toml:"workers_role,omitzero"`
	HeadroomLimit
	// Classes states the share of the servers' weight that must keep serving each class.
	Classes []ClassFloor `toml:"class,omitempty"`
	// PauseMs is the minimum time between the end of one wave of a release and the start of the next. The new version is
	// observed in that time.
	PauseMs float64 `toml:"pause_ms,omitzero"`
	// LostMs is how long a server must be silent to most routers before it counts as lost.
	LostMs float64 `toml:"lost_ms,omitzero"`
	// WarmMs is how long a returned member must answer before its permit ends. ReturnMs is how long it may take to
	// return.
	WarmMs   float64 `toml:"warm_ms,omitzero"`
	ReturnMs float64 `toml:"return_ms,omitzero"`
	// CopyWaitMs is the longest time a server's permit is delayed so that the part of its KV cache worth keeping
	// ([reuse]) can be copied elsewhere. 0 means no delay.
	CopyWaitMs float64 `toml:"copy_wait_ms,omitzero"`
	// ReportMs is the interval at which routers report.
	ReportMs float64 `toml:"report_ms,omitzero"`
	// Deciders is the number of routers that read all reports and decide. The others only follow the state. 0 means all
	// routers decide.
	Deciders int `toml:"deciders,omitzero"`
	// Lag is the number of revisions by which a store member may be behind and still count as caught up.
	Lag  int64 `toml:"lag,omitzero"`
	Halt Halt  `toml:"halt,omitempty"`
}

// ClassFloor is the minimum serving capacity that must be kept for a class.
type ClassFloor struct {
	Name string  `toml:"name"`
	Part float64 `toml:"keep"` // share of the weight of all servers, from 0 to 1
}

// Halt bounds how a new version may behave before its release is halted.
type Halt struct {
	Least   int64   `toml:"least,omitzero"`   // requests of the new version required before it is judged
	Worse   float64 `toml:"worse,omitzero"`   // tolerated ratio of the new version's failure rate to the old one's
	Level   float64 `toml:"level,omitzero"`   // probability of halting a release that is no worse, over all looks
	Refused float64 `toml:"refused,omitzero"` // share of a class's requests that may be refused during a release; 0: any
	OverMs  float64 `toml:"over_ms,omitzero"` // how long losses alone may exhaust the budget
	// Seen is the number of requests of the new version that every wave after the first waits for beyond the pause, for
	// at most SeenMs; 0: none. Without it, a canary that receives little traffic, or that routers avoid because it
	// fails, would pass for lack of evidence.
	Seen   int64   `toml:"seen,omitzero"`
	SeenMs float64 `toml:"seen_ms,omitzero"` // default 60,000
}

// On reports whether the policy sets a budget.
func (m Model) On() bool { return m.Workers > 0 || m.Routers > 0 || m.FollowsHeadroom() }

// WithDefaults returns the model with defaults for the keys that are not set.
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

// ModelError reports an invalid key of [outage].
type ModelError struct {
	Key   string
	Value any
	Why   string
}

func (e *ModelError) Error() string { return fmt.Sprintf("outage.%s: %v, %s", e.Key, e.Value, e.Why) }

// Advice tells the operator how to correct the key.
func (e *ModelError) Advice() string {
	return "correct the key in the policy's file and apply it again"
}

// Check reports the first invalid key.
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

// limit converts a bound, a number or a share, to a count of n members.
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
