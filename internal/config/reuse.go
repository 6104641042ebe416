package config

import (
	"fmt"
	"slices"

	"sumacloft/internal/decide/reuse"
)

// copies checks that this router can take part in copies of openings: it needs a store, and the regions are zones that it
// knows, its own among them.
func (o Operator) copies(c Chat, m reuse.Model) error {
	if !m.On() {
		return nil
	}
	if !o.Policy.On() {
		return fmt.Errorf("reuse: copies that all routers agree on need a store (store.id or policy.endpoints)")
	}
	if err := m.WithDefaults().Check(); err != nil {
		return err
	}
	known := func(name string) bool {
		return slices.ContainsFunc(m.Regions, func(r reuse.Region) bool { return r.Name == name })
	}
	if !known(c.Zone) || !slices.Contains(c.Zones, c.Zone) {
		return fmt.Errorf("chat.zone: %q is no region of reuse.region, or not in chat.zones", c.Zone)
	}
	for i, r := range m.Regions {
		if !slices.Contains(c.Zones, r.Name) {
			return fmt.Errorf("reuse.region[%d].name: %q is not in this router's chat.zones", i, r.Name)
		}
	}
	return nil
}

// ReuseOf is what a policy has to say of copies; without it none are made.
func ReuseOf(text string) (reuse.Model, error) {
	d, err := ReadPolicy(text)
	if err != nil || d.Reuse == nil {
		return reuse.Model{}, err
	}
	return *d.Reuse, nil
}
