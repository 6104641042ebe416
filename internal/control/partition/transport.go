package partition

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"sumacloft/internal/control/consensus"
	"sumacloft/internal/control/reconfigure"
	"sumacloft/internal/mesh/rpc"
)

// Item is one message of one partition.
type Item struct {
	Group   Group             `cbor:"1,keyasint"`
	Message consensus.Message `cbor:"2,keyasint"`
}

// Step brings messages of all partitions to a member.
type Step struct {
	Items []Item `cbor:"1,keyasint"`
	From  string `cbor:"2,keyasint,omitempty"` // the caller's inside address
}

// StepAnswer brings what the member has for the caller by then: answers that need not wait for its disk. What comes later
// travels in calls of its own.
type StepAnswer struct {
	Items []Item `cbor:"1,keyasint,omitempty"`
}

// Join asks to be taken into all partitions.
type Join struct {
	Member  consensus.Member `cbor:"1,keyasint"`
	Leaving bool             `cbor:"2,keyasint,omitempty"` // the member ends instead
}

// JoinAnswer says that the wish is known.
type JoinAnswer struct {
	MayLeave []Group `cbor:"1,keyasint,omitempty"` // partitions that the answering member leads and that let the member end
	Holds    []Held  `cbor:"2,keyasint,omitempty"` // those that it leads and that do not, and why
}

// Held is a partition that does not let a member end yet.
type Held struct {
	Group Group            `cbor:"1,keyasint"`
	Why   reconfigure.Hold `cbor:"2,keyasint"`
}

const (
	callStep rpc.Procedure[Step, StepAnswer] = "/partition/Step"
	callJoin rpc.Procedure[Join, JoinAnswer] = "/partition/Join"
)

const (
	// sendTimeout bounds one call to a peer that carries little.
	sendTimeout = 700 * time.Millisecond
	// minLinkRate is the rate, in bytes a second, at which a call may carry what it does: 10 Mbit/s.
	minLinkRate = 10 << 20 / 8
	// queueLimit bounds the messages that wait for a peer; older ones are dropped, consensus makes up for them.
	queueLimit = 512
)

// Handle serves the partitions' calls on the mux.
func (h *Host) Handle(mux *http.ServeMux) {
	callStep.Handle(mux, h.answerStep)
	callJoin.Handle(mux, h.answerJoin)
}

// answerJoin takes a wish.
func (h *Host) answerJoin(ctx context.Context, join *Join) (*JoinAnswer, error) {
	answer := make(chan *JoinAnswer, 1)
	h.post(func() { answer <- h.handleJoin(join) })
	select {
	case reply := <-answer:
		return reply, nil
	case <-ctx.Done():
		return nil, Error.Wrap(ctx.Err())
	case <-h.ended:
		return nil, Error.New("this member has ended: the caller asks the others")
	}
}

// answerStep takes messages and answers with what they bring about at once.
func (h *Host) answerStep(ctx context.Context, step *Step) (*StepAnswer, error) {
	answer := make(chan []Item, 1)
	h.post(func() {
		h.step(step.Items)
		h.senders.answer(step.From, answer)
	})
	select {
	case items := <-answer:
		return &StepAnswer{Items: items}, nil
	case <-ctx.Done():
		return nil, Error.Wrap(ctx.Err())
	case <-h.ended:
		return nil, Error.New("this member has ended: the caller goes on with the others")
	}
}

func (h *Host) step(items []Item) {
	now := h.now()
	for _, item := range items {
		if g := h.groups[item.Group]; g != nil {
			g.node.Step(now, item.Message)
		}
	}
}

// send queues a message for a peer.
func (h *Host) send(number Group, out consensus.Outgoing) {
	if out.To.Address != "" {
		h.senders.queue(out.To.Address, Item{Group: number, Message: out.Message})
	}
}

// senders hold a queue for each peer. Only the host's goroutine adds peers.
type senders struct {
	client         *rpc.Client
	log            zerolog.Logger
	self           string            // the inside address of this member
	onAnswer       func(step []Item) // takes what came in the answer to a call
	peers          map[string]*sender
	pendingAnswers []pendingAnswer // calls that are answered at the next flush
}

// pendingAnswer is a call of a peer whose answer takes along what waits for that peer.
type pendingAnswer struct {
	address string
	to      chan<- []Item
}

// sender sends one call after the other to a peer, each with all that waits.
type sender struct {
	address   string
	shared    *senders
	unflushed []Item // queued since the last flush

	mu    sync.Mutex
	items []Item
	busy  bool
}

// answer has the next flush answer a call of the peer.
func (s *senders) answer(address string, to chan<- []Item) {
	s.pendingAnswers = append(s.pendingAnswers, pendingAnswer{address: address, to: to})
}

func (s *senders) queue(address string, item Item) {
	peer := s.peers[address]
	if peer == nil {
		peer = &sender{address: address, shared: s}
		s.peers[address] = peer
	}
	peer.unflushed = append(peer.unflushed, item)
}

// flush sends what was queued: in the answer to a peer's call if there is one, else to each peer as one call.
func (s *senders) flush() {
	for _, pending := range s.pendingAnswers {
		var items []Item
		if peer := s.peers[pending.address]; peer != nil {
			items, peer.unflushed = peer.unflushed, nil
		}
		pending.to <- items
	}
	s.pendingAnswers = nil
	for _, peer := range s.peers {
		if len(peer.unflushed) > 0 {
			peer.add(peer.unflushed)
			peer.unflushed = nil
		}
	}
}

func (p *sender) add(items []Item) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.items = append(p.items, items...)
	if excess := len(p.items) - queueLimit; excess > 0 {
		p.items = p.items[excess:]
	}
	if !p.busy {
		p.busy = true
		go p.run()
	}
}

// run sends until nothing waits.
func (p *sender) run() {
	for {
		items := p.takeItems()
		if len(items) == 0 {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout(items))
		answer, err := callStep.Call(ctx, p.shared.client, p.address, &Step{Items: items, From: p.shared.self})
		cancel()
		if err != nil {
			p.shared.log.Info().Str("peer", p.address).Err(err).Msg("messages not delivered")
			continue
		}
		if len(answer.Items) > 0 {
			p.shared.onAnswer(answer.Items)
		}
	}
}

// callTimeout is how long a call may take that carries messages.
func callTimeout(items []Item) time.Duration {
	size := 0
	for _, item := range items {
		for _, entry := range item.Message.Entries {
			size += len(entry.Data)
		}
		if snapshot := item.Message.Snapshot; snapshot != nil {
			size += len(snapshot.Data)
		}
	}
	return sendTimeout + time.Duration(float64(size)/minLinkRate*float64(time.Second))
}

func (p *sender) takeItems() []Item {
	p.mu.Lock()
	defer p.mu.Unlock()
	items := p.items
	p.items = nil
	p.busy = len(items) > 0
	return items
}
