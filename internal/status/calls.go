package status

import (
	"bytes"
	"context"
	"io"
	"net/http"

	"sumacloft/internal/mesh/rpc"
)

// The calls that control members and agents serve on their inside ports. Proxies serve CallLog on the loopback address.
const (
	CallStatus rpc.Procedure[Request, Report]         = "/status/Read"
	CallLog    rpc.Procedure[LogRequest, LogResponse] = "/status/Log"
)

// Log is log lines held in memory; package logring has one.
type Log interface {
	Copy(to io.Writer) error
}

// HandleLog serves CallLog on the mux; where log is nil it does nothing.
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
