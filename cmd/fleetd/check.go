package main

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/zeebo/errs"

	"sumacloft/internal/boot"
	"sumacloft/internal/mesh/membership"
	"sumacloft/internal/opconf"
)

// checkError is the class of files that can't be read or hold faults.
var checkError = errs.Class("check")

// checkCommand checks files before they are put in place.
type checkCommand struct {
	Boot     checkBootCommand     `cmd:"" help:"Check a boot file: the settings that a process is started with."`
	Settings checkSettingsCommand `cmd:"" help:"Check a configuration: the JSON that the operator sends to Settings.Replace."`
}

// checkBootCommand checks a boot file.
type checkBootCommand struct {
	File string `arg:"" help:"Path of the file."`
}

// Run prints a summary, or fails with all faults.
func (c *checkBootCommand) Run(to *streams) error {
	text, err := readFile(c.File)
	if err != nil {
		return err
	}
	settings, err := boot.Parse(text)
	var invalid *boot.InvalidError
	switch {
	case errors.As(err, &invalid):
		return faultyFile(c.File, bootFaults(invalid.Faults))
	case err != nil:
		return checkError.New("%s: %w", c.File, err)
	}
	if lacking := lackingOf(settings); len(lacking) > 0 {
		return faultyFile(c.File, lacking)
	}
	return to.print(bootSummary(c.File, settings))
}

// checkSettingsCommand checks a configuration.
type checkSettingsCommand struct {
	File string `arg:"" help:"Path of the file."`
}

// Run prints a summary, or fails with all faults.
func (c *checkSettingsCommand) Run(to *streams) error {
	text, err := readFile(c.File)
	if err != nil {
		return err
	}
	configuration, err := opconf.Parse(text)
	var invalid *opconf.InvalidError
	switch {
	case errors.As(err, &invalid):
		return faultyFile(c.File, settingsFaults(invalid.Faults))
	case err != nil:
		return checkError.New("%s: %w", c.File, err)
	}
	return to.print(settingsSummary(c.File, configuration))
}

func readFile(path string) ([]byte, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, checkError.New("give the path of a readable file: %w", err)
	}
	return text, nil
}

// fault is one thing that is wrong with a file.
type fault struct {
	key     string // of the field, as the file writes it, or the path of the value
	problem string // what is wrong and what to do about it
}

// faultyError holds all faults of a file.
type faultyError struct {
	file   string
	faults []fault
}

func faultyFile(file string, faults []fault) error {
	return checkError.Wrap(&faultyError{file: file, faults: faults})
}

// Error lists the faults, one a line.
func (e *faultyError) Error() string {
	lines := []string{fmt.Sprintf("%s holds %s", e.file, counted(len(e.faults), "fault"))}
	for _, found := range e.faults {
		lines = append(lines, fmt.Sprintf("  %s: %s", found.key, found.problem))
	}
	return strings.Join(lines, "\n")
}

func bootFaults(found []boot.Fault) []fault {
	faults := make([]fault, 0, len(found))
	for _, one := range found {
		faults = append(faults, fault{key: one.Key, problem: one.Problem})
	}
	return faults
}

func settingsFaults(found []opconf.Fault) []fault {
	faults := make([]fault, 0, len(found))
	for _, one := range found {
		faults = append(faults, fault{key: one.Path, problem: one.Problem})
	}
	return faults
}

// fewestPorts is how many inside ports the processes of a machine use.
const fewestPorts = membership.PortHints + 1

// lackingOf lists what no single field shows: what a process of this role would miss.
func lackingOf(settings *boot.Settings) []fault {
	var faults []fault
	if settings.Serving(boot.ServesSteering) && settings.DataFolder == "" {
		faults = append(faults, fault{key: "data_folder",
			problem: "is missing, and a control member needs a disk; name a folder, or give the role to a machine that has one"})
	}
	if settings.InsidePorts.Count() < fewestPorts {
		faults = append(faults, fault{key: "inside_ports",
			problem: fmt.Sprintf("holds %s; give at least %d", counted(settings.InsidePorts.Count(), "port"), fewestPorts)})
	}
	if len(settings.Starters) == 0 {
		faults = append(faults, fault{key: "starters",
			problem: "is missing; name the control addresses (ip:port) of control members to join through"})
	}
	return faults
}

func bootSummary(file string, settings *boot.Settings) string {
	lines := []string{
		fmt.Sprintf("%s is in order", file),
		fmt.Sprintf("  machine %s (%s) in zone %s, region %s", settings.Node, settings.IP, settings.Zone, orDash(settings.Region)),
		fmt.Sprintf("  serves %s", orDash(strings.Join(settings.Serves, ", "))),
		fmt.Sprintf("  inside ports %d to %d, %s", settings.InsidePorts.First, settings.InsidePorts.Last,
			counted(len(settings.Starters), "starter")),
	}
	if settings.DataFolder != "" {
		lines = append(lines, "  data in "+settings.DataFolder)
	}
	return strings.Join(lines, "\n") + "\n"
}

func settingsSummary(file string, configuration *opconf.Configuration) string {
	hosts := map[string]bool{}
	for _, route := range configuration.Routes {
		hosts[route.Host] = true
	}
	modelled := 0
	for _, service := range configuration.Services {
		if service.Runner != nil {
			modelled++
		}
	}
	return fmt.Sprintf("%s is in order\n  version %d: %s on %s, %s (%d with model workers)\n", file, configuration.Version,
		counted(len(configuration.Routes), "route"), counted(len(hosts), "host"),
		counted(len(configuration.Services), "service"), modelled)
}

// counted writes a number of things.
func counted(number int, thing string) string {
	if number == 1 {
		return "1 " + thing
	}
	return fmt.Sprintf("%d %ss", number, thing)
}

// orDash stands in for an empty text.
func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
