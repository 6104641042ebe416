package samples

import (
	"context"
	"strconv"
	"strings"

	"sumacloft/brain"
	"sumacloft/internal/core"
	"sumacloft/internal/decide/outage"
	"sumacloft/internal/decide/samples"
	"sumacloft/internal/fleet/roster"
)

// What the board says reaches the module through the keeper of the list, beside what other rooms say: the part of the
// requests for samples that is taken, and each worker's share of their prompts. The choice stays the module's.

// tune shows the settings.
func (a *Agent) tune(set *brain.Settings, places map[string]int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.on || a.state == nil || a.state.AdmitFraction == 1 {
		return
	}
	for class := range a.classes {
		if at, is := places[class]; is {
			roster.ScaleAdmitted(set, at, a.state.AdmitFraction)
		}
	}
}

// shape shows the workers.
func (a *Agent) shape(t roster.Policy, list []core.Worker) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.on || a.state == nil {
		return
	}
	for i := range list {
		share, is := a.state.Shares[list[i].Name]
		if !is || share == 1 {
			continue
		}
		for class := range a.classes {
			if at, is := t.ClassIndex[class]; is {
				roster.ScaleWeight(&list[i], at, share)
			}
		}
	}
}

// workers are those that make samples, by the list.
func (a *Agent) workers() []samples.Worker { return Workers(a.o.Roster.Workers(), a.o.Roster.Zone) }

// Of is a worker as samples have it, now: by the list, or as the board has it where the list tells no version.
func (a *Agent) Of(w core.Worker) samples.Worker {
	for _, one := range a.workers() {
		if one.Name == w.Name {
			return one
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.state != nil && a.state.Workers[w.Name] != nil {
		seen := a.state.Workers[w.Name]
		return samples.Worker{Name: w.Name, Boot: seen.Boot, Site: seen.Site, Kind: seen.Kind, Label: seen.Label}
	}
	return samples.Worker{Name: w.Name, Boot: boot(w), Site: a.o.Roster.Site(w), Kind: w.Role}
}

// wish has the wishes of a board stand among those for permits. Where nothing bounds outages there are no permits, and
// they stand on the board alone.
func (a *Agent) wish(ctx context.Context, s *samples.State) {
	if s == nil || a.o.Reload == nil {
		return
	}
	labels := map[string]string{}
	for _, w := range a.o.Roster.Workers() {
		labels[w.Name] = w.Label
	}
	var wanted []outage.Reload
	for _, w := range s.Reloads {
		if label, is := labels[w.Worker]; is {
			wanted = append(wanted, outage.Reload{Server: w.Worker, To: relabel(label, w.To)})
		}
	}
	if err := a.o.Reload(ctx, wanted); ctx.Err() == nil {
		a.says.Report("samples reload", err)
	}
}

// relabel is a label with another version in the place of its own: the digits that it ends in.
func relabel(label string, version int64) string {
	return strings.TrimRight(label, "0123456789") + strconv.FormatInt(version, 10)
}
