package fake

import (
	"context"
	"net/http"

	"github.com/go-chi/chi/v5"

	"bronzehook/backend"
	"bronzehook/backend/httpbackend"
)

// Paths of the fake worker's control listener that a real worker does not have. They also work while the worker is
// frozen.
const (
	// PathWorkerFaults accepts PUT with a WorkerFaults body.
	PathWorkerFaults = "/faults/worker"
	// PathWorkerLeaving accepts PUT with a boolean body.
	PathWorkerLeaving = "/faults/leaving"
	// PathWorkerCrash accepts PUT without a body and crashes the worker.
	PathWorkerCrash = "/faults/gone"
	// PathWorkerEventLog accepts GET and returns an EventLogResponse.
	PathWorkerEventLog = "/faults/journal"
)

// EventLogResponse is the response of PathWorkerEventLog: the event log of a worker.
type EventLogResponse struct {
	Executions []Execution     `json:"executions"`
	Attempts   []AttemptRecord `json:"runs"`
	Refusals   []Refusal       `json:"refusals"`
	Peaks      Peaks           `json:"peaks"`
	Dropped    int             `json:"dropped"`
}

func (w *Worker) controlHandler() http.Handler {
	r := chi.NewRouter()
	r.Use(echoRequestID)
	r.Put(PathWorkerFaults, putHandler(w.SetFaults))
	r.Put(PathWorkerLeaving, putHandler(w.SetLeaving))
	r.Put(PathWorkerCrash, func(http.ResponseWriter, *http.Request) { w.Close() })
	r.Get(PathWorkerEventLog, w.serveEventLog)
	r.Group(func(r chi.Router) {
		r.Use(w.injectFaults)
		r.Post(httpbackend.PathFence, commandHandler(w.handleFence))
		r.Get(httpbackend.PathInventory, queryHandler(w.Inventory))
		r.Post(httpbackend.PathStart, commandHandler(withoutResult(w.Start)))
		r.Post(httpbackend.PathRenew, commandHandler(withoutResult(w.handleRenew)))
		r.Post(httpbackend.PathThrottle, commandHandler(withoutResult(w.handleThrottle)))
		r.Post(httpbackend.PathCheckpoint, commandHandler(w.handleCheckpoint))
		r.Post(httpbackend.PathStop, commandHandler(withoutResult(w.Stop)))
		r.Post(httpbackend.PathAck, commandHandler(withoutResult(w.Ack)))
		r.Get(httpbackend.PathUsage, queryHandler(w.Usage))
	})
	return r
}

// injectFaults applies the configured faults to a call of the control interface. A call that arrives during a freeze
// takes effect afterwards, even if its caller no longer waits.
func (w *Worker) injectFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) {
		w.awaitUnfreeze()
		buffer := newBufferedResponse()
		buffer.header = out.Header().Clone()
		next.ServeHTTP(buffer, r)
		w.deliver(out, buffer, controlFaults, func() {})
	})
}

func (w *Worker) handleFence(ctx context.Context, o httpbackend.FenceRequest) (backend.Inventory, error) {
	return w.Fence(ctx, o.Epoch)
}

func (w *Worker) handleRenew(ctx context.Context, o httpbackend.RenewRequest) error {
	return w.Renew(ctx, o.Epoch, o.Tasks, o.LeaseEnd)
}

func (w *Worker) handleThrottle(ctx context.Context, o httpbackend.ThrottleRequest) error {
	return w.Throttle(ctx, o.Ref, o.Share)
}

func (w *Worker) handleCheckpoint(
	ctx context.Context, ref backend.TaskRef,
) (httpbackend.CheckpointResponse, error) {
	name, err := w.Checkpoint(ctx, ref)
	return httpbackend.CheckpointResponse{Name: name}, err
}

func (w *Worker) serveEventLog(out http.ResponseWriter, _ *http.Request) {
	log := w.eventLog
	respond(out, EventLogResponse{
		Executions: log.Executions(), Attempts: log.Attempts(), Refusals: log.Refusals(), Peaks: log.Peaks(), Dropped: log.Dropped(),
	}, nil)
}

// commandHandler returns a handler that passes the JSON body to call and responds with the result.
func commandHandler[In, Out any](call func(context.Context, In) (Out, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var in In
		if err := decodeBody(w, r, &in); err != nil {
			respond(w, nil, err)
			return
		}
		out, err := call(detachedContext(r), in)
		respond(w, out, err)
	}
}

// withoutResult adapts a function without a result to commandHandler.
func withoutResult[In any](call func(context.Context, In) error) func(context.Context, In) (struct{}, error) {
	return func(ctx context.Context, in In) (struct{}, error) { return struct{}{}, call(ctx, in) }
}

// queryHandler returns a handler that responds with the result of read.
func queryHandler[Out any](read func(context.Context) (Out, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		out, err := read(r.Context())
		respond(w, out, err)
	}
}
