// Package steering is the HTTP API of a control member for workers, operators and applications. Each resource has its own
// handler type.
package steering

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"

	"sumacloft/internal/bounds"
	"sumacloft/internal/control/configstate"
	"sumacloft/internal/control/registry"
	"sumacloft/internal/inflight"
	"sumacloft/internal/responseguard"
)

// Workers receives heartbeats and leave requests of workers.
type Workers interface {
	// Beat processes a heartbeat and returns nil once it can be acknowledged. A non-empty beatTo is the address to which the
	// worker should send later heartbeats.
	Beat(ctx context.Context, beat registry.Beat) (beatTo string, err error)
	// Leave records that a worker is shutting down.
	Leave(ctx context.Context, id string) error
}

// Settings applies configuration orders of the operator.
type Settings interface {
	// Submit proposes an order. After an error it is not known whether the order is applied.
	Submit(ctx context.Context, order configstate.Order) (configstate.Outcome, error)
	// Read returns the current configuration document, or nothing if there is none yet.
	Read(ctx context.Context) ([]byte, error)
}

const (
	maxBeatBytes  = 8 << 10 // bytes of a heartbeat; every process of the fleet keeps what it says
	maxOrderBytes = 8 << 20 // bytes of an order; it must fit into one segment of the disk log
	maxBodyBytes  = 2 * maxOrderBytes
	beatToPrefix  = `{"beat_to":` // start of the response to a heartbeat
)

// Handler serves all resources. If coordination is nil, its paths are not registered.
func Handler(workers Workers, settings Settings, coordination Coordination) http.Handler {
	mux := http.NewServeMux()
	if coordination != nil {
		handleCoordination(mux, coordination)
	}
	beats := &beatHandler{workers: workers}
	leaves := &leaveHandler{workers: workers}
	orders := &orderHandler{settings: settings}
	documents := &documentHandler{settings: settings}
	mux.HandleFunc("POST /v1/Servers.Beat/{id}", beats.post)
	mux.HandleFunc("POST /v1/Servers.Leave/{id}", leaves.post)
	mux.HandleFunc("POST /v1/Settings.Replace", orders.replace)
	mux.HandleFunc("POST /v1/Settings.Change", orders.change)
	mux.HandleFunc("GET /v1/Settings.Read", documents.get)
	return responseguard.Handler(bounds.MeterBodies(maxBodyBytes, mux))
}

// beatHandler serves the heartbeats of workers.
type beatHandler struct{ workers Workers }

func (h *beatHandler) post(w http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(responseguard.MaxBytesReader(w, request.Body, maxBeatBytes))
	if inflight.NoRoom(err) {
		bounds.RefuseNoRoom(w)
		return
	}
	if err != nil {
		fail(w, http.StatusBadRequest, "the heartbeat can't be read, or is larger than 8 KiB")
		return
	}
	beat, err := registry.ParseBeat(request.PathValue("id"), body)
	if err != nil {
		fail(w, http.StatusBadRequest, err.Error())
		return
	}
	beatTo, err := h.workers.Beat(request.Context(), beat)
	if err != nil {
		fail(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	if beatTo == "" {
		reply(w, []byte("{}"))
		return
	}
	reply(w, []byte(beatToPrefix+strconv.Quote(beatTo)+"}"))
}

// leaveHandler serves leave requests of workers that shut down.
type leaveHandler struct{ workers Workers }

func (h *leaveHandler) post(w http.ResponseWriter, request *http.Request) {
	id := request.PathValue("id")
	if len(id) > maxNameBytes {
		fail(w, http.StatusBadRequest, "the worker's id is longer than 512 bytes")
		return
	}
	if err := h.workers.Leave(request.Context(), id); err != nil {
		fail(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	reply(w, []byte("{}"))
}

// orderHandler serves configuration changes.
type orderHandler struct{ settings Settings }

func (h *orderHandler) replace(w http.ResponseWriter, request *http.Request) {
	h.order(w, request, configstate.Replace)
}

func (h *orderHandler) change(w http.ResponseWriter, request *http.Request) {
	h.order(w, request, configstate.Change)
}

func (h *orderHandler) order(w http.ResponseWriter, request *http.Request, kind configstate.OrderKind) {
	builtOn, err := strconv.ParseUint(request.Header.Get("X-Built-On"), 10, 63)
	if err != nil {
		fail(w, http.StatusBadRequest, "X-Built-On: name the version that the order builds on")
		return
	}
	body, err := io.ReadAll(responseguard.MaxBytesReader(w, request.Body, maxOrderBytes))
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		fail(w, http.StatusRequestEntityTooLarge, "the order is larger than 8 MiB: send its parts by Settings.Change")
		return
	}
	if err != nil {
		fail(w, http.StatusServiceUnavailable, "the order did not come whole: send it again")
		return
	}
	outcome, err := h.settings.Submit(request.Context(), configstate.Order{Kind: kind, BuiltOn: builtOn, Body: body})
	if err != nil {
		fail(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	switch {
	case outcome.Status.Acknowledged():
		reply(w, []byte(`{"version":`+strconv.FormatUint(outcome.Version, 10)+"}"))
	case outcome.Status == configstate.Unknown:
		fail(w, http.StatusServiceUnavailable, outcome.Err.Error())
	case outcome.Status == configstate.OtherVersion:
		fail(w, http.StatusPreconditionFailed, outcome.Err.Error())
	default:
		fail(w, http.StatusBadRequest, outcome.Err.Error())
	}
}

// documentHandler serves the current configuration.
type documentHandler struct{ settings Settings }

func (h *documentHandler) get(w http.ResponseWriter, request *http.Request) {
	document, err := h.settings.Read(request.Context())
	if err != nil {
		fail(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	if len(document) == 0 {
		fail(w, http.StatusNotFound, "there is no configuration yet: send one to Settings.Replace")
		return
	}
	reply(w, document)
}

func reply(w http.ResponseWriter, body []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body) // a client that disconnected retries
}

func fail(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write([]byte(`{"error":` + strconv.Quote(text) + "}")) // a client that disconnected retries
}
