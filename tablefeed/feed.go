package tablefeed

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"bronzehook/fault"
	"bronzehook/leadership"
)

// Path is the path at which instances serve their copy to peers.
const Path = "/-/operator-rows"

const (
	// MaxWait bounds how long a peer may delay a response until something changes. A peer that hangs costs that much and
	// headerMargin; one that is down costs dialTimeout at most.
	MaxWait      = 500 * time.Millisecond
	headerMargin = 300 * time.Millisecond
	dialTimeout  = 250 * time.Millisecond
	// bodyTimeout bounds the transfer of the rows, once the response has begun. A reader with a slow link sends a large row to many
	// peers at once.
	bodyTimeout = 3 * time.Second
	idleTimeout = 20 * time.Second
)

// NewHandler returns a handler that serves a copy to peers.
func NewHandler(c *Copy, clock leadership.Clock) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		query := r.URL.Query()
		after, err := strconv.ParseUint(query.Get("after"), 10, 64)
		waitMS, waitErr := strconv.ParseInt(query.Get("wait_ms"), 10, 32)
		if err != nil || waitErr != nil || waitMS < 0 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		delta, ok := c.WaitSince(r.Context(), after, min(MaxWait, time.Duration(waitMS)*time.Millisecond), clock)
		if !ok {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		encoded, err := c.encode(&delta)
		if err != nil {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Type", "application/cbor")
		w.Header().Set("Content-Length", strconv.Itoa(len(encoded)))
		_, _ = w.Write(encoded)
	})
}

// Client gets rows of a table from peers.
type Client struct {
	table  string
	client *http.Client
}

// NewClient returns a client for the copies of a table.
func NewClient(table string) *Client {
	return &Client{table: table, client: &http.Client{
		Timeout: MaxWait + headerMargin + bodyTimeout,
		Transport: &http.Transport{
			DialContext:           (&net.Dialer{Timeout: dialTimeout}).DialContext,
			ResponseHeaderTimeout: MaxWait + headerMargin, MaxIdleConnsPerHost: 1, IdleConnTimeout: idleTimeout, DisableCompression: true,
		},
	}}
}

// Fetch returns the changes after a version from the peer at addr, which waits for the first one, at most for wait.
func (c *Client) Fetch(ctx context.Context, addr string, after uint64, wait time.Duration) (Delta, error) {
	query := url.Values{"after": {strconv.FormatUint(after, 10)}, "wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)}}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+Path+"?"+query.Encode(), nil)
	if err != nil {
		return Delta{}, errors.Wrap(err, "create a request to a peer")
	}
	response, err := c.client.Do(request)
	if err != nil {
		return Delta{}, errors.Wrap(err, "get rows from a peer")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return Delta{}, errors.WithStack(&StatusError{Status: response.StatusCode})
	}
	encoded, err := io.ReadAll(io.LimitReader(response.Body, maxDeltaBytes+1))
	if err != nil {
		return Delta{}, errors.Wrap(err, "get rows from a peer")
	}
	if len(encoded) > maxDeltaBytes {
		return Delta{}, errors.WithStack(&TooLargeError{})
	}
	return decode(c.table, encoded)
}

// StatusError reports a peer that has no copy, or an earlier version of the program.
type StatusError struct{ Status int }

// Error names the status.
func (e *StatusError) Error() string {
	return fmt.Sprintf("the peer answered with status %d", e.Status)
}

// Code implements fault.Coded.
func (*StatusError) Code() fault.Code { return fault.CodeUnreachable }

// TooLargeError reports a response of a peer above the limits.
type TooLargeError struct{}

// Error implements error.
func (*TooLargeError) Error() string { return "the response of the peer is too large" }

// Code implements fault.Coded.
func (*TooLargeError) Code() fault.Code { return fault.CodeInvalid }
