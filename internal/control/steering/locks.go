package steering

import (
	"net/http"

	"sumacloft/internal/control/coordination"
)

// fenceAnswer is that of a lock that was got.
type fenceAnswer struct {
	Fence uint64 `json:"fence_number"`
}

// numberAnswer is a number that was drawn.
type numberAnswer struct {
	Amount uint64 `json:"amount"`
}

// lockHandler serves locks, and elections, which are locks that are held for long.
type lockHandler struct{ calls Coordination }

func (h *lockHandler) start(w http.ResponseWriter, request *http.Request) {
	call, ok := readCall(w, request, coordination.StartLock, ownerField, holdField)
	if !ok {
		return
	}
	answer, ok := decide(w, request, h.calls, call)
	if !ok {
		return
	}
	answerJSON(w, http.StatusOK, fenceAnswer{Fence: answer.Fence})
}

func (h *lockHandler) beat(w http.ResponseWriter, request *http.Request) {
	call, ok := readCall(w, request, coordination.BeatLock, ownerField, fenceField, holdField)
	if ok {
		h.plain(w, request, call)
	}
}

func (h *lockHandler) finish(w http.ResponseWriter, request *http.Request) {
	call, ok := readCall(w, request, coordination.FinishLock, ownerField, fenceField)
	if ok {
		h.plain(w, request, call)
	}
}

// plain answers a call whose answer says nothing more.
func (h *lockHandler) plain(w http.ResponseWriter, request *http.Request, call coordination.Call) {
	if _, ok := decide(w, request, h.calls, call); ok {
		reply(w, []byte("{}"))
	}
}

// numberHandler serves numbers that rise.
type numberHandler struct{ calls Coordination }

func (h *numberHandler) post(w http.ResponseWriter, request *http.Request) {
	call, ok := readCall(w, request, coordination.DrawNumber)
	if !ok {
		return
	}
	answer, ok := decide(w, request, h.calls, call)
	if !ok {
		return
	}
	answerJSON(w, http.StatusOK, numberAnswer{Amount: answer.Number})
}
