package reuse

import (
	"fmt"
	"math"
	"slices"
)

// Model is the operator's configuration of prefix copying. Settings that are zero take the defaults of WithDefaults.
type Model struct {
	Regions []Region `json:"regions" toml:"region,omitempty"`
	Links   []Link   `json:"links" toml:"link,omitempty"`
	// LeaseMs is how long a copy is held without a report of its use.
	LeaseMs float64 `json:"lease_ms,omitempty" toml:"lease_ms,omitzero"`
	// Share is the part of a region's memory that copies may take.
	Share float64 `json:"share,omitempty" toml:"share,omitzero"`
	// LinkShare is the part of a link's rate that copies may take.
	LinkShare float64 `json:"link_share,omitempty" toml:"link_share,omitzero"`
	// Copies is the maximum number of copies of one prefix, not counting the region where it is used most.
	// Orders is the maximum number of orders under way, over all links.
	Copies int `json:"copies,omitempty" toml:"copies,omitzero"`
	Orders int `json:"orders,omitempty" toml:"orders,omitzero"`
	// Uses is the minimum number of recent uses, as a lower bound, that a prefix needs before it is copied.
	Uses float64 `json:"uses,omitempty" toml:"uses,omitzero"`
	// Gain is the factor by which the reading saved must exceed the cost before a prefix is copied.
	Gain float64 `json:"gain,omitempty" toml:"gain,omitzero"`
	// WarmBelow limits background reads: a server is read to only while all routers together have fewer requests there.
	WarmBelow int `json:"warm_below,omitempty" toml:"warm_below,omitzero"`
	// ReadTokens is the cost of bringing a prefix that does not depend on its length, in tokens read. A background read is a
	// whole request and has such a cost. If nil, the transfer's own cost applies, see WithReadTokens: it is zero for links
	// that send KV cache that was read elsewhere.
	ReadTokens *float64 `json:"read_tokens,omitempty" toml:"read_tokens,omitempty"`
	// HoldOwn lets a region also hold prefixes that it has itself, where that pays as a copy would. Nothing is sent. It needs
	// servers that can pin prefixes, which chat servers cannot, so no policy sets it.
	HoldOwn bool `json:"own,omitempty" toml:"-"`
	// ReportMs is the interval of the routers' reports.
	ReportMs float64 `json:"report_ms,omitempty" toml:"report_ms,omitzero"`
}

// WithReadTokens returns the model with ReadTokens set to tokens if it is not set.
func (m Model) WithReadTokens(tokens float64) Model {
	if m.ReadTokens == nil {
		m.ReadTokens = &tokens
	}
	return m
}

// fixedCost is the length-independent cost of bringing a prefix over a link. Holding a region's own prefix has none.
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

// Link is a one-way connection between two regions. A link from a region to itself carries copies from servers that are
// being drained.
type Link struct {
	From  string  `json:"from" toml:"from"`
	To    string  `json:"to" toml:"to"`
	Rate  float64 `json:"rate" toml:"rate"`                      // tokens per second
	Price float64 `json:"price,omitempty" toml:"price,omitzero"` // per token, as a part of the cost of reading one
}

// Bounds of the stored state. Within them a state has at most MaxBytes.
const (
	MaxRegions   = 16
	MaxCopies    = 512
	maxCooldowns = 128
	maxNotes     = 16
	maxName      = 64
	MaxBytes     = 176 << 10
)

// On reports whether copying is configured.
func (m Model) On() bool { return len(m.Regions) > 0 }

// ModelError is a setting with an invalid value.
type ModelError struct {
	Key  string // name of the setting below "reuse."
	Says string
}

func (e *ModelError) Error() string { return fmt.Sprintf("reuse.%s: %s", e.Key, e.Says) }

// Advice returns what an operator can do about the error.
func (e *ModelError) Advice() string {
	return "set reuse." + e.Key + " in the policy to an allowed value and apply the policy again"
}

// WithDefaults returns the model with defaults: a lease of 240 s, a quarter of the memory, half of a link, 4 copies of a prefix,
// 32 orders under way, 2 uses, a gain of 2, background reads below 2 requests, and a report each second.
func (m Model) WithDefaults() Model {
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

// Check validates a model that has its defaults. Its errors are *ModelError.
func (m Model) Check() error {
	if n := len(m.Regions); n < 2 || n > MaxRegions {
		return &ModelError{"region", fmt.Sprintf("%d regions, must be from 2 to %d", n, MaxRegions)}
	}
	for i, r := range m.Regions {
		if r.Name == "" || len(r.Name) > maxName || m.regionIndex(r.Name) != i {
			return &ModelError{fmt.Sprintf("region[%d].name", i), fmt.Sprintf("name %q is empty, too long or not unique", r.Name)}
		}
		if !(r.Memory > 0) || math.IsInf(r.Memory, 0) {
			return &ModelError{fmt.Sprintf("region[%d].memory", i), fmt.Sprintf("memory of %g tokens, must be positive and finite", r.Memory)}
		}
	}
	for i, l := range m.Links {
		switch {
		case m.regionIndex(l.From) < 0 || m.regionIndex(l.To) < 0:
			return &ModelError{fmt.Sprintf("link[%d]", i), fmt.Sprintf("unknown region in link from %q to %q", l.From, l.To)}
		case !(l.Rate > 0) || !(l.Price >= 0) || math.IsInf(l.Rate+l.Price, 0):
			return &ModelError{fmt.Sprintf("link[%d]", i), fmt.Sprintf("rate %g must be positive and price %g not negative, both finite", l.Rate, l.Price)}
		}
	}
	for _, s := range []struct {
		key             string
		value, min, max float64
	}{{"lease_ms", m.LeaseMs, 1000, 3_600_000}, {"share", m.Share, 0, 1}, {"link_share", m.LinkShare, 0, 1},
		{"copies", float64(m.Copies), 1, MaxRegions},
		{"orders", float64(m.Orders), 1, MaxCopies}, {"read_tokens", m.fixedCost(&Link{From: "any"}), 0, 1_000_000},
		{"warm_below", float64(m.WarmBelow), 1, 10_000}, {"uses", m.Uses, 1, 1000}, {"gain", m.Gain, 1, 100}, {"report_ms", m.ReportMs, 50, 60_000}} {
		if !(s.value >= s.min && s.value <= s.max) {
			return &ModelError{s.key, fmt.Sprintf("%g, must be from %g to %g", s.value, s.min, s.max)}
		}
	}
	return nil
}

func (m Model) regionIndex(name string) int {
	return slices.IndexFunc(m.Regions, func(r Region) bool { return r.Name == name })
}

// Condition is the state of a region as far as copying is concerned.
type Condition string

// The conditions. Nothing is copied into a region that is not up.
const (
	Up        Condition = "up"
	Lost      Condition = "lost"      // copies in it are released as well
	Returning Condition = "returning" // it serves only its own requests
	Held      Condition = "held"      // on hold by an operator
)

// Server is a server that can hold copies.
type Server struct {
	ID       string
	Region   string
	Boot     string // ID of its process; a new process has an empty cache
	Draining bool
}
