package config

import (
	"fmt"
	"strings"
	"time"

	"sumacloft/brain"
	"sumacloft/internal/core"
	"sumacloft/internal/discovery"
)

// Chat sets up the chat front.
type Chat struct {
	Zone             string   `toml:"zone"`
	Zones            []string `toml:"zones"`
	ClassHeader      string   `toml:"class_header"`
	SessionHeader    string   `toml:"session_header"`
	Unknown          string   `toml:"unknown"` // what becomes of a model that no class names: reject, or unsafe
	HealthPath       string   `toml:"health_path"`
	MaxAttempts      int      `toml:"max_attempts"`
	MaxRetryAfterMs  float64  `toml:"max_retry_after_ms"`
	ConnectTimeoutMs float64  `toml:"connect_timeout_ms"`
	ConnIdleMs       float64  `toml:"conn_idle_ms"`
	MemoryTokens     float64  `toml:"memory_tokens"`
	MaxTokens        float64  `toml:"max_tokens"` // assumed where a request states none

	Classes []ChatClass  `toml:"class"`
	Servers []ChatServer `toml:"server"`
}

// ChatClass is a class of chat requests.
type ChatClass struct {
	Name       string   `toml:"name"`
	Models     []string `toml:"models"`
	Effect     string   `toml:"effect"`             // safe, keyed or unsafe
	WindowMs   float64  `toml:"window_ms,omitzero"` // keyed: for how long servers drop repeats of an Idempotency-Key
	Handover   bool     `toml:"handover,omitempty"` // work in hand is written down, so that another router can take it over
	Samples    bool     `toml:"samples,omitempty"`  // its answers are samples for tuning: they are counted, and clerks' requests go before them
	AimMs      float64  `toml:"aim_ms"`
	DeadlineMs float64  `toml:"deadline_ms"`
	WholeMs    float64  `toml:"whole_ms"` // deadline of an answer that does not stream
	Worth      float64  `toml:"worth"`
}

// ChatServer is one server.
type ChatServer struct {
	ID    string  `toml:"id"`
	Addr  string  `toml:"addr"`
	Zone  string  `toml:"zone"`
	Cell  int     `toml:"cell"`
	Size  float64 `toml:"size"`
	Phase string  `toml:"phase"`
}

// The words for what becomes of an unknown model.
const (
	UnknownReject = "reject"
	UnknownUnsafe = "unsafe"
)

// kindChat is the one kind of server behind the chat front; it reads and answers.
const kindChat = "chat"

func defaultChat() Chat {
	return Chat{ClassHeader: "X-Request-Class", SessionHeader: "X-Session-Id", Unknown: UnknownReject, HealthPath: "/health",
		MaxAttempts: 3, MaxRetryAfterMs: 2000, ConnectTimeoutMs: 250, ConnIdleMs: 30000, MemoryTokens: 200000, MaxTokens: 1024}
}

func (c *Chat) check(discovered bool) error {
	positive := map[string]float64{"chat.max_attempts": float64(c.MaxAttempts), "chat.connect_timeout_ms": c.ConnectTimeoutMs,
		"chat.conn_idle_ms": c.ConnIdleMs, "chat.memory_tokens": c.MemoryTokens, "chat.max_tokens": c.MaxTokens}
	models, names := map[string]bool{}, map[string]bool{}
	for i := range c.Classes {
		k := &c.Classes[i]
		key := fmt.Sprintf("chat.class[%d]", i)
		if k.Name == "" || names[k.Name] {
			return fmt.Errorf("%s.name: %q is missing or there twice", key, k.Name)
		}
		names[k.Name] = true
		if k.Effect != "safe" && k.Effect != "unsafe" && k.Effect != "keyed" {
			return fmt.Errorf("%s.effect: %q is none of safe, keyed and unsafe", key, k.Effect)
		}
		if (k.Effect == "keyed") != (k.WindowMs > 0) {
			return fmt.Errorf("%s.window_ms: %g, is positive where effect is keyed, and there only", key, k.WindowMs)
		}
		for _, m := range k.Models {
			if m == "" || models[m] {
				return fmt.Errorf("%s.models: %q is empty or in two places", key, m)
			}
			models[m] = true
		}
		if k.AimMs == 0 {
			k.AimMs = k.DeadlineMs / 4
		}
		if k.WholeMs == 0 {
			k.WholeMs = 10 * k.DeadlineMs
		}
		if k.Worth == 0 {
			k.Worth = 1
		}
		positive[key+".deadline_ms"], positive[key+".aim_ms"] = k.DeadlineMs, k.AimMs
		positive[key+".whole_ms"], positive[key+".worth"] = k.WholeMs, k.Worth
	}
	for key, v := range positive {
		if !(v > 0) {
			return fmt.Errorf("%s: %g, must be positive", key, v)
		}
	}
	if len(c.Classes) == 0 {
		return fmt.Errorf("chat.class: at least one is needed")
	}
	if c.Unknown != UnknownReject && c.Unknown != UnknownUnsafe {
		return fmt.Errorf("chat.unknown: %q is neither %s nor %s", c.Unknown, UnknownReject, UnknownUnsafe)
	}
	if !strings.HasPrefix(c.HealthPath, "/") {
		return fmt.Errorf("chat.health_path: %q does not begin with /", c.HealthPath)
	}
	if len(c.Servers) == 0 && !discovered {
		return fmt.Errorf("chat.server: at least one is needed where nothing else names servers")
	}
	ids := map[string]bool{}
	for i, s := range c.Servers {
		key := fmt.Sprintf("chat.server[%d]", i)
		if s.ID == "" || ids[s.ID] {
			return fmt.Errorf("%s.id: %q is missing or there twice", key, s.ID)
		}
		ids[s.ID] = true
		if err := address(key+".addr", s.Addr); err != nil {
			return err
		}
		if s.Phase != "" && s.Phase != "SERVING" && s.Phase != "DRAINING" {
			return fmt.Errorf("%s.phase: %q is neither SERVING nor DRAINING", key, s.Phase)
		}
	}
	return nil
}

// Brain turns the chat front's set-up into the module's settings. Behind the operator's classes comes one more,
// for what no class names: it must never run twice.
func (c Chat) Brain() brain.Settings {
	set := brain.Settings{MaxAttempts: c.MaxAttempts, MaxHoldOff: Millis(c.MaxRetryAfterMs), HoldOff: true,
		Probing: true, Cancelling: true, Step: time.Millisecond, Zone: c.Names().Zone(c.Zone),
		Kinds: []brain.Kind{{Role: brain.Mixed, MemoryTokens: c.MemoryTokens}}}
	longest := 0.0
	for _, k := range c.Classes {
		class := brain.Class{Aim: Millis(k.AimMs), Deadline: Millis(k.DeadlineMs), Worth: k.Worth}
		switch k.Effect {
		case "unsafe":
			class.Effect = brain.Unsafe
		case "keyed":
			class.Effect, class.RepeatWindow = brain.Keyed, Millis(k.WindowMs)
		}
		set.Classes = append(set.Classes, class)
		longest = max(longest, k.DeadlineMs)
	}
	set.Classes = append(set.Classes, brain.Class{Aim: Millis(longest / 4), Deadline: Millis(longest), Worth: 1, Effect: brain.Unsafe})
	return set
}

// Names gives the places of the zones and of the one kind.
func (c Chat) Names() discovery.Names {
	return discovery.Names{Zones: c.Zones, Kinds: []string{kindChat}}
}

// Workers lists the servers that the file names.
func (c Chat) Workers() []core.Worker { return c.Names().Workers(c.Members()) }

// Members is the same in discovery's form.
func (c Chat) Members() []discovery.Member {
	members := make([]discovery.Member, 0, len(c.Servers))
	for _, s := range c.Servers {
		if s.Phase == "" {
			s.Phase = "SERVING"
		}
		members = append(members, discovery.Member{ID: s.ID, HostPort: s.Addr, Locality: s.Zone, Flavor: kindChat,
			Cell: s.Cell, Phase: s.Phase, Size: s.Size})
	}
	return members
}
