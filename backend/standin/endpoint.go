package standin

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

// ServiceAnswer is the body that a service's task answers with.
type ServiceAnswer struct {
	Request string       `json:"request"`
	Key     string       `json:"key,omitempty"`
	Worker  api.WorkerID `json:"worker"`
	Task    api.TaskID   `json:"task"`
	Attempt uint64       `json:"attempt"`
	Method  string       `json:"method"`
	Path    string       `json:"path"`
	// BodyBytes and BodyHash (xxhash) describe the body of the request.
	BodyBytes int    `json:"bodyBytes"`
	BodyHash  uint64 `json:"bodyHash"`
	Payload   string `json:"payload"`
}

// execution is one request that runs.
type execution struct {
	order    requestOrder
	attempt  *attempt
	number   int
	duration time.Duration
}

func (w *Worker) endpointHandler() http.Handler {
	return echoRequestID(http.HandlerFunc(w.serveEndpoint))
}

func (w *Worker) serveEndpoint(out http.ResponseWriter, r *http.Request) {
	buffer := newBufferedAnswer()
	buffer.header = out.Header().Clone()
	if !w.openRequest() {
		order := requestOrder{id: r.Header.Get(api.HeaderRequest), task: api.TaskID(r.Header.Get(api.HeaderTask))}
		limit := w.config.Worker.Connections
		w.refuse(buffer, order, fault.New(fault.CodeOverloaded, "request", "%d requests are open", limit))
		w.deliver(out, buffer, endpointFaults, func() {})
		return
	}
	release := sync.OnceFunc(w.closeRequest)
	defer release()
	w.awaitThaw()
	w.handleRequest(buffer, out, r)
	w.deliver(out, buffer, endpointFaults, release)
}

// handleRequest runs a request and writes its answer to the buffer. It cuts the connection if the attempt ends while
// the request runs.
func (w *Worker) handleRequest(buffer *bufferedAnswer, out http.ResponseWriter, r *http.Request) {
	order, err := readRequest(out, r)
	if err != nil {
		w.refuse(buffer, order, err)
		return
	}
	if err := w.checkOpen(order); err != nil {
		w.refuse(buffer, order, err)
		return
	}
	if err := w.takeSlot(r.Context()); err != nil {
		w.refuse(buffer, order, err)
		return
	}
	defer w.freeSlot()
	x, err := w.beginExecution(order)
	if err != nil {
		w.refuse(buffer, order, err)
		return
	}
	if !w.execute(x) {
		panic(http.ErrAbortHandler)
	}
	w.writeAnswer(buffer, r, order)
}

func (w *Worker) checkOpen(order requestOrder) error {
	w.lock()
	defer w.unlock()
	_, err := w.checkRequest(order)
	return err
}

// beginExecution checks a request once more, because it may have waited for a slot, and records its start.
func (w *Worker) beginExecution(order requestOrder) (execution, error) {
	w.lock()
	defer w.unlock()
	a, err := w.checkRequest(order)
	if err != nil {
		return execution{}, err
	}
	x := execution{order: order, attempt: a, duration: w.serviceTime(a)}
	x.number = w.journal.beginExecution(Execution{
		Request: order.id, Key: order.key, Worker: w.config.Worker.ID, Work: a.order.Work, Task: order.task,
		Attempt: order.attempt, Epoch: order.epoch, Planned: x.duration, Start: w.clock.Now(),
	})
	a.executions[x.number] = order.epoch
	return x, nil
}

// serviceTime draws the service time of one request, slowed by the neighbours and the throttle.
func (w *Worker) serviceTime(a *attempt) time.Duration {
	drawn := 1.0
	if !a.plan.fixed {
		drawn = w.random.ExpFloat64()
	}
	return time.Duration(drawn * float64(a.plan.duration) * w.slowdown(a) / a.share)
}

// execute waits for the service time and reports whether the request was done before its attempt ended.
func (w *Worker) execute(x execution) bool {
	timer := w.clock.NewTimer(x.duration)
	defer timer.Stop()
	select {
	case <-timer.Chan():
	case <-x.attempt.ended:
	}
	w.lock()
	defer w.unlock()
	if _, runs := x.attempt.executions[x.number]; !runs {
		return false
	}
	delete(x.attempt.executions, x.number)
	w.journal.endExecution(x.number, x.order.task, w.clock.Now(), false)
	return true
}

func (w *Worker) writeAnswer(buffer *bufferedAnswer, r *http.Request, order requestOrder) {
	body, err := json.Marshal(ServiceAnswer{
		Request: order.id, Key: order.key, Worker: w.config.Worker.ID, Task: order.task, Attempt: order.attempt,
		Method: r.Method, Path: r.URL.Path, BodyBytes: len(order.body), BodyHash: xxhash.Sum64(order.body),
		Payload: strings.Repeat("x", w.config.AnswerBytes),
	})
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	writeBody(buffer, http.StatusOK, "application/json", body)
}

// refuse answers a request of which nothing ran.
func (w *Worker) refuse(buffer *bufferedAnswer, order requestOrder, err error) {
	code := fault.CodeOf(err)
	w.journal.refuse(Refusal{Request: order.id, Task: order.task, Code: code, At: w.clock.Now()})
	buffer.header.Set(api.HeaderRefused, string(code))
	writeBody(buffer, http.StatusServiceUnavailable, "text/plain; charset=utf-8", []byte(err.Error()+"\n"))
}

// openRequest counts a request towards the connections of the worker, and reports false if there are too many.
func (w *Worker) openRequest() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.open >= w.config.Worker.Connections {
		return false
	}
	w.open++
	w.journal.noteOpen(w.open)
	return true
}

func (w *Worker) closeRequest() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.open--
}

// takeSlot waits for a slot; waiting requests are served in the order of their arrival.
func (w *Worker) takeSlot(ctx context.Context) error {
	select {
	case w.slots <- struct{}{}:
		return nil
	default:
	}
	select {
	case w.slots <- struct{}{}:
		return nil
	case <-ctx.Done():
		return fault.New(fault.CodeTimeout, "request", "the sender left before a slot was free")
	case <-w.closed:
		return fault.New(fault.CodeStopping, "request", "the worker went away")
	}
}

func (w *Worker) freeSlot() { <-w.slots }
