package etcd

import (
	"context"
	"errors"
	"io"
	"slices"
	"sync"
	"time"

	pb "go.etcd.io/etcd/api/v3/etcdserverpb"
	"go.etcd.io/etcd/api/v3/mvccpb"
	"go.etcd.io/etcd/api/v3/v3rpc/rpctypes"
)

// watches are those of one client's stream.
type watches struct {
	server *Server
	stream pb.Watch_WatchServer

	mu     sync.Mutex // guards sending and what follows
	cancel map[int64]context.CancelFunc
	at     map[int64]int64 // by watch: the revision up to which all has been sent
	lastID int64
}

// Watch serves pb.WatchServer: any number of watches on one stream, each in the order of revisions, with no
// revision torn apart, none left out and none sent twice.
func (s *Server) Watch(stream pb.Watch_WatchServer) error {
	w := &watches{server: s, stream: stream, cancel: map[int64]context.CancelFunc{}, at: map[int64]int64{}}
	ctx, stop := context.WithCancel(stream.Context())
	var running sync.WaitGroup
	defer running.Wait()
	defer stop()
	for {
		req, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		switch r := req.RequestUnion.(type) {
		case *pb.WatchRequest_CreateRequest:
			err = w.create(ctx, r.CreateRequest, &running)
		case *pb.WatchRequest_CancelRequest:
			err = w.end(r.CancelRequest.WatchId, &pb.WatchResponse{})
		case *pb.WatchRequest_ProgressRequest:
			err = w.progress()
		}
		if err != nil {
			return err
		}
	}
}

// none marks answers that belong to no watch.
const none = -1

func (w *watches) create(ctx context.Context, r *pb.WatchCreateRequest, running *sync.WaitGroup) error {
	if len(r.Key) == 0 {
		r.Key = []byte{0}
		if len(r.RangeEnd) == 0 {
			r.RangeEnd = []byte{0}
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	rev, id := w.server.node.Revision(), r.WatchId
	if id == 0 {
		for w.lastID++; w.cancel[w.lastID] != nil; w.lastID++ {
		}
		id = w.lastID
	}
	if w.cancel[id] != nil || id < 0 {
		return w.stream.Send(&pb.WatchResponse{Header: w.server.header(rev), WatchId: none, Created: true, Canceled: true,
			CancelReason: "the watch id is taken or negative"})
	}
	from := r.StartRevision
	if from <= 0 {
		from = rev + 1
	}
	ctx, w.cancel[id] = context.WithCancel(ctx)
	w.at[id] = min(from-1, rev)
	if err := w.stream.Send(&pb.WatchResponse{Header: w.server.header(rev), WatchId: id, Created: true}); err != nil {
		return err
	}
	running.Add(1)
	go func() {
		defer running.Done()
		w.follow(ctx, id, from, r)
	}()
	return nil
}

// end ends a watch and says so.
func (w *watches) end(id int64, last *pb.WatchResponse) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	cancel := w.cancel[id]
	if cancel == nil {
		return nil
	}
	cancel()
	delete(w.cancel, id)
	delete(w.at, id)
	last.Header, last.WatchId, last.Canceled = w.server.header(w.server.node.Revision()), id, true
	return w.stream.Send(last)
}

// progress answers with a revision up to which every watch of the stream has been sent everything.
func (w *watches) progress() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	rev := w.server.node.Revision()
	for _, at := range w.at {
		if at < rev { // one is still behind: its own events will tell
			return nil
		}
	}
	return w.stream.Send(&pb.WatchResponse{Header: w.server.header(rev), WatchId: none})
}

// follow sends one watch's events until ctx ends or they have been compacted away.
func (w *watches) follow(ctx context.Context, id, from int64, r *pb.WatchCreateRequest) {
	tick := time.NewTicker(progressEvery)
	defer tick.Stop()
	for {
		c, err := w.server.node.Changes(r.Key, r.RangeEnd, from, r.PrevKv, batch)
		if err != nil {
			_ = w.end(id, &pb.WatchResponse{CompactRevision: c.Compacted, CancelReason: rpctypes.ErrCompacted.Error()})
			return
		}
		events := slices.DeleteFunc(c.Events, func(e *mvccpb.Event) bool { return filtered(r.Filters, e.Type) })
		from = c.Next
		if !w.send(ctx, id, from-1, &pb.WatchResponse{Header: w.server.header(min(c.Revision, from-1)), WatchId: id, Events: events}) {
			return
		}
		if from <= c.Revision {
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-c.Changed:
		case <-tick.C:
			if r.ProgressNotify && c.Revision >= from-1 {
				if !w.send(ctx, id, from-1, nil) {
					return
				}
			}
		}
	}
}

// send sends a watch's events, if there are any; nil stands for its progress.
func (w *watches) send(ctx context.Context, id, upTo int64, resp *pb.WatchResponse) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if ctx.Err() != nil {
		return false
	}
	w.at[id] = upTo
	if resp == nil {
		resp = &pb.WatchResponse{Header: w.server.header(upTo), WatchId: id}
	} else if len(resp.Events) == 0 {
		return true
	}
	return w.stream.Send(resp) == nil
}

func filtered(filters []pb.WatchCreateRequest_FilterType, kind mvccpb.Event_EventType) bool {
	return (kind == mvccpb.PUT && slices.Contains(filters, pb.WatchCreateRequest_NOPUT)) ||
		(kind == mvccpb.DELETE && slices.Contains(filters, pb.WatchCreateRequest_NODELETE))
}
