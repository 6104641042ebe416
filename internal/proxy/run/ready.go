package run

import (
	"encoding/json"
	"net/http"

	"sumacloft/internal/mesh/message"
)

// readiness is the answer to the platform's question, for people who look at it. The status alone counts: 200 says that
// this proxy takes new connections.
type readiness struct {
	Ready   bool     `json:"ready"`
	Link    string   `json:"link"` // of this router to the control plane
	Reasons []string `json:"reasons,omitempty"`
}

// readiness says whether this proxy takes new connections, and what an operator should know of it. A router that is out of
// touch serves on by what it knows, and says so.
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

// serveReady tells the platform whether this proxy takes new connections.
func (p *Proxy) serveReady(w http.ResponseWriter, _ *http.Request) {
	answer := p.readiness()
	w.Header().Set("Content-Type", "application/json")
	if !answer.Ready {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_ = json.NewEncoder(w).Encode(answer) // the platform has its status
}
