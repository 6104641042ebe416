package etcd

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/sirupsen/logrus"
	pb "go.etcd.io/etcd/api/v3/etcdserverpb"
	"go.etcd.io/etcd/api/v3/mvccpb"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"sumacloft/internal/discovery"
)

const (
	// askEvery is when a watch is asked for progress; one that has not answered by silence is opened anew. A
	// drain must be heard of in time also when the store's node has gone without a word.
	askEvery, silence = 400 * time.Millisecond, 1500 * time.Millisecond
	callLimit         = 2 * time.Second
)

// Members follows the members under a prefix of keys: each key's last part is a member's id, its value the
// member as discovery words it.
type Members struct {
	Endpoints []string
	Prefix    string
	Log       logrus.FieldLogger
}

// errLost says that events were compacted away before they were read: the whole list must be read again.
var errLost = errors.New("events were compacted away")

// Run tells the whole list, then every change in order, until ctx ends. A watch that breaks or falls silent goes
// on at the next endpoint from the last revision heard.
func (m *Members) Run(ctx context.Context, tell func(discovery.List)) {
	revision, i := int64(0), 0
	Repeat(ctx, func() error {
		err := m.follow(ctx, m.Endpoints[i%len(m.Endpoints)], &revision, tell)
		if errors.Is(err, errLost) {
			revision = 0 // this endpoint is alive: it is the one to ask for the whole list
		} else {
			i++
		}
		return err
	}, func(err error) { m.Log.WithError(err).Warn("members: the watch ended") })
}

func (m *Members) follow(ctx context.Context, endpoint string, revision *int64, tell func(discovery.List)) error {
	conn, err := grpc.NewClient("passthrough:///"+endpoint, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		return err
	}
	defer conn.Close()
	if *revision == 0 {
		call, done := context.WithTimeout(ctx, callLimit)
		resp, err := pb.NewKVClient(conn).Range(call, &pb.RangeRequest{Key: []byte(m.Prefix), RangeEnd: prefixEnd(m.Prefix)})
		done()
		if err != nil {
			return err
		}
		list := discovery.List{Revision: resp.Header.Revision, Complete: true}
		for _, pair := range resp.Kvs {
			if member, ok := m.member(pair); ok {
				list.Members = append(list.Members, member)
			}
		}
		tell(list)
		*revision = list.Revision
	}
	return m.watch(ctx, conn, revision, tell)
}

func (m *Members) watch(ctx context.Context, conn *grpc.ClientConn, revision *int64, tell func(discovery.List)) error {
	return watch(ctx, conn, m.Prefix, *revision+1, func(resp *pb.WatchResponse) error {
		if !resp.Created { // its revision says nothing about what this watch has been sent
			m.events(resp, revision, tell)
		}
		return nil
	})
}

// prefixEnd is the end of the range of keys that begin with a prefix.
func prefixEnd(prefix string) []byte {
	end := []byte(prefix)
	end[len(end)-1]++
	return end
}

// watch hears all that is sent on a watch of a prefix from a revision on, 0 for now. It ends with an error when the
// watch breaks, is cancelled or falls silent: errLost where events were compacted away before they were read.
func watch(ctx context.Context, conn *grpc.ClientConn, prefix string, from int64, hear func(*pb.WatchResponse) error) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	quiet := time.AfterFunc(silence, func() { cancel(fmt.Errorf("silent for %v", silence)) })
	defer quiet.Stop()
	stream, err := pb.NewWatchClient(conn).Watch(ctx)
	if err != nil {
		return err
	}
	err = stream.Send(&pb.WatchRequest{RequestUnion: &pb.WatchRequest_CreateRequest{CreateRequest: &pb.WatchCreateRequest{
		Key: []byte(prefix), RangeEnd: prefixEnd(prefix), StartRevision: from}}})
	if err != nil {
		return err
	}
	go func() {
		for tick := time.NewTicker(askEvery); ; {
			select {
			case <-ctx.Done():
				tick.Stop()
				return
			case <-tick.C:
				ask := &pb.WatchRequest{RequestUnion: &pb.WatchRequest_ProgressRequest{ProgressRequest: &pb.WatchProgressRequest{}}}
				if stream.Send(ask) != nil {
					tick.Stop()
					return // Recv tells why
				}
			}
		}
	}()
	for {
		resp, err := stream.Recv()
		if err != nil {
			if cause := context.Cause(ctx); cause != nil {
				err = cause
			}
			return err
		}
		quiet.Reset(silence)
		switch {
		case resp.CompactRevision > 0:
			return errLost
		case resp.Canceled:
			return fmt.Errorf("cancelled: %s", resp.CancelReason)
		}
		if err := hear(resp); err != nil {
			return err
		}
	}
}

// events tells what is new. What came before is passed over, and the revision never goes back.
func (m *Members) events(resp *pb.WatchResponse, revision *int64, tell func(discovery.List)) {
	list := discovery.List{}
	for _, ev := range resp.Events {
		if ev.Kv.ModRevision <= *revision {
			continue
		}
		list.Revision = ev.Kv.ModRevision
		if ev.Type == mvccpb.DELETE {
			list.Members = append(list.Members, discovery.Member{ID: m.id(ev.Kv), Phase: "DELETED"})
		} else if member, ok := m.member(ev.Kv); ok {
			list.Members = append(list.Members, member)
		}
	}
	if len(list.Members) > 0 {
		tell(list)
	}
	if len(resp.Events) > 0 {
		*revision = max(*revision, list.Revision)
	} else {
		*revision = max(*revision, resp.Header.Revision)
	}
}

func (m *Members) id(pair *mvccpb.KeyValue) string {
	return strings.TrimPrefix(string(pair.Key), m.Prefix)
}

// member reads a value. One that can't be read is left as it was known, and said so.
func (m *Members) member(pair *mvccpb.KeyValue) (discovery.Member, bool) {
	var out discovery.Member
	if err := json.Unmarshal(pair.Value, &out); err != nil {
		m.Log.WithField("key", string(pair.Key)).WithError(err).Warn("members: a value that can't be read")
		return out, false
	}
	out.ID = m.id(pair)
	return out, true
}
