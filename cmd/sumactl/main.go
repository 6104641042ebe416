// Command sumactl reads and changes the daemon's store: configuration, members and their drains.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"time"

	pb "go.etcd.io/etcd/api/v3/etcdserverpb"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"sumacloft/internal/discovery"
)

const usage = `usage: sumactl [-endpoint HOST:PORT] [-prefix PREFIX] COMMAND
  get KEY             print a value
  put KEY VALUE       set it; the value - is read from standard input
  del KEY             remove it
  members             list the members
  serve ID HOST:PORT  add a member, or take one back into service at an address
  drain ID            have a member end what it has and take nothing new
  remove ID           declare a member gone
  watch               print changes of members until interrupted`

const callLimit = 5 * time.Second

func main() {
	endpoint := flag.String("endpoint", "127.0.0.1:2379", "a node of the store")
	prefix := flag.String("prefix", "/sumacloft/members/", "where the members are")
	flag.Usage = func() { fmt.Fprintln(os.Stderr, usage) }
	flag.Parse()
	conn, err := grpc.NewClient("passthrough:///"+*endpoint, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err == nil {
		ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
		defer stop()
		c := ctl{pb.NewKVClient(conn), pb.NewWatchClient(conn), *prefix, os.Stdin, os.Stdout}
		err = c.run(ctx, flag.Args())
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "sumactl:", err)
		os.Exit(1)
	}
}

type ctl struct {
	kv     pb.KVClient
	watch  pb.WatchClient
	prefix string
	in     io.Reader
	out    io.Writer
}

var errUsage = errors.New(usage)

func (c *ctl) run(ctx context.Context, args []string) error {
	if len(args) == 0 {
		return errUsage
	}
	wants := map[string]int{"get": 2, "put": 3, "del": 2, "members": 1, "serve": 3, "drain": 2, "remove": 2, "watch": 1}
	if wants[args[0]] != len(args) {
		return errUsage
	}
	if args[0] == "watch" {
		return c.follow(ctx)
	}
	ctx, done := context.WithTimeout(ctx, callLimit)
	defer done()
	switch args[0] {
	case "get":
		return c.get(ctx, args[1])
	case "put":
		return c.put(ctx, args[1], args[2])
	case "del":
		return c.del(ctx, args[1])
	case "members":
		return c.members(ctx)
	case "serve":
		return c.change(ctx, args[1], func(m *discovery.Member) { m.HostPort, m.Phase = args[2], "SERVING" }, true)
	case "drain":
		return c.change(ctx, args[1], func(m *discovery.Member) { m.Phase = "DRAINING" }, false)
	default:
		return c.del(ctx, c.prefix+args[1])
	}
}

func (c *ctl) get(ctx context.Context, key string) error {
	r, err := c.kv.Range(ctx, &pb.RangeRequest{Key: []byte(key)})
	if err != nil {
		return err
	}
	if len(r.Kvs) == 0 {
		return fmt.Errorf("%s: not there", key)
	}
	_, err = fmt.Fprintln(c.out, string(r.Kvs[0].Value))
	return err
}

func (c *ctl) put(ctx context.Context, key, value string) error {
	data := []byte(value)
	if value == "-" {
		var err error
		if data, err = io.ReadAll(c.in); err != nil {
			return err
		}
	}
	_, err := c.kv.Put(ctx, &pb.PutRequest{Key: []byte(key), Value: data})
	return err
}

func (c *ctl) del(ctx context.Context, key string) error {
	r, err := c.kv.DeleteRange(ctx, &pb.DeleteRangeRequest{Key: []byte(key)})
	if err == nil && r.Deleted == 0 {
		err = fmt.Errorf("%s: not there", key)
	}
	return err
}

func (c *ctl) end() []byte {
	end := []byte(c.prefix)
	end[len(end)-1]++
	return end
}

func (c *ctl) members(ctx context.Context) error {
	r, err := c.kv.Range(ctx, &pb.RangeRequest{Key: []byte(c.prefix), RangeEnd: c.end()})
	if err != nil {
		return err
	}
	for _, pair := range r.Kvs {
		if _, err := fmt.Fprintf(c.out, "%s %s\n", pair.Key[len(c.prefix):], pair.Value); err != nil {
			return err
		}
	}
	return nil
}

// change changes one member, if nobody else did since it was read.
func (c *ctl) change(ctx context.Context, id string, how func(*discovery.Member), create bool) error {
	key := []byte(c.prefix + id)
	r, err := c.kv.Range(ctx, &pb.RangeRequest{Key: key})
	if err != nil {
		return err
	}
	m, read := discovery.Member{Flavor: "chat"}, int64(0)
	if len(r.Kvs) > 0 {
		read = r.Kvs[0].ModRevision
		if err := json.Unmarshal(r.Kvs[0].Value, &m); err != nil {
			return fmt.Errorf("%s: %w", key, err)
		}
	} else if !create {
		return fmt.Errorf("%s: not there", key)
	}
	m.ID = id
	how(&m)
	value, err := json.Marshal(m)
	if err != nil {
		return err
	}
	t, err := c.kv.Txn(ctx, &pb.TxnRequest{
		Compare: []*pb.Compare{{Key: key, Target: pb.Compare_MOD, TargetUnion: &pb.Compare_ModRevision{ModRevision: read}}},
		Success: []*pb.RequestOp{{Request: &pb.RequestOp_RequestPut{RequestPut: &pb.PutRequest{Key: key, Value: value}}}}})
	if err == nil && !t.Succeeded {
		err = fmt.Errorf("%s: changed by someone else meanwhile, look again", key)
	}
	return err
}

func (c *ctl) follow(ctx context.Context) error {
	s, err := c.watch.Watch(ctx)
	if err != nil {
		return err
	}
	err = s.Send(&pb.WatchRequest{RequestUnion: &pb.WatchRequest_CreateRequest{CreateRequest: &pb.WatchCreateRequest{
		Key: []byte(c.prefix), RangeEnd: c.end()}}})
	if err != nil {
		return err
	}
	for {
		r, err := s.Recv()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return err
		}
		for _, ev := range r.Events {
			if _, err := fmt.Fprintf(c.out, "%d %s %s %s\n", ev.Kv.ModRevision, ev.Type, ev.Kv.Key[len(c.prefix):], ev.Kv.Value); err != nil {
				return err
			}
		}
	}
}
