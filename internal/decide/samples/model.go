// Package samples decides how samples generated for tuning are weighted. It scores the throughput and staleness of each
// worker (WorkerStats), assigns every sample to exactly one epoch (State, Decider), weights the samples of a batch (Weigh)
// and derives sample admission, prompt shares and reload requests (Actions). It does no I/O and reads no clock: times are
// arguments, monotonic and of any origin, and equal inputs produce equal outputs. In this package a weight is always the
// weight of a sample; revisions of the model's parameters are called versions.
package samples

import (
	"cmp"
	"fmt"
	"math"
)

// Model is the operators' configuration for tuning samples. Zero values are replaced by Defaults.
type Model struct {
	// StaleMost is how many versions a sample may be behind the newest when its batch is closed. Beyond it, the sample has
	// weight 0. StaleHalf is the number of versions by which a sample's weight halves.
	StaleMost float64 `toml:"stale_most,omitzero" json:"stale_most,omitzero"`
	StaleHalf float64 `toml:"stale_half,omitzero" json:"stale_half,omitzero"`
	// SpreadMost is how many versions a sample may span if its worker reloaded while generating it. AgeMostMs is the
	// maximum time between the start of a sample and its report.
	SpreadMost float64 `toml:"spread_most,omitzero" json:"spread_most,omitzero"`
	AgeMostMs  float64 `toml:"age_most_ms,omitzero" json:"age_most_ms,omitzero"`
	// Trust is the number of samples after which a worker has half of the full trust factor.
	Trust float64 `toml:"trust,omitzero" json:"trust,omitzero"`
	// WorkerCap, SiteCap and VersionCap are the maximum parts of a batch's weight that one worker, site or version may have.
	WorkerCap  float64 `toml:"worker_cap,omitzero" json:"worker_cap,omitzero"`
	SiteCap    float64 `toml:"site_cap,omitzero" json:"site_cap,omitzero"`
	VersionCap float64 `toml:"version_cap,omitzero" json:"version_cap,omitzero"`
	// Floor is the minimum effective sample size of a batch, as a part of the samples with a weight above 0.
	Floor float64 `toml:"floor,omitzero" json:"floor,omitzero"`
	// Batch is the number of samples with a weight above 0 that closes an epoch. EpochMs is the time after which an epoch
	// is closed with fewer.
	Batch   int     `toml:"batch,omitzero" json:"batch,omitzero"`
	EpochMs float64 `toml:"epoch_ms,omitzero" json:"epoch_ms,omitzero"`
	// LateEpochs is how many epochs after the one in which it began a sample may still be counted. After that it is late.
	LateEpochs int64 `toml:"late_epochs,omitzero" json:"late_epochs,omitzero"`
	// Ahead is the maximum number of batches by which generation may be ahead of the tuner.
	Ahead int64 `toml:"ahead,omitzero" json:"ahead,omitzero"`
	// Hysteresis is the minimum change of the admitted fraction or of a share that is applied.
	Hysteresis float64 `toml:"hysteresis,omitzero" json:"hysteresis,omitzero"`
	// Outlier is the number of robust standard deviations from the workers of its kind at which a worker's samples are held.
	// HoldMs is the minimum duration of a hold.
	Outlier float64 `toml:"outlier,omitzero" json:"outlier,omitzero"`
	HoldMs  float64 `toml:"hold_ms,omitzero" json:"hold_ms,omitzero"`
	// HalfLifeMs is the half-life of the statistics of a worker's speed.
	HalfLifeMs float64 `toml:"half_life_ms,omitzero" json:"half_life_ms,omitzero"`
	// ShareLeast is the minimum share of prompts for a slow or held worker, so that it can still be measured.
	ShareLeast float64 `toml:"share_least,omitzero" json:"share_least,omitzero"`
	// InteractiveFailedMax is the fraction of interactive requests that may be refused or late before sample requests back off.
	// InteractiveCalmMs is how long the fraction must stay at or below half of that before samples are admitted again.
	// InteractiveRiseMs is how long it takes to admit all of them again.
	InteractiveFailedMax float64 `toml:"clerks_most,omitzero" json:"clerks_most,omitzero"`
	InteractiveCalmMs    float64 `toml:"clerks_calm_ms,omitzero" json:"clerks_calm_ms,omitzero"`
	InteractiveRiseMs    float64 `toml:"clerks_rise_ms,omitzero" json:"clerks_rise_ms,omitzero"`
	// ReportMs is the report period of each router.
	ReportMs float64 `toml:"report_ms,omitzero" json:"report_ms,omitzero"`
}

// Defaults replace the settings that a model leaves at zero.
var Defaults = Model{StaleMost: 4, StaleHalf: 2, SpreadMost: 3, AgeMostMs: 600_000, Trust: 4, WorkerCap: 0.2, SiteCap: 0.6, VersionCap: 0.95, Floor: 0.5,
	Batch: 256, EpochMs: 30_000, LateEpochs: 4, Ahead: 2, Hysteresis: 0.1, Outlier: 6, HoldMs: 60_000, HalfLifeMs: 60_000, ShareLeast: 0.05,
	InteractiveFailedMax: 0.05, InteractiveCalmMs: 3000, InteractiveRiseMs: 10_000, ReportMs: 1000}

// WithDefaults returns the model with its zero values replaced by Defaults.
func (m Model) WithDefaults() Model {
	d := Defaults
	m.StaleMost, m.StaleHalf, m.SpreadMost = cmp.Or(m.StaleMost, d.StaleMost), cmp.Or(m.StaleHalf, d.StaleHalf), cmp.Or(m.SpreadMost, d.SpreadMost)
	m.AgeMostMs, m.Trust, m.Floor = cmp.Or(m.AgeMostMs, d.AgeMostMs), cmp.Or(m.Trust, d.Trust), cmp.Or(m.Floor, d.Floor)
	m.WorkerCap, m.SiteCap, m.VersionCap = cmp.Or(m.WorkerCap, d.WorkerCap), cmp.Or(m.SiteCap, d.SiteCap), cmp.Or(m.VersionCap, d.VersionCap)
	m.Batch, m.EpochMs, m.LateEpochs, m.Ahead = cmp.Or(m.Batch, d.Batch), cmp.Or(m.EpochMs, d.EpochMs), cmp.Or(m.LateEpochs, d.LateEpochs), cmp.Or(m.Ahead, d.Ahead)
	m.Hysteresis, m.Outlier, m.HoldMs = cmp.Or(m.Hysteresis, d.Hysteresis), cmp.Or(m.Outlier, d.Outlier), cmp.Or(m.HoldMs, d.HoldMs)
	m.HalfLifeMs, m.ShareLeast, m.ReportMs = cmp.Or(m.HalfLifeMs, d.HalfLifeMs), cmp.Or(m.ShareLeast, d.ShareLeast), cmp.Or(m.ReportMs, d.ReportMs)
	m.InteractiveFailedMax, m.InteractiveCalmMs, m.InteractiveRiseMs = cmp.Or(m.InteractiveFailedMax, d.InteractiveFailedMax),
		cmp.Or(m.InteractiveCalmMs, d.InteractiveCalmMs), cmp.Or(m.InteractiveRiseMs, d.InteractiveRiseMs)
	return m
}

// Check reports a setting that is out of range as a *KeyError.
func (m Model) Check() error {
	m = m.WithDefaults()
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

// Bounds of what a state holds.
const (
	MaxBatch   = 1024
	MaxLate    = 6
	MaxAhead   = 4
	MaxWorkers = 256
	MaxRouters = 256
	// MaxKeys bounds the samples of one epoch. Further samples stay in the routers' reports until the next epoch.
	MaxKeys = 2 * MaxBatch
	// MaxSamples bounds the samples of one report.
	MaxSamples = 512
	// MaxName bounds the names in reports and worker records, in bytes.
	MaxName = 128
)

// KeyError reports a policy key whose value is out of range.
type KeyError struct {
	Key                string
	Value, Least, Most float64
}

func (e *KeyError) Error() string {
	return fmt.Sprintf("%s: %g, must be from %g to %g", e.Key, e.Value, e.Least, e.Most)
}

// Advice tells an operator what to do.
func (e *KeyError) Advice() string {
	return fmt.Sprintf("set %s within its bounds, or leave it out for its default", e.Key)
}

// RecordError reports a stored record that can't be used. Other records of the same read are still used.
type RecordError struct {
	What string // which record: "tuner", "state", "report", or the name of a router or worker
	Why  string
	Err  error
}

func (e *RecordError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("samples record %q: %s: %v", e.What, e.Why, e.Err)
	}
	return fmt.Sprintf("samples record %q: %s", e.What, e.Why)
}

func (e *RecordError) Unwrap() error { return e.Err }

// Advice tells an operator what to do.
func (e *RecordError) Advice() string {
	return "check the process that wrote the record: it is ignored until it is written again"
}

// freshness is the weight factor for staleness: 1 for the newest version, halved every StaleHalf versions, 0 beyond the
// bounds. A sample that spans versions is dated by its oldest, and each version that it spans counts as half a version
// more, because such a sample was not generated by a single policy.
func (m Model) freshness(lag, spread float64) float64 {
	if lag > m.StaleMost || spread > m.SpreadMost {
		return 0
	}
	return math.Exp2(-(max(lag, 0) + max(spread, 0)/2) / m.StaleHalf)
}
