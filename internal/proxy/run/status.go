package run

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"time"

	"sumacloft/internal/status"
)

// HandleStatus registers the handler for operators' status queries.
func (p *Proxy) HandleStatus(mux *http.ServeMux) {
	status.CallStatus.Handle(mux, p.report)
}

// report returns the status of the proxy, with its decisions since it started.
func (p *Proxy) report(context.Context, *status.Request) (*status.Report, error) {
	report := &status.Report{
		Kind: status.KindProxy,
		Node: p.settings.Node,
		Zone: p.settings.Zone,
		UpMS: time.Since(p.started).Milliseconds(),
	}
	link := p.feed.Link()
	report.Link = &status.Link{State: link.String(), Advice: link.Advice()}
	report.Connections = &status.Connections{Opened: p.pool.Dialed(), WithoutID: p.front.Calls.WithoutID()}
	report.Traffic = append(status.TrafficOf(p.meter, p.feed.InZone), status.TrafficOf(p.hints.Meter(), p.feed.InZone)...)
	decisions := p.feed.Decisions()
	for _, service := range slices.Sorted(maps.Keys(decisions)) {
		for _, decision := range decisions[service] {
			report.Decisions = append(report.Decisions, status.Decision{
				Service: service,
				Kind:    string(decision.Kind),
				Why:     decision.Reason,
				Count:   decision.Count,
			})
		}
	}
	return report, nil
}
