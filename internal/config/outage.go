package config

import (
	"fmt"
	"slices"

	"sumacloft/internal/decide/outage"
)

// bounds checks that this router can follow a budget of outages: it needs a store, and the classes are those of [chat].
func (o Operator) bounds(c Chat, m outage.Model) error {
	if !m.On() {
		return nil
	}
	if !o.Policy.On() {
		return fmt.Errorf("outage: a budget that all routers keep needs a store (store.id or policy.endpoints)")
	}
	if err := m.Check(); err != nil {
		return err
	}
	for i, k := range m.Classes {
		if !slices.ContainsFunc(c.Classes, func(o ChatClass) bool { return o.Name == k.Name }) {
			return fmt.Errorf("outage.class[%d].name: no chat.class is named %q", i, k.Name)
		}
	}
	return nil
}

// OutageOf is the budget that a policy has; without one nothing is counted.
func OutageOf(text string) (outage.Model, error) {
	d, err := ReadPolicy(text)
	if err != nil || d.Outage == nil {
		return outage.Model{}, err
	}
	return *d.Outage, nil
}
