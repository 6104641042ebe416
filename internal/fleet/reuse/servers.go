package reuse

import (
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	pb "go.etcd.io/etcd/api/v3/etcdserverpb"

	"sumacloft/brain"
	"sumacloft/internal/core"
	"sumacloft/internal/decide/reuse"
	"sumacloft/internal/discovery"
	"sumacloft/internal/fleet/roster"
)

// Servers are those on the list, as the rooms show them that have registered with its keeper before: what is let out drains.
type Servers struct {
	list atomic.Pointer[[]reuse.Server]
}

// NewServers follows a keeper's list.
func NewServers(r *roster.Roster) *Servers {
	s := &Servers{}
	s.list.Store(&[]reuse.Server{})
	r.AdjustWorkers(func(_ roster.Policy, list []core.Worker) {
		out := make([]reuse.Server, 0, len(list))
		for _, w := range list {
			out = append(out, reuse.Server{ID: w.Name, Region: r.Site(w), Boot: strconv.FormatInt(int64(w.StartedAt/time.Millisecond), 10), Draining: w.Availability != brain.Ready})
		}
		s.list.Store(&out)
	})
	return s
}

// List is the list.
func (s *Servers) List() []reuse.Server { return *s.list.Load() }

// homes tells the server that requests with an opening go to first, as the module has it where servers are alike. Lists that it is given are
// not changed afterwards: it is asked for many openings over one.
func homes() func(k reuse.Key, servers []string) string {
	var last []string
	var ids []brain.EngineID
	return func(k reuse.Key, servers []string) string {
		if len(servers) == 0 {
			return ""
		}
		if len(last) != len(servers) || &last[0] != &servers[0] {
			last, ids = servers, ids[:0]
			for _, name := range servers {
				ids = append(ids, discovery.EngineID(name))
			}
		}
		i := slices.Index(ids, brain.Home(uint64(k), ids))
		if i < 0 {
			return ""
		}
		return servers[i]
	}
}

// Agreed is the request for the state that is agreed on; Held and Emptied read its answer.
func Agreed() *pb.RangeRequest { return &pb.RangeRequest{Key: []byte(Records(nil).StateKey())} }

func agreed(r *pb.RangeResponse) *reuse.State {
	if len(r.GetKvs()) == 0 {
		return &reuse.State{}
	}
	s, err := reuse.Decode(r.Kvs[0].Value)
	if err != nil {
		return &reuse.State{}
	}
	return s
}

// Held is what servers hold under leases, in tokens; nothing where there is no state or it can't be read.
func Held(r *pb.RangeResponse) map[string]float64 { return agreed(r).HeldTokens() }

// Emptied is the turn of each server that leaves for which nothing is to be copied from it any more; nothing likewise.
func Emptied(r *pb.RangeResponse) map[string]int64 { return agreed(r).CopiesDone() }
