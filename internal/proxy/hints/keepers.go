package hints

import (
	"context"
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// queryTimeout is how long a question waits for its answers: what they tell is worth no more.
	queryTimeout = 8 * time.Millisecond
	// unresponsivePause is for how long a keeper that did not answer in time is not waited for.
	unresponsivePause = 2 * time.Second
)

// queries are those that wait for answers. The lock of Hints guards them.
type queries struct {
	lastID       uint64
	pending      map[uint64]*query
	unresponsive map[string]time.Time // keepers that did not answer, until when they are not waited for
}

// query waits for the answers of some keepers.
type query struct {
	awaiting map[string]bool // keepers that have not answered
	totals   Waiting
	done     chan struct{} // closed once all have
}

func newQueries() queries {
	return queries{pending: map[uint64]*query{}, unresponsive: map[string]time.Time{}}
}

// aggregated tells whether engines have keepers: there are too many proxies for each to tell all others. The lock is held.
func (h *Hints) aggregated() bool { return len(h.peers) > maxBroadcastPeers }

// aggregator is the proxy that is told what waits at an engine. The lock is held.
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

// weight is a proxy's place among the keepers of an engine: the highest is the keeper, and the loss of one changes the
// keepers of its own engines only.
func weight(engine uint64, proxy string) uint64 {
	var encoded [8]byte
	binary.BigEndian.PutUint64(encoded[:], engine)
	hash := xxhash.New()
	_, _ = hash.Write(encoded[:]) // never fails
	_, _ = hash.WriteString(proxy)
	return hash.Sum64()
}

// Ask asks the keepers of engines what waits there for all proxies, this one included. Engines whose keepers do not
// answer in time are left out, and so are all where each proxy tells all others.
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

// numberedQuery is a question with its number.
type numberedQuery struct {
	*query
	id uint64
}

// openQuery opens a question and gives what to send to whom; nil where there is nothing to openQuery.
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

// handleReply takes an answer.
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

// closeQuery closes a question and gives what was answered.
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

// totalsExcept is what waits at engines for all proxies but one, as they told this one.
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

// receivedTokens adds up what proxies but one told of an engine. The lock is held.
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
