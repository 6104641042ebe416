package config

import (
	"slices"
	"sync/atomic"
)

// Catalog keeps every class that settings have named while the router runs, each at a place of its own. A
// request keeps the place it came with; settings read again add places for the classes that are new or whose
// terms changed, and name only their own classes. Its zero value is empty; it is safe for concurrent use.
type Catalog struct {
	all   places[Class]                  // only Take writes it
	names atomic.Pointer[map[string]int] // the current classes' places
}

// Take has the catalog follow these settings, and gives them with the classes of every place, for the module.
// It is called by one goroutine at a time.
func (c *Catalog) Take(s Settings) Settings {
	names := make(map[string]int, len(s.Classes))
	for i, at := range c.all.take(s.Classes) {
		names[s.Classes[i].Name] = at
	}
	c.names.Store(&names)
	s.Classes = slices.Clone(c.all)
	return s
}

// Class is the place of the current class of this name, or -1.
func (c *Catalog) Class(name string) int {
	if names := c.names.Load(); names != nil {
		if at, ok := (*names)[name]; ok {
			return at
		}
	}
	return -1
}

// places holds each thing once, at a place that it keeps.
type places[T comparable] []T

// take gives each thing its place, a new one if it has none.
func (p *places[T]) take(list []T) []int {
	out := make([]int, len(list))
	for i, one := range list {
		if out[i] = slices.Index(*p, one); out[i] < 0 {
			out[i] = len(*p)
			*p = append(*p, one)
		}
	}
	return out
}
