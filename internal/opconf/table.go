package opconf

import (
	"strings"
)

// Table finds the route of a request. It never changes once it is made.
type Table struct {
	hosts map[string]*hostRoutes
}

// hostRoutes holds the routes of one host.
type hostRoutes struct {
	byPrefix map[string]*Route
	longest  int // length of the longest prefix
}

// Table returns the routing table of the configuration.
func (c *Configuration) Table() *Table {
	table := &Table{hosts: make(map[string]*hostRoutes)}
	for index := range c.Routes {
		table.add(&c.Routes[index])
	}
	return table
}

// add puts a route into the table.
func (t *Table) add(route *Route) {
	routes := t.hosts[route.Host]
	if routes == nil {
		routes = &hostRoutes{byPrefix: make(map[string]*Route)}
		t.hosts[route.Host] = routes
	}
	routes.byPrefix[route.PathPrefix] = route
	routes.longest = max(routes.longest, len(route.PathPrefix))
}

// Match returns the route of a request: among the routes of its host, the one with the longest prefix that begins the
// path. The case of host and its port do not matter; path is that of the request target, without a query.
func (t *Table) Match(host, path string) (*Route, bool) {
	routes := t.hosts[normalHost(host)]
	if routes == nil {
		return nil, false
	}
	return routes.match(path)
}

// match looks up every start of path that ends with a slash, the longest first.
func (h *hostRoutes) match(path string) (*Route, bool) {
	start := path[:min(len(path), h.longest)]
	for {
		slash := strings.LastIndexByte(start, '/')
		if slash < 0 {
			return nil, false
		}
		route, found := h.byPrefix[start[:slash+1]]
		if found {
			return route, true
		}
		start = start[:slash]
	}
}

// normalHost returns host in lower case and without a port.
func normalHost(host string) string {
	return strings.ToLower(withoutPort(host))
}

// withoutPort cuts the port off host. The address of a host in brackets may hold colons of its own.
func withoutPort(host string) string {
	colon := strings.LastIndexByte(host, ':')
	if colon < 0 || colon < strings.LastIndexByte(host, ']') {
		return host
	}
	return host[:colon]
}
