package reuse

import (
	"fmt"
	"math"
	"slices"
)

// Model is what an operator states of the fleet. Zero settings have defaults, see Filled.
type Model struct {
	Regions []Region `json:"regions" toml:"region,omitempty"`
	Links   []Link   `json:"links" toml:"link,omitempty"`
	// LeaseMs is how long a copy is held without a report of its use.
	LeaseMs float64 `json:"lease_ms,omitempty" toml:"lease_ms,omitzero"`
	// Share of a region's memory that copies may take.
	Share float64 `json:"share,omitempty" toml:"share,omitzero"`
	// LinkShare is the part of a link's rate that copies may take.
	LinkShare float64 `json:"link_share,omitempty" toml:"link_share,omitzero"`
	// Copies of one prefix at most, besides where it is used most; Orders under way at most, over all links.
	Copies int `json:"copies,omitempty" toml:"copies,omitzero"`
	Orders int `json:"orders,omitempty" toml:"orders,omitzero"`
	// Uses is how many uses lately a prefix must surely have had before it is copied.
	Uses float64 `json:"uses,omitempty" toml:"uses,omitzero"`
	// Gain is by how many times what is saved must exceed the cost before a prefix is copied.
	Gain float64 `json:"gain,omitempty" toml:"gain,omitzero"`
	// WarmBelow is how many requests all routers together may have at a server, less one, for it to be read to in background.
	WarmBelow int `json:"warm_below,omitempty" toml:"warm_below,omitzero"`
	// ReadTokens is what bringing a prefix costs besides, whatever its length, in tokens read: a read in background is a whole request.
	// nil: what the way it is brought costs, see Costing; that is nothing for links that send what was read.
	ReadTokens *float64 `json:"read_tokens,omitempty" toml:"read_tokens,omitempty"`
	// HoldOwn has a region hold prefixes of its own as well, where that pays as it would for a copy; nothing is sent. Servers that
	// keep what they are told to are needed for it, which chat servers do not: no policy sets it.
	HoldOwn bool `json:"own,omitempty" toml:"-"`
	// ReportMs is how often routers report.
	ReportMs float64 `json:"report_ms,omitempty" toml:"report_ms,omitzero"`
}

// WithReadTokens is the model with what bringing a prefix costs besides, in tokens, where it does not say.
func (m Model) WithReadTokens(tokens float64) Model {
	if m.ReadTokens == nil {
		m.ReadTokens = &tokens
	}
	return m
}

// fixedCost is what bringing a prefix over a link costs whatever its length; what a region holds of its own is not brought.
func (m Model) fixedCost(l *Link) float64 {
	if m.ReadTokens == nil || l.From == "" {
		return 0
	}
	return *m.ReadTokens
}

// Region is a zone of the fleet.
type Region struct {
	Name   string  `json:"name" toml:"name"`
	Memory float64 `json:"memory" toml:"memory"` // tokens that its servers keep together
}

// Link leads from one region to another, one way; one from a region to itself is for copies from servers that are let out.
type Link struct {
	From  string  `json:"from" toml:"from"`
	To    string  `json:"to" toml:"to"`
	Rate  float64 `json:"rate" toml:"rate"`                      // tokens a second
	Price float64 `json:"price,omitempty" toml:"price,omitzero"` // of a token, as a part of what reading one costs
}

// Bounds of what stands in the store: with them a state has at most MaxBytes.
const (
	MaxRegions   = 16
	MaxCopies    = 512
	maxCooldowns = 128
	maxNotes     = 16
	maxName      = 64
	MaxBytes     = 176 << 10
)

// On tells whether there is anything to decide.
func (m Model) On() bool { return len(m.Regions) > 0 }

// ModelError is a setting that cannot be used.
type ModelError struct {
	Key  string // of the setting, from "reuse." on
	Says string
}

func (e *ModelError) Error() string { return fmt.Sprintf("reuse.%s: %s", e.Key, e.Says) }

// Advice is what an operator can do.
func (e *ModelError) Advice() string {
	return "set reuse." + e.Key + " in the policy to what is allowed, and apply it again"
}

// Filled is the model with its defaults: a lease of 240 s, a quarter of the memory, half of a link, 4 copies of a prefix, 32
// orders under way, 2 uses, a gain of 2, servers with fewer than 2 requests warmed, and reports each second.
func (m Model) Filled() Model {
	for _, setting := range []struct {
		target *float64
		value  float64
	}{{&m.LeaseMs, 240_000}, {&m.Share, 0.25}, {&m.LinkShare, 0.5}, {&m.Uses, 2}, {&m.Gain, 2}, {&m.ReportMs, 1000}} {
		if *setting.target == 0 {
			*setting.target = setting.value
		}
	}
	if m.Copies == 0 {
		m.Copies = 4
	}
	if m.Orders == 0 {
		m.Orders = 32
	}
	if m.WarmBelow == 0 {
		m.WarmBelow = 2
	}
	return m
}

// Check tells what of a filled model cannot be used, as a *ModelError.
func (m Model) Check() error {
	if n := len(m.Regions); n < 2 || n > MaxRegions {
		return &ModelError{"region", fmt.Sprintf("%d of them, must be from 2 to %d", n, MaxRegions)}
	}
	for i, r := range m.Regions {
		if r.Name == "" || len(r.Name) > maxName || m.regionIndex(r.Name) != i {
			return &ModelError{fmt.Sprintf("region[%d].name", i), fmt.Sprintf("%q is missing, too long or there twice", r.Name)}
		}
		if !(r.Memory > 0) || math.IsInf(r.Memory, 0) {
			return &ModelError{fmt.Sprintf("region[%d].memory", i), fmt.Sprintf("%g, must be positive", r.Memory)}
		}
	}
	for i, l := range m.Links {
		switch {
		case m.regionIndex(l.From) < 0 || m.regionIndex(l.To) < 0:
			return &ModelError{fmt.Sprintf("link[%d]", i), fmt.Sprintf("it must lead from one region to another or to itself, not from %q to %q", l.From, l.To)}
		case !(l.Rate > 0) || !(l.Price >= 0) || math.IsInf(l.Rate+l.Price, 0):
			return &ModelError{fmt.Sprintf("link[%d]", i), fmt.Sprintf("its rate is %g and its price %g", l.Rate, l.Price)}
		}
	}
	for _, s := range []struct {
		key             string
		value, min, max float64
	}{{"lease_ms", m.LeaseMs, 1000, 3_600_000}, {"share", m.Share, 0, 1}, {"link_share", m.LinkShare, 0, 1}, {"copies", float64(m.Copies), 1, MaxRegions},
		{"orders", float64(m.Orders), 1, MaxCopies}, {"read_tokens", m.fixedCost(&Link{From: "any"}), 0, 1_000_000}, {"warm_below", float64(m.WarmBelow), 1, 10_000}, {"uses", m.Uses, 1, 1000}, {"gain", m.Gain, 1, 100}, {"report_ms", m.ReportMs, 50, 60_000}} {
		if !(s.value >= s.min && s.value <= s.max) {
			return &ModelError{s.key, fmt.Sprintf("%g, must be from %g to %g", s.value, s.min, s.max)}
		}
	}
	return nil
}

func (m Model) regionIndex(name string) int {
	return slices.IndexFunc(m.Regions, func(r Region) bool { return r.Name == name })
}

// Condition is what a region may have done to it.
type Condition string

// The conditions. Nothing is copied into a region that is not up.
const (
	Up        Condition = "up"
	Lost      Condition = "lost"      // nor are copies there believed in
	Returning Condition = "returning" // it bears its own work only
	Held      Condition = "held"      // an operator holds it
)

// Server is one that can hold copies.
type Server struct {
	ID       string
	Region   string
	Boot     string // of its process: another one has lost what it kept
	Draining bool
}
