package hints

import (
	"context"
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// queryTimeout is how long a query waits for its replies. Waiting longer costs more than the information is worth.
	queryTimeout = 8 * time.Millisecond
	// unresponsivePause is how long queries do not wait for an aggregator that missed queryTimeout.
	unresponsivePause = 2 * time.Second
)

// queries holds the open queries. The lock of Hints guards it.
type queries struct {
	lastID       uint64
	pending      map[uint64]*query
	unresponsive map[string]time.Time // aggregators that timed out, and until when queries do not wait for them
}

// query waits for the replies of aggregators.
type query struct {
	awaiting map[string]bool // aggregators that have not replied
	totals   Waiting
	done     chan struct{} // closed when all have replied
}

func newQueries() queries {
	return queries{pending: map[uint64]*query{}, unresponsive: map[string]time.Time{}}
}

// aggregated reports whether aggregators are in use, because there are too many peers for broadcast. The caller holds
// the lock.
func (h *Hints) aggregated() bool { return len(h.peers) > maxBroadcastPeers }

// aggregator returns the proxy that receives the hints for an engine. The caller holds the lock.
func (h *Hints) aggregator(engine uint64) string {
	if aggregator, known := h.aggregators[engine]; known {
		return aggregator
	}
	aggregator, highest := h.self, weight(engine, h.self)
	for _, peer := range h.peers {
		if w := weight(engine, peer); w > highest || w == highest && peer > aggregator {
			aggregator, highest = peer, w
		}
	}
	h.aggregators[engine] = aggregator
	return aggregator
}

// weight is the rendezvous hash of an engine and a proxy. The proxy with the highest weight is the engine's aggregator,
// so the loss of a proxy changes only the engines that it aggregated.
func weight(engine uint64, proxy string) uint64 {
	var encoded [8]byte
	binary.BigEndian.PutUint64(encoded[:], engine)
	hash := xxhash.New()
	_, _ = hash.Write(encoded[:]) // never fails
	_, _ = hash.WriteString(proxy)
	return hash.Sum64()
}

// Ask queries the aggregators of engines for the totals over all proxies, including this one. It omits engines whose
// aggregators do not reply in time. It returns nil when hints are broadcast.
func (h *Hints) Ask(ctx context.Context, engines []uint64) Waiting {
	own := h.load.Waiting()
	opened, parts := h.openQuery(engines, time.Now())
	if opened == nil {
		return nil
	}
	for aggregator, part := range parts {
		h.send(aggregator, &hint{From: h.self, QueryID: opened.id, Queried: part})
	}
	select {
	case <-opened.done:
	case <-ctx.Done():
	case <-time.After(queryTimeout):
	}
	totals := h.closeQuery(opened.id, time.Now())
	for engine := range totals {
		totals[engine] += own[engine]
	}
	return totals
}

// numberedQuery is a query with its ID.
type numberedQuery struct {
	*query
	id uint64
}

// openQuery registers a query and returns the engines to query by aggregator. It returns nil when hints are broadcast.
func (h *Hints) openQuery(engines []uint64, now time.Time) (*numberedQuery, map[string][]uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.aggregated() {
		return nil, nil
	}
	opened := &query{awaiting: map[string]bool{}, totals: Waiting{}, done: make(chan struct{})}
	parts := map[string][]uint64{}
	for _, engine := range engines {
		aggregator := h.aggregator(engine)
		if aggregator == h.self {
			opened.totals[engine] = float64(h.receivedTokens(engine, h.self, now))
			continue
		}
		parts[aggregator] = append(parts[aggregator], engine)
		if now.After(h.unresponsive[aggregator]) {
			opened.awaiting[aggregator] = true
		}
	}
	h.lastID++
	h.pending[h.lastID] = opened
	if len(opened.awaiting) == 0 {
		close(opened.done)
	}
	return &numberedQuery{query: opened, id: h.lastID}, parts
}

// handleReply adds a reply to its query.
func (h *Hints) handleReply(message *hint) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.unresponsive, message.From)
	answered := h.pending[message.QueryID]
	if answered == nil {
		return
	}
	for engine, tokens := range message.Totals {
		answered.totals[engine] = float64(tokens)
	}
	if !answered.awaiting[message.From] {
		return
	}
	delete(answered.awaiting, message.From)
	if len(answered.awaiting) == 0 {
		close(answered.done)
	}
}

// closeQuery removes a query and returns the totals received. Aggregators that did not reply become unresponsive.
func (h *Hints) closeQuery(id uint64, now time.Time) Waiting {
	h.mu.Lock()
	defer h.mu.Unlock()
	closed := h.pending[id]
	delete(h.pending, id)
	for aggregator := range closed.awaiting {
		h.unresponsive[aggregator] = now.Add(unresponsivePause)
	}
	return closed.totals
}

// totalsExcept returns the tokens queued at engines by all proxies but one, from received hints and the proxy's own
// work.
func (h *Hints) totalsExcept(engines []uint64, exclude string, now time.Time) map[uint64]uint32 {
	own := h.load.Waiting()
	h.mu.Lock()
	defer h.mu.Unlock()
	totals := make(map[uint64]uint32, len(engines))
	for _, engine := range engines {
		totals[engine] = h.receivedTokens(engine, exclude, now) + uint32(own[engine])
	}
	return totals
}

// receivedTokens sums the valid hints for an engine, except those of one proxy. The caller holds the lock.
func (h *Hints) receivedTokens(engine uint64, exclude string, now time.Time) uint32 {
	sum := uint32(0)
	for from, last := range h.received {
		if now.Sub(last.at) > hintTTL {
			delete(h.received, from)
			continue
		}
		if from != exclude {
			sum += last.tokens[engine]
		}
	}
	return sum
}
