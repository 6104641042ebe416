package member

import (
	"maps"
	"slices"
	"sync"

	"sumacloft/internal/control/phases"
	"sumacloft/internal/status"
)

// views holds the latest phase balance of each service for status reports. The zero value is ready to use.
type views struct {
	mu     sync.Mutex
	latest map[string]view
}

// view is the latest phase balance of one service.
type view struct {
	phases.View
	orders int // sent by this member since it took over the service
}

// record stores the latest balance of a service and adds to its number of orders. It reports whether the reason has changed.
func (v *views) record(service string, observed phases.View, orders int) (changed bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.latest == nil {
		v.latest = map[string]view{}
	}
	before := v.latest[service]
	v.latest[service] = view{View: observed, orders: before.orders + orders}
	return before.Reason != observed.Reason
}

// forget removes a service that another member now owns.
func (v *views) forget(service string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	delete(v.latest, service)
}

// report returns the balances for a status report, sorted by service.
func (v *views) report() []status.Balance {
	v.mu.Lock()
	defer v.mu.Unlock()
	var balances []status.Balance
	for _, service := range slices.Sorted(maps.Keys(v.latest)) {
		latest := v.latest[service]
		balances = append(balances, status.Balance{
			Service:       service,
			Readers:       latest.Readers,
			Writers:       latest.Writers,
			ReadersInUse:  latest.ReadersInUse,
			WritersInUse:  latest.WritersInUse,
			ReadPressure:  latest.ReadPressure,
			WritePressure: latest.WritePressure,
			ReadsQueued:   latest.ReadsQueued,
			Target:        latest.Target,
			Reason:        string(latest.Reason),
			Orders:        latest.orders,
		})
	}
	return balances
}

// recordView stores the latest balance of a service. It logs the balance if its reason has changed or it led to orders.
func (d *duty) recordView(service string, observed phases.View, orders int) {
	if !d.views.record(service, observed, orders) && orders == 0 {
		return
	}
	d.member.log.Info().
		Str("service", service).
		Str("reason", string(observed.Reason)).
		Int("readers", observed.Readers).
		Int("writers", observed.Writers).
		Float64("read_pressure", observed.ReadPressure).
		Float64("write_pressure", observed.WritePressure).
		Int("reads_queued", observed.ReadsQueued).
		Int("writers_wanted", observed.Target).
		Int("orders", orders).
		Msg("phase balance evaluated")
}
