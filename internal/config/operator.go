package config

import (
	"errors"
	"fmt"
	"reflect"

	"github.com/BurntSushi/toml"

	"sumacloft/internal/decide/outage"
	"sumacloft/internal/decide/reuse"
	"sumacloft/internal/decide/samples"
	"sumacloft/internal/decide/sites"
)

// Operator is the operator's file: the chat front and the servers behind it.
type Operator struct {
	Name      string  `toml:"name"`
	Listen    string  `toml:"listen"`
	Discovery string  `toml:"discovery"` // host:port in the platform's form; "" for none
	Seed      uint64  `toml:"seed"`
	Limits    OpLimit `toml:"limits"`
	Chat      Chat    `toml:"chat"`
	Members   Members `toml:"members"`
	Store     Store   `toml:"store"`
	Policy    Policy  `toml:"policy"`
	Work      Work    `toml:"work"`
	// Sites is the plan for the loss of a site, for a fleet that has no policy yet; without sites there is none.
	Sites sites.Model `toml:"sites"`
	// Outage bounds what may be out at once, for a fleet that has no policy yet.
	Outage outage.Model `toml:"outage"`
	// Reuse has openings copied between regions, for a fleet that has no policy yet.
	Reuse reuse.Model `toml:"reuse"`
	// Samples is how samples for tuning are weighed, for a fleet that has no policy yet; nil: no class makes any.
	Samples *samples.Model `toml:"samples"`
}

// Members says where the list of servers is watched in etcd's API; without endpoints it is not.
type Members struct {
	Endpoints []string `toml:"endpoints"`
	Prefix    string   `toml:"prefix"`
}

// Store sets up this daemon's node of the replicated store; without an id there is none.
type Store struct {
	ID        string `toml:"id"`
	Dir       string `toml:"dir"`        // "" keeps nothing over a restart
	ConfigKey string `toml:"config_key"` // where the store held [chat] before there were policies; "" for nowhere
	// HeartbeatMs is how long a node waits for its leader before it stands for election itself; 0: a second.
	HeartbeatMs float64 `toml:"heartbeat_ms"`
	// SnapshotEntries is how many entries of the log have a snapshot taken, SnapshotMs how often that is looked at;
	// 0 stands for a default each.
	SnapshotEntries int     `toml:"snapshot_entries"`
	SnapshotMs      float64 `toml:"snapshot_ms"`
	// KeepRevisions is how many revisions of history are kept for watches that fell behind; 0: all.
	KeepRevisions int64       `toml:"keep_revisions"`
	Peers         []StorePeer `toml:"peer"`
}

// StorePeer is one node of the store.
type StorePeer struct {
	ID     string `toml:"id"`
	Raft   string `toml:"raft"`
	Client string `toml:"client"`
}

// minHeartbeatMs is the shortest time in which a busy machine still hears a leader.
const minHeartbeatMs = 50

// minSnapshotMs is the shortest time between two looks that raft allows.
const minSnapshotMs = 5

// Self is this daemon's node, once checked.
func (s Store) Self() StorePeer {
	for _, p := range s.Peers {
		if p.ID == s.ID {
			return p
		}
	}
	return StorePeer{}
}

// endpoints are those of the store's nodes, this daemon's first.
func (s Store) endpoints() []string {
	out := []string{s.Self().Client}
	for _, p := range s.Peers {
		if p.ID != s.ID {
			out = append(out, p.Client)
		}
	}
	return out
}

func (s Store) check() error {
	if s.ID == "" {
		if len(s.Peers) > 0 {
			return fmt.Errorf("store.id: missing")
		}
		return nil
	}
	ids := map[string]bool{}
	for i, p := range s.Peers {
		key := fmt.Sprintf("store.peer[%d]", i)
		if p.ID == "" || ids[p.ID] {
			return fmt.Errorf("%s.id: %q is missing or there twice", key, p.ID)
		}
		ids[p.ID] = true
		if err := address(key+".raft", p.Raft); err != nil {
			return err
		}
		if err := address(key+".client", p.Client); err != nil {
			return err
		}
	}
	if !ids[s.ID] {
		return fmt.Errorf("store.id: %q is none of store.peer", s.ID)
	}
	if s.HeartbeatMs != 0 && !(s.HeartbeatMs >= minHeartbeatMs) {
		return fmt.Errorf("store.heartbeat_ms: %g, at least %d", s.HeartbeatMs, minHeartbeatMs)
	}
	if s.SnapshotEntries < 0 {
		return fmt.Errorf("store.snapshot_entries: %d, must not be negative", s.SnapshotEntries)
	}
	if s.KeepRevisions < 0 {
		return fmt.Errorf("store.keep_revisions: %d, must not be negative", s.KeepRevisions)
	}
	if s.SnapshotMs != 0 && !(s.SnapshotMs >= minSnapshotMs) {
		return fmt.Errorf("store.snapshot_ms: %g, at least %d", s.SnapshotMs, minSnapshotMs)
	}
	return nil
}

func (m *Members) check(s Store) error {
	if m.Prefix == "" {
		return fmt.Errorf("members.prefix: missing")
	}
	if s.ID != "" && len(m.Endpoints) == 0 { // the store's own nodes, this one first
		m.Endpoints = s.endpoints()
	}
	for i, e := range m.Endpoints {
		if err := address(fmt.Sprintf("members.endpoints[%d]", i), e); err != nil {
			return err
		}
	}
	return nil
}

// ReadChat reads the text of a [chat] table, as the store holds it, over the file's.
func (o Operator) ReadChat(text string) (Operator, error) {
	classes, servers := o.Chat.Classes, o.Chat.Servers
	o.Chat.Classes, o.Chat.Servers = nil, nil
	meta, err := toml.Decode(text, &o.Chat)
	if err != nil {
		return o, fmt.Errorf("%s: %w", o.Store.ConfigKey, err)
	}
	if extra := meta.Undecoded(); len(extra) > 0 {
		return o, fmt.Errorf("%s: chat.%s: not known", o.Store.ConfigKey, extra[0])
	}
	if o.Chat.Classes == nil {
		o.Chat.Classes = classes
	}
	if o.Chat.Servers == nil {
		o.Chat.Servers = servers
	}
	return o, o.Chat.check(o.watched())
}

// watched tells whether something else than the file names servers.
func (o Operator) watched() bool { return o.Discovery != "" || len(o.Members.Endpoints) > 0 }

// OpLimit is the operator's form of Limits.
type OpLimit struct {
	Cores    float64 `toml:"cores"`
	MemoryMB int     `toml:"memory_mb"`
	Sockets  int     `toml:"sockets"`
}

// ReadOperator reads an operator's file.
func ReadOperator(path string) (Operator, error) {
	o := Operator{Name: "sumacloft", Store: Store{ConfigKey: "/sumacloft/config/chat", KeepRevisions: 20000},
		Members: Members{Prefix: "/sumacloft/members/"}, Chat: defaultChat(),
		Policy: Policy{OnLapse: LapseRefuse, LeaseS: 3, HoldMs: 500, HoldMost: 1024}, Work: defaultWork()}
	meta, err := toml.DecodeFile(path, &o)
	if err != nil {
		return o, fmt.Errorf("%s: %w", path, err)
	}
	if extra := meta.Undecoded(); len(extra) > 0 {
		return o, fmt.Errorf("%s: not known", extra[0])
	}
	if err := address("listen", o.Listen); err != nil {
		return o, err
	}
	if o.Discovery != "" {
		if err := address("discovery", o.Discovery); err != nil {
			return o, err
		}
	}
	limits := Limits(o.Limits)
	if err := limits.fill(); err != nil {
		return o, err
	}
	o.Limits = OpLimit(limits)
	if err := o.Store.check(); err != nil {
		return o, err
	}
	if err := o.Members.check(o.Store); err != nil {
		return o, err
	}
	if err := o.Policy.check(o.Store); err != nil {
		return o, err
	}
	if err := o.Work.check(); err != nil {
		return o, err
	}
	if err := o.handsOver(o.Chat); err != nil {
		return o, err
	}
	if err := o.plans(o.Chat, o.Sites); err != nil {
		return o, err
	}
	if err := errors.Join(samplesOf(o.Chat.Classes, o.Samples), o.weighs(o.Samples)); err != nil {
		return o, err
	}
	if o.Discovery != "" && len(o.Members.Endpoints) > 0 {
		return o, fmt.Errorf("discovery: there are members.endpoints (or a store) too; only one can name the servers")
	}
	return o, o.Chat.check(o.watched())
}

// handsOver checks that this router can write work in hand down, where a class asks for it: it must not go unguarded.
func (o Operator) handsOver(c Chat) error {
	for i, k := range c.Classes {
		if k.Handover && (!o.Policy.On() || o.Policy.OnLapse != LapseRefuse) {
			return fmt.Errorf("chat.class[%d].handover: work is taken over once a router's lease is over: this needs a store, and policy.on_lapse %q", i, LapseRefuse)
		}
	}
	return nil
}

// Moved tells whether the next configuration names another place of the list of servers, or, where the file itself
// lists them, others.
func (o Operator) Moved(next Operator) bool {
	if o.watched() && next.watched() {
		return o.Discovery != next.Discovery || !reflect.DeepEqual(o.Members, next.Members)
	}
	return o.watched() != next.watched() || !reflect.DeepEqual(o.Chat.Servers, next.Chat.Servers)
}

// Take takes over what needs no restart.
func (o *Operator) Take(next Operator) {
	o.Discovery, o.Members, o.Chat.Servers = next.Discovery, next.Members, next.Chat.Servers
}

// Stale names what differs in the next configuration and takes effect only with a restart.
func (o Operator) Stale(next Operator) []string {
	o.Take(next)
	return differs(o, next)
}
