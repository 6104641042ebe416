// Command daydraw draws days of trouble for the operators' bench: mixes of the kinds that the bench knows, most of them
// around the control side. Each day is written to a file of its own, to be played by "fleetbench run SITE FILE".
package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"

	"github.com/BurntSushi/toml"
	"github.com/alecthomas/kong"
	"github.com/zeebo/errs"
)

// Error is the class of this command's failures.
var Error = errs.Class("daydraw")

// options are the command line.
type options struct {
	Site  string `arg:"" help:"Site file of the bench; the names of its services are read from it."`
	Out   string `arg:"" help:"Folder for the days."`
	Seed  uint64 `default:"1" help:"Seed of the first day; later ones count on from it."`
	Count int    `default:"20" help:"How many days."`
}

// site is what is read of a site file.
type site struct {
	Services []struct {
		Name  string
		Model string
	}
}

func main() {
	var o options
	line := kong.Parse(&o, kong.Description("Draws days of trouble for the operators' bench."))
	line.FatalIfErrorf(run(&o))
}

// run writes the days.
func run(o *options) error {
	var described site
	if _, err := toml.DecodeFile(o.Site, &described); err != nil {
		return Error.New("the site file can't be read, give one of the bench's: %w", err)
	}
	if err := os.MkdirAll(o.Out, 0o755); err != nil {
		return Error.Wrap(err)
	}
	for i := range o.Count {
		seed := o.Seed + uint64(i)
		path := filepath.Join(o.Out, fmt.Sprintf("drawn-%d.toml", seed))
		if err := os.WriteFile(path, []byte(Day(seed, described.services())), 0o644); err != nil {
			return Error.Wrap(err)
		}
	}
	return nil
}

func (s *site) services() []string {
	var names []string
	for _, service := range s.Services {
		names = append(names, service.Name)
	}
	return names
}

// Day is the text of the day of a seed.
func Day(seed uint64, services []string) string {
	d := &draw{random: rand.New(rand.NewPCG(seed, seed)), services: services}
	var text strings.Builder
	fmt.Fprintf(&text, "[[day]]\nname = \"drawn-%d\"\nslot = \"trouble\"\nseed = %d\n", seed, seed)
	if closing := d.one(closings); closing != "" {
		fmt.Fprintf(&text, "closing = { %s }\n", closing)
	}
	list(&text, "plan", d.some(planned, 2, 5))
	faults := d.some(control, 2, 5)
	list(&text, "faults", append(faults, d.some(others, 0, 3)...))
	return text.String()
}

// list writes a list of entries.
func list(text *strings.Builder, name string, entries []string) {
	fmt.Fprintf(text, "%s = [\n", name)
	for _, entry := range entries {
		fmt.Fprintf(text, "  { %s },\n", entry)
	}
	text.WriteString("]\n")
}
