package partition

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"sumacloft/internal/control/consensus"
)

// sizedStep returns one message of each partition in one Step, as a leader sends them.
func sizedStep(partitions int, message consensus.Message) Step {
	step := Step{}
	for number := range partitions {
		step.Items = append(step.Items, Item{Group: Group(number), Message: message})
	}
	return step
}

func sizedHeartbeat(kind consensus.MessageKind) consensus.Message {
	return consensus.Message{
		Kind: kind, From: 0xfedcba9876543211, To: 0xfedcba9876543213, Term: 40, Commit: 4_321, Sent: int64(9 * time.Hour),
	}
}

// TestStepSizes checks the message sizes that docs/CAPACITY.md relies on. Review that page if a size exceeds its bound.
func TestStepSizes(t *testing.T) {
	c := qt.New(t)
	command := strings.Repeat("x", 1_000)
	appended := sizedHeartbeat(consensus.MessageAppend)
	appended.LogIndex, appended.LogTerm = 4_320, 40
	appended.Entries = []consensus.Entry{{Index: 4_321, Term: 40, Kind: consensus.EntryCommand, Data: []byte(command)}}
	sizes := []struct {
		name  string
		limit int // bytes
		value Step
	}{
		{"heartbeat of one partition", 60, sizedStep(1, sizedHeartbeat(consensus.MessageHeartbeat))},
		{"heartbeats of three partitions", 170, sizedStep(3, sizedHeartbeat(consensus.MessageHeartbeat))},
		{"append of an order of 1,000 bytes", 1_100, sizedStep(1, appended)},
	}
	for _, test := range sizes {
		bytes, err := cbor.Marshal(test.value)
		c.Assert(err, qt.IsNil)
		c.Logf("%s: %d bytes", test.name, len(bytes))
		c.Check(len(bytes) <= test.limit, qt.IsTrue, qt.Commentf("%s has %d bytes, %d at most", test.name, len(bytes), test.limit))
	}
}

func BenchmarkStepEncoding(b *testing.B) {
	step := sizedStep(3, sizedHeartbeat(consensus.MessageHeartbeat))
	for b.Loop() {
		bytes, err := cbor.Marshal(step)
		qt.Assert(b, err, qt.IsNil)
		var decoded Step
		if err := cbor.Unmarshal(bytes, &decoded); err != nil {
			b.Fatal(err)
		}
	}
}
