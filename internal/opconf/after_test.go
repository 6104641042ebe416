package opconf_test

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"sumacloft/internal/opconf"
)

// markedRoutes is a document with so many routes, one of which differs by the mark.
func markedRoutes(version, count int, mark int) []byte {
	var routes []string
	for number := range count {
		giveUp := 1000
		if number == 7 {
			giveUp = 1000 + mark
		}
		routes = append(routes, fmt.Sprintf(`{"name":"r%d","domain":"d%d.example","path_start":"/p%d/","route_type":"harmless","give_up_ms":%d,`+
			`"target_ms":300,"rank":2,"share_out":[{"service":"s","weight":90},{"service":"t","weight":10}],"tries":2}`, number, number%50, number, giveUp))
	}
	return []byte(fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[{"name":"s"},{"name":"t"}]}`, version, strings.Join(routes, ",")))
}

func TestParseAfterMakesTheSameAsParse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		// Given a configuration, and a document whose routes are some of its own, changed ones and faulty ones, in any order,
		before, err := opconf.Parse(markedRoutes(1, 12, 0))
		if err != nil {
			t.Fatal(err)
		}
		routes := rapid.Custom(func(t *rapid.T) string {
			number := rapid.IntRange(0, 14).Draw(t, "number")
			name := rapid.SampledFrom([]string{fmt.Sprintf("r%d", number), "r1", ""}).Draw(t, "name")
			giveUp := rapid.SampledFrom([]int{1000, 1000, 0, 7}).Draw(t, "give up")
			service := rapid.SampledFrom([]string{"s", "s", "none"}).Draw(t, "service")
			return fmt.Sprintf(`{"name":%q,"domain":"d%d.example","path_start":"/p%d/","route_type":"harmless","give_up_ms":%d,`+
				`"target_ms":300,"rank":2,"share_out":[{"service":%q,"weight":90},{"service":"t","weight":10}],"tries":2}`, name, number%50, number, giveUp, service)
		})
		list := strings.Join(rapid.SliceOfN(routes, 0, 12).Draw(t, "routes"), ",")
		body := []byte(fmt.Sprintf(`{"version":2,"routes":[%s],"services":[{"name":"s"},{"name":"t"}]}`, list))
		// when it is read with the configuration before it and without, then both make the same, faults included.
		one, oneErr := opconf.Parse(body)
		other, otherErr := opconf.ParseAfter(before, body)
		if fmt.Sprint(oneErr) != fmt.Sprint(otherErr) {
			t.Fatalf("faults differ: %v and %v", oneErr, otherErr)
		}
		if oneErr == nil && (fmt.Sprint(one.Routes) != fmt.Sprint(other.Routes) || string(one.Raw()) != string(other.Raw())) {
			t.Fatal("the configurations differ")
		}
	})
}

// BenchmarkOneRouteChanged reads a document of 2,000 routes of which one has changed, and makes its table, as a proxy does.
func BenchmarkOneRouteChanged(b *testing.B) {
	current, err := opconf.Parse(markedRoutes(1, 2000, 0))
	qt.Assert(b, err, qt.IsNil)
	body := markedRoutes(2, 2000, 1)
	b.Run("read anew", func(b *testing.B) {
		for b.Loop() {
			if _, err := opconf.Parse(body); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("after", func(b *testing.B) {
		for b.Loop() {
			if _, err := opconf.ParseAfter(current, body); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("table", func(b *testing.B) {
		for b.Loop() {
			current.Table()
		}
	})
}
