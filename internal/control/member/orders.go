package member

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"sumacloft/internal/control/configstate"
	"sumacloft/internal/control/partition"
	"sumacloft/internal/mesh/message"
	"sumacloft/internal/opconf"
)

// settingsGroup is the partition that holds the configuration.
const settingsGroup partition.Group = 0

const (
	// orderTimeout bounds the handling of an order. After that the outcome is reported as unknown. It is shorter than the
	// callers' timeout of one second.
	orderTimeout = 900 * time.Millisecond
	// leaderRetryInterval is the time between attempts to reach the leader.
	leaderRetryInterval = 40 * time.Millisecond
)

// orders forwards the operator's orders to the leader of the configuration partition, or applies them if this member leads.
type orders struct {
	member   *Member
	machine  *settingsMachine
	document sharedDocument
}

// sharedDocument is the text of the latest configuration that was read, the same bytes for all calls: a copy for each would
// be as many documents as there are callers.
type sharedDocument struct {
	mu   sync.Mutex
	of   *opconf.Configuration
	text []byte
}

// get returns the text of a configuration. It must not be changed.
func (d *sharedDocument) get(configuration *opconf.Configuration) []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.of != configuration {
		d.of, d.text = configuration, configuration.Raw()
	}
	return d.text
}

func newOrders(member *Member) *orders {
	machine := &settingsMachine{publish: member.publish, log: member.log, faults: member.faults.Orders}
	machine.state = configstate.NewBroken(machine.faults)
	return &orders{member: member, machine: machine}
}

func (o *orders) handle(mux *http.ServeMux) {
	message.CallOrder.Handle(mux, o.proposeAsLeader)
	message.CallRead.Handle(mux, o.readAsLeader)
	message.CallConfirm.Handle(mux, o.readCurrent)
}

// Submit implements steering.Settings.
func (o *orders) Submit(ctx context.Context, order configstate.Order) (configstate.Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	encoded, err := order.Encode()
	if err != nil {
		return configstate.Outcome{}, Error.Wrap(err)
	}
	question := &message.Order{Order: encoded}
	answer, err := atLeader(ctx, func() (*message.OrderAnswer, error) { return o.proposeAsLeader(ctx, question) },
		func(leader string) (*message.OrderAnswer, error) {
			return message.CallOrder.Call(ctx, o.member.client, leader, question)
		})
	if err != nil {
		return configstate.Outcome{}, err
	}
	outcome := configstate.Outcome{Status: configstate.OutcomeStatus(answer.Status), Version: answer.Version}
	if answer.Text != "" {
		outcome.Err = Error.New("%s", answer.Text)
	}
	return outcome, nil
}

// Read implements steering.Settings.
func (o *orders) Read(ctx context.Context) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	answer, err := o.readCurrent(ctx, &message.Read{})
	if err != nil {
		return nil, err
	}
	return answer.Document, nil
}

// readCurrent returns the current document from the leader, which reads it under its lease.
func (o *orders) readCurrent(ctx context.Context, question *message.Read) (*message.ReadAnswer, error) {
	return atLeader(ctx, func() (*message.ReadAnswer, error) { return o.readAsLeader(ctx, question) },
		func(leader string) (*message.ReadAnswer, error) {
			return message.CallRead.Call(ctx, o.member.client, leader, question)
		})
}

// atLeader makes a call locally, or at the leader if that is another member. It retries until the context ends. Retries are
// safe, since an order that was already applied is recognized.
func atLeader[Answer any](ctx context.Context, local func() (*Answer, error), remote func(leader string) (*Answer, error)) (*Answer, error) {
	for {
		answer, err := local()
		var elsewhere partition.ErrElsewhere
		if errors.As(err, &elsewhere) && elsewhere.Leader.Address != "" {
			answer, err = remote(elsewhere.Leader.Address)
		}
		if err == nil {
			return answer, nil
		}
		if !pause(ctx, leaderRetryInterval) {
			return nil, err
		}
	}
}

// pause waits for the given time. It returns false if the context ends first.
func pause(ctx context.Context, length time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(length):
		return true
	}
}

// proposeAsLeader proposes an order if this member leads the partition.
func (o *orders) proposeAsLeader(ctx context.Context, question *message.Order) (*message.OrderAnswer, error) {
	value, err := o.member.host.Propose(ctx, settingsGroup, question.Order)
	if err != nil {
		return nil, err
	}
	outcome, ok := value.(configstate.Outcome)
	if !ok {
		return nil, Error.New("the order can't be read: check that all members run the same release")
	}
	answer := &message.OrderAnswer{Status: uint8(outcome.Status), Version: outcome.Version}
	if outcome.Err != nil {
		answer.Text = outcome.Err.Error()
	}
	return answer, nil
}

// readAsLeader returns the current document if this member leads the partition.
func (o *orders) readAsLeader(ctx context.Context, question *message.Read) (*message.ReadAnswer, error) {
	answer := &message.ReadAnswer{}
	read := o.member.host.Read
	if o.member.faults.ReadUnconfirmed {
		read = o.member.host.ReadUnconfirmed
	}
	err := read(ctx, settingsGroup, func() {
		answer.Index = o.machine.state.Index()
		if current := o.machine.state.Current(); current != nil && answer.Index != question.Known {
			answer.Document = o.document.get(current)
		}
	})
	if err != nil {
		return nil, err
	}
	return answer, nil
}
