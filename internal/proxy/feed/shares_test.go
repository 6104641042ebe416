package feed

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"sumacloft/internal/control/registry"
	"sumacloft/internal/opconf"
)

func TestConnectionShares(t *testing.T) {
	c := qt.New(t)
	c.Run("given any number of proxies, then all together stay below the worker's limit, and each has at least one", func(c *qt.C) {
		rapid.Check(c, func(t *rapid.T) {
			most, proxies := rapid.IntRange(1, 5000).Draw(t, "most"), rapid.IntRange(0, 400).Draw(t, "proxies")
			share := connectionShare(most, proxies)
			if share < 1 {
				t.Fatalf("got a share of %d connections, want at least 1", share)
			}
			if share > 1 && share*max(proxies, 1) >= most {
				t.Fatalf("%d proxies with %d connections each reach the limit of %d", proxies, share, most)
			}
		})
	})
	c.Run("given known limits, then shares and reserve are as documented", func(c *qt.C) {
		c.Assert(connectionShare(360, 8), qt.Equals, 42)
		c.Assert(connectionShare(96, 8), qt.Equals, 11)
		c.Assert(connectionShare(96, 80), qt.Equals, 1)
		c.Assert(connectionShare(10, 80), qt.Equals, 1)
	})
	c.Run("given services with and without a connection limit, then only workers of the first have a share", func(c *qt.C) {
		known := registry.New(registry.Config{})
		known.Merge(0, append(largeWorkers()[:2], registry.EntryOf(registry.Worker{
			ID: "other", Service: "unbounded", Address: "10.0.0.9:80", State: registry.Up, CallCount: 1,
		})))
		services := []opconf.Service{{Name: "assistant-a", MaxConnections: 360}, {Name: "unbounded"}}
		c.Assert(connectionShares(services, known.View(), 8), qt.DeepEquals,
			map[string]int{"10.128.0.1:8080": 42, "10.128.0.2:8080": 42})
	})
}
