// Command sumactl reads and changes what a fleet of daemons shares in its store: the policy, the routers that follow
// it, the members and their drains.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"time"

	"github.com/alecthomas/kong"
	"github.com/jedib0t/go-pretty/v6/table"

	"sumacloft/internal/etcd"
	"sumacloft/internal/fleet/policy"
)

// The exit codes.
const (
	exitFailed  = 1 // also: a change was aborted
	exitUnknown = 3 // a change whose outcome is not known yet
)

const callLimit = 5 * time.Second

// line is the command line.
type line struct {
	Endpoint []string `help:"A node of the store, or several; one that is dead is passed over." default:"127.0.0.1:2379" placeholder:"HOST:PORT" sep:","`
	Prefix   string   `help:"Where the members are." default:"/sumacloft/members/"`
	Output   string   `help:"How to print: text or json." enum:"text,json" default:"text"`

	Policy  policyLine  `cmd:"" help:"The fleet's policy: what all routers decide alike."`
	Routers routersLine `cmd:"" help:"The routers that follow the policy."`
	Work    workLine    `cmd:"" help:"Requests in hand, of the classes that have handover."`
	Release releaseLine `cmd:"" help:"Releases of a new program, and all that is out of service: under one budget of the policy."`
	Site    siteLine    `cmd:"" help:"The plan for the loss of a site: what holds, what would, and what is ordered."`

	Get     getLine     `cmd:"" help:"Print a value."`
	Put     putLine     `cmd:"" help:"Set a value."`
	Del     delLine     `cmd:"" help:"Remove a key."`
	Members membersLine `cmd:"" help:"List the members."`
	Serve   serveLine   `cmd:"" help:"Add a member, or take one back into service at an address."`
	Drain   drainLine   `cmd:"" help:"Have a member end what it has and take nothing new."`
	Remove  removeLine  `cmd:"" help:"Declare a member gone."`
	Watch   watchLine   `cmd:"" help:"Print changes of members until interrupted."`
}

// ctl is what the commands work with.
type ctl struct {
	ctx    context.Context
	store  policy.Store
	prefix string
	json   bool
	in     io.Reader
	out    io.Writer
	notes  io.Writer // progress, and what to do next
}

// call bounds one call to the store.
func (c *ctl) call() (context.Context, context.CancelFunc) {
	return context.WithTimeout(c.ctx, callLimit)
}

// print prints a value as JSON, or has text print it.
func (c *ctl) print(value any, text func(io.Writer) error) error {
	if !c.json {
		return text(c.out)
	}
	e := json.NewEncoder(c.out)
	e.SetIndent("", "  ")
	return e.Encode(value)
}

// table prints rows under a header.
func tabled(header table.Row, rows []table.Row) func(io.Writer) error {
	return func(w io.Writer) error {
		t := table.NewWriter()
		t.SetStyle(table.StyleLight)
		t.Style().Options = table.OptionsNoBordersAndSeparators
		t.AppendHeader(header)
		t.AppendRows(rows)
		_, err := fmt.Fprintln(w, t.Render())
		return err
	}
}

// exit is an error that has a code of its own.
type exit struct {
	code int
	text string
}

func (e *exit) Error() string { return e.text }

// dashes gives the flags that were once spelled with one dash the two that they have now.
func dashes(args []string) []string {
	out := make([]string, len(args))
	for i, a := range args {
		if name, _, _ := strings.Cut(a, "="); name == "-endpoint" || name == "-prefix" {
			a = "-" + a
		}
		out[i] = a
	}
	return out
}

// run runs a command line and gives its exit code.
func run(ctx context.Context, args []string, in io.Reader, out, notes io.Writer) (code int) {
	var l line
	exited := -1
	parser, err := kong.New(&l, kong.Name("sumactl"), kong.Writers(out, notes), kong.Exit(func(code int) { exited = code }), kong.UsageOnError(),
		kong.Description("Reads and changes what a fleet of sumacloft daemons shares in its store."))
	if err == nil {
		var k *kong.Context
		if k, err = parser.Parse(dashes(args)); exited >= 0 {
			return exited
		}
		if err == nil {
			var client *etcd.Client
			if client, err = etcd.NewClient(l.Endpoint); err == nil {
				defer client.Close()
				client.Patient = true
				err = k.Run(&ctl{ctx, policy.Store{Client: client}, l.Prefix, l.Output == "json", in, out, notes})
			}
		}
	}
	if err == nil {
		return 0
	}
	l.say(notes, err)
	if e := (*exit)(nil); errors.As(err, &e) {
		return e.code
	}
	return exitFailed
}

// say tells an error in two lines: what failed, and what can be done; as fields with --output json.
func (l *line) say(notes io.Writer, err error) {
	var a interface {
		error
		Advice() string
	}
	advice := ""
	if errors.As(err, &a) {
		advice = a.Advice()
	}
	if l.Output == "json" {
		_ = json.NewEncoder(notes).Encode(struct {
			Error  string `json:"error"`
			Kind   string `json:"kind"`
			Advice string `json:"advice,omitempty"`
		}{err.Error(), strings.TrimPrefix(fmt.Sprintf("%T", err), "*"), advice}) // standard error that is gone is no matter
		return
	}
	_, _ = fmt.Fprintln(notes, "sumactl:", err)
	if advice != "" {
		_, _ = fmt.Fprintln(notes, "  what you can do:", advice)
	}
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	code := run(ctx, os.Args[1:], os.Stdin, os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
