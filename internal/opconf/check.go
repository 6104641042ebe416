package opconf

import "fmt"

// place is where a route stands: no two routes may share it.
type place struct {
	host   string
	prefix string
}

// check notes faults that lie between the items of a configuration.
func check(c *Configuration, found *faults) {
	services := checkServiceNames(c, found)
	checkRouteNames(c, found)
	checkPlaces(c, found)
	checkShares(c, services, found)
}

// checkServiceNames notes names that two services share, and returns all names.
func checkServiceNames(c *Configuration, found *faults) map[string]bool {
	names := make(map[string]bool, len(c.Services))
	for index := range c.Services {
		name := c.Services[index].Name
		if name != "" && names[name] {
			found.add(fmt.Sprintf("services.%d.name", index), "%q is the name of an earlier service; rename one", name)
		}
		names[name] = true
	}
	return names
}

// checkRouteNames notes names that two routes share.
func checkRouteNames(c *Configuration, found *faults) {
	names := make(map[string]bool, len(c.Routes))
	for index := range c.Routes {
		name := c.Routes[index].Name
		if name != "" && names[name] {
			found.add(fmt.Sprintf("routes.%d.name", index), "%q is the name of an earlier route; rename one", name)
		}
		names[name] = true
	}
}

// checkPlaces notes routes with the same host and prefix.
func checkPlaces(c *Configuration, found *faults) {
	taken := make(map[place]string, len(c.Routes))
	for index := range c.Routes {
		route := &c.Routes[index]
		at := place{host: route.Host, prefix: route.PathPrefix}
		if at.host == "" || at.prefix == "" {
			continue
		}
		if other, isTaken := taken[at]; isTaken {
			found.add(fmt.Sprintf("routes.%d.path_start", index),
				"route %q has the host and the path_start of route %q; change or remove one", route.Name, other)
			continue
		}
		taken[at] = route.Name
	}
}

// checkShares notes routes to services that the configuration does not have.
func checkShares(c *Configuration, services map[string]bool, found *faults) {
	for index := range c.Routes {
		route := &c.Routes[index]
		for _, share := range route.Shares {
			if share.Service != "" && !services[share.Service] {
				found.add(fmt.Sprintf("routes.%d", index),
					"route %q names the unknown service %q; add the service or change the route",
					route.Name, share.Service)
			}
		}
	}
}
