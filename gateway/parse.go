package gateway

import (
	"context"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"

	"bronzehook/api"
	"bronzehook/bodylimit"
	"bronzehook/dispatch"
	"bronzehook/fault"
)

const (
	// maxKeyLength bounds the length of an idempotency key in bytes.
	maxKeyLength = 256
	// maxAttemptNumber bounds the number of a caller's attempt with one idempotency key.
	maxAttemptNumber = 1_000_000
)

// notRun returns a not-run failure without a stack trace.
func notRun(code fault.Code, op, detail string) error {
	return fault.NotRun(&fault.Failure{FailureCode: code, Op: op, Detail: detail})
}

func invalidHeader(header, detail string) error {
	return notRun(fault.CodeInvalid, "parse request", "header "+header+" "+detail)
}

// requestOptions holds the values of the Bronzehook headers of a request.
type requestOptions struct {
	key        string
	attempt    int
	timeout    time.Duration
	urgency    api.Urgency
	idempotent bool
}

// parseRequestOptions parses the Bronzehook headers. urgency is that of the service; the header can only lower it.
func parseRequestOptions(config Config, method string, header http.Header, urgency api.Urgency) (requestOptions, error) {
	var c requestOptions
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
	if len(text) > maxKeyLength {
		return "", invalidHeader(api.HeaderKey, "is longer than "+strconv.Itoa(maxKeyLength)+" bytes")
	}
	for _, b := range []byte(text) {
		if b <= ' ' || b > '~' {
			return "", invalidHeader(api.HeaderKey, "contains a character that is not printable ASCII")
		}
	}
	return text, nil
}

func parseAttempt(text string) (int, error) {
	if text == "" {
		return 1, nil
	}
	attempt, err := strconv.Atoi(text)
	if err != nil || attempt < 1 || attempt > maxAttemptNumber {
		return 0, invalidHeader(api.HeaderAttempt, "is not a number from 1 to "+strconv.Itoa(maxAttemptNumber))
	}
	return attempt, nil
}

func parseTimeout(config Config, text string) (time.Duration, error) {
	if text == "" {
		return config.DefaultTimeout, nil
	}
	milliseconds, err := strconv.ParseInt(text, 10, 64)
	if err != nil || milliseconds < 1 {
		return 0, invalidHeader(api.HeaderTimeout, "is not a positive number of milliseconds")
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
	requested, err := api.ParseUrgency(text)
	if err != nil {
		return 0, invalidHeader(api.HeaderUrgency, err.Error())
	}
	return min(requested, service), nil
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
		return false, invalidHeader(api.HeaderIdempotent, "is neither true nor false")
	}
}

// parsedRequest is a request that is ready for admission.
type parsedRequest struct {
	request  dispatch.Request
	deadline time.Time
}

// parse authenticates a request and parses all of it except its body.
func (g *Gateway) parse(r *http.Request, arrived time.Time) (parsedRequest, error) {
	service := chi.URLParam(r, "service")
	spec, ok := g.view.Load().Specs[service]
	if !ok || spec.Kind != api.KindService {
		return parsedRequest{}, notRun(fault.CodeNotFound, "find service", "there is no such service")
	}
	p := parsedRequest{request: dispatch.Request{Service: service, Urgency: spec.Urgency}}
	caller, err := g.Authenticator.Authenticate(r)
	if err != nil {
		return p, fault.NotRun(err)
	}
	p.request.Team = caller.Team
	if r.Method == http.MethodConnect || r.Method == http.MethodTrace {
		return p, notRun(fault.CodeInvalid, "parse request", "method "+r.Method+" is not supported")
	}
	c, err := parseRequestOptions(g.config, r.Method, r.Header, spec.Urgency)
	if err != nil {
		return p, err
	}
	p.deadline = arrived.Add(c.timeout)
	p.request.Method = r.Method
	p.request.Target = targetOf(r, service)
	p.request.Header = endToEndHeaders(r.Header)
	p.request.Urgency = c.urgency
	p.request.Idempotent = c.idempotent
	p.request.Key = c.key
	p.request.Attempt = c.attempt
	return p, nil
}

// targetOf returns the path and query that are sent to the endpoint, without the name of the service.
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

// hopByHopHeaders contains the headers that apply to a single connection and are not forwarded.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Expect": true, "Content-Length": true, "Host": true,
}

// reservedPrefix is the prefix of the headers that this system defines.
const reservedPrefix = "Bronzehook-"

// endToEndHeaders returns the headers of a request or response that are forwarded.
func endToEndHeaders(header http.Header) http.Header {
	connection := header["Connection"]
	kept := make(http.Header, len(header))
	for name, values := range header {
		if hopByHopHeaders[name] || strings.HasPrefix(name, reservedPrefix) || isConnectionOption(connection, name) {
			continue
		}
		kept[name] = values
	}
	return kept
}

// isConnectionOption reports whether the Connection header lists the header as hop-by-hop.
func isConnectionOption(connection []string, name string) bool {
	for _, value := range connection {
		for option := range strings.SplitSeq(value, ",") {
			if textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(option)) == name {
				return true
			}
		}
	}
	return false
}

// readBody reads the complete body within the limits. release gives its memory back.
func (g *Gateway) readBody(ctx context.Context, w http.ResponseWriter, r *http.Request, p *parsedRequest) (release func(), err error) {
	options := bodylimit.Options{Limit: g.config.MaxBodyBytes, Deadline: func() time.Time {
		deadline, _ := ctx.Deadline()
		return deadline
	}}
	body, err := g.Bodies.Read(w, r, options)
	if err != nil {
		bodylimit.CloseAfterResponse(w)
		return func() {}, bodyFailure(err)
	}
	p.request.Body = body.Bytes()
	return body.Release, nil
}

// bodyFailure returns the failure that is reported to a caller whose body was refused.
func bodyFailure(err error) error {
	switch code := fault.CodeOf(err); code {
	case fault.CodeTooLarge:
		return notRun(code, "read body", "the body exceeds the limit")
	case fault.CodeOverloaded:
		return notRun(code, "read body", "the request bodies in memory exceed the limit")
	}
	return notRun(fault.CodeInvalid, "read body", "the body is incomplete")
}
