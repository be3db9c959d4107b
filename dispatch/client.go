package dispatch

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"bronzehook/api"
	"bronzehook/fault"
)

// ClientConfig holds the limits of a Client.
type ClientConfig struct {
	// DialTimeout bounds opening a connection.
	DialTimeout time.Duration
	// MaxResponseBytes is the maximum size of a response body in bytes.
	MaxResponseBytes int64
	// MaxIdle is the maximum number of idle connections kept per endpoint address.
	MaxIdle int
	// IdleTimeout is the time after which an unused connection is closed.
	IdleTimeout time.Duration
	// LateResponseTimeout is the time for which an exchange without a response keeps its slot after the caller's deadline, because
	// the endpoint may still be executing the request.
	LateResponseTimeout time.Duration
}

// DefaultClientConfig returns the limits used in production.
func DefaultClientConfig() ClientConfig {
	return ClientConfig{
		DialTimeout:         time.Second,
		MaxResponseBytes:    16 << 20,
		MaxIdle:             8,
		IdleTimeout:         30 * time.Second,
		LateResponseTimeout: 10 * time.Second,
	}
}

// maxResponsesRead bounds the responses read for one request: interim (1xx) responses and the final one.
const maxResponsesRead = 5

// maxResponseHeaderBytes bounds the bytes read until the end of the final response's header.
const maxResponseHeaderBytes = 64 << 10

// Client is an HTTP/1.1 client for endpoints. It writes requests and reads responses on the caller's goroutine, with the
// wire format functions of net/http. It does not use net/http's Transport, which resends idempotent requests on its own,
// does not report how much of a request was written, and passes each request through two further goroutines.
type Client struct {
	config ClientConfig
	pool   *pool
}

// NewClient returns a client. Close closes its idle connections.
func NewClient(config ClientConfig) *Client {
	return &Client{config: config, pool: newPool(config.MaxIdle, config.IdleTimeout)}
}

// Close closes all idle connections.
func (c *Client) Close() { c.pool.close() }

// DialError reports that no connection to an endpoint could be opened.
type DialError struct {
	Addr  string
	Cause error
}

// Error returns a description with the address and the cause.
func (e *DialError) Error() string { return "connect to endpoint " + e.Addr + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Cause }

// Code implements fault.Coded.
func (e *DialError) Code() fault.Code { return fault.CodeUnreachable }

// ExchangeError reports an exchange that ended without a complete response.
type ExchangeError struct {
	FailureCode fault.Code
	Addr        string
	Cause       error
}

// Error returns a description with the address, the failure code and the cause.
func (e *ExchangeError) Error() string {
	return "exchange with endpoint " + e.Addr + ": " + string(e.FailureCode) + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *ExchangeError) Unwrap() error { return e.Cause }

// Code implements fault.Coded.
func (e *ExchangeError) Code() fault.Code { return e.FailureCode }

// exchange is one request to one endpoint.
type exchange struct {
	request  Request
	endpoint api.Endpoint
	deadline time.Time
	// permit checks whether the request may be sent. It is called after the connection is open, so that no time passes
	// between the check and the first byte.
	permit func() (Permit, error)
	// release releases the worker's slot.
	release func()
}

// do performs an exchange and releases its slot. After a timeout with any byte of the request written and none of the
// response read, awaitLateResponse releases the slot instead.
func (c *Client) do(x exchange) (Response, error) {
	conn, err := c.connect(x)
	if err != nil {
		x.release()
		return Response{}, err
	}
	permit, err := x.permit()
	if err != nil {
		c.pool.put(x.endpoint.Addr, conn)
		x.release()
		return Response{}, fault.NotRun(err)
	}
	outgoing, err := newOutgoingRequest(x, permit)
	if err != nil {
		c.pool.put(x.endpoint.Addr, conn)
		x.release()
		return Response{}, err
	}
	response, reusable, err := c.roundTrip(conn, outgoing, x)
	if isTimeout(err) && conn.wrote && !conn.read {
		go c.awaitLateResponse(conn, outgoing, x)
		return Response{}, err
	}
	c.endExchange(conn, x, reusable && err == nil)
	return response, err
}

func (c *Client) endExchange(conn *endpointConn, x exchange, reusable bool) {
	if reusable {
		c.pool.put(x.endpoint.Addr, conn)
	} else {
		_ = conn.Close()
	}
	x.release()
}

// awaitLateResponse waits for a late response to a request that was reported to the caller as unknown, discards it and
// releases the slot.
func (c *Client) awaitLateResponse(conn *endpointConn, outgoing *http.Request, x exchange) {
	_ = conn.SetDeadline(time.Now().Add(c.config.LateResponseTimeout))
	_, _, _ = c.receive(conn, outgoing, x)
	c.endExchange(conn, x, false)
}

func (c *Client) connect(x exchange) (*endpointConn, error) {
	if conn := c.pool.get(x.endpoint.Addr); conn != nil {
		return conn, nil
	}
	timeout := min(c.config.DialTimeout, time.Until(x.deadline))
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var dialer net.Dialer
	raw, err := dialer.DialContext(ctx, "tcp", x.endpoint.Addr)
	if err != nil {
		return nil, fault.NotRun(&DialError{Addr: x.endpoint.Addr, Cause: err})
	}
	return newEndpointConn(raw), nil
}

// newOutgoingRequest builds the HTTP request that is sent to the endpoint.
func newOutgoingRequest(x exchange, permit Permit) (*http.Request, error) {
	target, err := url.ParseRequestURI(x.request.Target)
	if err != nil {
		return nil, fault.NotRun(&fault.Failure{FailureCode: fault.CodeInvalid, Op: "build request", Detail: err.Error()})
	}
	header := make(http.Header, len(x.request.Header)+6)
	for name, values := range x.request.Header {
		header[name] = values
	}
	header[api.HeaderRequest] = []string{x.request.ID}
	header[api.HeaderEpoch] = []string{strconv.FormatUint(uint64(permit.Epoch), 10)}
	header[api.HeaderNotAfter] = []string{strconv.FormatInt(permit.NotAfter.Milliseconds(), 10)}
	header[api.HeaderTask] = []string{string(x.endpoint.Task)}
	header[api.HeaderTaskAttempt] = []string{strconv.FormatUint(x.endpoint.Attempt, 10)}
	if x.request.Key != "" {
		header[api.HeaderKey] = []string{x.request.Key}
	}
	outgoing := &http.Request{Method: x.request.Method, URL: target, Header: header, Host: x.endpoint.Addr}
	if len(x.request.Body) > 0 {
		outgoing.Body = io.NopCloser(bytes.NewReader(x.request.Body))
		outgoing.ContentLength = int64(len(x.request.Body))
	}
	return outgoing, nil
}

// roundTrip writes the request and reads the complete response. The second result reports whether the connection can be
// reused.
func (c *Client) roundTrip(conn *endpointConn, outgoing *http.Request, x exchange) (Response, bool, error) {
	conn.startExchange()
	_ = conn.SetDeadline(x.deadline)
	if err := conn.send(outgoing); err != nil {
		return Response{}, false, c.classifyFailure(conn, x, err)
	}
	return c.receive(conn, outgoing, x)
}

func (c *Client) receive(conn *endpointConn, outgoing *http.Request, x exchange) (Response, bool, error) {
	response, err := readFinalResponse(conn, outgoing)
	if err != nil {
		return Response{}, false, c.classifyFailure(conn, x, err)
	}
	defer response.Body.Close()
	if got := response.Header.Get(api.HeaderRequest); got != x.request.ID {
		return Response{}, false, unknown(fault.CodeOutcomeUnknown, "read response", "the response belongs to request "+strconv.Quote(got))
	}
	if isCloseDelimited(response, outgoing.Method) {
		return Response{}, false, unknown(fault.CodeTruncated, "read response", "the response does not state its length")
	}
	body, err := c.readBody(conn, response)
	if err != nil {
		return Response{}, false, c.classifyFailure(conn, x, err)
	}
	reusable := !response.Close && !conn.hasUnreadBytes()
	if refused := response.Header.Get(api.HeaderRefused); refused != "" {
		return Response{}, reusable, refusalError(refused, response.Header)
	}
	return Response{Status: response.StatusCode, Header: response.Header, Body: body}, reusable, nil
}

func readFinalResponse(conn *endpointConn, outgoing *http.Request) (*http.Response, error) {
	conn.setReadLimit(maxResponseHeaderBytes)
	for range maxResponsesRead {
		response, err := http.ReadResponse(conn.reader, outgoing)
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			break
		}
	}
	return nil, &fault.Failure{FailureCode: fault.CodeOutcomeUnknown, Op: "read response", Detail: "no final response"}
}

// isCloseDelimited reports whether the end of the connection is the only end marker of the response, so that a truncated
// response would look complete.
func isCloseDelimited(response *http.Response, method string) bool {
	if method == http.MethodHead || response.StatusCode == http.StatusNoContent || response.StatusCode == http.StatusNotModified {
		return false
	}
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0
}

func (c *Client) readBody(conn *endpointConn, response *http.Response) ([]byte, error) {
	tooLarge := &fault.Failure{FailureCode: fault.CodeTooLarge, Op: "read response", Detail: "the response exceeds the size limit"}
	if response.ContentLength > c.config.MaxResponseBytes {
		return nil, tooLarge
	}
	// Chunked encoding adds bytes on the wire; twice the limit is enough for them.
	conn.setReadLimit(2*c.config.MaxResponseBytes + maxResponseHeaderBytes)
	if response.ContentLength >= 0 {
		body := make([]byte, response.ContentLength)
		if response.Request.Method == http.MethodHead {
			return nil, nil
		}
		_, err := io.ReadFull(response.Body, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, c.config.MaxResponseBytes+1))
	if err == nil && int64(len(body)) > c.config.MaxResponseBytes {
		err = tooLarge
	}
	return body, err
}

// classifyFailure returns the failure of an exchange that ended without a complete response. The outcome is not-run only
// if no byte was written, and unknown otherwise.
func (c *Client) classifyFailure(conn *endpointConn, x exchange, cause error) error {
	failure := &ExchangeError{FailureCode: failureCode(cause, conn.read), Addr: x.endpoint.Addr, Cause: cause}
	if !conn.wrote {
		return fault.NotRun(failure)
	}
	return fault.Unknown(failure)
}

func failureCode(cause error, responseStarted bool) fault.Code {
	var coded fault.Coded
	switch {
	case errors.As(cause, &coded):
		return coded.Code()
	case isTimeout(cause):
		return fault.CodeTimeout
	case responseStarted:
		return fault.CodeTruncated
	default:
		return fault.CodeOutcomeUnknown
	}
}

func isTimeout(err error) bool { return err != nil && errors.Is(err, os.ErrDeadlineExceeded) }

// refusalError converts a worker's refusal into a not-run failure: the refusal proves that the worker did not start the
// request.
func refusalError(code string, header http.Header) error {
	failure := &fault.Failure{FailureCode: fault.Code(code), Op: "send to worker", Detail: "the worker refused the request"}
	if seconds, err := strconv.Atoi(strings.TrimSpace(header.Get("Retry-After"))); err == nil && seconds > 0 {
		failure.RetryAfter = time.Duration(seconds) * time.Second
	}
	return fault.NotRun(failure)
}
