package fleettest

import (
	"io"
	"net/http"
	"time"

	"github.com/tidwall/gjson"
)

// order serves the order to change the worker's phase.
func (w *Worker) order(rw http.ResponseWriter, request *http.Request) {
	body, _ := io.ReadAll(request.Body) // what is missing shows below
	call := Call{
		Kind:  Order,
		Phase: gjson.GetBytes(body, "phase").String(),
		Owner: gjson.GetBytes(body, "owner").String(),
		Fence: gjson.GetBytes(body, "fence_number").Uint(),
	}
	place := w.begin(call)
	status := w.applyOrder(request, call)
	outcome := Done
	if status >= http.StatusMultipleChoices {
		outcome = TurnedAway
	}
	w.finish(place, outcome)
	rw.WriteHeader(status)
}

// applyOrder takes an order and returns the status of its answer.
func (w *Worker) applyOrder(request *http.Request, call Call) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case request.Header.Get("X-Meant-Server") != w.ID:
		return http.StatusMisdirectedRequest
	case call.Owner == "" || call.Fence == 0 || call.Phase == "":
		return http.StatusBadRequest
	case call.Fence < w.fence:
		return http.StatusPreconditionFailed
	case w.changing:
		return http.StatusConflict
	}
	w.fence = call.Fence
	if call.Phase == w.phase {
		return http.StatusOK
	}
	w.orders++
	w.changing = true
	time.AfterFunc(changeTime, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.phase = call.Phase
		w.changing = false
	})
	return http.StatusAccepted
}
