package ctl

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"bronzehook/fault"
	"bronzehook/operator"
)

// maxResponseBytes bounds the body of a response: 4,096 files with their metadata, or a long audit trail.
const maxResponseBytes = 64 << 20

// RemoteError is an error response of an instance.
type RemoteError struct{ Response operator.ErrorResponse }

// Error returns the instance's message.
func (e *RemoteError) Error() string { return e.Response.Message }

// Code implements fault.Coded.
func (e *RemoteError) Code() fault.Code { return e.Response.Code }

// client calls the operator API of the first instance that can serve the request.
type client struct {
	urls    []string
	token   string
	timeout time.Duration
	http    *http.Client
	notice  func(format string, args ...any)
}

func (a *App) newClient() (*client, error) {
	for _, address := range a.global.URLs {
		parsed, err := url.Parse(address)
		if err != nil || parsed.Host == "" || parsed.Scheme != "http" && parsed.Scheme != "https" {
			return nil, fault.New(fault.CodeInvalid, "read arguments", "--operator-url %q is not accepted; accepted: a URL such as http://127.0.0.1:8081", address)
		}
	}
	if a.global.Timeout <= 0 {
		return nil, fault.New(fault.CodeInvalid, "read arguments", "--timeout %s is not accepted; accepted: more than 0s", a.global.Timeout)
	}
	c := &client{urls: a.global.URLs, token: a.global.Token, timeout: a.global.Timeout, http: a.HTTP, notice: a.notice}
	if c.http != nil {
		return c, nil
	}
	transport, err := newTransport(a.global.CA)
	c.http = &http.Client{Transport: transport}
	return c, err
}

func newTransport(caFile string) (*http.Transport, error) {
	transport := &http.Transport{ForceAttemptHTTP2: true}
	if caFile == "" {
		return transport, nil
	}
	pem, err := os.ReadFile(caFile)
	if err != nil {
		return nil, fault.New(fault.CodeInvalid, "read arguments", "--operator-ca: %s", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, fault.New(fault.CodeInvalid, "read arguments", "--operator-ca: %s contains no PEM certificate", caFile)
	}
	transport.TLSClientConfig = &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}
	return transport, nil
}

// call sends a request to the instances in turn until one can serve it. Every request is idempotent: a change carries
// an operation ID or sets a state.
func (c *client) call(ctx context.Context, method, path string, body, out any) error {
	var payload []byte
	if body != nil {
		var err error
		if payload, err = json.Marshal(body); err != nil {
			return errors.Wrap(err, "encode request")
		}
	}
	var lastErr error
	for i, address := range c.urls {
		lastErr = c.callInstance(ctx, address, method, path, payload, out)
		if lastErr == nil || !isInstanceSpecific(lastErr) || ctx.Err() != nil {
			return lastErr
		}
		if i < len(c.urls)-1 {
			c.notice("%s cannot serve (%s); trying %s", address, fault.CodeOf(lastErr), c.urls[i+1])
		}
	}
	return lastErr
}

// isInstanceSpecific reports whether the failure may concern one instance only, so that another one may serve the
// request.
func isInstanceSpecific(err error) bool {
	switch fault.CodeOf(err) {
	case fault.CodeUnreachable, fault.CodeTimeout, fault.CodeNotReady, fault.CodeStopping, fault.CodeStoreUnavailable, fault.CodeNoAuthority:
		return true
	}
	return false
}

func (c *client) callInstance(ctx context.Context, address, method, path string, payload []byte, out any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, strings.TrimSuffix(address, "/")+path, bytes.NewReader(payload))
	if err != nil {
		return fault.New(fault.CodeInvalid, method+" "+path, "%s", err)
	}
	request.Header.Set("Authorization", "Bearer "+c.token)
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		return transportError(address, err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return transportError(address, err)
	}
	return decodeResponse(address, response.StatusCode, data, out)
}

func transportError(address string, err error) error {
	if errors.Is(err, context.DeadlineExceeded) {
		return fault.New(fault.CodeTimeout, "call "+address, "no response within the timeout")
	}
	return fault.New(fault.CodeUnreachable, "call "+address, "%s", errors.UnwrapAll(err))
}

func decodeResponse(address string, status int, data []byte, out any) error {
	if status == http.StatusOK {
		if err := json.Unmarshal(data, out); err != nil {
			return fault.New(fault.CodeTruncated, "call "+address, "response cannot be decoded: %s", err)
		}
		return nil
	}
	remote := &RemoteError{}
	if json.Unmarshal(data, &remote.Response) != nil || remote.Response.Code == "" {
		return fault.New(fault.CodeUnreachable, "call "+address, "status %d from a server that is not a bronzehook instance", status)
	}
	return errors.WithStack(remote)
}

func (c *client) get(ctx context.Context, path string, out any) error {
	return c.call(ctx, http.MethodGet, path, nil, out)
}

func (c *client) post(ctx context.Context, path string, body, out any) error {
	return c.call(ctx, http.MethodPost, path, body, out)
}
