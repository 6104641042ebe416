package main

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"sumacloft/internal/workerwire"
)

// free gives up or hands over what was read of a prompt, once.
func (m *model) free(w http.ResponseWriter, request *http.Request) {
	handle := request.PathValue("handle")
	m.mu.Lock()
	held, known := m.tickets[handle]
	delete(m.tickets, handle)
	m.mu.Unlock()
	if !known || time.Now().After(held.lapses) {
		w.WriteHeader(http.StatusNotFound)
	}
}

// fetch takes what another worker has read. The stand-in moves nothing: to free a handle is to take it.
func (m *model) fetch(ctx context.Context, from string) bool {
	address, handle, found := strings.Cut(from, "/")
	if !found {
		return false
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodDelete, "http://"+address+"/v1/kv-handle/"+handle, nil)
	if err != nil {
		return false
	}
	answer, err := m.client.Do(request)
	if err != nil {
		return false
	}
	_ = answer.Body.Close() // it is empty
	return answer.StatusCode == http.StatusOK
}

// ownModels are the models that every stand-in holds.
func ownModels() []workerwire.Model {
	return []workerwire.Model{{Name: "m", Version: 1, AddOns: []string{}}}
}

// workerReport is what a worker tells of itself.
type workerReport struct {
	Phase      string             `json:"phase"`
	Models     []workerwire.Model `json:"models"`
	Occupied   bool               `json:"occupied"`
	CallCount  int                `json:"call_count"`
	Queued     int                `json:"queued"`
	Working    int                `json:"working"`
	MemoryUsed int                `json:"memory_used"`
	MemoryAll  int                `json:"memory_all"`
	Tickets    int                `json:"tickets"`
}

// memoryTokens is the room of a stand-in.
const memoryTokens = 100000

func (m *model) report(w http.ResponseWriter, _ *http.Request) {
	m.mu.Lock()
	report := workerReport{Phase: m.phase, Models: ownModels(), CallCount: m.orders, Working: m.working, MemoryAll: memoryTokens}
	for handle, held := range m.tickets {
		if time.Now().After(held.lapses) {
			delete(m.tickets, handle)
			continue
		}
		report.Tickets++
		report.MemoryUsed += held.tokens
	}
	m.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(report) // a caller that has left asks again
}

// phaseOrder is an order to change the worker's part.
type phaseOrder struct {
	Type  string `json:"order_type"`
	Phase string `json:"phase"`
	Owner string `json:"owner"`
}

// order changes the worker's part; the stand-in has nothing to wait for.
func (m *model) order(w http.ResponseWriter, request *http.Request) {
	var order phaseOrder
	known := json.NewDecoder(request.Body).Decode(&order) == nil && order.Type == "phase" && order.Owner != ""
	if !known || (order.Phase != phaseReading && order.Phase != phaseWriting) {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.phase == order.Phase {
		return
	}
	m.orders++
	m.phase = order.Phase
	w.WriteHeader(http.StatusAccepted)
}

// part is the worker's phase as it is now.
func (m *model) part() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.phase
}

// tokenCounts are the tokens of the prompt, and the most of the answer.
func tokenCounts(request *http.Request) (prompt, most int) {
	in, out, _ := strings.Cut(request.Header.Get("X-Token-Count"), ",")
	prompt, _ = strconv.Atoi(strings.TrimSpace(in)) // none where it can't be read
	most, _ = strconv.Atoi(strings.TrimSpace(out))  // likewise
	return max(prompt, 0), max(most, 1)
}

// lastEvent is the event after which a stream is taken up, 0 for a whole one.
func lastEvent(request *http.Request) int {
	event, _ := strconv.Atoi(request.Header.Get("Last-Event-Id")) // 0 where there is none
	return max(event, 0)
}
