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

// Item is one consensus message of one partition.
type Item struct {
	Group   Group             `cbor:"1,keyasint"`
	Message consensus.Message `cbor:"2,keyasint"`
}

// Step carries consensus messages of all partitions to a member.
type Step struct {
	Items []Item `cbor:"1,keyasint"`
	From  string `cbor:"2,keyasint,omitempty"` // the caller's internal address
}

// StepAnswer carries the messages that are ready for the caller: answers that need not wait for the disk. Later ones are sent
// in separate calls.
type StepAnswer struct {
	Items []Item `cbor:"1,keyasint,omitempty"`
}

// Join asks the leaders to add a member to all partitions, or announces its leave.
type Join struct {
	Member  consensus.Member `cbor:"1,keyasint"`
	Leaving bool             `cbor:"2,keyasint,omitempty"` // the member leaves instead
}

// JoinAnswer acknowledges a Join.
type JoinAnswer struct {
	MayLeave []Group `cbor:"1,keyasint,omitempty"` // partitions led by the answering member that let the member leave
	Holds    []Held  `cbor:"2,keyasint,omitempty"` // partitions led by the answering member that do not, with the reason
}

// Held is a partition that does not let a member leave yet.
type Held struct {
	Group  Group            `cbor:"1,keyasint"`
	Reason reconfigure.Hold `cbor:"2,keyasint"`
}

const (
	callStep rpc.Procedure[Step, StepAnswer] = "/partition/Step"
	callJoin rpc.Procedure[Join, JoinAnswer] = "/partition/Join"
)

const (
	// sendTimeout bounds a call to a peer, before the time for its payload is added.
	sendTimeout = 700 * time.Millisecond
	// minLinkRate is the assumed minimum link rate in bytes per second: 10 Mbit/s.
	minLinkRate = 10 << 20 / 8
	// queueLimit bounds the messages queued for a peer. Older ones are dropped, and consensus recovers from that.
	queueLimit = 512
)

// Handle registers the partitions' RPC handlers on the mux.
func (h *Host) Handle(mux *http.ServeMux) {
	callStep.Handle(mux, h.answerStep)
	callJoin.Handle(mux, h.answerJoin)
}

// answerJoin handles a Join call.
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

// answerStep handles a Step call. The answer carries the messages that are ready at once.
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

// senders holds a sender for each peer. Only the host's goroutine adds peers.
type senders struct {
	client         *rpc.Client
	log            zerolog.Logger
	self           string            // the internal address of this member
	onAnswer       func(step []Item) // receives the messages in the answer to a call
	peers          map[string]*sender
	pendingAnswers []pendingAnswer // calls to be answered at the next flush
}

// pendingAnswer is a peer's call whose answer will carry the messages queued for that peer.
type pendingAnswer struct {
	address string
	to      chan<- []Item
}

// sender sends one call at a time to a peer, each with all queued messages.
type sender struct {
	address   string
	shared    *senders
	unflushed []Item // queued since the latest flush

	mu    sync.Mutex
	items []Item
	busy  bool
}

// answer registers a peer's call to be answered at the next flush.
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

// flush sends the queued messages: in the answer to a peer's pending call if there is one, otherwise in one call to the peer.
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

// run sends until the queue is empty.
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
			p.shared.log.Info().Str("peer", p.address).Err(err).Msg("failed to deliver messages")
			continue
		}
		if len(answer.Items) > 0 {
			p.shared.onAnswer(answer.Items)
		}
	}
}

// callTimeout returns the timeout of a call that carries the messages.
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
