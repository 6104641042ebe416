// Package outage carries decisions about outages (internal/decide/outage) between the store and a router: what the
// router sees of the servers goes into the store as its report, and the permits that the fleet has agreed on keep new
// work away from what is let out, this router included.
package outage

import (
	"context"
	"errors"
	"time"

	pb "go.etcd.io/etcd/api/v3/etcdserverpb"

	"sumacloft/internal/decide/outage"
	"sumacloft/internal/decide/rollout"
	"sumacloft/internal/decide/sites"
	"sumacloft/internal/etcd"
	"sumacloft/internal/fleet/loop"
	"sumacloft/internal/fleet/policy"
	"sumacloft/internal/fleet/reuse"
	"sumacloft/internal/fleet/siting"
)

// Root is where the records are; StateKey is the state's, for those who follow permits by etcd's API.
const (
	Root     = "/sumacloft/outage/"
	StateKey = Root + "state"
)

// Store reads and writes the records.
type Store struct {
	loop.Store[outage.Report, outage.State]
}

// NewStore makes one over a client.
func NewStore(client *etcd.Client) Store {
	return Store{loop.Store[outage.Report, outage.State]{Client: client, Prefix: Root, StateName: "state", Format: outage.Format}}
}

// View reads all that a decision is made on, at one revision.
func (s Store) View(ctx context.Context) (outage.View, loop.View[outage.Report, outage.State], error) {
	all, others, err := s.ReadAllWith(ctx, policy.Live(), siting.RangeAll(), reuse.Agreed())
	if err != nil {
		return outage.View{}, all, err
	}
	v := seen(all)
	live, err := policy.Read(others[0])
	if err != nil {
		return v, all, err
	}
	v.Routers = map[string]outage.Registration{}
	for name, r := range live.Routers {
		v.Routers[name] = outage.Registration{Boot: r.Boot, Label: r.Label, Live: r.Lease != 0, ServesWithoutLease: r.OnLapse == rollout.Keep}
	}
	if live.Current != nil {
		v.Version = live.Current.Version
	}
	v.VersionRev = policy.StandingAt(others[0])
	v.LostSites = map[string]bool{}
	if posture, err := siting.Decode(others[1]); err == nil && posture.Last != nil {
		for name, verdict := range posture.Last.Sites {
			if verdict.State == sites.Lost {
				v.LostSites[name] = true
			}
		}
	}
	v.CachedTokens, v.CopiesDone = reuse.Held(others[2]), reuse.Emptied(others[2])
	return v, all, nil
}

// seen is a view without what other loops say.
func seen(all loop.View[outage.Report, outage.State]) outage.View {
	v := outage.View{Last: all.State}
	if v.Last != nil {
		v.Last.Rev = all.StateRev
	}
	for _, name := range all.Routers() {
		one := all.Reports[name].Value
		one.Rev = all.Reports[name].Rev
		v.Reports = append(v.Reports, one)
	}
	return v
}

// Read reads a state out of an answer to a range over Root; nil: there is none.
func Read(r *pb.RangeResponse) *outage.State { return seen(NewStore(nil).Decode(r)).Last }

// Change has an operator change the state: how is given what is known and gives the next state, or nil where there is
// nothing to do. It is asked again when the state was changed by another meanwhile.
func (s Store) Change(ctx context.Context, m outage.Model, how func(v outage.View) (*outage.State, error)) (*outage.State, error) {
	for {
		v, all, err := s.View(ctx)
		if err != nil {
			return nil, err
		}
		v.Model = m
		if !all.Writable() {
			return nil, &outage.RefusedError{Thing: StateKey, Why: "it was written by a newer version of the program, or can't be read", Do: "use the newer version's sumactl, or 'sumactl get " + StateKey + "'"}
		}
		next, err := how(v)
		if err != nil || next == nil {
			return v.Last, err
		}
		rev, err := s.ReplaceState(ctx, all.StateRev, next, nil)
		if err == nil {
			next.Rev = rev
			return next, nil
		}
		if moved := (*loop.MovedError)(nil); !errors.As(err, &moved) {
			return nil, err
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(changePause):
		}
	}
}

// changePause is how long an operator's change waits before it is tried again beside the deciders'.
const changePause = 20 * time.Millisecond
