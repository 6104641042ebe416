package outage

import (
	"context"
	"errors"

	"sumacloft/internal/decide/outage"
	"sumacloft/internal/fleet/loop"
)

// Reload has the wishes for reloads be those that are wanted, in their order; they wait for permits as all others do. While
// nothing bounds outages, or nobody knows what is out, there are none. It asks the store only where that would change
// anything.
func (a *Agent) Reload(ctx context.Context, wanted []outage.Reload) error {
	a.mu.Lock()
	s, on := a.state, a.model.On()
	a.mu.Unlock()
	if !on || s == nil || s.RequestReloads(wanted, a.o.Name) == nil {
		return nil
	}
	v, all, err := a.store.View(ctx)
	if err != nil || !all.Writable() || v.Last == nil {
		return err
	}
	next := v.Last.RequestReloads(wanted, a.o.Name)
	if next == nil {
		return nil
	}
	fence, registered := a.o.Fence()
	if !registered {
		return nil
	}
	_, err = a.store.ReplaceState(ctx, all.StateRev, next, fence)
	if moved := (*loop.MovedError)(nil); errors.As(err, &moved) {
		return nil // by another decision; it is asked again
	}
	return err
}
