package member

import (
	"maps"
	"slices"
	"sync"

	"sumacloft/internal/control/phases"
	"sumacloft/internal/status"
)

// views are what the balances of phases saw and wanted last, by service, for operators who ask. The zero value is ready.
type views struct {
	mu     sync.Mutex
	latest map[string]view
}

// view is one service's.
type view struct {
	phases.View
	orders int // given by this member since it took up the duty
}

// record notes what a balance saw, and how many orders it gave. It tells whether its reason is another than before.
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

// forget drops a service that another member looks after.
func (v *views) forget(service string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	delete(v.latest, service)
}

// report is what operators are told.
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

// recordView keeps what a balance saw for operators, and logs it where its reason is a new one or orders follow.
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
		Msg("phases weighed")
}
