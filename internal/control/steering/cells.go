package steering

import (
	"net/http"
	"net/url"
	"strconv"

	"sumacloft/internal/control/coordination"
)

// cellAnswer is the response to a read of a key.
type cellAnswer struct {
	Amount   string `json:"amount"`
	Revision uint64 `json:"revision"`
}

// cellHandler serves reads and writes of keys.
type cellHandler struct{ calls Coordination }

func (h *cellHandler) replace(w http.ResponseWriter, request *http.Request) {
	if answer, ok := readAndDecide(w, request, h.calls, coordination.ReplaceCell, amountField, expectedField); ok {
		answerJSON(w, http.StatusOK, revisionAnswer{Revision: answer.Revision})
	}
}

func (h *cellHandler) read(w http.ResponseWriter, request *http.Request) {
	call := coordination.Call{Kind: coordination.ReadCell, Name: request.PathValue("id")}
	answer, ok := decide(w, request, h.calls, call)
	if !ok {
		return
	}
	answerJSON(w, http.StatusOK, cellAnswer{Amount: answer.Amount, Revision: answer.Revision})
}

// eventAnswer is one write to a key.
type eventAnswer struct {
	Name     string `json:"name"`
	Amount   string `json:"amount"`
	Revision uint64 `json:"revision"`
}

// eventsAnswer is the response to a watch.
type eventsAnswer struct {
	Events   []eventAnswer `json:"events"`
	Revision uint64        `json:"revision"`
}

// watchHandler serves watches on groups of keys.
type watchHandler struct{ calls Coordination }

func (h *watchHandler) get(w http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	after, err := wholeNumber(query, "after")
	if err != nil {
		fail(w, http.StatusBadRequest, "after: give the revision above which events are wanted, 0 for the present one")
		return
	}
	queue, err := wholeNumber(query, "queue_ms")
	if err != nil {
		fail(w, http.StatusBadRequest, "queue_ms: give for how many milliseconds to wait")
		return
	}
	answer, ok := decide(w, request, h.calls, coordination.Call{
		Kind:    coordination.WatchCells,
		Name:    coordination.CellGroup(request.PathValue("id")),
		After:   after,
		QueueMS: min(queue, maxQueueMS),
	})
	if !ok {
		return
	}
	response := eventsAnswer{Events: []eventAnswer{}, Revision: answer.Revision}
	for _, event := range answer.Events {
		response.Events = append(response.Events, eventAnswer{Name: event.Key, Amount: event.Amount, Revision: event.Revision})
	}
	answerJSON(w, http.StatusOK, response)
}

// wholeNumber parses a query parameter. A missing parameter is 0.
func wholeNumber(query url.Values, name string) (uint64, error) {
	if !query.Has(name) {
		return 0, nil
	}
	return strconv.ParseUint(query.Get(name), 10, 62)
}
