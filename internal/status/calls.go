package status

import (
	"bytes"
	"context"
	"io"
	"net/http"

	"sumacloft/internal/mesh/rpc"
)

// Calls that control members and agents serve on their inside ports. Proxies serve CallLog on the loopback address.
const (
	CallStatus rpc.Procedure[Request, Report]         = "/status/Read"
	CallLog    rpc.Procedure[LogRequest, LogResponse] = "/status/Log"
)

// Log holds log lines in memory; package logring implements it.
type Log interface {
	Copy(to io.Writer) error
}

// HandleLog serves CallLog on the mux. It does nothing if log is nil.
func HandleLog(mux *http.ServeMux, log Log) {
	if log == nil {
		return
	}
	CallLog.Handle(mux, func(context.Context, *LogRequest) (*LogResponse, error) {
		var text bytes.Buffer
		if err := log.Copy(&text); err != nil {
			return nil, err
		}
		return &LogResponse{Text: text.Bytes()}, nil
	})
}
