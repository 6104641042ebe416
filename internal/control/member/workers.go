package member

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/tidwall/gjson"

	"sumacloft/internal/control/phases"
	"sumacloft/internal/control/registry"
	"sumacloft/internal/mesh/network"
)

const (
	// reportTimeout bounds the request for one report.
	reportTimeout = 300 * time.Millisecond
	// maxAnswerBytes bounds the response of a worker.
	maxAnswerBytes = 64 << 10
	// workerIdleTimeout is the idle timeout of connections to workers. It is shorter than the workers' own.
	workerIdleTimeout = 2 * time.Second
)

// outdatedError means that a worker has seen a higher fence than that of the order. Another member has taken over the
// partition of its service.
type outdatedError struct{ worker string }

// Error implements error.
func (e *outdatedError) Error() string {
	return "worker " + e.worker + " refused the order: it has seen a higher fence, another member owns its partition"
}

// workerClient makes HTTP requests to workers.
type workerClient struct {
	reports *http.Client
	orders  *http.Client // one connection per request, so that a late response to another request is not mistaken for the response to an order
}

func newWorkerClient(transport network.Network) *workerClient {
	return &workerClient{reports: newWorkerHTTPClient(transport, true), orders: newWorkerHTTPClient(transport, false)}
}

// newWorkerHTTPClient creates an HTTP client with or without keep-alive connections.
func newWorkerHTTPClient(transport network.Network, keep bool) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return transport.Dial(ctx, address, network.DialOptions{})
		},
		DisableCompression:  true,
		DisableKeepAlives:   !keep,
		MaxIdleConnsPerHost: 1,
		IdleConnTimeout:     workerIdleTimeout,
	}}
}

// report requests the load report of a worker. If the worker does not answer, the report is marked silent.
func (c *workerClient) report(ctx context.Context, worker registry.Worker) phases.Worker {
	report := phases.Worker{ID: worker.ID, Zone: worker.Zone, Phase: worker.Phase, Capacity: worker.Capacity}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	body, err := call(ctx, c.reports, http.MethodGet, worker.Address, worker.ID, "/v1/report", nil)
	if err != nil {
		report.Silent = true
		return report
	}
	report.Working = int(gjson.GetBytes(body, "working").Int())
	report.Queued = int(gjson.GetBytes(body, "queued").Int())
	if all := gjson.GetBytes(body, "memory_all").Float(); all > 0 {
		report.Memory = gjson.GetBytes(body, "memory_used").Float() / all
	}
	return report
}

// order sends a phase change to a worker. After an error the worker has refused the order or its outcome is unknown.
func (c *workerClient) order(ctx context.Context, address string, order phases.Order, owner string, fence uint64) error {
	body := `{"order_type":"phase","phase":` + strconv.Quote(order.Phase) + `,"owner":` + strconv.Quote(owner) +
		`,"fence_number":` + strconv.FormatUint(fence, 10) + `}`
	_, err := call(ctx, c.orders, http.MethodPost, address, order.Worker, "/v1/order", []byte(body))
	return err
}

// call makes one request to a worker and returns the response body.
func call(ctx context.Context, client *http.Client, method, address, worker, path string, body []byte) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	request.Header.Set("X-Meant-Server", worker)
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	answer, err := client.Do(request)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	defer func() { _ = answer.Body.Close() }() // the body has been read
	content, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswerBytes))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if answer.StatusCode == http.StatusPreconditionFailed {
		return nil, Error.Wrap(&outdatedError{worker: worker})
	}
	if answer.StatusCode >= http.StatusMultipleChoices {
		return nil, Error.New("worker %s: request %s failed with status %d", worker, path, answer.StatusCode)
	}
	return content, nil
}
