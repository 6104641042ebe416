package main

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/zeebo/errs"

	"sumacloft/internal/mesh/network"
	"sumacloft/internal/mesh/rpc"
	"sumacloft/internal/status"
)

// askError is the class of questions to a process that got no answer of use.
var askError = errs.Class("ask")

// askLimit bounds a question to a process.
const askLimit = 5 * time.Second

// statusCommand prints what a process knows of the fleet.
type statusCommand struct {
	Address string `arg:"" help:"Inside address (host:port) of a control member or an agent; of a proxy, its loopback address."`
	JSON    bool   `name:"json" help:"Print JSON, for programs."`
}

// Run asks and prints the answer.
func (c *statusCommand) Run(to *streams) error {
	report, err := ask(status.CallStatus, c.Address, &status.Request{})
	if err != nil {
		return err
	}
	if !c.JSON {
		return to.print(reportText(report))
	}
	text, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return askError.Wrap(err)
	}
	return to.print(string(text) + "\n")
}

// logCommand prints the log lines that a process holds in memory.
type logCommand struct {
	Address string `arg:"" help:"Inside address (host:port) of a control member or an agent; of a proxy, its loopback address."`
}

// noLines says why a process may hold none.
const noLines = "the process holds no log lines: it has logged nothing since it began, or since it last wrote them out after an error\n"

// Run asks and prints the lines.
func (c *logCommand) Run(to *streams) error {
	answer, err := ask(status.CallLog, c.Address, &status.LogRequest{})
	if err != nil {
		return err
	}
	if len(answer.Text) == 0 {
		return to.note(noLines)
	}
	return to.print(string(answer.Text))
}

// ask makes one call to a process.
func ask[Question, Answer any](call rpc.Procedure[Question, Answer], address string, question *Question) (*Answer, error) {
	if _, _, err := net.SplitHostPort(address); err != nil {
		return nil, askError.New("%q is no address; give it as host:port: %w", address, err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), askLimit)
	defer cancel()
	answer, err := call.Call(ctx, rpc.NewClient(network.System{}), address, question)
	if err != nil {
		return nil, askError.New("%s did not answer: %w", address, err)
	}
	return answer, nil
}
