package standin

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"bronzehook/api"
	"bronzehook/fault"
)

// maxRequestBytes bounds the body of a request to a service.
const maxRequestBytes = 16 << 20

// requestOrder is what the headers of a request to a service state, with its body.
type requestOrder struct {
	id       string
	key      string
	task     api.TaskID
	attempt  uint64
	epoch    api.Epoch
	notAfter time.Duration
	body     []byte
}

// readRequest reads the whole request. A request without all headers is refused, because the worker could not tell
// whether it is still meant for it.
func readRequest(w http.ResponseWriter, r *http.Request) (requestOrder, error) {
	order := requestOrder{
		id:   r.Header.Get(api.HeaderRequest),
		key:  r.Header.Get(api.HeaderKey),
		task: api.TaskID(r.Header.Get(api.HeaderTask)),
	}
	if order.id == "" || order.task == "" {
		return order, fault.New(fault.CodeInvalid, "request", "%s or %s is missing", api.HeaderRequest, api.HeaderTask)
	}
	var err error
	if order.attempt, err = headerNumber(r, api.HeaderTaskAttempt); err != nil {
		return order, err
	}
	epoch, err := headerNumber(r, api.HeaderEpoch)
	if err != nil {
		return order, err
	}
	order.epoch = api.Epoch(epoch)
	notAfter, err := headerNumber(r, api.HeaderNotAfter)
	if err != nil {
		return order, err
	}
	order.notAfter = time.Duration(notAfter) * time.Millisecond
	order.body, err = io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err != nil {
		return order, bodyError("request", err)
	}
	return order, nil
}

func headerNumber(r *http.Request, name string) (uint64, error) {
	text := r.Header.Get(name)
	number, err := strconv.ParseUint(text, 10, 63)
	if err != nil {
		return 0, fault.New(fault.CodeInvalid, "request", "%s %q is not a number", name, text)
	}
	return number, nil
}

// checkRequest returns the running attempt of a service that a request is meant for, or why it is refused.
func (w *Worker) checkRequest(order requestOrder) (*attempt, error) {
	const op = "request"
	if err := w.checkEpoch(op, order.epoch); err != nil {
		return nil, err
	}
	if now := w.reading(); now > order.notAfter {
		return nil, fault.New(fault.CodeExpired, op, "the clock reads %s, the request ends at %s", now, order.notAfter)
	}
	a := w.attempts[attemptKey{order.task, order.attempt}]
	if a == nil || !a.running() || a.order.Kind != api.KindService {
		return nil, w.notRunning(order)
	}
	return a, nil
}

func (w *Worker) notRunning(order requestOrder) error {
	for key, a := range w.attempts {
		if key.task == order.task && key.attempt != order.attempt && a.running() {
			return fault.New(fault.CodeStaleAttempt, "request", "task %s runs as attempt %d, not %d",
				order.task, key.attempt, order.attempt)
		}
	}
	return fault.New(fault.CodeNotFound, "request", "task %s attempt %d does not run here as a service",
		order.task, order.attempt)
}
