package wire

import (
	"encoding/json"
	"fmt"
)

// Settings is the settings object of a Provision, as far as the adapter uses it. Unknown keys are skipped,
// absent ones keep the defaults of ParseSettings.
type Settings struct {
	Balancers int      `json:"balancers"`
	Classes   []Class  `json:"classes"`
	Kinds     []string `json:"kinds"`
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
		Cancelling      bool    `json:"cancelling"`
		MostTries       int     `json:"mostTries"`
		MaxRetryAfterMs float64 `json:"maxRetryAfterMs"`
		Probing         bool    `json:"probing"`
		RetryAfter      bool    `json:"retryAfter"`
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
	AimMs         float64 `json:"aimMs"`
	DeadlineMs    float64 `json:"deadlineMs"`
	Effect        string  `json:"effect"`
	Group         string  `json:"group"`
	DedupWindowMs float64 `json:"dedupWindowMs"`
	Worth         float64 `json:"worth"`
}

// ParseSettings reads the settings JSON.
func ParseSettings(data []byte) (Settings, error) {
	s := Settings{Balancers: 1, Registry: "automatic"}
	s.Report.Via = "none"
	if err := json.Unmarshal(data, &s); err != nil {
		return Settings{}, fmt.Errorf("settings: %w", err)
	}
	if s.Balancers < 1 {
		return Settings{}, fmt.Errorf("settings: %d balancers", s.Balancers)
	}
	return s, nil
}
