package run

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"time"

	"sumacloft/internal/status"
)

// HandleStatus serves what operators ask a proxy about its decisions.
func (p *Proxy) HandleStatus(mux *http.ServeMux) {
	status.CallStatus.Handle(mux, p.report)
}

// report is what the proxy has decided since it began.
func (p *Proxy) report(context.Context, *status.Request) (*status.Report, error) {
	report := &status.Report{
		Kind: status.KindProxy,
		Node: p.settings.Node,
		Zone: p.settings.Zone,
		UpMS: time.Since(p.began).Milliseconds(),
	}
	link := p.feed.Link()
	report.Link = &status.Link{State: link.String(), Advice: link.Advice()}
	report.Connections = &status.Connections{Opened: p.pool.Dialed(), WithoutID: p.front.Calls.WithoutID()}
	report.Traffic = append(status.TrafficOf(p.meter, p.feed.Near), status.TrafficOf(p.hints.Meter(), p.feed.Near)...)
	decided := p.feed.Decisions()
	for _, service := range slices.Sorted(maps.Keys(decided)) {
		for _, one := range decided[service] {
			report.Decisions = append(report.Decisions, status.Decision{
				Service: service,
				Kind:    string(one.Kind),
				Why:     one.Why,
				Count:   one.Count,
			})
		}
	}
	return report, nil
}
