package fake

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"bronzehook/api"
	"bronzehook/fault"
)

// ServiceResponse is the response body of a service's task.
type ServiceResponse struct {
	Request string       `json:"request"`
	Key     string       `json:"key,omitempty"`
	Worker  api.WorkerID `json:"worker"`
	Task    api.TaskID   `json:"task"`
	Attempt uint64       `json:"attempt"`
	Method  string       `json:"method"`
	Path    string       `json:"path"`
	// BodyBytes and BodyHash are the length and the xxhash of the request body.
	BodyBytes int    `json:"bodyBytes"`
	BodyHash  uint64 `json:"bodyHash"`
	Payload   string `json:"payload"`
}

// execution is one request that a task of a service executes.
type execution struct {
	request   serviceRequest
	attempt   *attempt
	logNumber int
	duration  time.Duration
}

func (w *Worker) endpointHandler() http.Handler {
	return echoRequestID(http.HandlerFunc(w.serveEndpoint))
}

func (w *Worker) serveEndpoint(out http.ResponseWriter, r *http.Request) {
	buffer := newBufferedResponse()
	buffer.header = out.Header().Clone()
	if !w.acquireConnection() {
		request := serviceRequest{
			id: r.Header.Get(api.HeaderRequest), task: api.TaskID(r.Header.Get(api.HeaderTask)),
		}
		limit := w.config.Worker.Connections
		w.refuse(buffer, request, fault.New(fault.CodeOverloaded, "request",
			"connection limit reached: %d requests are open", limit))
		w.deliver(out, buffer, endpointFaults, func() {})
		return
	}
	release := sync.OnceFunc(w.releaseConnection)
	defer release()
	w.awaitUnfreeze()
	w.handleRequest(buffer, out, r)
	w.deliver(out, buffer, endpointFaults, release)
}

// handleRequest executes a request and writes the response to the buffer. It aborts the connection if the attempt
// terminates while it executes the request.
func (w *Worker) handleRequest(buffer *bufferedResponse, out http.ResponseWriter, r *http.Request) {
	request, err := readRequest(out, r)
	if err != nil {
		w.refuse(buffer, request, err)
		return
	}
	if err := w.checkBeforeQueueing(request); err != nil {
		w.refuse(buffer, request, err)
		return
	}
	if err := w.acquireSlot(r.Context()); err != nil {
		w.refuse(buffer, request, err)
		return
	}
	defer w.releaseSlot()
	x, err := w.startExecution(request)
	if err != nil {
		w.refuse(buffer, request, err)
		return
	}
	if !w.execute(x) {
		panic(http.ErrAbortHandler)
	}
	w.writeResponse(buffer, r, request)
}

// checkBeforeQueueing checks a request before it waits for a slot.
func (w *Worker) checkBeforeQueueing(request serviceRequest) error {
	w.lock()
	defer w.unlock()
	_, err := w.checkRequest(request)
	return err
}

// startExecution checks the request again, because its state may have changed while it waited for a slot, and logs the
// start of the execution.
func (w *Worker) startExecution(request serviceRequest) (execution, error) {
	w.lock()
	defer w.unlock()
	a, err := w.checkRequest(request)
	if err != nil {
		return execution{}, err
	}
	x := execution{request: request, attempt: a, duration: w.serviceTime(a)}
	x.logNumber = w.eventLog.startExecution(Execution{
		Request: request.id, Key: request.key, Worker: w.config.Worker.ID, Work: a.spec.Work, Task: request.task,
		Attempt: request.attempt, Epoch: request.epoch, Planned: x.duration, Start: w.clock.Now(),
	})
	a.executions[x.logNumber] = request.epoch
	return x, nil
}

// serviceTime returns a random service time for one request, including the slowdown by interference and throttling.
func (w *Worker) serviceTime(a *attempt) time.Duration {
	drawn := 1.0
	if !a.behaviour.fixedServiceTime {
		drawn = w.random.ExpFloat64()
	}
	return time.Duration(drawn * float64(a.behaviour.duration) * w.slowdown(a) / a.share)
}

// execute waits for the service time and reports whether the request completed before its attempt terminated.
func (w *Worker) execute(x execution) bool {
	timer := w.clock.NewTimer(x.duration)
	defer timer.Stop()
	select {
	case <-timer.Chan():
	case <-x.attempt.terminated:
	}
	w.lock()
	defer w.unlock()
	if _, executing := x.attempt.executions[x.logNumber]; !executing {
		return false
	}
	delete(x.attempt.executions, x.logNumber)
	w.eventLog.finishExecution(x.logNumber, x.request.task, w.clock.Now(), false)
	return true
}

func (w *Worker) writeResponse(buffer *bufferedResponse, r *http.Request, request serviceRequest) {
	body, err := json.Marshal(ServiceResponse{
		Request: request.id, Key: request.key, Worker: w.config.Worker.ID, Task: request.task, Attempt: request.attempt,
		Method: r.Method, Path: r.URL.Path, BodyBytes: len(request.body), BodyHash: xxhash.Sum64(request.body),
		Payload: strings.Repeat("x", w.config.ResponseBytes),
	})
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	writeBody(buffer, http.StatusOK, "application/json", body)
}

// refuse writes the response to a request that was not executed and logs the refusal.
func (w *Worker) refuse(buffer *bufferedResponse, request serviceRequest, err error) {
	code := fault.CodeOf(err)
	w.eventLog.addRefusal(Refusal{Request: request.id, Task: request.task, Code: code, At: w.clock.Now()})
	buffer.header.Set(api.HeaderRefused, string(code))
	writeBody(buffer, http.StatusServiceUnavailable, "text/plain; charset=utf-8", []byte(err.Error()+"\n"))
}

// acquireConnection counts an open request towards the connection limit of the worker. It reports false if the limit is
// reached.
func (w *Worker) acquireConnection() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.openRequests >= w.config.Worker.Connections {
		return false
	}
	w.openRequests++
	w.eventLog.recordOpenRequests(w.openRequests)
	return true
}

func (w *Worker) releaseConnection() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.openRequests--
}

// acquireSlot waits for a slot. Waiting requests get slots in order of arrival.
func (w *Worker) acquireSlot(ctx context.Context) error {
	select {
	case w.slots <- struct{}{}:
		return nil
	default:
	}
	select {
	case w.slots <- struct{}{}:
		return nil
	case <-ctx.Done():
		return fault.New(fault.CodeTimeout, "request", "the client disconnected before a slot was free")
	case <-w.closed:
		return fault.New(fault.CodeStopping, "request", "the worker crashed")
	}
}

func (w *Worker) releaseSlot() { <-w.slots }
