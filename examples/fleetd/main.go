// Command fleetd-demo shows a whole router fleet on one host: three control members, two edge routers and four stand-in
// model workers, each on a loopback address of its own. It sends one configuration, asks for one streamed answer, shows
// the fleet's status and ends every process that it began.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/zeebo/errs"
)

// demoError is the class of this program's failures.
var demoError = errs.Class("demo")

// command is the command line.
type command struct {
	Run    runCommand    `cmd:"" default:"withargs" help:"Start the fleet, use it and end it."`
	Worker workerCommand `cmd:"" help:"Be one stand-in model worker; run starts these by itself."`
}

// runCommand runs the demo.
type runCommand struct {
	Fleetd string `default:"bin/fleetd" help:"Path of the fleetd program."`
	Stay   bool   `help:"Keep the fleet until Ctrl-C, for programs of your own."`
}

// Run starts the fleet, uses it and ends it.
func (c *runCommand) Run(ctx context.Context) error {
	folder, err := os.MkdirTemp("", "fleetd-demo-")
	if err != nil {
		return demoError.Wrap(err)
	}
	d := &demo{fleetd: c.Fleetd, folder: folder, out: os.Stdout, stays: c.Stay}
	err = d.run(ctx)
	d.end()
	if err != nil {
		d.say("the processes' logs are in %s", folder)
		return err
	}
	return demoError.Wrap(os.RemoveAll(folder))
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	parsed := kong.Parse(&command{}, kong.Name("fleetd-demo"), kong.BindTo(ctx, (*context.Context)(nil)))
	parsed.FatalIfErrorf(parsed.Run())
}
