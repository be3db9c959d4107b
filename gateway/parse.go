package gateway

import (
	"context"
	"io"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-chi/chi/v5"

	"bronzehook/api"
	"bronzehook/dispatch"
	"bronzehook/fault"
)

const (
	// maxKey is the largest length of a key in bytes.
	maxKey = 256
	// maxAttempt bounds the number of a caller's attempt.
	maxAttempt = 1_000_000
)

// refuse makes a not-run failure without a stack trace.
func refuse(code fault.Code, op, detail string) error {
	return fault.NotRun(&fault.Failure{FailureCode: code, Op: op, Detail: detail})
}

func invalid(header, detail string) error {
	return refuse(fault.CodeInvalid, "parse request", "header "+header+" "+detail)
}

// controls are the parsed Bronzehook headers of a request.
type controls struct {
	key        string
	attempt    int
	timeout    time.Duration
	urgency    api.Urgency
	idempotent bool
}

// parseControls reads the Bronzehook headers. urgency is the service's own; the header only lowers it.
func parseControls(config Config, method string, header http.Header, urgency api.Urgency) (controls, error) {
	var c controls
	var err error
	if c.key, err = parseKey(header.Get(api.HeaderKey)); err != nil {
		return c, err
	}
	if c.attempt, err = parseAttempt(header.Get(api.HeaderAttempt)); err != nil {
		return c, err
	}
	if c.timeout, err = parseTimeout(config, header.Get(api.HeaderTimeout)); err != nil {
		return c, err
	}
	if c.urgency, err = parseUrgency(header.Get(api.HeaderUrgency), urgency); err != nil {
		return c, err
	}
	c.idempotent, err = parseIdempotent(header.Get(api.HeaderIdempotent), method)
	return c, err
}

func parseKey(text string) (string, error) {
	if len(text) > maxKey {
		return "", invalid(api.HeaderKey, "is longer than "+strconv.Itoa(maxKey)+" bytes")
	}
	for _, b := range []byte(text) {
		if b <= ' ' || b > '~' {
			return "", invalid(api.HeaderKey, "holds a character that is not printable ASCII")
		}
	}
	return text, nil
}

func parseAttempt(text string) (int, error) {
	if text == "" {
		return 1, nil
	}
	attempt, err := strconv.Atoi(text)
	if err != nil || attempt < 1 || attempt > maxAttempt {
		return 0, invalid(api.HeaderAttempt, "is not a number from 1 to "+strconv.Itoa(maxAttempt))
	}
	return attempt, nil
}

func parseTimeout(config Config, text string) (time.Duration, error) {
	if text == "" {
		return config.DefaultTimeout, nil
	}
	milliseconds, err := strconv.ParseInt(text, 10, 64)
	if err != nil || milliseconds < 1 {
		return 0, invalid(api.HeaderTimeout, "is not a positive number of milliseconds")
	}
	if milliseconds > config.MaxTimeout.Milliseconds() {
		return config.MaxTimeout, nil
	}
	return time.Duration(milliseconds) * time.Millisecond, nil
}

func parseUrgency(text string, service api.Urgency) (api.Urgency, error) {
	if text == "" {
		return service, nil
	}
	wanted, err := api.ParseUrgency(text)
	if err != nil {
		return 0, invalid(api.HeaderUrgency, err.Error())
	}
	return min(wanted, service), nil
}

func parseIdempotent(text, method string) (bool, error) {
	switch text {
	case "true":
		return true, nil
	case "false":
		return false, nil
	case "":
		return method == http.MethodGet || method == http.MethodHead, nil
	default:
		return false, invalid(api.HeaderIdempotent, "is neither true nor false")
	}
}

// parsed is a request that is ready for admission.
type parsed struct {
	request  dispatch.Request
	deadline time.Time
}

// parse authenticates and reads a request, without its body.
func (g *Gateway) parse(r *http.Request, arrived time.Time) (parsed, error) {
	service := chi.URLParam(r, "service")
	spec, ok := g.view.Load().Specs[service]
	if !ok || spec.Kind != api.KindService {
		return parsed{}, refuse(fault.CodeNotFound, "find service", "there is no such service")
	}
	p := parsed{request: dispatch.Request{Service: service, Urgency: spec.Urgency}}
	caller, err := g.Authenticator.Authenticate(r)
	if err != nil {
		return p, fault.NotRun(err)
	}
	p.request.Team = caller.Team
	if r.Method == http.MethodConnect || r.Method == http.MethodTrace {
		return p, refuse(fault.CodeInvalid, "parse request", "method "+r.Method+" is not served")
	}
	c, err := parseControls(g.config, r.Method, r.Header, spec.Urgency)
	if err != nil {
		return p, err
	}
	p.deadline = arrived.Add(c.timeout)
	p.request.Method = r.Method
	p.request.Target = targetOf(r, service)
	p.request.Header = endToEnd(r.Header)
	p.request.Urgency = c.urgency
	p.request.Idempotent = c.idempotent
	p.request.Key = c.key
	p.request.Attempt = c.attempt
	return p, nil
}

// targetOf returns the path and query that the endpoint sees: those after the service's name.
func targetOf(r *http.Request, service string) string {
	path := strings.TrimPrefix(r.URL.EscapedPath(), "/"+service)
	if !strings.HasPrefix(path, "/") {
		path = "/" + path
	}
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return path
}

// hopHeaders concern one connection only and are not passed on.
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Expect": true, "Content-Length": true, "Host": true,
}

// reservedPrefix begins the headers of this system.
const reservedPrefix = "Bronzehook-"

// endToEnd copies the headers that are passed on, in either direction.
func endToEnd(header http.Header) http.Header {
	named := header["Connection"]
	kept := make(http.Header, len(header))
	for name, values := range header {
		if hopHeaders[name] || strings.HasPrefix(name, reservedPrefix) || isNamed(named, name) {
			continue
		}
		kept[name] = values
	}
	return kept
}

// isNamed reports whether the Connection header names the header as one of its hop.
func isNamed(connection []string, name string) bool {
	for _, value := range connection {
		for option := range strings.SplitSeq(value, ",") {
			if textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(option)) == name {
				return true
			}
		}
	}
	return false
}

// readBody reads the whole body within the limits. free gives the memory back.
func (g *Gateway) readBody(ctx context.Context, w http.ResponseWriter, r *http.Request, p *parsed) (free func(), err error) {
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return func() {}, nil
	}
	reserved := r.ContentLength
	if reserved < 0 {
		reserved = g.config.MaxBody
	}
	if reserved > g.config.MaxBody {
		return func() {}, refuse(fault.CodeTooLarge, "read body", "the body exceeds the limit")
	}
	free = func() { g.bodies.Add(-reserved) }
	if g.bodies.Add(reserved) > g.config.MaxBodies {
		return free, refuse(fault.CodeOverloaded, "read body", "too many bodies are held")
	}
	if deadline, ok := ctx.Deadline(); ok {
		_ = http.NewResponseController(w).SetReadDeadline(deadline)
	}
	p.request.Body, err = readAll(http.MaxBytesReader(w, r.Body, g.config.MaxBody), r.ContentLength)
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return free, refuse(fault.CodeTooLarge, "read body", "the body exceeds the limit")
	case err != nil:
		return free, refuse(fault.CodeInvalid, "read body", "the body is incomplete")
	}
	return free, nil
}

func readAll(body io.Reader, length int64) ([]byte, error) {
	if length < 0 {
		return io.ReadAll(body)
	}
	whole := make([]byte, length)
	_, err := io.ReadFull(body, whole)
	return whole, err
}
