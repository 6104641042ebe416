package status

import (
	"net"

	"sumacloft/internal/mesh/replica"
	"sumacloft/internal/mesh/topic"
	"sumacloft/internal/mesh/traffic"
)

// TrafficOf returns a meter's counts, split by whether the host is in the process's own zone.
func TrafficOf(meter *traffic.Meter, inOwnZone func(host string) bool) []Traffic {
	var totals []Traffic
	for _, total := range meter.Totals(inOwnZone) {
		totals = append(totals, Traffic{Kind: string(total.Kind), OwnZone: total.Near, Messages: total.Messages,
			Sent: total.Sent, Received: total.Received})
	}
	return totals
}

// HostsInZone returns a predicate that reports whether a host is a router or control member of the zone.
func HostsInZone(snapshot replica.Snapshot, zone string) func(host string) bool {
	hosts := map[string]bool{}
	for _, prefix := range []string{topic.Routers, topic.Controls} {
		for _, peer := range topic.Peers(snapshot.Prefix(prefix)) {
			if host, _, err := net.SplitHostPort(peer.Address); err == nil && peer.Zone == zone {
				hosts[host] = true
			}
		}
	}
	return func(host string) bool { return hosts[host] }
}
