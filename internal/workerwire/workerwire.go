// Package workerwire has what workers say of themselves, as they send it. Stand-ins of workers use it; control members
// read heartbeats by their own checks (registry.ParseBeat).
package workerwire

// Model is a model that a worker holds.
type Model struct {
	Name    string   `json:"name"`
	Version int      `json:"version"` // of its weights
	AddOns  []string `json:"add_ons"`
}

// Heartbeat is the body of a worker's heartbeat.
type Heartbeat struct {
	Service    string  `json:"service"`
	Address    string  `json:"address"`
	Zone       string  `json:"zone"`
	Version    string  `json:"version"` // of its software
	Capacity   int     `json:"capacity"`
	State      string  `json:"state"`            // "up" or "leaving"
	ColdLeftMS int     `json:"cold_left_ms"`     // for how much longer it is slow from its start
	Phase      string  `json:"phase,omitempty"`  // "" for workers without phases
	Models     []Model `json:"models,omitempty"` // of a model worker
	CallCount  uint64  `json:"call_count"`       // rises with each call
}
