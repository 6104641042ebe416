// Package samples carries the board of samples for tuning between the store and a router: the router reports the samples
// that ended with it, the board that the fleet agrees on says under which epoch each was counted and what it weighs, and what
// part of requests for samples is taken. What is decided is decided in internal/decide/samples.
//
// A tuner uses the keys by etcd's API alone: it puts the newest version at VersionKey, and reads epochs under Epochs, each
// at its number. An epoch is written once, with the board, and stays until later ones have been taken.
package samples

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"
	"unicode"

	pb "go.etcd.io/etcd/api/v3/etcdserverpb"

	"sumacloft/internal/core"
	"sumacloft/internal/decide/samples"
	"sumacloft/internal/etcd"
	"sumacloft/internal/fleet/loop"
)

// The keys.
const (
	root       = "/sumacloft/samples/"
	BoardKey   = root + "board"
	VersionKey = root + "version" // a number, or {"version": N, "epoch": the last that was taken}
	Epochs     = root + "epochs/"
)

// EpochKey is where a closed epoch stands.
func EpochKey(number int64) string { return fmt.Sprintf("%s%012d", Epochs, number) }

// Store reads and writes the records.
type Store struct {
	loop.Store[samples.Report, samples.State]
}

// NewStore makes one of a client.
func NewStore(c *etcd.Client) Store {
	return Store{loop.Store[samples.Report, samples.State]{Client: c, Prefix: root, StateName: "board", Format: samples.Format}}
}

// board reads all that decides but the model and the workers; faults are those of records that were left out.
func (s Store) board(ctx context.Context) (v samples.View, all loop.View[samples.Report, samples.State], faults []error, err error) {
	all, more, err := s.ReadAllWith(ctx, &pb.RangeRequest{Key: []byte(VersionKey)})
	if err != nil {
		return v, all, nil, err
	}
	for _, f := range all.Faults {
		faults = append(faults, f)
	}
	if v.Last = all.State; v.Last != nil {
		v.Last.Rev = all.StateRev
		if err := v.Last.Validate(); err != nil {
			return v, all, nil, err // of a board that can't be read nothing is decided
		}
	}
	for _, name := range all.Routers() {
		v.Reports = append(v.Reports, all.Reports[name].Value)
	}
	for _, pair := range more[0].Kvs {
		p, err := samples.ReadPublished(pair.Value)
		if err != nil {
			faults = append(faults, err)
			continue
		}
		v.Tuner, v.TunerRev = &p, pair.ModRevision
	}
	return v, all, faults, nil
}

// move writes a board in the place of the one at a revision, with the epochs that it closes; those that no one needs go.
func (s Store) move(ctx context.Context, from int64, last, next *samples.State, fence []*pb.Compare, broken samples.Fault) (int64, error) {
	closed, oldest := int64(0), int64(1)
	if last != nil {
		if closed = last.Open.Number - 1; len(last.Closed) > 0 {
			oldest = last.Closed[0].Number
		}
	}
	var along []*pb.RequestOp
	for i, e := range next.Closed {
		if i == 0 {
			for ; oldest < e.Number; oldest++ {
				along = append(along, etcd.Del(EpochKey(oldest)))
			}
		}
		if e.Number <= closed {
			continue
		}
		data, err := json.Marshal(e)
		if err != nil {
			return 0, err
		}
		along = append(along, etcd.Put(EpochKey(e.Number), data, 0))
	}
	if broken == samples.NoCompare {
		data, err := json.Marshal(next)
		if err != nil {
			return 0, err
		}
		r, err := s.Txn(ctx, &pb.TxnRequest{Success: append([]*pb.RequestOp{etcd.Put(BoardKey, data, 0)}, along...)})
		return r.GetHeader().GetRevision(), err
	}
	return s.ReplaceState(ctx, from, next, fence, along...)
}

// Workers are those of a list that make samples: their label ends in the number of the version that they run. zone names a
// place.
func Workers(list []core.Worker, zone func(place int) string) (out []samples.Worker) {
	for _, w := range list {
		digits := w.Label[strings.LastIndexFunc(w.Label, func(r rune) bool { return !unicode.IsDigit(r) })+1:]
		version, err := strconv.ParseInt(digits, 10, 64)
		if err != nil {
			continue
		}
		out = append(out, samples.Worker{Name: w.Name, Boot: boot(w), Site: zone(w.Zone), Kind: w.Role, Label: version})
	}
	return out
}

// boot names a worker's process, by its start.
func boot(w core.Worker) string { return strconv.FormatInt(int64(w.StartedAt/time.Millisecond), 10) }
