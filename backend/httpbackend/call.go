package httpbackend

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"time"

	"bronzehook/api"
	"bronzehook/fault"
)

const (
	// DefaultTimeout is the time-out of a call if New or NewWorkers is given none.
	DefaultTimeout = 2 * time.Second
	// idleConnectionsPerHost is at least the number of concurrent calls of one instance to one host, so that connections
	// are reused.
	idleConnectionsPerHost = 32
	idleConnectionTimeout  = 90 * time.Second
	dialTimeout            = time.Second
	maxHeaderBytes         = 64 << 10
)

// knownCodes are the failure codes that are accepted from the body of a response.
var knownCodes = fault.Codes()

// failureMapping defines how failed calls to one kind of server are classified.
type failureMapping struct {
	// noResponse is the code of a call without a response. Such a call may have taken effect.
	noResponse fault.Code
	// truncated is the code of an incomplete response.
	truncated fault.Code
	// trustsServerCodes is set if a failure code in the body of a 5xx response proves that the call had no effect.
	trustsServerCodes bool
}

var (
	storeFailures  = failureMapping{noResponse: fault.CodeStoreUnavailable, truncated: fault.CodeStoreUnavailable}
	workerFailures = failureMapping{noResponse: fault.CodeUnreachable, truncated: fault.CodeTruncated, trustsServerCodes: true}
)

// rpcClient makes calls that are limited in time and size.
type rpcClient struct {
	httpClient *http.Client
	timeout    time.Duration
	failures   failureMapping
}

// call describes one HTTP request and the limit of its response.
type call struct {
	op     string
	method string
	url    string
	body   []byte
	// limit is the maximum size of the response body in bytes.
	limit int64
	// tag is the entity tag of the content that the caller already has. If it is set, the server may respond that the
	// content was not modified.
	tag string
}

// callResult is the complete response to a successful call.
type callResult struct {
	body []byte
	// tag is the entity tag of body, or empty if the server sent none.
	tag         string
	notModified bool
}

func newRPCClient(client *http.Client, timeout time.Duration, failures failureMapping) rpcClient {
	if timeout <= 0 {
		timeout = DefaultTimeout
	}
	configured := http.Client{Transport: newTransport()}
	if client != nil {
		configured = *client
	}
	// Redirects are not followed: a command must not reach a host other than the one that it was sent to.
	configured.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return rpcClient{httpClient: &configured, timeout: timeout, failures: failures}
}

func newTransport() *http.Transport {
	return &http.Transport{
		DialContext:            (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost:    idleConnectionsPerHost,
		IdleConnTimeout:        idleConnectionTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}

// do makes the call and returns the response, or an error unless the response is a success or not modified.
func (c *rpcClient) do(ctx context.Context, k call) (callResult, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, k.method, k.url, bytes.NewReader(k.body))
	if err != nil {
		return callResult{}, callError(fault.CodeInvalid, k.op, "invalid address", err)
	}
	id := rand.Text()
	request.Header.Set(api.HeaderRequest, id)
	// Without this header the transport would request gzip and hide the length of the response.
	request.Header.Set("Accept-Encoding", "identity")
	if k.tag != "" {
		request.Header.Set("If-None-Match", k.tag)
	}
	response, err := c.httpClient.Do(request)
	if err != nil {
		return callResult{}, callError(c.failures.noResponse, k.op, "no response", err)
	}
	defer response.Body.Close()
	body, err := c.readBody(k, response)
	if err != nil {
		return callResult{}, err
	}
	if response.Header.Get(api.HeaderRequest) != id {
		return callResult{}, callError(c.failures.noResponse, k.op, "response belongs to another request", nil)
	}
	if response.StatusCode == http.StatusNotModified && k.tag != "" {
		return callResult{notModified: true}, nil
	}
	if response.StatusCode < 200 || response.StatusCode > 299 {
		return callResult{}, c.statusError(k, response.StatusCode, body)
	}
	return callResult{body: body, tag: response.Header.Get("ETag")}, nil
}

// readBody reads a response body completely. A response without a length is treated as truncated, because its end can't
// be told from a lost connection.
func (c *rpcClient) readBody(k call, response *http.Response) ([]byte, error) {
	if response.ContentLength < 0 && !slices.Contains(response.TransferEncoding, "chunked") {
		return nil, callError(c.failures.truncated, k.op, "response has no length", nil)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, k.limit+1))
	if err != nil {
		return nil, callError(c.failures.truncated, k.op, "response body is incomplete", err)
	}
	if int64(len(body)) > k.limit {
		return nil, callError(fault.CodeTooLarge, k.op, "response body is too large", nil)
	}
	return body, nil
}

// statusError returns the error for a response with an error status.
func (c *rpcClient) statusError(k call, status int, body []byte) error {
	var errorBody ErrorBody
	hasCode := json.Unmarshal(body, &errorBody) == nil && slices.Contains(knownCodes, errorBody.Code)
	e := &CallError{Op: k.op, Status: status, Detail: errorBody.Detail}
	switch {
	case hasCode && (status < http.StatusInternalServerError || c.failures.trustsServerCodes):
		e.FailureCode = errorBody.Code
	case status >= http.StatusBadRequest && status < http.StatusInternalServerError && !retryableStatus(status):
		// A 404 without a failure code may be due to a wrong address and does not prove that a row is absent.
		e.FailureCode = fault.CodeInvalid
		e.Detail = "response has no failure code"
	default:
		e.FailureCode = c.failures.noResponse
	}
	return withStack(e)
}

// retryableStatus reports whether a client error status is temporary and not caused by the request itself.
func retryableStatus(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusRequestTimeout
}

// callJSON sends in as JSON, unless it is nil, and decodes the response into out, unless it is nil.
func (c *rpcClient) callJSON(ctx context.Context, k call, in, out any) error {
	if in != nil {
		body, err := json.Marshal(in)
		if err != nil {
			return callError(fault.CodeInvalid, k.op, "request cannot be encoded", err)
		}
		k.body = body
	}
	k.limit = MaxResponseBytes
	got, err := c.do(ctx, k)
	if err != nil || out == nil {
		return err
	}
	return decodeResponse(k, c.failures, got.body, out)
}

func decodeResponse(k call, failures failureMapping, body []byte, out any) error {
	if err := json.Unmarshal(body, out); err != nil {
		return callError(failures.truncated, k.op, "response is not valid JSON", err)
	}
	return nil
}
