package run

import (
	"encoding/json"
	"net/http"

	"sumacloft/internal/mesh/message"
)

// readiness is the body of the readiness answer, for operators. The platform uses the status only: 200 means that this
// proxy accepts new connections.
type readiness struct {
	Ready   bool     `json:"ready"`
	Link    string   `json:"link"` // state of this router's connection to the control plane
	Reasons []string `json:"reasons,omitempty"`
}

// readiness returns whether this proxy accepts new connections, and the reasons and advice for an operator. A router
// without contact to the control plane keeps serving with its last known state and includes that in its reasons.
func (p *Proxy) readiness() readiness {
	link := p.feed.Link()
	answer := readiness{Ready: p.ready.Load() && p.feed.Ready(), Link: link.String()}
	switch {
	case !p.ready.Load():
		answer.Reasons = append(answer.Reasons, "this proxy is starting or ending")
	case !p.feed.Ready():
		answer.Reasons = append(answer.Reasons, "no configuration is known yet")
	}
	if advice := link.Advice(); advice != "" && link != message.LinkSeeking || !p.feed.Ready() {
		answer.Reasons = append(answer.Reasons, advice)
	}
	return answer
}

// serveReady answers the platform's readiness check.
func (p *Proxy) serveReady(w http.ResponseWriter, _ *http.Request) {
	answer := p.readiness()
	w.Header().Set("Content-Type", "application/json")
	if !answer.Ready {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_ = json.NewEncoder(w).Encode(answer) // the platform has the status already
}
