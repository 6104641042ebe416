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
	// reportTime bounds the question for one report.
	reportTime = 300 * time.Millisecond
	// answerBytes bounds a worker's answer.
	answerBytes = 64 << 10
	// workerIdle is how long a connection to a worker is kept: shorter than workers keep one.
	workerIdle = 2 * time.Second
)

// outdatedError is a worker's word that it has seen a higher fence than the one an order bore: another member has taken
// over the duty.
type outdatedError struct{ worker string }

// Error implements error.
func (e *outdatedError) Error() string {
	return "worker " + e.worker + " has seen a higher fence: another member gives its orders now"
}

// workerClient makes a control member's calls to workers.
type workerClient struct {
	reports *http.Client
	orders  *http.Client // each on a connection of its own: no late answer to another call can be taken for theirs
}

func newWorkerClient(over network.Network) *workerClient {
	return &workerClient{reports: workerCalls(over, true), orders: workerCalls(over, false)}
}

// workerCalls makes a client whose connections are kept for a while, or not at all.
func workerCalls(over network.Network, keep bool) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return over.Dial(ctx, address, network.DialOptions{})
		},
		DisableCompression:  true,
		DisableKeepAlives:   !keep,
		MaxIdleConnsPerHost: 1,
		IdleConnTimeout:     workerIdle,
	}}
}

// report asks a worker for its report. One that does not answer is silent: nothing is known of its load.
func (c *workerClient) report(ctx context.Context, worker registry.Worker) phases.Worker {
	report := phases.Worker{ID: worker.ID, Zone: worker.Zone, Phase: worker.Phase, Capacity: worker.Capacity}
	ctx, cancel := context.WithTimeout(ctx, reportTime)
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

// order has a worker change its phase. An error says that it refused, or that it is not known whether it took the order.
func (c *workerClient) order(ctx context.Context, address string, order phases.Order, owner string, fence uint64) error {
	body := `{"order_type":"phase","phase":` + strconv.Quote(order.Phase) + `,"owner":` + strconv.Quote(owner) +
		`,"fence_number":` + strconv.FormatUint(fence, 10) + `}`
	_, err := call(ctx, c.orders, http.MethodPost, address, order.Worker, "/v1/order", []byte(body))
	return err
}

// call makes one call to a worker and reads its answer.
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
	defer func() { _ = answer.Body.Close() }() // it was read
	text, err := io.ReadAll(io.LimitReader(answer.Body, answerBytes))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if answer.StatusCode == http.StatusPreconditionFailed {
		return nil, Error.Wrap(&outdatedError{worker: worker})
	}
	if answer.StatusCode >= http.StatusMultipleChoices {
		return nil, Error.New("worker %s answers %s with status %d", worker, path, answer.StatusCode)
	}
	return text, nil
}
