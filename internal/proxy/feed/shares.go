package feed

import (
	"sumacloft/internal/control/registry"
	"sumacloft/internal/opconf"
)

// reserveDivisor sets the part of a worker's connections that no proxy opens: those of a proxy that has just started, of
// which the others have not heard, and of callers that are no proxies.
const reserveDivisor = 16

// connectionShare is how many connections to one worker each of so many proxies may have, so that all together stay below
// what the worker takes. Each has one, however many they are.
func connectionShare(limit, proxies int) int {
	reserve := max(limit/reserveDivisor, 1)
	return max((limit-reserve)/max(proxies, 1), 1)
}

// connectionShares are this proxy's shares by workers' addresses, for services that bound their workers' connections.
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
