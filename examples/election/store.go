package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
)

// fenceHeader carries the fence of the leader that writes.
const fenceHeader = "X-Fence"

// textLimit bounds a text in bytes.
const textLimit = 4 << 10

// store keeps one text. It takes a write only if its fence is not below any that it has seen, so a leader that was replaced
// can't undo what its successor wrote. It serves http.Handler.
type store struct {
	mu    sync.Mutex
	fence uint64
	text  string
}

// ServeHTTP answers GET with the text and its fence, and PUT with 200 or 412.
func (s *store) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if request.Method == http.MethodGet {
		w.Header().Set(fenceHeader, strconv.FormatUint(s.fence, 10))
		_, _ = io.WriteString(w, s.text) // a reader that has left asks again
		return
	}
	fence, err := strconv.ParseUint(request.Header.Get(fenceHeader), 10, 64)
	if err != nil {
		http.Error(w, fenceHeader+": give the fence of your election", http.StatusBadRequest)
		return
	}
	if fence < s.fence {
		http.Error(w, fmt.Sprintf("fence %d was replaced by %d: stand for election again", fence, s.fence), http.StatusPreconditionFailed)
		return
	}
	text, err := io.ReadAll(http.MaxBytesReader(w, request.Body, textLimit))
	if err != nil {
		http.Error(w, "the text did not come whole: send it again", http.StatusBadRequest)
		return
	}
	s.fence, s.text = fence, string(text)
}
