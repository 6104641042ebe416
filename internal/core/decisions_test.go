package core

import (
	"testing"

	"sumacloft/brain"
)

// Final answers are counted as the client gets them, once each, whoever ends the request: one that the module fails but that was
// never sent on is refused.
func TestFinalAnswersAreCountedAsClientsGetThem(t *testing.T) {
	decisions := &Decisions{Refused: map[brain.Why]uint64{}, Failed: map[brain.Why]uint64{}}
	request := func(cleared bool) *request {
		return &request{
			wake:      make(chan struct{}, 1),
			attempts:  []*attempt{{cleared: cleared, cancel: func(error) {}}},
			decisions: decisions,
		}
	}
	request(false).fail(brain.NothingTo)
	sent := request(true)
	sent.fail(brain.AtFault)
	sent.fail(whyUndecided) // it has its answer
	refused := request(true)
	refused.end(brain.Refuse{Why: brain.TooLong})
	refused.end(brain.Refuse{Why: brain.TooLong})
	if len(decisions.Refused) != 2 || decisions.Refused[brain.NothingTo] != 1 || decisions.Refused[brain.TooLong] != 1 {
		t.Errorf("refused: %v", decisions.Refused)
	}
	if len(decisions.Failed) != 1 || decisions.Failed[brain.AtFault] != 1 {
		t.Errorf("failed: %v", decisions.Failed)
	}
}
