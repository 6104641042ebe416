package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestSettings(t *testing.T) {
	s, err := ParseSettings([]byte(`{"balancers": 2, "later": {"x": [1]}, "familyInfo": {"pinLimitMs": 500.0}}`))
	if err != nil || s.Balancers != 2 || s.Family.PinLimitMs != 500 || s.Registry != "automatic" {
		t.Fatalf("%+v, %v", s, err)
	}
	if set, err := s.Brain(); err != nil || set.Routers != 2 {
		t.Errorf("%+v, %v", set, err)
	}
	for _, bad := range []string{"", "{", `{"balancers": "two"}`, `{"balancers": 0}`, "[]"} {
		if _, err := ParseSettings([]byte(bad)); err == nil {
			t.Errorf("%q was accepted", bad)
		}
	}
}

func FuzzParseSettings(f *testing.F) {
	f.Add([]byte(`{"balancers": 2, "kinds": ["a"], "familyInfo": {"kindRole": ["read", "write"]}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		if s, err := ParseSettings(data); err == nil {
			_, _ = s.Brain() // must not panic
		}
	})
}

const whole = `{"name":"n1","listen":"127.0.0.1:3000","discovery":"127.0.0.2:8500","seed":"8c1f30d27a5be964",
	"limits":{"memory_mb":128},"known":{"revision":4,"members":[{"id":"s-1"}]},"settings":{"stepMs":4}}`

// The messages must name the key that is at fault, or an operator has to guess.
func TestPlatform(t *testing.T) {
	for name, c := range map[string]struct {
		file, fault string
		env         map[string]string
	}{
		"whole":         {file: whole},
		"no file":       {fault: "PROXY_CONFIG"},
		"not JSON":      {file: "{", fault: "PROXY_CONFIG"},
		"listen":        {file: strings.Replace(whole, "127.0.0.1:3000", "here", 1), fault: "listen"},
		"discovery":     {file: strings.Replace(whole, "127.0.0.2:8500", "", 1), fault: "discovery"},
		"seed":          {file: strings.Replace(whole, "8c1f", "zz", 1), fault: "seed"},
		"settings":      {file: strings.Replace(whole, `"settings"`, `"other"`, 1), fault: "settings"},
		"memory":        {file: strings.Replace(whole, "128", "-1", 1), fault: "limits.memory_mb"},
		"from variable": {file: strings.Replace(whole, "127.0.0.1:3000", "here", 1), env: map[string]string{"PROXY_LISTEN": "127.0.0.1:1"}},
	} {
		path := filepath.Join(t.TempDir(), "config.json")
		if c.file != "" {
			if err := os.WriteFile(path, []byte(c.file), 0o600); err != nil {
				t.Fatal(err)
			}
		}
		cfg, err := Platform(func(key string) string {
			if key == "PROXY_CONFIG" {
				return path
			}
			return c.env[key]
		})
		if c.fault == "" {
			if err != nil || cfg.Limits.Sockets != 1024 || cfg.Limits.MemoryMB != 128 || cfg.Known.Revision != 4 || cfg.Seed != 0x8c1f30d27a5be964 {
				t.Errorf("%s: %+v, %v", name, cfg, err)
			}
		} else if err == nil || !strings.HasPrefix(err.Error(), c.fault+":") {
			t.Errorf("%s: error %v, must begin with %s", name, err, c.fault)
		}
	}
}

// The file may be replaced while the router runs and the environment can't: the file's discovery goes first. What
// else has changed is named, since it needs a restart.
func TestReplaced(t *testing.T) {
	read := func(file string) Config {
		path := filepath.Join(t.TempDir(), "config.json")
		if err := os.WriteFile(path, []byte(file), 0o600); err != nil {
			t.Fatal(err)
		}
		c, err := Platform(func(key string) string {
			return map[string]string{"PROXY_CONFIG": path, "PROXY_DISCOVERY": "127.0.0.9:1"}[key]
		})
		if err != nil {
			t.Fatal(err)
		}
		return c
	}
	old := read(whole)
	next := read(strings.NewReplacer("127.0.0.2:8500", "127.0.0.3:8500", "128", "64", `"seed":"8`, `"seed":"9`, "4}", "8}").Replace(whole))
	if old.Discovery != "127.0.0.2:8500" || next.Discovery != "127.0.0.3:8500" {
		t.Errorf("discovery at %s, then %s", old.Discovery, next.Discovery)
	}
	if got := strings.Join(old.Stale(next), " "); got != "limits" { // stepMs is retuned while the router runs
		t.Errorf("needs a restart: %q", got)
	}
	if got := old.Stale(old); len(got) > 0 {
		t.Errorf("needs a restart though nothing changed: %q", got)
	}
	if without := read(strings.Replace(whole, "127.0.0.2:8500", "", 1)); without.Discovery != "127.0.0.9:1" {
		t.Errorf("discovery at %s without one in the file", without.Discovery)
	}
}

const operator = `listen = "127.0.0.1:1"
[[chat.class]]
name = "q"
models = ["q"]
effect = "safe"
deadline_ms = 2000
[[chat.server]]
id = "s"
addr = "127.0.0.1:2"
[store]
id = "a"
[[store.peer]]
id = "a"
raft = "127.0.0.1:3"
client = "127.0.0.1:4"
`

func TestOperator(t *testing.T) {
	swap := func(a, b string) string { return strings.Replace(operator, a, b, 1) }
	for text, fault := range map[string]string{
		operator:                                             "",
		swap("listen", "lisen"):                              "lisen",
		swap("127.0.0.1:1", ""):                              "listen",
		swap(`"safe"`, `"sure"`):                             "chat.class[0].effect",
		swap("2000", "0"):                                    "chat.class[0].",
		swap(`["q"]`, `["q", "q"]`):                          "chat.class[0].models",
		swap(`id = "s"`, ""):                                 "chat.server[0].id",
		swap("127.0.0.1:2", "there"):                         "chat.server[0].addr",
		swap("127.0.0.1:3", ""):                              "store.peer[0].raft",
		swap(`id = "a"`, `id = "b"`):                         "store.id",
		swap("[store]", "[members]\nprefix = \"\"\n[store]"): "members.prefix",
		"discovery = \"127.0.0.1:9\"\n" + operator:           "discovery",
		"[limits]\nsockets = 3\n":                            "listen",
	} {
		path := filepath.Join(t.TempDir(), "operator.toml")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		o, err := ReadOperator(path)
		if fault == "" {
			if err != nil || len(o.Members.Endpoints) != 1 || len(o.Chat.Brain().Classes) != 2 || o.Limits.Sockets != 1024 {
				t.Errorf("%+v, %v", o, err)
			}
			if _, err := o.ReadChat("max_attempts = 2\n"); err != nil {
				t.Errorf("[chat] from the store: %v", err)
			}
			if _, err := o.ReadChat("max_atempts = 2\n"); err == nil || !strings.Contains(err.Error(), "max_atempts") {
				t.Errorf("an unknown key from the store: %v", err)
			}
			next := o
			next.Chat.Servers, next.Limits.Sockets = nil, 64
			if o.Moved(next) || strings.Join(o.Stale(next), " ") != "limits" { // its store names the servers
				t.Errorf("moved: %v, needs a restart: %q", o.Moved(next), o.Stale(next))
			}
			next.Discovery = "127.0.0.1:9"
			if !o.Moved(next) {
				t.Error("another discovery is no move")
			}
		} else if err == nil || !strings.HasPrefix(err.Error(), fault) {
			t.Errorf("error %v, must begin with %s", err, fault)
		}
	}
}

// A file read again that is empty, cut short, lacks a key of the first, or gives a deadline or attempts that are
// no positive number is refused with its key, and nothing of it is taken: the discovery of such a file once
// pointed the router at a place where nobody answered, and it missed the drains of its workers.
func TestBrokenFileRefused(t *testing.T) {
	path := filepath.Join(t.TempDir(), "c.json")
	getenv := func(k string) string { return map[string]string{"PROXY_CONFIG": path}[k] }
	write := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	good := `{"name":"n1","listen":"127.0.0.1:3000","discovery":"127.0.0.2:8500","seed":"1","known":{},
	"settings":{"bounds":{"mostTries":4},"classes":[{"name":"q","deadlineMs":500}]}}`
	write(good)
	first, err := Platform(getenv)
	if err != nil {
		t.Fatal(err)
	}
	moved := strings.Replace(good, "8500", "8900", 1)
	for fault, text := range map[string]string{
		"PROXY_CONFIG":                   "",
		"PROXY_CONFIG:":                  good[:len(good)/2],
		"known: missing":                 strings.Replace(moved, `"known":{},`, "", 1),
		"classes[0].deadlineMs":          strings.Replace(moved, `"deadlineMs":500`, `"deadlineMs":-5`, 1),
		"classes[0].deadlineMs: 0":       strings.Replace(moved, `,"deadlineMs":500`, "", 1),
		"settings.bounds.mostTries: 0":   strings.Replace(moved, `"mostTries":4`, `"mostTries":0`, 1),
		"settings.bounds.mostTries: -1,": strings.Replace(moved, `"mostTries":4`, `"mostTries":-1`, 1),
	} {
		write(text)
		if _, err := first.Again(getenv); err == nil || !strings.Contains(err.Error(), fault) {
			t.Errorf("%s: %v", fault, err)
		}
	}
	write(moved)
	if next, err := first.Again(getenv); err != nil || next.Discovery != "127.0.0.2:8900" {
		t.Errorf("a whole file: %+v, %v", next, err)
	}
}

// Classes keep their places across settings read again: a request under way is known to the module by its
// place. A class whose terms change gets a new place, one that vanishes is not found any more, one that returns
// as it was finds its old place.
func TestCatalog(t *testing.T) {
	var c Catalog
	q, f := Class{Name: "q", DeadlineMs: 100}, Class{Name: "f", DeadlineMs: 200, Effect: "read_like"}
	if got := c.Take(Settings{Classes: []Class{q, f}}); len(got.Classes) != 2 || c.Class("q") != 0 || c.Class("f") != 1 {
		t.Fatalf("first: %+v", got.Classes)
	}
	stricter, n := f, Class{Name: "n", DeadlineMs: 50}
	stricter.Effect = "non_idempotent"
	got := c.Take(Settings{Classes: []Class{n, stricter}})
	if len(got.Classes) != 4 || got.Classes[0] != q || got.Classes[1] != f || c.Class("q") != -1 || c.Class("n") != 2 || c.Class("f") != 3 {
		t.Errorf("second: %+v; q %d n %d f %d", got.Classes, c.Class("q"), c.Class("n"), c.Class("f"))
	}
	if c.Take(Settings{Classes: []Class{q}}); c.Class("q") != 0 || c.Class("f") != -1 || c.Class("") != -1 {
		t.Errorf("third: q %d f %d", c.Class("q"), c.Class("f"))
	}
}
