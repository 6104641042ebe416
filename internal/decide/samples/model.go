// Package samples decides what samples for tuning count: how quick and how far behind each worker is that makes them
// (Score), what the samples of a batch weigh (Weigh), under which epoch each is counted, once (State, Decider), and what
// follows for prompts and reloads (acts). It does no I/O and knows no clock: times are arguments, monotonic and of any
// origin, and equal inputs give equal outputs. Weights are model weights nowhere in it: those are called versions.
package samples

import (
	"cmp"
	"fmt"
	"math"
)

// Model is what the operators state of tuning. The zero values stand for Defaults.
type Model struct {
	// StaleMost is how many versions a sample may be behind the newest when its batch is closed; past it, it weighs
	// nothing. StaleHalf is by how many versions its weight halves.
	StaleMost float64 `toml:"stale_most,omitzero" json:"stale_most,omitzero"`
	StaleHalf float64 `toml:"stale_half,omitzero" json:"stale_half,omitzero"`
	// SpreadMost is how many versions a sample may span that its worker's reload fell into; AgeMostMs is how long ago it
	// may have begun when it is reported.
	SpreadMost float64 `toml:"spread_most,omitzero" json:"spread_most,omitzero"`
	AgeMostMs  float64 `toml:"age_most_ms,omitzero" json:"age_most_ms,omitzero"`
	// Trust is after how many samples a worker is trusted by half.
	Trust float64 `toml:"trust,omitzero" json:"trust,omitzero"`
	// WorkerCap, SiteCap and VersionCap are the most of a batch's weight that one of them may have.
	WorkerCap  float64 `toml:"worker_cap,omitzero" json:"worker_cap,omitzero"`
	SiteCap    float64 `toml:"site_cap,omitzero" json:"site_cap,omitzero"`
	VersionCap float64 `toml:"version_cap,omitzero" json:"version_cap,omitzero"`
	// Floor is the least effective sample size of a batch, as a part of the samples that weigh anything.
	Floor float64 `toml:"floor,omitzero" json:"floor,omitzero"`
	// Batch is how many samples that weigh anything close an epoch, EpochMs the time that closes it with fewer.
	Batch   int     `toml:"batch,omitzero" json:"batch,omitzero"`
	EpochMs float64 `toml:"epoch_ms,omitzero" json:"epoch_ms,omitzero"`
	// LateEpochs is how many epochs after the one it began in a sample may be counted; then it is late.
	LateEpochs int64 `toml:"late_epochs,omitzero" json:"late_epochs,omitzero"`
	// Ahead is how many batches generation may be ahead of the tuner.
	Ahead int64 `toml:"ahead,omitzero" json:"ahead,omitzero"`
	// Hysteresis is by how much a part must change before it is changed.
	Hysteresis float64 `toml:"hysteresis,omitzero" json:"hysteresis,omitzero"`
	// Outlier is how many robust deviations from the workers of its kind have a worker held, HoldMs for how long at least.
	Outlier float64 `toml:"outlier,omitzero" json:"outlier,omitzero"`
	HoldMs  float64 `toml:"hold_ms,omitzero" json:"hold_ms,omitzero"`
	// HalfLifeMs is the half life of what was seen of a worker's speed.
	HalfLifeMs float64 `toml:"half_life_ms,omitzero" json:"half_life_ms,omitzero"`
	// ShareLeast is the part of its prompts that a worker keeps which is slow or held, so that it can be seen again.
	ShareLeast float64 `toml:"share_least,omitzero" json:"share_least,omitzero"`
	// InteractiveFailedMax is the part of clerks' requests that may be refused or late before samples give way to them, ClerksCalmMs
	// how long it must be under half of that before samples return, ClerksRiseMs how long their return takes.
	InteractiveFailedMax float64 `toml:"clerks_most,omitzero" json:"clerks_most,omitzero"`
	InteractiveCalmMs    float64 `toml:"clerks_calm_ms,omitzero" json:"clerks_calm_ms,omitzero"`
	InteractiveRiseMs    float64 `toml:"clerks_rise_ms,omitzero" json:"clerks_rise_ms,omitzero"`
	// ReportMs is how often each router reports.
	ReportMs float64 `toml:"report_ms,omitzero" json:"report_ms,omitzero"`
}

// Defaults are the settings that stand for those that a model does not state.
var Defaults = Model{StaleMost: 4, StaleHalf: 2, SpreadMost: 3, AgeMostMs: 600_000, Trust: 4, WorkerCap: 0.2, SiteCap: 0.6, VersionCap: 0.95, Floor: 0.5,
	Batch: 256, EpochMs: 30_000, LateEpochs: 4, Ahead: 2, Hysteresis: 0.1, Outlier: 6, HoldMs: 60_000, HalfLifeMs: 60_000, ShareLeast: 0.05,
	InteractiveFailedMax: 0.05, InteractiveCalmMs: 3000, InteractiveRiseMs: 10_000, ReportMs: 1000}

// Filled is the model with its defaults.
func (m Model) Filled() Model {
	d := Defaults
	m.StaleMost, m.StaleHalf, m.SpreadMost = cmp.Or(m.StaleMost, d.StaleMost), cmp.Or(m.StaleHalf, d.StaleHalf), cmp.Or(m.SpreadMost, d.SpreadMost)
	m.AgeMostMs, m.Trust, m.Floor = cmp.Or(m.AgeMostMs, d.AgeMostMs), cmp.Or(m.Trust, d.Trust), cmp.Or(m.Floor, d.Floor)
	m.WorkerCap, m.SiteCap, m.VersionCap = cmp.Or(m.WorkerCap, d.WorkerCap), cmp.Or(m.SiteCap, d.SiteCap), cmp.Or(m.VersionCap, d.VersionCap)
	m.Batch, m.EpochMs, m.LateEpochs, m.Ahead = cmp.Or(m.Batch, d.Batch), cmp.Or(m.EpochMs, d.EpochMs), cmp.Or(m.LateEpochs, d.LateEpochs), cmp.Or(m.Ahead, d.Ahead)
	m.Hysteresis, m.Outlier, m.HoldMs = cmp.Or(m.Hysteresis, d.Hysteresis), cmp.Or(m.Outlier, d.Outlier), cmp.Or(m.HoldMs, d.HoldMs)
	m.HalfLifeMs, m.ShareLeast, m.ReportMs = cmp.Or(m.HalfLifeMs, d.HalfLifeMs), cmp.Or(m.ShareLeast, d.ShareLeast), cmp.Or(m.ReportMs, d.ReportMs)
	m.InteractiveFailedMax, m.InteractiveCalmMs, m.InteractiveRiseMs = cmp.Or(m.InteractiveFailedMax, d.InteractiveFailedMax), cmp.Or(m.InteractiveCalmMs, d.InteractiveCalmMs), cmp.Or(m.InteractiveRiseMs, d.InteractiveRiseMs)
	return m
}

// Check tells why a model can't be used: a *KeyError.
func (m Model) Check() error {
	m = m.Filled()
	for _, s := range []struct {
		key         string
		v, min, max float64
	}{{"stale_most", m.StaleMost, 1, 1000}, {"stale_half", m.StaleHalf, 0.1, 1000}, {"spread_most", m.SpreadMost, 0.5, 1000}, {"age_most_ms", m.AgeMostMs, 1000, 86_400_000},
		{"trust", m.Trust, 0.01, 10_000}, {"worker_cap", m.WorkerCap, 0.001, 1}, {"site_cap", m.SiteCap, 0.01, 1}, {"version_cap", m.VersionCap, 0.01, 1},
		{"floor", m.Floor, 0.01, 1}, {"batch", float64(m.Batch), 1, MaxBatch}, {"epoch_ms", m.EpochMs, 100, 86_400_000}, {"late_epochs", float64(m.LateEpochs), 1, MaxLate},
		{"ahead", float64(m.Ahead), 1, MaxAhead}, {"hysteresis", m.Hysteresis, 0.001, 0.5}, {"outlier", m.Outlier, 2, 100}, {"hold_ms", m.HoldMs, 100, 86_400_000},
		{"half_life_ms", m.HalfLifeMs, 1000, 86_400_000}, {"share_least", m.ShareLeast, 0.001, 1}, {"clerks_most", m.InteractiveFailedMax, 0.001, 1},
		{"clerks_calm_ms", m.InteractiveCalmMs, 100, 3_600_000}, {"clerks_rise_ms", m.InteractiveRiseMs, 100, 3_600_000}, {"report_ms", m.ReportMs, 50, 60_000}} {
		if !(s.v >= s.min && s.v <= s.max) { // false for NaN
			return &KeyError{Key: "samples." + s.key, Value: s.v, Least: s.min, Most: s.max}
		}
	}
	return nil
}

// The bounds of what a board holds.
const (
	MaxBatch   = 1024
	MaxLate    = 6
	MaxAhead   = 4
	MaxWorkers = 256
	MaxRouters = 256
	// MaxKeys bounds the samples of one epoch: what comes past it waits in the routers' reports.
	MaxKeys = 2 * MaxBatch
	// MaxSamples bounds those of one report.
	MaxSamples = 512
	// MaxName bounds the names that reports and lists bring, in bytes.
	MaxName = 128
)

// KeyError says that a key of the policy can't have its value.
type KeyError struct {
	Key                string
	Value, Least, Most float64
}

func (e *KeyError) Error() string {
	return fmt.Sprintf("%s: %g, must be from %g to %g", e.Key, e.Value, e.Least, e.Most)
}

// Advice is what an operator can do.
func (e *KeyError) Advice() string {
	return fmt.Sprintf("set %s within its bounds, or leave it out for its default", e.Key)
}

// RecordError says that something read from the store can't be used. What else was read still is.
type RecordError struct {
	What string // which record: "tuner", "state", or a router's name
	Why  string
	Err  error
}

func (e *RecordError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("samples, record %q: %s: %v", e.What, e.Why, e.Err)
	}
	return fmt.Sprintf("samples, record %q: %s", e.What, e.Why)
}

func (e *RecordError) Unwrap() error { return e.Err }

// Advice is what an operator can do.
func (e *RecordError) Advice() string {
	return "look at what wrote it: it is left out, and nothing is decided from it until it is written anew"
}

// freshness is the factor of staleness: 1 for the newest, halved with each StaleHalf versions, 0 past the bound. A sample that
// spans versions is taken by its oldest, and each version that it spans counts half a version more: it is of no one policy.
func (m Model) freshness(lag, spread float64) float64 {
	if lag > m.StaleMost || spread > m.SpreadMost {
		return 0
	}
	return math.Exp2(-(max(lag, 0) + max(spread, 0)/2) / m.StaleHalf)
}
