package brain_test

import (
	"fmt"
	"time"

	"sumacloft/brain"
)

// A request is prefilled at a reader, decoded at a writer and streamed to its client.
func Example() {
	s := brain.New(brain.Settings{
		Classes: []brain.Class{{Aim: time.Second, Deadline: 4 * time.Second, Worth: 1}},
		Kinds:   []brain.Kind{{Role: brain.Reader, MemoryTokens: 2e5}, {Role: brain.Writer, MemoryTokens: 2e5}},
	}, 1)
	handle := func(at time.Duration, event brain.Event) {
		for _, action := range s.Handle(at, event, nil) {
			if send, ok := action.(brain.Send); ok {
				fmt.Printf("%v: request %d to engine %d\n", at, send.Request, send.Engine)
			}
		}
	}
	handle(0, brain.Listed{Kind: brain.ListComplete, Engines: []brain.Engine{{ID: 10, Kind: 0}, {ID: 20, Kind: 1}}})
	handle(5*time.Millisecond, brain.Arrived{Request: 1, Session: 7, PromptTokens: 900, MaxTokens: 200, Timeout: 4 * time.Second})
	handle(90*time.Millisecond, brain.Ended{Request: 1, Engine: 10, Result: brain.Read, Took: 85 * time.Millisecond})
	handle(120*time.Millisecond, brain.Started{Request: 1, Attempt: 1, Engine: 20, Took: 30 * time.Millisecond})
	handle(3*time.Second, brain.Ended{Request: 1, Attempt: 1, Engine: 20, Result: brain.Served, Last: true})
	// Output:
	// 5ms: request 1 to engine 10
	// 90ms: request 1 to engine 20
}
