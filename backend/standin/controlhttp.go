package standin

import (
	"context"
	"net/http"

	"github.com/go-chi/chi/v5"

	"bronzehook/backend"
	"bronzehook/backend/httpbackend"
)

// Paths of a worker's control listener that a real worker does not have. They work while the worker is frozen.
const (
	// PathWorkerFaults takes WorkerFaults by PUT.
	PathWorkerFaults = "/faults/worker"
	// PathWorkerLeaving takes a boolean by PUT.
	PathWorkerLeaving = "/faults/leaving"
	// PathWorkerGone makes the worker go away by PUT, without a body.
	PathWorkerGone = "/faults/gone"
	// PathWorkerJournal returns a JournalAnswer by GET.
	PathWorkerJournal = "/faults/journal"
)

// JournalAnswer is what PathWorkerJournal returns.
type JournalAnswer struct {
	Executions []Execution `json:"executions"`
	Runs       []Run       `json:"runs"`
	Refusals   []Refusal   `json:"refusals"`
	Peaks      Peaks       `json:"peaks"`
	Dropped    int         `json:"dropped"`
}

func (w *Worker) controlHandler() http.Handler {
	r := chi.NewRouter()
	r.Use(echoRequestID)
	r.Put(PathWorkerFaults, setter(w.SetFaults))
	r.Put(PathWorkerLeaving, setter(w.SetLeaving))
	r.Put(PathWorkerGone, func(http.ResponseWriter, *http.Request) { w.Close() })
	r.Get(PathWorkerJournal, w.serveJournal)
	r.Group(func(r chi.Router) {
		r.Use(w.spoilAnswers)
		r.Post(httpbackend.PathFence, order(w.fenceOrder))
		r.Get(httpbackend.PathInventory, report(w.Inventory))
		r.Post(httpbackend.PathStart, order(without(w.Start)))
		r.Post(httpbackend.PathRenew, order(without(w.renewOrder)))
		r.Post(httpbackend.PathThrottle, order(without(w.throttleOrder)))
		r.Post(httpbackend.PathCheckpoint, order(w.checkpointOrder))
		r.Post(httpbackend.PathStop, order(without(w.Stop)))
		r.Post(httpbackend.PathAck, order(without(w.Ack)))
		r.Get(httpbackend.PathUsage, report(w.Usage))
	})
	return r
}

// spoilAnswers applies the faults to a call of the control interface. The call takes effect after a freeze even if its
// sender no longer waits.
func (w *Worker) spoilAnswers(next http.Handler) http.Handler {
	return http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) {
		w.awaitThaw()
		buffer := newBufferedAnswer()
		buffer.header = out.Header().Clone()
		next.ServeHTTP(buffer, r)
		w.deliver(out, buffer, controlFaults, func() {})
	})
}

func (w *Worker) fenceOrder(ctx context.Context, o httpbackend.FenceOrder) (backend.Inventory, error) {
	return w.Fence(ctx, o.Epoch)
}

func (w *Worker) renewOrder(ctx context.Context, o httpbackend.RenewOrder) error {
	return w.Renew(ctx, o.Epoch, o.Tasks, o.LeaseEnd)
}

func (w *Worker) throttleOrder(ctx context.Context, o httpbackend.ThrottleOrder) error {
	return w.Throttle(ctx, o.Ref, o.Share)
}

func (w *Worker) checkpointOrder(
	ctx context.Context, ref backend.TaskRef,
) (httpbackend.CheckpointAnswer, error) {
	name, err := w.Checkpoint(ctx, ref)
	return httpbackend.CheckpointAnswer{Name: name}, err
}

func (w *Worker) serveJournal(out http.ResponseWriter, _ *http.Request) {
	j := w.journal
	answer(out, JournalAnswer{
		Executions: j.Executions(), Runs: j.Runs(), Refusals: j.Refusals(), Peaks: j.Peaks(), Dropped: j.Dropped(),
	}, nil)
}

// order returns a handler that passes the JSON body to act and answers with its result.
func order[In, Out any](act func(context.Context, In) (Out, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var in In
		if err := decode(w, r, &in); err != nil {
			answer(w, nil, err)
			return
		}
		out, err := act(uninterrupted(r), in)
		answer(w, out, err)
	}
}

func without[In any](act func(context.Context, In) error) func(context.Context, In) (struct{}, error) {
	return func(ctx context.Context, in In) (struct{}, error) { return struct{}{}, act(ctx, in) }
}

func report[Out any](read func(context.Context) (Out, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		out, err := read(r.Context())
		answer(w, out, err)
	}
}
