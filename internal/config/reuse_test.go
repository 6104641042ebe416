package config

import (
	"strings"
	"testing"

	"sumacloft/internal/decide/reuse"
)

const someRegions = "[[reuse.region]]\nname = \"a\"\nmemory = 1000\n[[reuse.region]]\nname = \"b\"\nmemory = 2000.0\n"

// What is said of copies is read with the policy, or the key at fault is named; a router whose zone is no region can't follow.
func TestReuseTable(t *testing.T) {
	for text, want := range map[string]string{
		"[reuse]\nlease_ms = 5000\nwarm_below = 3\n" + someRegions + "[[reuse.link]]\nfrom = \"a\"\nto = \"b\"\nrate = 100\n": "",
		"[reuse]\nlease_ms = 5000\nwarm_below = 3\n" + someRegions + "[[reuse.link]]\nfrom = \"a\"\nto = \"a\"\nrate = 100\n": "",
		"[reuse]\nread_tokens = -1\n" + someRegions:                                        "read_tokens",
		"[reuse]\nlease_ms = 5\n" + someRegions:                                            "lease_ms",
		"[reuse]\n[[reuse.region]]\nname = \"a\"\nmemory = 1000\n":                         "reuse.region",
		"[reuse]\n" + someRegions + "[[reuse.link]]\nfrom = \"a\"\nto = \"z\"\nrate = 1\n": "link[0]",
		"[reuse]\nlaese_ms = 5000\n" + someRegions:                                         "laese_ms",
	} {
		m, err := ReuseOf(someChat + text)
		switch {
		case want == "" && (err != nil || m.LeaseMs != 5000 || m.WarmBelow != 3 || len(m.Regions) != 2 || len(m.Links) != 1):
			t.Errorf("%s: %+v %v", text, m, err)
		case want != "" && (err == nil || !strings.Contains(err.Error(), want)):
			t.Errorf("%s: %v, should name %s", text, err, want)
		}
	}
	for text, want := range map[string]float64{"": 200, "read_tokens = 0\n": 0, "read_tokens = 50\n": 50} {
		m, err := ReuseOf(someChat + "[reuse]\n" + text + someRegions)
		if got := m.WithReadTokens(200).ReadTokens; err != nil || *got != want {
			t.Errorf("%q: %g, %v", text, *got, err)
		}
	}
	o := Operator{Policy: Policy{Endpoints: []string{"127.0.0.1:1"}}, Chat: defaultChat()}
	o.Chat.Zones, o.Chat.Zone = []string{"a", "b"}, "c"
	o.Chat.Servers = []ChatServer{{ID: "s", Addr: "127.0.0.1:1"}}
	for zone, want := range map[string]string{"b": "", "c": "chat.zone"} {
		o.Chat.Zone = zone
		if _, err := o.Under(someChat + "[reuse]\n" + someRegions); (err == nil) != (want == "") || err != nil && !strings.Contains(err.Error(), want) {
			t.Errorf("zone %s: %v", zone, err)
		}
	}
	o.Chat.Classes = []ChatClass{{Name: "q", Effect: "safe", AimMs: 500, DeadlineMs: 2000, WholeMs: 9000, Worth: 1}}
	if m, err := ReuseOf(o.FirstPolicy()); err != nil || m.On() {
		t.Errorf("a first policy without the table: %+v %v", m, err)
	}
	o.Reuse.Regions = []reuse.Region{{Name: "a", Memory: 1}, {Name: "b", Memory: 2}}
	some := 30.0
	o.Reuse.ReadTokens = &some
	if m, err := ReuseOf(o.FirstPolicy()); err != nil || len(m.Regions) != 2 || m.ReadTokens == nil || *m.ReadTokens != 30 {
		t.Errorf("a first policy with it: %+v %v", m, err)
	}
}
