package hints

import (
	"context"
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// askLimit is how long a question waits for its answers: what they tell is worth no more.
	askLimit = 8 * time.Millisecond
	// mutePause is for how long a keeper that did not answer in time is not waited for.
	mutePause = 2 * time.Second
)

// questions are those that wait for answers. The lock of Hints guards them.
type questions struct {
	number uint64
	open   map[uint64]*question
	mute   map[string]time.Time // keepers that did not answer, until when they are not waited for
}

// question waits for the answers of some keepers.
type question struct {
	left map[string]bool // keepers that have not answered
	sums Waiting
	done chan struct{} // closed once all have
}

func newQuestions() questions {
	return questions{open: map[uint64]*question{}, mute: map[string]time.Time{}}
}

// kept tells whether engines have keepers: there are too many proxies for each to tell all others. The lock is held.
func (h *Hints) kept() bool { return len(h.peers) > mostTold }

// keeper is the proxy that is told what waits at an engine. The lock is held.
func (h *Hints) keeper(engine uint64) string {
	if keeper, known := h.keepers[engine]; known {
		return keeper
	}
	keeper, most := h.self, weight(engine, h.self)
	for _, peer := range h.peers {
		if w := weight(engine, peer); w > most || w == most && peer > keeper {
			keeper, most = peer, w
		}
	}
	h.keepers[engine] = keeper
	return keeper
}

// weight is a proxy's place among the keepers of an engine: the highest is the keeper, and the loss of one changes the
// keepers of its own engines only.
func weight(engine uint64, proxy string) uint64 {
	var number [8]byte
	binary.BigEndian.PutUint64(number[:], engine)
	hash := xxhash.New()
	_, _ = hash.Write(number[:]) // never fails
	_, _ = hash.WriteString(proxy)
	return hash.Sum64()
}

// Ask asks the keepers of engines what waits there for all proxies, this one included. Engines whose keepers do not
// answer in time are left out, and so are all where each proxy tells all others.
func (h *Hints) Ask(ctx context.Context, engines []uint64) Waiting {
	own := h.load.Waiting()
	asked, parts := h.ask(engines, time.Now())
	if asked == nil {
		return nil
	}
	for keeper, part := range parts {
		h.send(keeper, &hint{From: h.self, Number: asked.number, Asked: part})
	}
	select {
	case <-asked.done:
	case <-ctx.Done():
	case <-time.After(askLimit):
	}
	sums := h.finish(asked.number, time.Now())
	for engine := range sums {
		sums[engine] += own[engine]
	}
	return sums
}

// numbered is a question with its number.
type numbered struct {
	*question
	number uint64
}

// ask opens a question and gives what to send to whom; nil where there is nothing to ask.
func (h *Hints) ask(engines []uint64, now time.Time) (*numbered, map[string][]uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.kept() {
		return nil, nil
	}
	asked := &question{left: map[string]bool{}, sums: Waiting{}, done: make(chan struct{})}
	parts := map[string][]uint64{}
	for _, engine := range engines {
		keeper := h.keeper(engine)
		if keeper == h.self {
			asked.sums[engine] = float64(h.waitingAt(engine, h.self, now))
			continue
		}
		parts[keeper] = append(parts[keeper], engine)
		if now.After(h.mute[keeper]) {
			asked.left[keeper] = true
		}
	}
	h.number++
	h.open[h.number] = asked
	if len(asked.left) == 0 {
		close(asked.done)
	}
	return &numbered{question: asked, number: h.number}, parts
}

// answered takes an answer.
func (h *Hints) answered(message *hint) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.mute, message.From)
	asked := h.open[message.Number]
	if asked == nil {
		return
	}
	for engine, tokens := range message.Answered {
		asked.sums[engine] = float64(tokens)
	}
	if !asked.left[message.From] {
		return
	}
	delete(asked.left, message.From)
	if len(asked.left) == 0 {
		close(asked.done)
	}
}

// finish closes a question and gives what was answered.
func (h *Hints) finish(number uint64, now time.Time) Waiting {
	h.mu.Lock()
	defer h.mu.Unlock()
	asked := h.open[number]
	delete(h.open, number)
	for keeper := range asked.left {
		h.mute[keeper] = now.Add(mutePause)
	}
	return asked.sums
}

// sums is what waits at engines for all proxies but one, as they told this one.
func (h *Hints) sums(engines []uint64, but string, now time.Time) map[uint64]uint32 {
	own := h.load.Waiting()
	h.mu.Lock()
	defer h.mu.Unlock()
	sums := make(map[uint64]uint32, len(engines))
	for _, engine := range engines {
		sums[engine] = h.waitingAt(engine, but, now) + uint32(own[engine])
	}
	return sums
}

// waitingAt adds up what proxies but one told of an engine. The lock is held.
func (h *Hints) waitingAt(engine uint64, but string, now time.Time) uint32 {
	sum := uint32(0)
	for from, last := range h.heard {
		if now.Sub(last.at) > believed {
			delete(h.heard, from)
			continue
		}
		if from != but {
			sum += last.tokens[engine]
		}
	}
	return sum
}
