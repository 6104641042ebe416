package feed

import (
	"sumacloft/internal/control/registry"
	"sumacloft/internal/opconf"
)

// reserveDivisor sets the reserve, the fraction of a worker's connections that proxies leave unused. The reserve serves
// a proxy that has just started and is not yet counted by the others, and callers that are not proxies.
const reserveDivisor = 16

// connectionShare returns how many connections each proxy may open to one worker, so that all proxies together stay
// below the worker's limit. The minimum is 1 for any number of proxies.
func connectionShare(limit, proxies int) int {
	reserve := max(limit/reserveDivisor, 1)
	return max((limit-reserve)/max(proxies, 1), 1)
}

// connectionShares returns this proxy's connection limits by worker address, for services that limit connections.
func connectionShares(services []opconf.Service, view *registry.View, proxies int) map[string]int {
	shares := map[string]int{}
	for _, service := range services {
		if service.MaxConnections <= 0 {
			continue
		}
		share := connectionShare(service.MaxConnections, proxies)
		for _, worker := range view.Workers(service.Name) {
			shares[worker.Address] = share
		}
	}
	return shares
}
