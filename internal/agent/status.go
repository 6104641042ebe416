package agent

import (
	"context"
	"net/http"
	"time"

	"sumacloft/internal/status"
)

// ServeLog makes the agent serve its log lines to operators. Call it before Run.
func (a *Agent) ServeLog(lines status.Log) { a.logLines = lines }

// handleStatus registers the operators' calls.
func (a *Agent) handleStatus(mux *http.ServeMux) {
	status.CallStatus.Handle(mux, a.report)
	status.HandleLog(mux, a.logLines)
}

// report returns the state that the agent knows.
func (a *Agent) report(context.Context, *status.Request) (*status.Report, error) {
	report := &status.Report{
		Kind: status.KindAgent,
		Node: a.settings.Node,
		Zone: a.settings.Zone,
		UpMS: time.Since(a.startedAt).Milliseconds(),
	}
	link := a.link()
	voters, _ := a.confirmation.byMajority()
	report.Link = &status.Link{State: link.String(), Advice: link.Advice(), DisksReported: voters, DisksNeeded: a.confirmation.majority}
	snapshot, _ := a.members.Node().Snapshot()
	status.Gather(report, snapshot)
	report.Traffic = status.TrafficOf(a.client.Meter(), status.HostsInZone(snapshot, a.settings.Zone))
	return report, nil
}
