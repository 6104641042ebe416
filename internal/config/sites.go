package config

import (
	"fmt"
	"slices"

	"sumacloft/internal/decide/sites"
)

// plans checks that this router can follow a plan for the loss of a site: its own zone, and those of its servers, must
// be sites of the plan, and the classes those of [chat].
func (o Operator) plans(c Chat, m sites.Model) error {
	if len(m.Sites) == 0 {
		return nil
	}
	if !o.Policy.On() {
		return fmt.Errorf("sites: a plan that all routers follow needs a store (store.id or policy.endpoints)")
	}
	if _, err := m.Check(); err != nil {
		return err
	}
	known := func(name string) bool {
		return slices.ContainsFunc(m.Sites, func(s sites.Site) bool { return s.Name == name })
	}
	if !known(c.Zone) || !slices.Contains(c.Zones, c.Zone) {
		return fmt.Errorf("chat.zone: %q is no site of sites.site, or not in chat.zones", c.Zone)
	}
	for i, s := range c.Servers {
		if !known(s.Zone) {
			return fmt.Errorf("chat.server[%d].zone: %q is no site of sites.site", i, s.Zone)
		}
	}
	for i, s := range m.Sites {
		if !slices.Contains(c.Zones, s.Name) {
			return fmt.Errorf("sites.site[%d].name: %q is not in this router's chat.zones", i, s.Name)
		}
	}
	for i, k := range m.Classes {
		if !slices.ContainsFunc(c.Classes, func(o ChatClass) bool { return o.Name == k.Name }) {
			return fmt.Errorf("sites.class[%d].name: no chat.class is named %q", i, k.Name)
		}
	}
	return nil
}

// Plan is the model with what [chat] has to say of its classes: their worth, where the plan states none, and that
// filings return last.
func (c Chat) Plan(m sites.Model) sites.Model {
	m.Classes = slices.Clone(m.Classes)
	for i := range m.Classes {
		for _, k := range c.Classes {
			if k.Name == m.Classes[i].Name {
				if m.Classes[i].Worth == 0 {
					m.Classes[i].Worth = k.Worth
				}
				m.Classes[i].Last = m.Classes[i].Last || k.Effect == "unsafe"
			}
		}
	}
	return m
}

// PlanOf is the plan for the loss of a site that a policy has, under its [chat].
func PlanOf(text string, c Chat) (sites.Model, error) {
	d, err := ReadPolicy(text)
	if err != nil || d.Sites == nil {
		return sites.Model{}, err
	}
	return c.Plan(*d.Sites), nil
}
