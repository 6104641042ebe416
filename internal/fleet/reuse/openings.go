package reuse

import (
	"cmp"
	"context"
	"slices"
	"sync"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"sumacloft/internal/decide/reuse"
)

// Bounds of what a router remembers of openings: how many it knows sessions of, how many bytes of shared ones it keeps, and how
// long one may be.
const (
	maxKnown  = 8192
	maxKept   = 8 << 20
	maxLength = 256 << 10
)

// Opening is what many requests begin with: enough to have a server read it.
type Opening struct {
	Model string
	First []byte // the first message as it came
}

// Openings are those that this router has seen. Bytes are kept only of what several sessions share, so nothing that one client
// sent alone; they stay in this memory, are written nowhere and never logged.
type Openings struct {
	mu    sync.Mutex
	known *simplelru.LRU[reuse.Key, []uint64] // sessions, until there are enough
	kept  *simplelru.LRU[reuse.Key, Opening]
	bytes int
}

// NewOpenings makes an empty memory.
func NewOpenings() *Openings {
	o := &Openings{}
	o.known, _ = simplelru.NewLRU[reuse.Key, []uint64](maxKnown, nil) // these fail without a size alone
	o.kept, _ = simplelru.NewLRU(maxKnown, func(_ reuse.Key, one Opening) { o.bytes -= len(one.First) })
	return o
}

// Saw takes a request's opening and session, and tells whether at least least sessions share it. first is copied.
func (o *Openings) Saw(k reuse.Key, session uint64, least int, model string, first []byte) (shared bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	had, _ := o.known.Get(k)
	if len(had) < least && !slices.Contains(had, session) {
		had = append(slices.Clip(had), session)
		o.known.Add(k, had)
	}
	if len(had) < least {
		return false
	}
	if _, kept := o.kept.Get(k); !kept && len(first) <= maxLength {
		o.kept.Add(k, Opening{model, slices.Clone(first)})
		for o.bytes += len(first); o.bytes > maxKept; {
			o.kept.RemoveOldest()
		}
	}
	return true
}

// Get gives the bytes of a shared opening, if they are kept.
func (o *Openings) Get(k reuse.Key) (Opening, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.kept.Peek(k)
}

// Forget lets go of all.
func (o *Openings) Forget() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.known.Purge()
	o.kept.Purge()
}

// ReadTokens is what a request that has a chat server read an opening costs besides, in tokens read: it takes a place at the server,
// and one token is generated.
const ReadTokens = 200

// Warmer copies by having a server read an opening in background. The routers of the region that has the opening carry it out:
// they know its bytes.
type Warmer struct {
	Openings *Openings
	Read     func(ctx context.Context, server string, o Opening) error
}

// Region serves Copier; what a region is to hold of its own comes from nowhere.
func (w *Warmer) Region(c reuse.Copy) string { return cmp.Or(c.From, c.To) }

// Has serves Copier.
func (w *Warmer) Has(c reuse.Copy) bool {
	if c.From == "" {
		return true
	}
	_, has := w.Openings.Get(c.Prefix)
	return has
}

// Copy serves Copier. A chat server can't be told to hold what it has read: of a region's own nothing is done.
func (w *Warmer) Copy(ctx context.Context, c reuse.Copy) error {
	if c.From == "" {
		return nil
	}
	o, has := w.Openings.Get(c.Prefix)
	if !has {
		return &UnknownError{Copy: c.ID, Server: c.Server}
	}
	return w.Read(ctx, c.Server, o)
}

// Drop serves Copier: a server forgets by itself what is not used.
func (w *Warmer) Drop(reuse.Copy) {}

// UnknownError says that a router no longer has the bytes of an opening that it was to have read.
type UnknownError struct {
	Copy   int64
	Server string
}

func (e *UnknownError) Error() string {
	return "reuse: the opening that " + e.Server + " was to read is not in this router's memory any more"
}

// Advice says what an operator can do.
func (e *UnknownError) Advice() string {
	return "nothing: the copy is ordered again where it still pays"
}
