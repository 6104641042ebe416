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
	// searchInterval is how often a control member is asked while none that hears of a leader has confirmed the
	// configuration, or none answers any more. Right after the start, when the members may be starting too, one that has not
	// answered is asked again after firstInterval. One that has is not: hundreds of agents may start at once, and what they
	// ask must leave the members time for their own start.
	searchInterval        = 250 * time.Millisecond
	initialSearchInterval = 50 * time.Millisecond
	// contactTimeout is how long ago a control member that hears of a leader may have answered.
	contactTimeout = 2500 * time.Millisecond
	// confirmTimeout bounds one question for the newest configuration.
	confirmTimeout = 600 * time.Millisecond
	// unconfirmedHold is for how long after its start an agent holds back a configuration that nothing confirms. It is
	// well below the time (in_touch_ms) after which a router that reaches a majority has to work by the newest one.
	unconfirmedHold = time.Second
)

// confirmation is what this agent knows of the worth of its configuration: a control member that was cut off gives out
// what its disk knows, which may be old.
type confirmation struct {
	majority int           // of the voters
	released chan struct{} // closed once the configuration is told to the proxy

	mu         sync.Mutex
	confirmed  bool                // the leader has told of the newest one in this life
	voters     map[string]struct{} // addresses of those that have told what their disks know
	inquiries  map[string]*inquiry // by address
	isReleased bool                // open is closed
}

func newConfirmation(tolerated int) *confirmation {
	return &confirmation{majority: tolerated + 1, released: make(chan struct{}), voters: map[string]struct{}{}, inquiries: map[string]*inquiry{}}
}

// inquiry is how an address is asked.
type inquiry struct {
	pending bool          // it has not answered yet
	nextAt  time.Duration // when it may be asked again
}

// begin notes that an address is being asked; false if it is already, or was a moment ago.
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

// end notes that an address has answered, or has not.
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

// confirm notes that the agent holds the newest configuration there was when it asked.
func (c *confirmation) confirm() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.confirmed = true
	c.releaseLocked()
}

// isConfirmed tells whether the agent has held the newest configuration at some time in its life.
func (c *confirmation) isConfirmed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.confirmed
}

// byMajority tells whether a majority of the voters has told what its disks know.
func (c *confirmation) byMajority() (voters int, reached bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.voters), len(c.voters) >= c.majority
}

// countVoter notes that a voter has told what its disk knows. With a majority of them, the agent holds the newest configuration
// that was known to be committed when the leader was lost.
func (c *confirmation) countVoter(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.voters[address] = struct{}{}
	if len(c.voters) >= c.majority {
		c.releaseLocked()
	}
}

// release has the proxy told of the configuration though nothing confirms it.
func (c *confirmation) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.releaseLocked()
}

// releaseLocked opens the way to the proxy, for good. The lock is held.
func (c *confirmation) releaseLocked() {
	if !c.isReleased {
		c.isReleased = true
		close(c.released)
	}
}

// confirmConfiguration looks, until the context ends, for control members that a majority stands behind, whenever none has confirmed
// the configuration yet or none has answered for a while.
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

// queryMembers asks all control members that the agent has heard of.
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

// queryMember brings the agent's copy and a control member's to one state, and has the member confirm the configuration if it
// hears of a leader. It tells whether the member answered.
func (a *Agent) queryMember(ctx context.Context, address string) (answered bool) {
	standing, err := a.members.Sound(ctx, address)
	if err != nil {
		return false
	}
	if standing == message.Durable {
		a.confirmation.countVoter(address)
	}
	if standing != message.Led || a.confirmation.isConfirmed() {
		return true
	}
	if err := a.fetchNewest(ctx, address); err != nil {
		a.log.Info().Str("peer", address).Err(err).Msg("configuration not confirmed")
		return true
	}
	a.confirmation.confirm()
	return true
}

// fetchNewest takes the newest configuration there is, as the leader knows it.
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
	a.members.Node().Take(address, entry)
	return nil
}
