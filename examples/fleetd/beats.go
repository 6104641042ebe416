package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"sumacloft/internal/workerwire"
)

// beats sends a worker's heartbeats.
type beats struct {
	command *workerCommand
	model   *model
	count   uint64        // of calls
	to      int           // place of the control member that answered last
	done    chan struct{} // closed once run has ended
}

const (
	// beatInterval is how often a worker sends a heartbeat.
	beatInterval = time.Second
	// beatLimit bounds one call.
	beatLimit = time.Second
	// emptyOut is how long a leaving worker still serves.
	emptyOut = 300 * time.Millisecond
)

// run sends heartbeats until the context ends.
func (b *beats) run(ctx context.Context) {
	defer close(b.done)
	for {
		b.send("up")
		if !pause(ctx, beatInterval) {
			return
		}
	}
}

// leave tells that the worker ends.
func (b *beats) leave() {
	b.send("leaving")
	time.Sleep(emptyOut)
	_ = b.post("/v1/Servers.Leave/", nil) // the worker ends in any case
}

// send sends one heartbeat to the control member that answered last, or else to the next ones.
func (b *beats) send(state string) {
	for range b.command.Steering {
		b.count++
		body, err := json.Marshal(workerwire.Heartbeat{
			Service: b.command.Service, Address: b.command.Address, Zone: b.command.Zone, Version: "v1",
			Capacity: workerCapacity, State: state, Phase: b.model.part(), Models: ownModels(), CallCount: b.count,
		})
		if err != nil {
			panic(err) // a plain struct can always be encoded
		}
		if b.post("/v1/Servers.Beat/", body) == nil {
			return
		}
		b.to++
	}
}

// post makes one call to the control member at hand.
func (b *beats) post(path string, body []byte) error {
	ctx, cancel := context.WithTimeout(context.Background(), beatLimit)
	defer cancel()
	address := b.command.Steering[b.to%len(b.command.Steering)]
	url := fmt.Sprintf("http://%s%s%s", address, path, b.command.ID)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(string(body)))
	if err != nil {
		return demoError.Wrap(err)
	}
	request.Header.Set("Content-Type", "application/json")
	return expectOK(request)
}
