// Package ring selects the routers that monitor each other's heartbeats and the targets of gossip. Each router's id is
// hashed onto a ring; its few watchers are the routers that follow it there. All routers with the same member list reach
// the same result, and a membership change affects only the watchers of neighbours on the ring.
//
// The package consists of pure functions.
package ring

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// position is the position of one member on the ring.
type position struct {
	hash uint64
	id   string
}

func comparePositions(a, b position) int {
	if order := cmp.Compare(a.hash, b.hash); order != 0 {
		return order
	}
	return cmp.Compare(a.id, b.id)
}

// positionOf returns the position of an id on the ring.
func positionOf(id string) position {
	return position{hash: xxhash.Sum64String(id), id: id}
}

// Watchers names the members to which self sends its heartbeats: the next count distinct members clockwise from
// self, nearest first, or all others if there are fewer. The order of members, duplicates and the presence of self in
// the list make no difference.
func Watchers(self string, members []string, count int) []string {
	others := clockwise(self, members)
	return ids(others[:clamp(count, len(others))])
}

// Watched names the members that self watches, nearest first. It is the inverse of Watchers for the same members.
func Watched(self string, members []string, count int) []string {
	others := clockwise(self, members)
	nearest := others[len(others)-clamp(count, len(others)):]
	slices.Reverse(nearest)
	return ids(nearest)
}

// clockwise lists all members except self once each, in the order in which they follow self on the ring.
func clockwise(self string, members []string) []position {
	positions := make([]position, 0, len(members))
	for _, id := range members {
		if id != self {
			positions = append(positions, positionOf(id))
		}
	}
	slices.SortFunc(positions, comparePositions)
	positions = slices.Compact(positions)
	next, _ := slices.BinarySearchFunc(positions, positionOf(self), comparePositions)
	return slices.Concat(positions[next:], positions[:next])
}

// Spread chooses up to count members to push changes to, by a pseudo-random draw. Every member that is neither self
// nor excluded is equally likely, and equal arguments lead to the same choice. Callers pass a new seed for each push.
func Spread(seed uint64, self string, members []string, count int, exclude map[string]struct{}) []string {
	positions := make([]position, 0, len(members))
	for _, id := range members {
		if _, excluded := exclude[id]; excluded || id == self {
			continue
		}
		positions = append(positions, drawnPosition(seed, id))
	}
	slices.SortFunc(positions, comparePositions)
	positions = slices.Compact(positions)
	return ids(positions[:clamp(count, len(positions))])
}

// drawnPosition returns the position of an id in the draw with this seed.
func drawnPosition(seed uint64, id string) position {
	var number [8]byte
	binary.BigEndian.PutUint64(number[:], seed)
	hash := xxhash.New()
	// Writing to this hash never fails.
	_, _ = hash.Write(number[:])
	_, _ = hash.WriteString(id)
	return position{hash: hash.Sum64(), id: id}
}

func clamp(count, most int) int {
	return max(0, min(count, most))
}

func ids(positions []position) []string {
	names := make([]string, 0, len(positions))
	for _, position := range positions {
		names = append(names, position.id)
	}
	return names
}
