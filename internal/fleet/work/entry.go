package work

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	pb "go.etcd.io/etcd/api/v3/etcdserverpb"

	"sumacloft/internal/decide/ledger"
	"sumacloft/internal/etcd"
)

// Entry is one request in hand.
type Entry struct {
	book    *Book
	session any
	keyed   bool // its client gave a key and may come again with it

	mu   sync.Mutex
	rec  ledger.Record
	over bool
}

// New takes a place for a request; nothing is written yet.
func (b *Book) New(rec ledger.Record, keyed bool) (*Entry, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	session := b.o.Session()
	if session == nil {
		return nil, ErrAway
	}
	if b.entries[rec.Key] != nil {
		return nil, &Conflict{rec}
	}
	if err := b.account.Open(now()); err != nil {
		return nil, err
	}
	rec.Owner, rec.Epoch = b.o.Me, 1
	rec.Request.Body, rec.Request.BodyOmitted = squeeze(rec.Request.Body, b.o.Limits.Body)
	e := &Entry{book: b, session: session, keyed: keyed, rec: rec}
	b.entries[rec.Key] = e
	return e, nil
}

// Record is the entry's record as it was written last.
func (e *Entry) Record() ledger.Record {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.rec
}

// Body is the request's body, as its client sent it.
func (e *Entry) Body() ([]byte, error) { return stretch(e.Record().Request.Body) }

// Keyed tells whether the client may come again.
func (e *Entry) Keyed() bool { return e.keyed }

// Clear is asked just before a request's first byte is written: is this router still the one that may?
func (e *Entry) Clear() error {
	if e.book.o.Broken == NoCheck {
		return nil
	}
	if s := e.book.o.Session(); s == nil || s != e.session {
		return ledger.ErrNotOwner
	}
	return nil
}

// Traced has the record name the span in which it was taken; it is written with what comes next.
func (e *Entry) Traced(span string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.rec.Trace = span
}

// Wait writes down that the request waits, unless more than that is known already.
func (e *Entry) Wait(ctx context.Context) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.over || e.rec.Rev > 0 || e.rec.Attempts > 0 {
		return nil
	}
	return e.write(ctx, e.rec)
}

// Sending writes down that the request is about to be sent. Without an error that is durable.
func (e *Entry) Sending(ctx context.Context, worker string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.Clear(); err != nil {
		return err
	}
	if e.over {
		return ledger.ErrNotOwner
	}
	if !e.rec.MaySend(now()) {
		return ledger.ErrNotOwner
	}
	next := e.rec.MarkSent(worker, now())
	if e.book.o.Broken == LateIntent {
		go func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			if !e.over {
				_ = e.write(context.WithoutCancel(ctx), next)
			}
		}()
		return nil
	}
	return e.write(ctx, next)
}

// Streaming writes down that the answer has begun, for those who look; it changes nothing of what may be done.
func (e *Entry) Streaming(ctx context.Context) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.over || e.rec.Step != ledger.Sent {
		return nil
	}
	next := e.rec
	next.Step = ledger.Streaming
	return e.write(ctx, next)
}

// NeverRan notes that the last attempt surely did not reach a server. It is written with what comes next.
func (e *Entry) NeverRan() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.over && e.rec.Attempts > 0 {
		e.rec = e.rec.MarkNotRun()
	}
}

// write puts the record in the place of the one that was written last.
func (e *Entry) write(ctx context.Context, next ledger.Record) error {
	data, err := Encode(next)
	if err != nil {
		return err
	}
	key := openKeys + next.Key
	return e.change(ctx, next, len(data), []*pb.RequestOp{etcd.Put(key, data, 0)})
}

// change makes a change by a compare on the record as it was written last, and finds out whether it was made where the
// answer is lost. next is what stands then; one that ended is looked for among the ended.
func (e *Entry) change(ctx context.Context, next ledger.Record, size int, ops []*pb.RequestOp) error {
	key := next.Key
	for {
		txn := &pb.TxnRequest{Compare: []*pb.Compare{etcd.At(openKeys+key, e.rec.Rev), etcd.At(doneKeys+key, 0)}, Success: ops,
			Failure: []*pb.RequestOp{get(openKeys + key), get(doneKeys + key)}}
		if e.book.o.Broken == NoCompare {
			txn.Compare = nil
		}
		out := e.book.commits.do(ctx, key, size, txn)
		if out.err == nil && out.resp.Succeeded {
			e.rec = next
			e.rec.Rev = out.rev
			return nil
		}
		if out.err == nil {
			found, there, err := either(out.resp)
			switch {
			case err != nil:
				return err
			case there && same(found, next): // an earlier try of this change was made after all
				e.rec = found
				return nil
			case there && found.Step != ledger.Ended && found.Owner == e.rec.Owner && found.Epoch == e.rec.Epoch && found.TakenMs == e.rec.TakenMs:
				// An earlier change of ours whose answer was lost was made after all: this one follows it.
				e.rec.Rev = found.Rev
				continue
			case there && e.rec.Rev == 0:
				return &Conflict{found}
			case !there && next.Step == ledger.Ended && next.Outcome == ledger.Open: // dropped, by an earlier try
				return nil
			}
			return ledger.ErrNotOwner
		}
		select {
		case <-ctx.Done():
			return errors.Join(ErrAway, out.err)
		case <-time.After(lookPause):
		}
	}
}

// either reads the record that a failed compare found.
func either(r *pb.TxnResponse) (rec ledger.Record, there bool, err error) {
	for _, op := range r.Responses {
		for _, pair := range op.GetResponseRange().GetKvs() {
			rec, err = Decode(pair.Value, pair.ModRevision)
			return rec, true, err
		}
	}
	return rec, false, nil
}

// same tells whether a record is the one that was to be written.
func same(a, b ledger.Record) bool {
	return a.Owner == b.Owner && a.Epoch == b.Epoch && a.Step == b.Step && a.Attempts == b.Attempts && a.Outcome == b.Outcome && a.TakenMs == b.TakenMs
}

// End writes down how the request ended, with what else goes along in the same transaction. Only without an error may its
// client be told.
func (e *Entry) End(ctx context.Context, o ledger.Outcome, a ledger.Answer, along ...*pb.RequestOp) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.end(ctx, e.rec, o, a, along...)
}

func (e *Entry) end(ctx context.Context, from ledger.Record, o ledger.Outcome, a ledger.Answer, along ...*pb.RequestOp) error {
	if e.over {
		return ledger.ErrNotOwner
	}
	a.Body, a.BodyOmitted = squeeze(a.Body, e.book.o.Limits.Answer)
	next := from.End(o, a, now())
	next.Rev = e.rec.Rev
	data, err := Encode(next)
	if err != nil {
		return err
	}
	e.book.mu.Lock()
	lease := e.book.bucket.id
	e.book.mu.Unlock()
	ops := append([]*pb.RequestOp{etcd.Put(doneKeys+next.Key, data, lease)}, along...)
	if e.rec.Rev > 0 {
		ops = append(ops, etcd.Del(openKeys+next.Key))
	}
	err = e.change(ctx, next, len(data), ops)
	e.leave(err == nil)
	return err
}

// Drop takes the record away: the request never ran, or running it again is harmless.
func (e *Entry) Drop(ctx context.Context) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.over {
		return ledger.ErrNotOwner
	}
	defer e.leave(false)
	if e.rec.Rev == 0 {
		return nil
	}
	gone := e.rec
	gone.Step = ledger.Ended // with no outcome: it is nowhere
	return e.change(ctx, gone, 0, []*pb.RequestOp{etcd.Del(openKeys + gone.Key)})
}

// Free gives a request that waits to whoever comes first; it is written down if it was not.
func (e *Entry) Free(ctx context.Context) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.over || e.rec.Step != ledger.Waiting {
		return ledger.ErrNotOwner
	}
	err := e.write(ctx, e.rec.Release())
	e.leave(false)
	return err
}

// Leave gives the entry up without a word: whoever finds the record sees to it.
func (e *Entry) Leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leave(false)
}

// leave gives the place back, once; the entry's lock is held.
func (e *Entry) leave(kept bool) {
	if e.over {
		return
	}
	e.over = true
	b := e.book
	b.mu.Lock()
	defer b.mu.Unlock()
	b.account.Close(now(), kept)
	if b.entries[e.rec.Key] == e {
		delete(b.entries, e.rec.Key)
	}
}

// Commits are the entries of the log that a book has made, of how many changes, and their size.
type Commits struct{ Entries, Changes, Bytes int64 }

// Commits tells what was committed so far.
func (b *Book) Commits() Commits {
	return Commits{b.commits.entries.Load(), b.commits.changes.Load(), b.commits.bytes.Load()}
}

// Kept gives what a kept answer consists of.
func Kept(r ledger.Record) (ledger.Answer, error) {
	a := r.Answer
	var err error
	if a.Body, err = stretch(a.Body); err != nil {
		err = fmt.Errorf("work: a kept answer can't be read: %w", err)
	}
	return a, err
}
