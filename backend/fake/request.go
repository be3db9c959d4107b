package fake

import (
	"net/http"
	"strconv"
	"time"

	"bronzehook/api"
	"bronzehook/bodylimit"
	"bronzehook/fault"
)

// maxRequestBytes bounds the size of the body of a request to a service.
const maxRequestBytes = 16 << 20

// serviceRequest holds the headers and the body of a request to a service.
type serviceRequest struct {
	id       string
	key      string
	task     api.TaskID
	attempt  uint64
	epoch    api.Epoch
	notAfter time.Duration
	body     []byte
}

// readRequest reads a request with its complete body. It refuses a request with a missing header, because the worker
// could not tell whether the request is still valid for this worker, task and attempt.
func readRequest(w http.ResponseWriter, r *http.Request) (serviceRequest, error) {
	request := serviceRequest{
		id:   r.Header.Get(api.HeaderRequest),
		key:  r.Header.Get(api.HeaderKey),
		task: api.TaskID(r.Header.Get(api.HeaderTask)),
	}
	if request.id == "" || request.task == "" {
		return request, fault.New(fault.CodeInvalid, "request", "%s or %s is missing", api.HeaderRequest, api.HeaderTask)
	}
	var err error
	if request.attempt, err = parseNumberHeader(r, api.HeaderTaskAttempt); err != nil {
		return request, err
	}
	epoch, err := parseNumberHeader(r, api.HeaderEpoch)
	if err != nil {
		return request, err
	}
	request.epoch = api.Epoch(epoch)
	notAfter, err := parseNumberHeader(r, api.HeaderNotAfter)
	if err != nil {
		return request, err
	}
	request.notAfter = time.Duration(notAfter) * time.Millisecond
	request.body, err = bodylimit.Content(r.Body, maxRequestBytes)
	if err != nil {
		return request, bodyError("request", err)
	}
	return request, nil
}

func parseNumberHeader(r *http.Request, name string) (uint64, error) {
	text := r.Header.Get(name)
	number, err := strconv.ParseUint(text, 10, 63)
	if err != nil {
		return 0, fault.New(fault.CodeInvalid, "request", "%s %q is not a number", name, text)
	}
	return number, nil
}

// checkRequest returns the running service attempt that a request addresses, or the reason for refusing the request.
func (w *Worker) checkRequest(request serviceRequest) (*attempt, error) {
	const op = "request"
	if err := w.checkEpoch(op, request.epoch); err != nil {
		return nil, err
	}
	if now := w.clockReading(); now > request.notAfter {
		return nil, fault.New(fault.CodeExpired, op, "the worker clock reads %s, the request expired at %s",
			now, request.notAfter)
	}
	a := w.attempts[attemptKey{request.task, request.attempt}]
	if a == nil || !a.running() || a.spec.Kind != api.KindService {
		return nil, w.notRunningError(request)
	}
	return a, nil
}

// notRunningError returns the refusal of a request whose task does not run here, or runs as another attempt.
func (w *Worker) notRunningError(request serviceRequest) error {
	for key, a := range w.attempts {
		if key.task == request.task && key.attempt != request.attempt && a.running() {
			return fault.New(fault.CodeStaleAttempt, "request", "task %s runs as attempt %d, not %d",
				request.task, key.attempt, request.attempt)
		}
	}
	return fault.New(fault.CodeNotFound, "request", "task %s attempt %d is not running as a service on this worker",
		request.task, request.attempt)
}
