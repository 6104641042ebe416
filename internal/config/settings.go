package config

import (
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"time"

	"sumacloft/brain"
)

// Settings is the platform's settings object, as far as the project uses it: the simulator gives it to every
// instance and a router reads it from its configuration. Unknown keys are skipped, absent ones keep the
// defaults of ParseSettings.
type Settings struct {
	Balancers int      `json:"balancers"`
	Classes   []Class  `json:"classes"`
	Kinds     []string `json:"kinds"`
	Zones     []string `json:"zones"`
	Locality  int      `json:"locality"`
	StepMs    float64  `json:"stepMs"`
	Registry  string   `json:"registryMode"`
	Family    struct {
		AimPer1000  []float64 `json:"aimUsPer1000PromptTokens"`
		KvTokens    []float64 `json:"kvTokens"`
		KindRole    []string  `json:"kindRole"`
		PinLimitMs  float64   `json:"pinLimitMs"`
		TokenAimMs  []float64 `json:"tokenAimMs"`
		SelfPrefill bool      `json:"selfPrefill"`
	} `json:"familyInfo"`
	Bounds struct {
		Cancelling       bool    `json:"cancelling"`
		ConnIdleMs       float64 `json:"connIdleMs"`
		ConnectTimeoutMs float64 `json:"connectTimeoutMs"`
		MostTries        int     `json:"mostTries"`
		MaxRetryAfterMs  float64 `json:"maxRetryAfterMs"`
		Probing          bool    `json:"probing"`
		RetryAfter       bool    `json:"retryAfter"`
	} `json:"bounds"`
	Report struct {
		Names []string `json:"names"`
		Via   string   `json:"via"`
	} `json:"report"`
	Invariants struct {
		AskWithinMs  float64 `json:"askWithinMs"`
		ColdFrom     float64 `json:"coldFrom"`
		RampTimeMs   float64 `json:"rampTimeMs"`
		FallMultiple float64 `json:"fallMultiple"`
		FallMs       float64 `json:"fallMs"`
	} `json:"invariants"`
}

// Class is one request class of the settings.
type Class struct {
	Name          string  `json:"name"`
	AimMs         float64 `json:"aimMs"`
	DeadlineMs    float64 `json:"deadlineMs"`
	Effect        string  `json:"effect"`
	Group         string  `json:"group"`
	DedupWindowMs float64 `json:"dedupWindowMs"`
	Worth         float64 `json:"worth"`
	AimPer1000    float64 `json:"-"` // µs, from familyInfo.aimUsPer1000PromptTokens by the class's place
}

// restarts are the settings that the router takes at its start alone.
type restarts struct {
	Zones, Kinds             []string
	ConnIdle, ConnectTimeout float64
}

func (s Settings) restart() restarts {
	return restarts{s.Zones, s.Kinds, s.Bounds.ConnIdleMs, s.Bounds.ConnectTimeoutMs}
}

// unset marks a number that the file does not give.
const unset = math.MinInt32

// ParseSettings reads the settings JSON.
func ParseSettings(data []byte) (Settings, error) {
	s := Settings{Balancers: 1, Registry: "automatic"}
	s.Report.Via = "none"
	s.Bounds.ConnectTimeoutMs, s.Bounds.ConnIdleMs = 250, 30000
	s.Bounds.MostTries = unset
	if err := json.Unmarshal(data, &s); err != nil {
		return Settings{}, fmt.Errorf("settings: %w", err)
	}
	// A file written in part, or by hand, must not pass for settings: requests would be refused by a deadline of
	// nothing, or sent without bound.
	switch {
	case s.Bounds.MostTries == unset:
		s.Bounds.MostTries = 0 // no bound given
	case s.Bounds.MostTries <= 0:
		return Settings{}, fmt.Errorf("settings.bounds.mostTries: %d, must be positive", s.Bounds.MostTries)
	}
	for i, c := range s.Classes {
		s.Classes[i].AimPer1000 = at(s.Family.AimPer1000, i)
		switch {
		case c.Name == "":
			return Settings{}, fmt.Errorf("settings.classes[%d].name: missing", i)
		case !(c.DeadlineMs > 0):
			return Settings{}, fmt.Errorf("settings.classes[%d].deadlineMs: %g, must be positive", i, c.DeadlineMs)
		case c.AimMs < 0:
			return Settings{}, fmt.Errorf("settings.classes[%d].aimMs: %g, must not be negative", i, c.AimMs)
		}
	}
	if s.Balancers < 1 {
		return Settings{}, fmt.Errorf("settings.balancers: %d, at least 1", s.Balancers)
	}
	if s.Bounds.ConnectTimeoutMs <= 0 {
		return Settings{}, fmt.Errorf("settings.bounds.connectTimeoutMs: %g, must be positive", s.Bounds.ConnectTimeoutMs)
	}
	if s.Bounds.ConnIdleMs <= 0 {
		return Settings{}, fmt.Errorf("settings.bounds.connIdleMs: %g, must be positive", s.Bounds.ConnIdleMs)
	}
	return s, nil
}

var (
	effects = map[string]brain.Effect{"": brain.Safe, "read_like": brain.Safe, "idempotency_key": brain.Keyed,
		"non_idempotent": brain.Unsafe}
	scopes = map[string]brain.Scope{"": brain.ScopeAll, "all": brain.ScopeAll, "zone": brain.ScopeZone,
		"cell": brain.ScopeCell}
	roles = map[string]brain.Role{"read": brain.Reader, "write": brain.Writer, "both": brain.Mixed}
)

// Brain turns the settings into the module's.
func (s Settings) Brain() (brain.Settings, error) {
	out := brain.Settings{
		Zone: s.Locality, Routers: s.Balancers, MaxAttempts: s.Bounds.MostTries,
		MaxHoldOff: Millis(s.Bounds.MaxRetryAfterMs), HoldOff: s.Bounds.RetryAfter, Probing: s.Bounds.Probing,
		Cancelling: s.Bounds.Cancelling, WritersRead: s.Family.SelfPrefill,
		AskForList: s.Registry == "subscribe",
		Step:       Millis(s.StepMs), PinLimit: Millis(s.Family.PinLimitMs),
		AskWithin: Millis(s.Invariants.AskWithinMs),
		ColdShare: s.Invariants.ColdFrom, WarmAfter: Millis(s.Invariants.RampTimeMs),
		OverloadRatio: s.Invariants.FallMultiple, OverloadFor: Millis(s.Invariants.FallMs),
	}
	for i, c := range s.Classes {
		effect, okEffect := effects[c.Effect]
		if !okEffect {
			return out, fmt.Errorf("settings.classes[%d].effect: %q is not known", i, c.Effect)
		}
		scope, okScope := scopes[c.Group]
		if !okScope {
			return out, fmt.Errorf("settings.classes[%d].group: %q is not known", i, c.Group)
		}
		out.Classes = append(out.Classes, brain.Class{
			Aim: Millis(c.AimMs), AimPer1kPrompt: Millis(c.AimPer1000 / 1e3),
			Deadline: Millis(c.DeadlineMs), Worth: c.Worth, Effect: effect, Scope: scope, RepeatWindow: Millis(c.DedupWindowMs)})
	}
	for i := range max(len(s.Kinds), len(s.Family.KindRole)) {
		kind := brain.Kind{Role: brain.Mixed, MemoryTokens: at(s.Family.KvTokens, i)}
		if i < len(s.Family.KindRole) {
			role, ok := roles[s.Family.KindRole[i]]
			if !ok {
				return out, fmt.Errorf("settings.familyInfo.kindRole[%d]: %q is not known", i, s.Family.KindRole[i])
			}
			kind.Role = role
		}
		out.Kinds = append(out.Kinds, kind)
	}
	return out, nil
}

// Longest is the longest deadline of the classes.
func (s Settings) Longest() time.Duration {
	var most float64
	for _, c := range s.Classes {
		most = max(most, c.DeadlineMs)
	}
	return Millis(most)
}

// Class is the place of the class with this name, or -1.
func (s Settings) Class(name string) int {
	return slices.IndexFunc(s.Classes, func(c Class) bool { return c.Name == name })
}

// Millis turns the platform's milliseconds into a duration, to the microsecond.
func Millis(ms float64) time.Duration {
	return time.Duration(math.Round(ms*1e3)) * time.Microsecond
}

func at(values []float64, i int) float64 {
	if i < len(values) {
		return values[i]
	}
	return 0
}
