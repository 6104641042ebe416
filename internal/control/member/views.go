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

// take notes what a balance saw, and how many orders it gave. It tells whether its reason is another than before.
func (v *views) take(service string, seen phases.View, orders int) (changed bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.latest == nil {
		v.latest = map[string]view{}
	}
	before := v.latest[service]
	v.latest[service] = view{View: seen, orders: before.orders + orders}
	return before.Reason != seen.Reason
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
	var told []status.Balance
	for _, service := range slices.Sorted(maps.Keys(v.latest)) {
		seen := v.latest[service]
		told = append(told, status.Balance{
			Service:       service,
			Readers:       seen.Readers,
			Writers:       seen.Writers,
			ReadersInUse:  seen.ReadersInUse,
			WritersInUse:  seen.WritersInUse,
			ReadPressure:  seen.ReadPressure,
			WritePressure: seen.WritePressure,
			ReadsQueued:   seen.ReadsQueued,
			Target:        seen.Target,
			Reason:        string(seen.Reason),
			Orders:        seen.orders,
		})
	}
	return told
}

// note keeps what a balance saw for operators, and logs it where its reason is a new one or orders follow.
func (d *duty) note(service string, seen phases.View, orders int) {
	if !d.views.take(service, seen, orders) && orders == 0 {
		return
	}
	d.member.log.Info().
		Str("service", service).
		Str("reason", string(seen.Reason)).
		Int("readers", seen.Readers).
		Int("writers", seen.Writers).
		Float64("read_pressure", seen.ReadPressure).
		Float64("write_pressure", seen.WritePressure).
		Int("reads_queued", seen.ReadsQueued).
		Int("writers_wanted", seen.Target).
		Int("orders", orders).
		Msg("phases weighed")
}
