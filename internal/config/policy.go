package config

import (
	_ "embed" // the schema
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/xeipuuv/gojsonschema"

	"sumacloft/brain"
	"sumacloft/internal/decide/outage"
	"sumacloft/internal/decide/reuse"
	"sumacloft/internal/decide/samples"
	"sumacloft/internal/decide/sites"
)

// Policy sets up how this daemon follows its fleet's policy. Without a store there is none.
type Policy struct {
	Label     string   `toml:"label"`     // of the program's version that this daemon runs, for releases
	Name      string   `toml:"name"`      // the router's in its fleet; store.id where it is absent
	Endpoints []string `toml:"endpoints"` // of the store; the daemon's own node and its peers where they are absent
	OnLapse   string   `toml:"on_lapse"`  // refuse or keep
	LeaseS    int64    `toml:"lease_s"`
	MarginMs  int64    `toml:"margin_ms"` // taken off the lease for clocks that don't run alike
	HoldMs    int64    `toml:"hold_ms"`   // how long an arrival waits for the outcome of a change
	HoldMost  int      `toml:"hold_most"` // how many may wait
	Header    bool     `toml:"header"`    // answers carry X-Sumacloft-Policy
}

// The words for what a router does while it can't renew its lease.
const (
	LapseRefuse = "refuse"
	LapseKeep   = "keep"
)

// On tells whether this daemon follows a policy.
func (p Policy) On() bool { return len(p.Endpoints) > 0 }

// Lease is how long a router that is not heard is taken for alive.
func (p Policy) Lease() time.Duration { return time.Duration(p.LeaseS) * time.Second }

// Margin is taken off it by the router itself.
func (p Policy) Margin() time.Duration { return time.Duration(p.MarginMs) * time.Millisecond }

// Hold is how long an arrival waits.
func (p Policy) Hold() time.Duration { return time.Duration(p.HoldMs) * time.Millisecond }

func (p *Policy) check(s Store) error {
	if s.ID != "" {
		if p.Name == "" {
			p.Name = s.ID
		}
		if len(p.Endpoints) == 0 {
			p.Endpoints = s.endpoints()
		}
	}
	if !p.On() {
		return nil
	}
	if p.Name == "" || strings.Contains(p.Name, "/") {
		return fmt.Errorf("policy.name: %q is missing or has a slash", p.Name)
	}
	for i, e := range p.Endpoints {
		if err := address(fmt.Sprintf("policy.endpoints[%d]", i), e); err != nil {
			return err
		}
	}
	if p.OnLapse != LapseRefuse && p.OnLapse != LapseKeep {
		return fmt.Errorf("policy.on_lapse: %q is neither %s nor %s", p.OnLapse, LapseRefuse, LapseKeep)
	}
	if p.OnLapse == LapseKeep && s.Dir == "" {
		return fmt.Errorf("policy.on_lapse: %s needs store.dir, where a restart finds what it had promised", LapseKeep)
	}
	if p.LeaseS < 1 || p.LeaseS > 3600 {
		return fmt.Errorf("policy.lease_s: %d, must be from 1 to 3600", p.LeaseS)
	}
	if p.MarginMs == 0 {
		p.MarginMs = p.LeaseS * 100 // a tenth
	}
	if p.MarginMs < 0 || p.Margin() >= p.Lease()/2 {
		return fmt.Errorf("policy.margin_ms: %d, must be positive and less than half of the lease", p.MarginMs)
	}
	if p.HoldMs <= 0 {
		return fmt.Errorf("policy.hold_ms: %d, must be positive", p.HoldMs)
	}
	if p.HoldMost <= 0 {
		return fmt.Errorf("policy.hold_most: %d, must be positive", p.HoldMost)
	}
	return nil
}

// Document is a policy as operators write it: what all routers of a fleet decide alike.
type Document struct {
	Chat  PolicyChat  `toml:"chat"`
	Needs PolicyNeeds `toml:"needs,omitempty"`
	// Sites is the plan for the loss of a site; without sites there is none.
	Sites *sites.Model `toml:"sites,omitempty"`
	// Outage bounds what may be out at once; without it nothing is counted.
	Outage *outage.Model `toml:"outage,omitempty"`
	// Reuse has openings copied between regions; without it none is.
	Reuse *reuse.Model `toml:"reuse,omitempty"`
	// Samples is how samples for tuning are weighed; without it no class makes any.
	Samples *samples.Model `toml:"samples,omitempty"`
}

// PolicyChat is the part of [chat] that is a policy's.
type PolicyChat struct {
	ClassHeader     string      `toml:"class_header"`
	SessionHeader   string      `toml:"session_header"`
	Unknown         string      `toml:"unknown"`
	MaxAttempts     int         `toml:"max_attempts"`
	MaxRetryAfterMs float64     `toml:"max_retry_after_ms"`
	MaxTokens       float64     `toml:"max_tokens"`
	Classes         []ChatClass `toml:"class"`
}

// PolicyNeeds is what a router's own file must have.
type PolicyNeeds struct {
	Zones    []string `toml:"zones,omitempty"`
	Servers  []string `toml:"servers,omitempty"`
	Sockets  int      `toml:"sockets,omitzero"`
	MemoryMB int      `toml:"memory_mb,omitzero"`
}

// PolicySchema is the published schema of a policy's structure.
//
//go:embed policy.schema.json
var PolicySchema string

var policySchema = sync.OnceValues(func() (*gojsonschema.Schema, error) {
	return gojsonschema.NewSchema(gojsonschema.NewStringLoader(PolicySchema))
})

// structure checks a policy's text against the schema and names the key at fault.
func structure(text string) error {
	var raw map[string]any
	if _, err := toml.Decode(text, &raw); err != nil {
		return fmt.Errorf("policy: %w", err)
	}
	schema, err := policySchema()
	if err != nil {
		return err
	}
	result, err := schema.Validate(gojsonschema.NewGoLoader(raw))
	if err != nil {
		return fmt.Errorf("policy: %w", err)
	}
	if faults := result.Errors(); len(faults) > 0 {
		key := faults[0].Field()
		if key == gojsonschema.STRING_CONTEXT_ROOT {
			key = "policy"
		}
		return fmt.Errorf("%s: %s", key, faults[0].Description())
	}
	return nil
}

// ReadPolicy reads a policy and checks all of it that does not depend on a router's own file.
func ReadPolicy(text string) (Document, error) {
	if err := structure(text); err != nil {
		return Document{}, err
	}
	d := Document{Chat: defaultChat().policy()}
	if _, err := toml.Decode(text, &d); err != nil {
		return d, fmt.Errorf("policy: %w", err)
	}
	whole := defaultChat()
	whole.take(d.Chat)
	if err := whole.check(true); err != nil {
		return d, err
	}
	d.Chat = whole.policy()
	if d.Sites != nil {
		if _, err := d.Sites.Check(); err != nil {
			return d, err
		}
	}
	if d.Outage != nil {
		if err := d.Outage.Check(); err != nil {
			return d, err
		}
	}
	if d.Reuse != nil {
		if err := d.Reuse.WithDefaults().Check(); err != nil {
			return d, err
		}
	}
	return d, samplesOf(d.Chat.Classes, d.Samples)
}

// Text is the document as TOML.
func (d Document) Text() string {
	var b strings.Builder
	if err := toml.NewEncoder(&b).Encode(d); err != nil {
		panic(err) // it holds nothing that can't be encoded
	}
	return b.String()
}

func (c Chat) policy() PolicyChat {
	return PolicyChat{c.ClassHeader, c.SessionHeader, c.Unknown, c.MaxAttempts, c.MaxRetryAfterMs, c.MaxTokens, slices.Clone(c.Classes)}
}

func (c *Chat) take(p PolicyChat) {
	c.ClassHeader, c.SessionHeader, c.Unknown, c.MaxAttempts = p.ClassHeader, p.SessionHeader, p.Unknown, p.MaxAttempts
	c.MaxRetryAfterMs, c.MaxTokens, c.Classes = p.MaxRetryAfterMs, p.MaxTokens, slices.Clone(p.Classes)
}

// FirstPolicy is the policy that this file has, for a fleet that has none yet.
func (o Operator) FirstPolicy() string {
	d := Document{Chat: o.Chat.policy()}
	if len(o.Sites.Sites) > 0 {
		d.Sites = &o.Sites
	}
	if o.Outage.On() {
		d.Outage = &o.Outage
	}
	if o.Reuse.On() {
		d.Reuse = &o.Reuse
	}
	d.Samples = o.Samples
	return d.Text()
}

// Under gives the chat front's set-up under a policy, or the key for which this router can't carry it.
func (o Operator) Under(text string) (Chat, error) {
	d, err := ReadPolicy(text)
	if err != nil {
		return Chat{}, err
	}
	c := o.Chat
	c.take(d.Chat)
	for _, z := range d.Needs.Zones {
		if !slices.Contains(c.Zones, z) {
			return c, fmt.Errorf("needs.zones: this router's chat.zones lack %q", z)
		}
	}
	for _, id := range d.Needs.Servers {
		if !slices.ContainsFunc(c.Servers, func(s ChatServer) bool { return s.ID == id }) {
			return c, fmt.Errorf("needs.servers: this router's chat.server lacks %q", id)
		}
	}
	if err := o.handsOver(c); err != nil {
		return c, err
	}
	if d.Sites != nil {
		if err := o.plans(c, *d.Sites); err != nil {
			return c, err
		}
	}
	if d.Outage != nil {
		if err := o.bounds(c, *d.Outage); err != nil {
			return c, err
		}
	}
	if d.Reuse != nil {
		if err := o.copies(c, *d.Reuse); err != nil {
			return c, err
		}
	}
	if err := o.weighs(d.Samples); err != nil {
		return c, err
	}
	switch {
	case d.Needs.Sockets > o.Limits.Sockets:
		return c, fmt.Errorf("needs.sockets: %d, this router's limits.sockets is %d", d.Needs.Sockets, o.Limits.Sockets)
	case d.Needs.MemoryMB > o.Limits.MemoryMB:
		return c, fmt.Errorf("needs.memory_mb: %d, this router's limits.memory_mb is %d", d.Needs.MemoryMB, o.Limits.MemoryMB)
	case c.MaxTokens > c.MemoryTokens:
		return c, fmt.Errorf("chat.max_tokens: %g, this router's chat.memory_tokens is %g", c.MaxTokens, c.MemoryTokens)
	}
	return c, c.check(o.watched())
}

// ChatCatalog keeps every class that policies have named while the router runs, as Catalog does for settings. It is
// used by one goroutine at a time.
type ChatCatalog struct{ classes places[brain.Class] }

// Take gives the module's settings with the classes of every place, and the places of this set-up's own classes, the
// one for what no class names last.
func (k *ChatCatalog) Take(c Chat) (brain.Settings, []int) {
	set := c.Brain()
	at := k.classes.take(set.Classes)
	set.Classes = slices.Clone(k.classes)
	return set, at
}
