package agent

import (
	"context"
	"sync"
	"time"

	"sumacloft/internal/mesh/message"
	"sumacloft/internal/mesh/topic"
	"sumacloft/internal/periodic"
)

const (
	// searchInterval is how often a control member is queried while no member with a leader has confirmed the
	// configuration, or while no member answers. Right after the start, when the members may be starting too, a member
	// that has not answered is queried again after initialSearchInterval. A member that has answered is not: hundreds
	// of agents may start at once, and their queries must not slow down the members' own start.
	searchInterval        = 250 * time.Millisecond
	initialSearchInterval = 50 * time.Millisecond
	// contactTimeout is the maximum age of the last answer from a control member that has a leader.
	contactTimeout = 2500 * time.Millisecond
	// confirmTimeout bounds one call for the newest configuration.
	confirmTimeout = 600 * time.Millisecond
	// unconfirmedHold is how long after its start an agent holds back an unconfirmed configuration. It is well below
	// in_touch_ms, after which a router that reaches a majority must use the newest configuration.
	unconfirmedHold = time.Second
)

// confirmation tracks whether the agent's configuration is known to be the newest. A control member that was cut off
// serves what is on its disk, which may be outdated.
type confirmation struct {
	majority int           // of the voters
	released chan struct{} // closed once the configuration is released to the proxy

	mu         sync.Mutex
	confirmed  bool                // the leader has confirmed the configuration since the start
	voters     map[string]struct{} // addresses of voters that have reported their disk's state
	inquiries  map[string]*inquiry // by address
	isReleased bool                // released is closed
}

func newConfirmation(tolerated int) *confirmation {
	return &confirmation{majority: tolerated + 1, released: make(chan struct{}), voters: map[string]struct{}{}, inquiries: map[string]*inquiry{}}
}

// inquiry is the state of the queries to one address.
type inquiry struct {
	pending bool          // a query is in progress
	nextAt  time.Duration // earliest time of the next query
}

// begin records the start of a query. It returns false if a query is in progress or the next one is not due yet.
func (c *confirmation) begin(address string, now time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	current := c.inquiries[address]
	if current == nil {
		current = &inquiry{}
		c.inquiries[address] = current
	}
	if current.pending || now < current.nextAt {
		return false
	}
	current.pending = true
	return true
}

// end records the end of a query and schedules the next.
func (c *confirmation) end(address string, now time.Duration, answered bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	current := c.inquiries[address]
	current.pending = false
	current.nextAt = now
	if answered {
		current.nextAt += searchInterval
	}
}

// confirm records that the agent holds the configuration that was the newest when it asked.
func (c *confirmation) confirm() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.confirmed = true
	c.releaseLocked()
}

// isConfirmed reports whether the agent has held the newest configuration at some time since its start.
func (c *confirmation) isConfirmed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.confirmed
}

// byMajority reports how many voters have reported their disk's state, and whether they are a majority.
func (c *confirmation) byMajority() (voters int, reached bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.voters), len(c.voters) >= c.majority
}

// countVoter records that a voter has reported its disk's state. Once a majority has, the agent holds the newest
// configuration that was known to be committed when the leader was lost.
func (c *confirmation) countVoter(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.voters[address] = struct{}{}
	if len(c.voters) >= c.majority {
		c.releaseLocked()
	}
}

// release releases the configuration to the proxy without confirmation.
func (c *confirmation) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.releaseLocked()
}

// releaseLocked releases the configuration for good. The caller holds the lock.
func (c *confirmation) releaseLocked() {
	if !c.isReleased {
		c.isReleased = true
		close(c.released)
	}
}

// confirmConfiguration queries the control members until the context ends, whenever none has confirmed the
// configuration yet or none with a leader has answered within contactTimeout.
func (a *Agent) confirmConfiguration(ctx context.Context) {
	if a.faults.TrustAnyMember {
		a.confirmation.release()
		return
	}
	startup, cancel := context.WithTimeout(ctx, unconfirmedHold)
	defer cancel()
	a.queryMembers(ctx)
	periodic.Run(startup, initialSearchInterval, func() {
		if !a.confirmation.isConfirmed() {
			a.queryMembers(ctx)
		}
	})
	a.confirmation.release()
	periodic.Run(ctx, searchInterval, func() {
		if !a.confirmation.isConfirmed() || !a.members.InContact(contactTimeout) {
			a.queryMembers(ctx)
		}
	})
}

// queryMembers queries all known control members.
func (a *Agent) queryMembers(ctx context.Context) {
	for _, address := range a.members.ControlAddresses() {
		if !a.confirmation.begin(address, time.Since(a.startedAt)) {
			continue
		}
		go func() {
			answered := a.queryMember(ctx, address)
			a.confirmation.end(address, time.Since(a.startedAt), answered)
		}()
	}
}

// queryMember synchronizes the agent's replica with a control member's. If the member has a leader, it has the member
// confirm the configuration. It reports whether the member answered.
func (a *Agent) queryMember(ctx context.Context, address string) (answered bool) {
	authority, err := a.members.Probe(ctx, address)
	if err != nil {
		return false
	}
	if authority == message.Durable {
		a.confirmation.countVoter(address)
	}
	if authority != message.LeaderBacked || a.confirmation.isConfirmed() {
		return true
	}
	if err := a.fetchNewest(ctx, address); err != nil {
		a.log.Info().Str("peer", address).Err(err).Msg("could not confirm the configuration with control member")
		return true
	}
	a.confirmation.confirm()
	return true
}

// fetchNewest fetches the newest configuration that the leader knows and adds it to the replica.
func (a *Agent) fetchNewest(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	snapshot, _ := a.members.Node().Snapshot()
	known, _ := snapshot.Get(topic.Settings)
	answer, err := message.CallConfirm.Call(ctx, a.client, address, &message.Read{Known: known.Version.Major})
	if err != nil || len(answer.Document) == 0 {
		return err
	}
	entry, err := topic.SettingsEntry(answer.Index, answer.Document)
	if err != nil {
		return err
	}
	a.members.Node().Receive(address, entry)
	return nil
}
