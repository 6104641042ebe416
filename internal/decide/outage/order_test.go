package outage

import (
	"testing"
)

// The spread order takes targets with the least cached first and alternates between sites among equals. An explicit
// order is followed.
func TestTargetOrder(t *testing.T) {
	list := func() (out []Target) {
		for _, name := range []string{"a1", "a2", "a3", "b1", "b2", "c1"} {
			out = append(out, Target{Name: name, Site: name[:1]})
		}
		return out
	}
	cachedTokens := map[string]float64{"a1": 900, "b1": 200}
	for _, c := range []struct {
		order        string
		cachedTokens map[string]float64
		want         string
	}{{"", nil, "a1 b1 c1 a2 b2 a3"}, {"spread", cachedTokens, "c1 a2 b2 a3 b1 a1"},
		{"name", cachedTokens, "a1 a2 a3 b1 b2 c1"}, {"site", cachedTokens, "a1 a2 a3 b1 b2 c1"}} {
		got := ""
		for _, target := range sortTargets(list(), c.order, c.cachedTokens) {
			got += " " + target.Name
		}
		if got != " "+c.want {
			t.Errorf("%s %v: %s, want %s", c.order, c.cachedTokens, got, c.want)
		}
	}
}
