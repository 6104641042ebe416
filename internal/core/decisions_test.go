package core

import (
	"testing"

	"sumacloft/brain"
)

// Final answers are counted as the client gets them, once each, whoever ends the request. A request that the
// scheduler fails but that was never sent is refused.
func TestFinalAnswersAreCountedAsClientsGetThem(t *testing.T) {
	decisions := &Decisions{Refused: map[brain.Reason]uint64{}, Failed: map[brain.Reason]uint64{}}
	request := func(cleared bool) *request {
		return &request{
			wake:      make(chan struct{}, 1),
			attempts:  []*attempt{{cleared: cleared, cancel: func(error) {}}},
			decisions: decisions,
		}
	}
	request(false).fail(brain.Exhausted)
	sent := request(true)
	sent.fail(brain.InvalidRequest)
	sent.fail(reasonUndecided) // no effect: it has its answer
	refused := request(true)
	refused.end(brain.Refuse{Reason: brain.WaitTooLong})
	refused.end(brain.Refuse{Reason: brain.WaitTooLong})
	if len(decisions.Refused) != 2 || decisions.Refused[brain.Exhausted] != 1 || decisions.Refused[brain.WaitTooLong] != 1 {
		t.Errorf("refused: %v", decisions.Refused)
	}
	if len(decisions.Failed) != 1 || decisions.Failed[brain.InvalidRequest] != 1 {
		t.Errorf("failed: %v", decisions.Failed)
	}
}
