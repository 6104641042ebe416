package config

import (
	"fmt"

	"sumacloft/internal/decide/samples"
)

// samplesOf checks the classes that make samples for tuning: they need the table, and handover, since a sample is counted
// once also if its router is lost, which the record of its request sees to.
func samplesOf(classes []ChatClass, m *samples.Model) error {
	for i, k := range classes {
		switch {
		case k.Samples && m == nil:
			return fmt.Errorf("chat.class[%d].samples: there is no [samples] that says what its samples count", i)
		case k.Samples && !k.Handover:
			return fmt.Errorf("chat.class[%d].samples: needs handover = true: a sample whose router is lost is counted by its record", i)
		}
	}
	if m == nil {
		return nil
	}
	return m.Check()
}

// weighs checks that this router can take part in the board of samples.
func (o Operator) weighs(m *samples.Model) error {
	if m != nil && !o.Policy.On() {
		return fmt.Errorf("samples: a board that all routers share needs a store (store.id or policy.endpoints)")
	}
	return nil
}

// SamplesOf is how a policy has samples weighed, and the classes that make them; nil: it has none.
func SamplesOf(text string) (*samples.Model, map[string]bool, error) {
	d, err := ReadPolicy(text)
	if err != nil || d.Samples == nil {
		return nil, nil, err
	}
	classes := map[string]bool{}
	for _, k := range d.Chat.Classes {
		if k.Samples {
			classes[k.Name] = true
		}
	}
	return d.Samples, classes, nil
}
