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
	// DefaultTimeout bounds a call where New or NewWorkers got none.
	DefaultTimeout = 2 * time.Second
	// idleConnectionsPerHost covers the concurrent calls of one instance to one host, so that connections are reused.
	idleConnectionsPerHost = 32
	idleConnectionTimeout  = 90 * time.Second
	dialTimeout            = time.Second
	maxHeaderBytes         = 64 << 10
)

var knownCodes = fault.Codes()

// party says how failures of one side are classified.
type party struct {
	// lost is the code of a call without an answer; the call may have taken effect.
	lost fault.Code
	// truncated is the code of an answer that did not arrive whole.
	truncated fault.Code
	// trustsServerCodes is set where the body of a 5xx answer names a refusal, which proves that nothing took effect.
	trustsServerCodes bool
}

var (
	storeParty  = party{lost: fault.CodeStoreUnavailable, truncated: fault.CodeStoreUnavailable}
	workerParty = party{lost: fault.CodeUnreachable, truncated: fault.CodeTruncated, trustsServerCodes: true}
)

// caller makes bounded calls to one party.
type caller struct {
	client  *http.Client
	timeout time.Duration
	party   party
}

// call is one exchange.
type call struct {
	op     string
	method string
	url    string
	body   []byte
	// limit bounds the answer's body in bytes.
	limit int64
	// tag is the entity tag of the content that the caller has; the answer may then be that it has not changed.
	tag string
}

// answer is the whole answer of a successful call.
type answer struct {
	body []byte
	// tag is the entity tag of body, empty if the other side gives none.
	tag         string
	notModified bool
}

func newCaller(client *http.Client, timeout time.Duration, p party) caller {
	if timeout <= 0 {
		timeout = DefaultTimeout
	}
	own := http.Client{Transport: newTransport()}
	if client != nil {
		own = *client
	}
	// A redirect is not followed, because it would send an order to a place that nobody named.
	own.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return caller{client: &own, timeout: timeout, party: p}
}

func newTransport() *http.Transport {
	return &http.Transport{
		DialContext:            (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost:    idleConnectionsPerHost,
		IdleConnTimeout:        idleConnectionTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}

// do makes the call and returns a successful answer.
func (c *caller) do(ctx context.Context, k call) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, k.method, k.url, bytes.NewReader(k.body))
	if err != nil {
		return answer{}, callError(fault.CodeInvalid, k.op, "the address is not valid", err)
	}
	id := rand.Text()
	request.Header.Set(api.HeaderRequest, id)
	// Without it the transport would ask for gzip and hide the length of the answer.
	request.Header.Set("Accept-Encoding", "identity")
	if k.tag != "" {
		request.Header.Set("If-None-Match", k.tag)
	}
	response, err := c.client.Do(request)
	if err != nil {
		return answer{}, callError(c.party.lost, k.op, "no answer", err)
	}
	defer response.Body.Close()
	body, err := c.readWhole(k, response)
	if err != nil {
		return answer{}, err
	}
	if response.Header.Get(api.HeaderRequest) != id {
		return answer{}, callError(c.party.lost, k.op, "the answer belongs to another request", nil)
	}
	if response.StatusCode == http.StatusNotModified && k.tag != "" {
		return answer{notModified: true}, nil
	}
	if response.StatusCode < 200 || response.StatusCode > 299 {
		return answer{}, c.refusal(k, response.StatusCode, body)
	}
	return answer{body: body, tag: response.Header.Get("ETag")}, nil
}

func (c *caller) readWhole(k call, response *http.Response) ([]byte, error) {
	if response.ContentLength < 0 && !slices.Contains(response.TransferEncoding, "chunked") {
		return nil, callError(c.party.truncated, k.op, "the answer states no length", nil)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, k.limit+1))
	if err != nil {
		return nil, callError(c.party.truncated, k.op, "the answer did not arrive whole", err)
	}
	if int64(len(body)) > k.limit {
		return nil, callError(fault.CodeTooLarge, k.op, "the answer is too large", nil)
	}
	return body, nil
}

// refusal returns the failure that an answer other than a success stands for.
func (c *caller) refusal(k call, status int, body []byte) error {
	var stated ErrorBody
	named := json.Unmarshal(body, &stated) == nil && slices.Contains(knownCodes, stated.Code)
	e := &CallError{Op: k.op, Status: status, Detail: stated.Detail}
	switch {
	case named && (status < http.StatusInternalServerError || c.party.trustsServerCodes):
		e.FailureCode = stated.Code
	case status >= http.StatusBadRequest && status < http.StatusInternalServerError && !transient(status):
		// A bare 404 may come from a wrong address and is no proof that a row is absent.
		e.FailureCode = fault.CodeInvalid
		e.Detail = "the answer names no failure code"
	default:
		e.FailureCode = c.party.lost
	}
	return withStack(e)
}

func transient(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusRequestTimeout
}

// exchange sends in as JSON, unless it is nil, and decodes the answer into out, unless it is nil.
func (c *caller) exchange(ctx context.Context, k call, in, out any) error {
	if in != nil {
		body, err := json.Marshal(in)
		if err != nil {
			return callError(fault.CodeInvalid, k.op, "the order cannot be encoded", err)
		}
		k.body = body
	}
	k.limit = MaxAnswerBytes
	got, err := c.do(ctx, k)
	if err != nil || out == nil {
		return err
	}
	return decodeAnswer(k, c.party, got.body, out)
}

func decodeAnswer(k call, p party, body []byte, out any) error {
	if err := json.Unmarshal(body, out); err != nil {
		return callError(p.truncated, k.op, "the answer is not valid JSON", err)
	}
	return nil
}
