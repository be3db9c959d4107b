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
	// MaxAnswer is the largest answer in bytes.
	MaxAnswer int64
	// MaxIdle is the number of idle connections kept for an endpoint.
	MaxIdle int
	// IdleTimeout closes connections that were not used.
	IdleTimeout time.Duration
	// Linger is the time for which an exchange without an answer keeps its slot after the caller's deadline, because
	// the endpoint may still execute the request.
	Linger time.Duration
}

// DefaultClientConfig returns the limits used in production.
func DefaultClientConfig() ClientConfig {
	return ClientConfig{
		DialTimeout: time.Second,
		MaxAnswer:   16 << 20,
		MaxIdle:     8,
		IdleTimeout: 30 * time.Second,
		Linger:      10 * time.Second,
	}
}

// maxInterim is the number of 1xx answers read before the final one.
const maxInterim = 5

// maxAnswerHeader is the largest header of an answer in bytes.
const maxAnswerHeader = 64 << 10

// Client is an HTTP/1.1 client towards endpoints. It writes and reads on the caller's goroutine with net/http's wire
// format functions. net/http's Transport is not used: it resends idempotent requests on its own, hides how much of a
// request was written, and hands each request to two further goroutines.
type Client struct {
	config ClientConfig
	pool   *pool
}

// NewClient returns a client. Close ends its idle connections.
func NewClient(config ClientConfig) *Client {
	return &Client{config: config, pool: newPool(config.MaxIdle, config.IdleTimeout)}
}

// Close ends all idle connections.
func (c *Client) Close() { c.pool.close() }

// DialError reports that no connection to an endpoint could be opened.
type DialError struct {
	Addr  string
	Cause error
}

// Error names the address and the cause.
func (e *DialError) Error() string { return "connect to endpoint " + e.Addr + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Cause }

// Code implements fault.Coded.
func (e *DialError) Code() fault.Code { return fault.CodeUnreachable }

// ExchangeError reports an exchange that broke off.
type ExchangeError struct {
	FailureCode fault.Code
	Addr        string
	Cause       error
}

// Error names the address and the cause.
func (e *ExchangeError) Error() string {
	return "exchange with endpoint " + e.Addr + ": " + string(e.FailureCode) + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *ExchangeError) Unwrap() error { return e.Cause }

// Code implements fault.Coded.
func (e *ExchangeError) Code() fault.Code { return e.FailureCode }

// exchange is one request towards one endpoint.
type exchange struct {
	request  Request
	endpoint api.Endpoint
	deadline time.Time
	// permit is called once the connection is open, so that no time passes between the check and the first byte.
	permit func() (Permit, error)
	// release frees the slot.
	release func()
}

// do performs an exchange and sees to the release of its slot.
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
	outgoing, err := newOutgoing(x, permit)
	if err != nil {
		c.pool.put(x.endpoint.Addr, conn)
		x.release()
		return Response{}, err
	}
	response, reusable, err := c.roundTrip(conn, outgoing, x)
	if isTimeout(err) && conn.wrote && !conn.read {
		go c.linger(conn, outgoing, x)
		return Response{}, err
	}
	c.finish(conn, x, reusable && err == nil)
	return response, err
}

func (c *Client) finish(conn *endpointConn, x exchange, reusable bool) {
	if reusable {
		c.pool.put(x.endpoint.Addr, conn)
	} else {
		_ = conn.Close()
	}
	x.release()
}

// linger waits for the late answer of an exchange whose caller has been told unknown. The answer is dropped.
func (c *Client) linger(conn *endpointConn, outgoing *http.Request, x exchange) {
	_ = conn.SetDeadline(time.Now().Add(c.config.Linger))
	_, _, _ = c.receive(conn, outgoing, x)
	c.finish(conn, x, false)
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

// newOutgoing builds the request on the wire.
func newOutgoing(x exchange, permit Permit) (*http.Request, error) {
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
	out := &http.Request{Method: x.request.Method, URL: target, Header: header, Host: x.endpoint.Addr}
	if len(x.request.Body) > 0 {
		out.Body = io.NopCloser(bytes.NewReader(x.request.Body))
		out.ContentLength = int64(len(x.request.Body))
	}
	return out, nil
}

// roundTrip writes the request and reads the whole answer. reusable says whether the connection is in a known state.
func (c *Client) roundTrip(conn *endpointConn, out *http.Request, x exchange) (Response, bool, error) {
	conn.begin()
	_ = conn.SetDeadline(x.deadline)
	if err := conn.send(out); err != nil {
		return Response{}, false, c.broken(conn, x, err)
	}
	return c.receive(conn, out, x)
}

func (c *Client) receive(conn *endpointConn, out *http.Request, x exchange) (Response, bool, error) {
	answer, err := readFinal(conn, out)
	if err != nil {
		return Response{}, false, c.broken(conn, x, err)
	}
	defer answer.Body.Close()
	if got := answer.Header.Get(api.HeaderRequest); got != x.request.ID {
		return Response{}, false, unknown(fault.CodeOutcomeUnknown, "read answer", "the answer belongs to request "+strconv.Quote(got))
	}
	if isCloseDelimited(answer, out.Method) {
		return Response{}, false, unknown(fault.CodeTruncated, "read answer", "the answer does not state its length")
	}
	body, err := c.readBody(conn, answer)
	if err != nil {
		return Response{}, false, c.broken(conn, x, err)
	}
	reusable := !answer.Close && !conn.pending()
	if refused := answer.Header.Get(api.HeaderRefused); refused != "" {
		return Response{}, reusable, refusal(refused, answer.Header)
	}
	return Response{Status: answer.StatusCode, Header: answer.Header, Body: body}, reusable, nil
}

func readFinal(conn *endpointConn, out *http.Request) (*http.Response, error) {
	conn.allow(maxAnswerHeader)
	for range maxInterim {
		answer, err := http.ReadResponse(conn.reader, out)
		if err != nil {
			return nil, err
		}
		if answer.StatusCode >= http.StatusOK {
			return answer, nil
		}
		if answer.StatusCode == http.StatusSwitchingProtocols {
			break
		}
	}
	return nil, &fault.Failure{FailureCode: fault.CodeOutcomeUnknown, Op: "read answer", Detail: "no final answer"}
}

// isCloseDelimited reports whether only the end of the connection ends the answer, so that a truncated answer would
// look whole.
func isCloseDelimited(answer *http.Response, method string) bool {
	if method == http.MethodHead || answer.StatusCode == http.StatusNoContent || answer.StatusCode == http.StatusNotModified {
		return false
	}
	return answer.ContentLength < 0 && len(answer.TransferEncoding) == 0
}

func (c *Client) readBody(conn *endpointConn, answer *http.Response) ([]byte, error) {
	tooLarge := &fault.Failure{FailureCode: fault.CodeTooLarge, Op: "read answer", Detail: "the answer exceeds the limit"}
	if answer.ContentLength > c.config.MaxAnswer {
		return nil, tooLarge
	}
	// Chunk framing adds to the bytes on the wire; twice the limit leaves room for it.
	conn.allow(2*c.config.MaxAnswer + maxAnswerHeader)
	if answer.ContentLength >= 0 {
		body := make([]byte, answer.ContentLength)
		if answer.Request.Method == http.MethodHead {
			return nil, nil
		}
		_, err := io.ReadFull(answer.Body, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(answer.Body, c.config.MaxAnswer+1))
	if err == nil && int64(len(body)) > c.config.MaxAnswer {
		err = tooLarge
	}
	return body, err
}

// broken classifies an exchange that ended without a whole answer. Only if no byte was written did it not run.
func (c *Client) broken(conn *endpointConn, x exchange, cause error) error {
	failure := &ExchangeError{FailureCode: brokenCode(cause, conn.read), Addr: x.endpoint.Addr, Cause: cause}
	if !conn.wrote {
		return fault.NotRun(failure)
	}
	return fault.Unknown(failure)
}

func brokenCode(cause error, read bool) fault.Code {
	var coded fault.Coded
	switch {
	case errors.As(cause, &coded):
		return coded.Code()
	case isTimeout(cause):
		return fault.CodeTimeout
	case read:
		return fault.CodeTruncated
	default:
		return fault.CodeOutcomeUnknown
	}
}

func isTimeout(err error) bool { return err != nil && errors.Is(err, os.ErrDeadlineExceeded) }

// refusal turns a worker's proof that it did not start the request into a not-run failure.
func refusal(code string, header http.Header) error {
	failure := &fault.Failure{FailureCode: fault.Code(code), Op: "send to worker", Detail: "the worker refused the request"}
	if seconds, err := strconv.Atoi(strings.TrimSpace(header.Get("Retry-After"))); err == nil && seconds > 0 {
		failure.RetryAfter = time.Duration(seconds) * time.Second
	}
	return fault.NotRun(failure)
}
