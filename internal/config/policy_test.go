package config

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"sumacloft/brain"
)

const classes = "[[chat.class]]\nname = \"q\"\nmodels = [\"q\"]\neffect = \"safe\"\ndeadline_ms = 2000\n"

// A policy is checked whole before anything is proposed: the answer names the key. What is absent has the same value
// at every router, whatever its own file says.
func TestReadPolicy(t *testing.T) {
	d, err := ReadPolicy("[chat]\nunknown = \"unsafe\"\n" + classes + "[needs]\nzones = [\"z\"]\n")
	if err != nil || d.Chat.Unknown != UnknownUnsafe || d.Chat.MaxAttempts != 3 || d.Chat.Classes[0].WholeMs != 20000 || d.Needs.Zones[0] != "z" {
		t.Fatalf("%+v, %v", d, err)
	}
	if again, err := ReadPolicy(d.Text()); err != nil || again.Text() != d.Text() {
		t.Errorf("%v\n%s\n%s", err, d.Text(), again.Text())
	}
	for text, key := range map[string]string{
		"":                                     "chat",
		"[chat":                                "policy",
		"[chat]\n":                             "class",
		"[chat]\nclass = []\n":                 "chat.class",
		"[chat]\nzone = \"a\"\n" + classes:     "zone", // a router's own, not the fleet's
		"[chat]\nmax_attempts = 0\n" + classes: "chat.max_attempts",
		"[chat]\nmax_attempts = \"3\"\n" + classes:   "chat.max_attempts",
		"[chat]\nunknown = \"maybe\"\n" + classes:    "chat.unknown",
		classes + classes:                            "chat.class[1].name",
		classes + "typo = 1\n":                       "typo",
		strings.Replace(classes, "safe", "sound", 1): "chat.class.0.effect",
		classes + "[needs]\nservers = 3\n":           "needs.servers",
		classes + "[site]\n":                         "site",
	} {
		if _, err := ReadPolicy(text); err == nil || !strings.Contains(err.Error(), key) {
			t.Errorf("%q: %v, must name %q", text, err, key)
		}
	}
}

// What a router's own file lacks, by key; and what it keeps of its own.
func TestUnder(t *testing.T) {
	o := Operator{Limits: OpLimit{Sockets: 512, MemoryMB: 96}, Chat: defaultChat()}
	o.Chat.Zone, o.Chat.Zones, o.Chat.Servers = "a", []string{"a", "b"}, []ChatServer{{ID: "s1", Addr: "127.0.0.1:9"}}
	c, err := o.Under(classes + "[needs]\nzones = [\"b\"]\nservers = [\"s1\"]\nsockets = 512\n")
	if err != nil || c.Zone != "a" || len(c.Servers) != 1 || c.Classes[0].Name != "q" || len(o.Chat.Classes) != 0 {
		t.Fatalf("%+v, %v", c, err)
	}
	for text, key := range map[string]string{
		"[needs]\nzones = [\"c\"]\n":    "needs.zones",
		"[needs]\nservers = [\"s2\"]\n": "needs.servers",
		"[needs]\nsockets = 513\n":      "needs.sockets",
		"[needs]\nmemory_mb = 97\n":     "needs.memory_mb",
		"[chat]\nmax_tokens = 200001\n": "chat.max_tokens",
	} {
		if strings.HasPrefix(text, "[chat]") {
			text += classes
		} else {
			text = classes + text
		}
		if _, err := o.Under(text); err == nil || !strings.Contains(err.Error(), key) {
			t.Errorf("%q: %v, must name %q", text, err, key)
		}
	}
}

// Classes keep their places over policies, and one that comes again has the place that it had.
func TestChatCatalog(t *testing.T) {
	chat := func(text string) Chat {
		c, err := Operator{Chat: defaultChat(), Members: Members{Endpoints: []string{"x"}}}.Under(text)
		if err != nil {
			t.Fatal(err)
		}
		return c
	}
	var k ChatCatalog
	other := strings.NewReplacer("\"q\"", "\"r\"", "2000", "3000").Replace(classes)
	_, first := k.Take(chat(classes))
	set, both := k.Take(chat(other + classes))
	if !slices.Equal(first, []int{0, 1}) || both[1] != 0 || set.Classes[both[0]].Deadline != Millis(3000) {
		t.Errorf("%v, %v, %+v", first, both, set.Classes)
	}
	if again, places := k.Take(chat(classes)); !slices.Equal(places, first) || len(again.Classes) != len(set.Classes) || set.Classes[first[1]].Effect != brain.Unsafe {
		t.Errorf("%v", places)
	}
}

// The keys of [policy], and that the commented file in deploy/ reads with them.
func TestPolicyKeys(t *testing.T) {
	const base = "listen = \"127.0.0.1:1\"\n" + classes + "[[chat.server]]\nid = \"s\"\naddr = \"127.0.0.1:2\"\n"
	const node = "[store]\nid = \"a\"\ndir = \"/tmp/a\"\n[[store.peer]]\nid = \"a\"\nraft = \"127.0.0.1:3\"\nclient = \"127.0.0.1:4\"\n"
	read := func(text string) (Operator, error) {
		path := filepath.Join(t.TempDir(), "f.toml")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return ReadOperator(path)
	}
	if o, err := read(base); err != nil || o.Policy.On() {
		t.Errorf("on without a store: %+v, %v", o.Policy, err)
	}
	o, err := read(base + node)
	if err != nil || !o.Policy.On() || o.Policy.Name != "a" || o.Policy.OnLapse != LapseRefuse || o.Policy.Margin() != o.Policy.Lease()/10 {
		t.Errorf("%+v, %v", o.Policy, err)
	}
	for text, key := range map[string]string{
		"[[chat.class]]\nname = \"h\"\neffect = \"unsafe\"\ndeadline_ms = 1\nhandover = true\n": "chat.class[1].handover",
		node + "[work]\nmax_open = 0\n":                                                        "work.max_open",
		node + "[work]\non_away = \"hope\"\n":                                                  "work.on_away",
		node + "[policy]\non_lapse = \"hope\"\n":                                               "policy.on_lapse",
		strings.Replace(node, "dir = \"/tmp/a\"\n", "", 1) + "[policy]\non_lapse = \"keep\"\n": "policy.on_lapse",
		node + "[policy]\nlease_s = 0\n":                                                       "policy.lease_s",
		node + "[policy]\nmargin_ms = 2000\n":                                                  "policy.margin_ms",
		node + "[policy]\nhold_ms = 0\n":                                                       "policy.hold_ms",
		node + "[policy]\nhold_most = -1\n":                                                    "policy.hold_most",
		node + "[policy]\nname = \"a/b\"\n":                                                    "policy.name",
		node + "[policy]\nheld = 1\n":                                                          "policy.held",
		"[policy]\nendpoints = [\"127.0.0.1:4\"]\n":                                            "policy.name",
		"[policy]\nname = \"x\"\nendpoints = [\"4\"]\n":                                        "policy.endpoints[0]",
		strings.Replace(node, "dir", "heartbeat_ms = 10\ndir", 1):                              "store.heartbeat_ms",
		strings.Replace(node, "dir", "snapshot_entries = -1\ndir", 1):                          "store.snapshot_entries",
		strings.Replace(node, "dir", "snapshot_ms = 1\ndir", 1):                                "store.snapshot_ms",
	} {
		if _, err := read(base + text); err == nil || !strings.Contains(err.Error(), key) {
			t.Errorf("%q: %v, must name %q", text, err, key)
		}
	}
}

func FuzzReadPolicy(f *testing.F) {
	f.Add(classes)
	f.Add("[chat]\nunknown = \"unsafe\"\n" + classes + "[needs]\nzones = [\"z\"]\n")
	f.Add("[chat]\n" + classes + "[sites]\n[[sites.site]]\nname = \"a\"\ncapacity = 1\ndemand = { q = 1 }\n[[sites.site]]\nname = \"b\"\ncapacity = 1\n[[sites.class]]\nname = \"q\"\nfloor = 0.5\n[[sites.link]]\nfrom = \"a\"\nto = \"b\"\nrate = 3\n")
	f.Fuzz(func(t *testing.T, text string) {
		if d, err := ReadPolicy(text); err == nil {
			if _, err := ReadPolicy(d.Text()); err != nil {
				t.Errorf("what was read can't be read again: %v", err)
			}
		}
	})
}
