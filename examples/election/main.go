// Command election shows how applications elect a leader through a fleet's control members, and why what a leader writes
// must carry its fence: a leader that was suspended may wake up and write after another has taken over.
//
//	election store --listen 127.0.0.1:9500
//	election candidate --name a --control 127.0.0.2:8002,127.0.0.3:8002 --store 127.0.0.1:9500
//	election candidate --name b --control 127.0.0.2:8002,127.0.0.3:8002 --store 127.0.0.1:9500
//
// Suspend the leader with Ctrl-Z, wait for the other to take over, and bring it back with fg: its write is refused, and it
// stands for election again.
package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/zeebo/errs"
)

// electionError is the class of this program's failures.
var electionError = errs.Class("election")

// command is the command line.
type command struct {
	Store     storeCommand     `cmd:"" help:"Keep one text, and refuse writes of leaders that were replaced."`
	Candidate candidateCommand `cmd:"" help:"Stand for election, and write while elected."`
}

// storeCommand runs the store.
type storeCommand struct {
	Listen string `default:"127.0.0.1:9500" help:"Address to serve on (host:port)."`
}

// headerLimit bounds the time that a caller may take to send the head of a call.
const headerLimit = 5 * time.Second

// Run serves until the context ends.
func (c *storeCommand) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return electionError.Wrap(err)
	}
	server := &http.Server{Handler: &store{}, ReadHeaderTimeout: headerLimit}
	go func() {
		<-ctx.Done()
		_ = server.Close() // the program ends
	}()
	if err := server.Serve(listener); err != http.ErrServerClosed {
		return electionError.Wrap(err)
	}
	return nil
}

// candidateCommand runs a candidate.
type candidateCommand struct {
	Name    string        `required:"" help:"Name of this candidate; no two may have the same."`
	Control []string      `required:"" help:"Steering addresses (host:port) of control members, as fleetd status lists them."`
	Store   string        `default:"127.0.0.1:9500" help:"Address of the store (host:port)."`
	Lock    string        `default:"election.example" help:"Name of the lock that the leader holds."`
	Hold    time.Duration `default:"3s" help:"For how long an election counts unless it is renewed."`
}

// Run stands for election until the context ends.
func (c *candidateCommand) Run(ctx context.Context) error {
	one := &candidate{
		name:  c.Name,
		lock:  c.Lock,
		hold:  c.Hold,
		calls: &controlClient{addresses: c.Control},
		store: c.Store,
		say:   func(text string, values ...any) { fmt.Printf(c.Name+": "+text+"\n", values...) },
	}
	one.run(ctx)
	return nil
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	parsed := kong.Parse(&command{}, kong.Name("election"), kong.BindTo(ctx, (*context.Context)(nil)))
	parsed.FatalIfErrorf(parsed.Run())
	_ = os.Stdout.Sync() // nothing more is written
}
