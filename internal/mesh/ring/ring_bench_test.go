package ring

import (
	"fmt"
	"testing"
)

// largeFleet names the routers of the fleet for which docs/CAPACITY.md gives figures.
func largeFleet() []string {
	names := make([]string, 0, 380)
	for number := range cap(names) {
		names = append(names, fmt.Sprintf("edge-zone-%d-%d", number%7, number))
	}
	return names
}

// BenchmarkRoundOfALargeFleet measures the ring's work in one heartbeat round of a router.
func BenchmarkRoundOfALargeFleet(b *testing.B) {
	names := largeFleet()
	for b.Loop() {
		Watched(names[0], names, 2)
		Watchers(names[0], names, 2)
	}
}

// BenchmarkSpreadInALargeFleet measures the ring's work for one push of changes.
func BenchmarkSpreadInALargeFleet(b *testing.B) {
	names := largeFleet()
	exclude := map[string]struct{}{names[1]: {}}
	seed := uint64(0)
	for b.Loop() {
		seed++
		Spread(seed, names[0], names, 2, exclude)
	}
}
