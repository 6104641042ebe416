// Command deployer is an example of what replaces a fleet's servers: it runs toy servers on loopback, follows the fleet's
// permits by etcd's API, and does nothing that no permit lets it do. A real one would have a supervisor, machines and
// images in the place of child processes; what it reads and writes in the store would be the same.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	pb "go.etcd.io/etcd/api/v3/etcdserverpb"

	"sumacloft/internal/etcd"
)

type line struct {
	Endpoint []string          `help:"The store's nodes." required:""`
	Server   map[string]string `help:"A server's name in the list and where it listens." required:"" placeholder:"NAME=HOST:PORT"`
	Program  string            `help:"The toy server." default:"bin/toyserver"`
	Bad      string            `help:"The label of a version of which every second request fails." default:"bad"`
}

// permits is the part of the fleet's state that a deployer needs.
type permits struct {
	Permits map[string]struct {
		ID    int64  `json:"id"`
		For   string `json:"for"`   // "hand", or a release's name
		Stage string `json:"stage"` // clear: every router that lives sends nothing there any more
		To    string `json:"to"`    // the label that it is to come back with
	} `json:"permits"`
}

const (
	state   = "/sumacloft/outage/state"
	members = "/sumacloft/members/"
	// heard is how long after clear a server is still left alone, for what is on its way.
	heard = time.Second
	every = 200 * time.Millisecond
)

type deployer struct {
	line
	kv   *etcd.Client
	runs map[string]*exec.Cmd
	did  map[string]int64 // by server: the permit under which it was replaced last
}

func main() {
	d := deployer{runs: map[string]*exec.Cmd{}, did: map[string]int64{}}
	k := kong.Parse(&d.line, kong.Name("deployer"), kong.Description("Replaces toy servers when the fleet lets them out."))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var err error
	if d.kv, err = etcd.NewClient(d.Endpoint); err == nil {
		err = d.run(ctx)
	}
	for name := range d.runs {
		d.end(name)
	}
	k.FatalIfErrorf(err)
}

func (d *deployer) run(ctx context.Context) error {
	for name := range d.Server {
		if err := d.start(name, "1"); err != nil {
			return err
		}
	}
	for name := range d.Server { // the first router to start writes the members' records
		for d.label(ctx, name, "1") != nil {
			if !sleep(ctx, every) {
				return nil
			}
		}
	}
	for sleep(ctx, every) {
		r, err := d.kv.Range(ctx, &pb.RangeRequest{Key: []byte(state)})
		if err != nil || len(r.Kvs) == 0 {
			continue // without the store nothing is taken out
		}
		var now permits
		if err := json.Unmarshal(r.Kvs[0].Value, &now); err != nil {
			return fmt.Errorf("%s: %w", state, err)
		}
		for thing, p := range now.Permits {
			name, isServer := strings.CutPrefix(thing, "server/")
			if _, mine := d.Server[name]; !isServer || !mine || p.For == "hand" || p.Stage != "clear" || d.did[name] == p.ID {
				continue
			}
			fmt.Printf("permit %d: %s comes back with label %q\n", p.ID, name, p.To)
			if !sleep(ctx, heard) {
				return nil
			}
			d.end(name)
			if err := d.start(name, p.To); err != nil {
				return err
			}
			for d.label(ctx, name, p.To) != nil {
				if !sleep(ctx, every) {
					return nil
				}
			}
			d.did[name] = p.ID
		}
	}
	return nil
}

// start runs a server's program with a label.
func (d *deployer) start(name, label string) error {
	args := []string{"-listen", d.Server[name], "-pause", "5ms"}
	if label == d.Bad {
		args = append(args, "-fail", "0.5")
	}
	cmd := exec.Command(d.Program, args...)
	cmd.Stderr = os.Stderr
	d.runs[name] = cmd
	return cmd.Start()
}

// end stops it; what a toy server has is not waited for, as a real one would.
func (d *deployer) end(name string) {
	if cmd := d.runs[name]; cmd.Process != nil {
		_ = cmd.Process.Signal(syscall.SIGTERM)
		_ = cmd.Wait() // how it ended is no matter
	}
}

// label writes a server's new start and label into its record: that is how the fleet knows what came back.
func (d *deployer) label(ctx context.Context, name, label string) error {
	r, err := d.kv.Range(ctx, &pb.RangeRequest{Key: []byte(members + name)})
	if err != nil {
		return err
	}
	if len(r.Kvs) == 0 {
		return fmt.Errorf("%s has no record yet", name)
	}
	record := map[string]any{} // what else stands in it is kept
	if err := json.Unmarshal(r.Kvs[0].Value, &record); err != nil {
		return err
	}
	record["label"], record["up_since_ms"] = label, time.Now().UnixMilli()
	value, err := json.Marshal(record)
	if err != nil {
		return err
	}
	t, err := d.kv.Txn(ctx, &pb.TxnRequest{Compare: []*pb.Compare{etcd.At(members+name, r.Kvs[0].ModRevision)},
		Success: []*pb.RequestOp{etcd.Put(members+name, value, 0)}})
	if err == nil && !t.Succeeded {
		return fmt.Errorf("%s was changed by another meanwhile", name)
	}
	return err
}

func sleep(ctx context.Context, t time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(t):
		return true
	}
}
