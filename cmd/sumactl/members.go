package main

import (
	"encoding/json"
	"fmt"
	"io"

	pb "go.etcd.io/etcd/api/v3/etcdserverpb"
	"go.etcd.io/etcd/api/v3/mvccpb"

	"sumacloft/internal/decide/outage"
	"sumacloft/internal/discovery"
	"sumacloft/internal/etcd"
)

// pair reads one key; nil: it is not there.
func (c *ctl) pair(key string) (*mvccpb.KeyValue, error) {
	ctx, done := c.call()
	defer done()
	r, err := c.store.Range(ctx, &pb.RangeRequest{Key: []byte(key)})
	if err != nil || len(r.Kvs) == 0 {
		return nil, err
	}
	return r.Kvs[0], nil
}

type getLine struct {
	Key string `arg:"" help:"The key."`
}

// Run prints a value.
func (l *getLine) Run(c *ctl) error {
	pair, err := c.pair(l.Key)
	if err != nil {
		return err
	}
	if pair == nil {
		return fmt.Errorf("%s: not there", l.Key)
	}
	return c.print(map[string]any{"key": l.Key, "value": string(pair.Value), "revision": pair.ModRevision}, func(w io.Writer) error {
		_, err := fmt.Fprintln(w, string(pair.Value))
		return err
	})
}

type putLine struct {
	Key   string `arg:"" help:"The key."`
	Value string `arg:"" help:"The value; - is read from standard input."`
}

// Run sets a value.
func (l *putLine) Run(c *ctl) error {
	data := []byte(l.Value)
	if l.Value == "-" {
		var err error
		if data, err = io.ReadAll(c.in); err != nil {
			return err
		}
	}
	ctx, done := c.call()
	defer done()
	_, err := c.store.Txn(ctx, &pb.TxnRequest{Success: []*pb.RequestOp{etcd.Put(l.Key, data, 0)}})
	return err
}

type delLine struct {
	Key string `arg:"" help:"The key."`
}

// Run removes a key.
func (l *delLine) Run(c *ctl) error { return c.del(l.Key) }

func (c *ctl) del(key string) error {
	ctx, done := c.call()
	defer done()
	r, err := c.store.Txn(ctx, &pb.TxnRequest{Success: []*pb.RequestOp{etcd.Del(key)}})
	if err == nil && r.Responses[0].GetResponseDeleteRange().Deleted == 0 {
		err = fmt.Errorf("%s: not there", key)
	}
	return err
}

type membersLine struct{}

// Run lists the members.
func (l *membersLine) Run(c *ctl) error {
	ctx, done := c.call()
	defer done()
	r, err := c.store.Range(ctx, etcd.Under(c.prefix, false))
	if err != nil {
		return err
	}
	list := map[string]json.RawMessage{}
	for _, pair := range r.Kvs {
		list[string(pair.Key[len(c.prefix):])] = pair.Value
	}
	return c.print(list, func(w io.Writer) error {
		for _, pair := range r.Kvs {
			if _, err := fmt.Fprintf(w, "%s %s\n", pair.Key[len(c.prefix):], pair.Value); err != nil {
				return err
			}
		}
		return nil
	})
}

type serveLine struct {
	ID   string `arg:"" help:"The member."`
	Addr string `arg:"" optional:"" help:"Its HOST:PORT; not needed for one that was let out and is to serve again as it is."`
}

// Run takes a member into service.
func (l *serveLine) Run(c *ctl) error {
	if did, err := c.served(outage.ID(outage.Server, l.ID)); err != nil {
		return err
	} else if did && l.Addr == "" {
		return nil
	}
	if l.Addr == "" {
		return fmt.Errorf("%s: it was not taken out by a permit: name its HOST:PORT", l.ID)
	}
	return c.change(l.ID, func(m *discovery.Member) { m.HostPort, m.Phase = l.Addr, "SERVING" }, true)
}

type removeLine struct {
	ID string `arg:"" help:"The member."`
}

// Run removes a member.
func (l *removeLine) Run(c *ctl) error {
	did, err := c.gone(outage.ID(outage.Server, l.ID))
	if err != nil {
		return err
	}
	if err = c.del(c.prefix + l.ID); did && err != nil {
		c.note(err.Error())
		return nil
	}
	return err
}

// change changes one member, if nobody else did since it was read.
func (c *ctl) change(id string, how func(*discovery.Member), create bool) error {
	ctx, done := c.call()
	defer done()
	key := []byte(c.prefix + id)
	r, err := c.store.Range(ctx, &pb.RangeRequest{Key: key})
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
	t, err := c.store.Txn(ctx, &pb.TxnRequest{
		Compare: []*pb.Compare{etcd.At(string(key), read)}, Success: []*pb.RequestOp{etcd.Put(string(key), value, 0)}})
	if err == nil && !t.Succeeded {
		err = fmt.Errorf("%s: changed by someone else meanwhile, look again", key)
	}
	return err
}

type watchLine struct{}

// Run prints changes until interrupted.
func (l *watchLine) Run(c *ctl) error {
	s, err := pb.NewWatchClient(c.store.Conn(0)).Watch(c.ctx)
	if err != nil {
		return err
	}
	r := etcd.Under(c.prefix, false)
	err = s.Send(&pb.WatchRequest{RequestUnion: &pb.WatchRequest_CreateRequest{CreateRequest: &pb.WatchCreateRequest{Key: r.Key, RangeEnd: r.RangeEnd}}})
	if err != nil {
		return err
	}
	for {
		r, err := s.Recv()
		if c.ctx.Err() != nil {
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
