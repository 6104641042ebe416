package work

import (
	"context"
	"slices"
	"sync"
	"time"

	pb "go.etcd.io/etcd/api/v3/etcdserverpb"

	"sumacloft/internal/decide/ledger"
	"sumacloft/internal/etcd"
)

// takeOver looks for records whose owner is lost and sees to those that fall to this router, at the pace that is set.
func (b *Book) takeOver(ctx context.Context, all *sync.WaitGroup) {
	if b.o.Session() == nil || !b.Ready() {
		return
	}
	b.mu.Lock()
	live, liveAt := slices.Clone(b.live), b.liveAt
	b.mu.Unlock()
	call, done := context.WithTimeout(ctx, callLimit)
	r, err := b.client.Range(call, List(true, false))
	done()
	if err != nil {
		return
	}
	for _, pair := range r.Kvs {
		rec, err := Decode(pair.Value, pair.ModRevision)
		if err != nil {
			b.o.Log.WithError(err).WithField("key", string(pair.Key)).Error("work: a record that can't be read")
			continue
		}
		if !b.falls(rec, live, liveAt) {
			continue
		}
		if b.pace.Wait(ctx) != nil {
			return
		}
		all.Add(1)
		go func() {
			defer all.Done()
			b.take(ctx, rec)
		}()
	}
}

// falls tells whether a record is this router's to take over. A list of who lives that is older than the record
// says nothing of its owner.
func (b *Book) falls(rec ledger.Record, live []ledger.Owner, liveAt int64) bool {
	b.mu.Lock()
	mine := b.entries[rec.Key] != nil
	b.mu.Unlock()
	if mine {
		return false
	}
	if rec.Owner == b.o.Me { // left behind by a change whose fate was not known, or by a lease that was lost
		return true
	}
	if rec.Rev > liveAt && rec.Owner != (ledger.Owner{}) {
		return false
	}
	taker, any := ledger.Successor(rec.Key, live)
	return any && taker == b.o.Me && rec.Orphan(live)
}

// takes bounds what one takeover may spend at the store.
const takes = 5 * time.Second

// take takes one record over and does with it what its verdict says.
func (b *Book) take(ctx context.Context, rec ledger.Record) {
	b.mu.Lock()
	session := b.o.Session()
	if session == nil || b.entries[rec.Key] != nil || b.account.Open(now()) != nil {
		b.mu.Unlock()
		return
	}
	e := &Entry{book: b, session: session, keyed: rec.Key[0] != '~', rec: rec}
	b.entries[rec.Key] = e
	b.mu.Unlock()
	call, done := context.WithTimeout(ctx, takes)
	defer done()
	verdict := rec.Recovery(now(), b.o.Attempts())
	span := b.o.Spans.takeover(rec, verdict)
	defer span.End()
	log := b.o.Log.WithField("key", rec.Key).WithField("class", rec.Class).WithField("from", rec.Owner.Name).WithField("step", rec.Step).WithField("verdict", verdict)
	e.mu.Lock()
	var err error
	switch claim := rec.Claim(b.o.Me); verdict {
	case ledger.Run, ledger.Repeat:
		err = e.write(call, claim)
	case ledger.Settle:
		err = e.end(call, claim, ledger.Unknown, ledger.Answer{})
	case ledger.Drop:
		gone := rec
		gone.Step = ledger.Ended
		err = e.change(call, gone, 0, []*pb.RequestOp{etcd.Del(openKeys + rec.Key)})
		e.leave(false)
	default:
		e.leave(false)
	}
	e.mu.Unlock()
	if err != nil { // another was quicker, or the store is away: it is looked at again
		e.Leave()
		log.WithError(err).Debug("work: not taken over")
		return
	}
	if verdict == ledger.Settle {
		log.WithField("worker", rec.Worker).WithField("sent_ms", rec.FirstMs).Warn("work: settled as unknown: it may have run, and must be checked by hand")
	} else {
		log.Info("work: taken over")
	}
	if verdict == ledger.Run || verdict == ledger.Repeat {
		b.o.Resume(e)
	}
}

// List is the request for all records in hand, or all that ended and are kept.
func List(copied, ended bool) *pb.RangeRequest {
	prefix := openKeys
	if ended {
		prefix = doneKeys
	}
	return etcd.Under(prefix, copied)
}
