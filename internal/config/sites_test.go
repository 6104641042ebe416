package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// The example of three sites is read whole, its plan takes worth and effect from its classes, and a router that can't
// follow a plan says by which key.
func TestSites(t *testing.T) {
	text, err := os.ReadFile(filepath.Join("..", "..", "examples", "sites", "policy.toml"))
	if err != nil {
		t.Fatal(err)
	}
	router := Operator{Chat: defaultChat(), Policy: Policy{Endpoints: []string{"127.0.0.1:1"}, OnLapse: LapseRefuse}}
	router.Chat.Zone, router.Chat.Zones = "a", []string{"a", "b", "c"}
	router.Chat.Servers = []ChatServer{{ID: "s", Addr: "127.0.0.1:9001", Zone: "b"}}
	router.Limits.Sockets = 100
	c, err := router.Under(string(text))
	if err != nil {
		t.Fatal(err)
	}
	m, err := PlanOf(string(text), c)
	if err != nil || len(m.Sites) != 3 || m.Classes[0].Worth != 3 || m.Classes[0].Last || !m.Classes[1].Last {
		t.Fatalf("%+v, %v", m, err)
	}
	for want, change := range map[string]func(*Operator, *string){
		`chat.zone: "x" is no site`:                     func(o *Operator, _ *string) { o.Chat.Zone = "x" },
		`chat.server[0].zone: "" is no site`:            func(o *Operator, _ *string) { o.Chat.Servers = []ChatServer{{ID: "s", Addr: "127.0.0.1:9001"}} },
		`sites.site[2].name: "c" is not in this`:        func(o *Operator, _ *string) { o.Chat.Zones = []string{"a", "b"} },
		`sites: a plan that all routers follow needs a`: func(o *Operator, _ *string) { o.Policy = Policy{} },
		`sites.class[1].name: no chat.class is named`: func(_ *Operator, s *string) {
			*s = strings.Replace(*s, "[[sites.class]]\nname = \"filing\"", "[[sites.class]]\nname = \"other\"", 1)
			*s = strings.ReplaceAll(*s, "demand = { query = 30, filing = 20 }", "")
		},
		`sites.0.capacity`: func(_ *Operator, s *string) { *s = strings.Replace(*s, "capacity = 80", "capacity = -1", 1) },
		`sites`:            func(_ *Operator, s *string) { *s = strings.Replace(*s, "warm_ms", "warm", 1) },
	} {
		o, changed := router, string(text)
		change(&o, &changed)
		if _, err := o.Under(changed); err == nil || !strings.HasPrefix(err.Error(), strings.Split(want, ".0")[0]) {
			t.Errorf("%v, want %s", err, want)
		}
	}
}
