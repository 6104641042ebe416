package reuse

import (
	"encoding/json"
	"math"

	"sumacloft/internal/decide/reuse"
)

// Served is a request that a server has answered.
type Served struct {
	Prefix  reuse.Key
	Tokens  float64 // of the opening, as estimated
	Session uint64
	Model   string
	First   []byte // the opening
	Server  string
	Answer  []byte // whole; nil: it streamed
}

// Served counts a request. What a whole answer says of its prompt is looked at where the server was to hold the opening.
func (a *Agent) Served(s Served) {
	if !a.on.Load() || s.Prefix == 0 {
		return
	}
	shared := a.o.Openings == nil || a.o.Openings.Saw(s.Prefix, s.Session, a.least(), s.Model, s.First)
	server := s.Server
	if s.Answer != nil && a.holds(s.Prefix, s.Server) && missed(s.Answer) {
		a.Missed(s.Prefix, s.Server)
		server = "" // nobody's lease is extended by it
	}
	a.count(s.Prefix, int(math.Ceil(s.Tokens)), server, shared)
}

// least is how many sessions make an opening a shared one.
func (a *Agent) least() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return max(int(a.model.Uses), 2)
}

// missed tells whether an answer says that none of its prompt was kept; where it says nothing of that it is taken to have been.
func missed(answer []byte) bool {
	var body struct {
		Usage *struct {
			Details *struct {
				Cached *float64 `json:"cached_tokens"`
			} `json:"prompt_tokens_details"`
		} `json:"usage"`
	}
	if json.Unmarshal(answer, &body) != nil || body.Usage == nil || body.Usage.Details == nil || body.Usage.Details.Cached == nil {
		return false
	}
	return *body.Usage.Details.Cached <= 0
}
