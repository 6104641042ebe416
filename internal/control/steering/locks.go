package steering

import (
	"net/http"

	"sumacloft/internal/control/coordination"
)

// fenceAnswer is the response to an acquired lock.
type fenceAnswer struct {
	Fence uint64 `json:"fence_number"`
}

// numberAnswer is the response to an incremented counter.
type numberAnswer struct {
	Amount uint64 `json:"amount"`
}

// lockHandler serves locks. Leader elections use locks that are held for a long time.
type lockHandler struct{ calls Coordination }

func (h *lockHandler) start(w http.ResponseWriter, request *http.Request) {
	if answer, ok := readAndDecide(w, request, h.calls, coordination.StartLock, ownerField, holdField); ok {
		answerJSON(w, http.StatusOK, fenceAnswer{Fence: answer.Fence})
	}
}

func (h *lockHandler) beat(w http.ResponseWriter, request *http.Request) {
	if _, ok := readAndDecide(w, request, h.calls, coordination.BeatLock, ownerField, fenceField, holdField); ok {
		reply(w, []byte("{}"))
	}
}

func (h *lockHandler) finish(w http.ResponseWriter, request *http.Request) {
	if _, ok := readAndDecide(w, request, h.calls, coordination.FinishLock, ownerField, fenceField); ok {
		reply(w, []byte("{}"))
	}
}

// numberHandler serves monotonically increasing counters.
type numberHandler struct{ calls Coordination }

func (h *numberHandler) post(w http.ResponseWriter, request *http.Request) {
	if answer, ok := readAndDecide(w, request, h.calls, coordination.DrawNumber); ok {
		answerJSON(w, http.StatusOK, numberAnswer{Amount: answer.Number})
	}
}
