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

// maxResponseBytes bounds an answer: 4,096 files with their metadata, or a long audit trail.
const maxResponseBytes = 64 << 20

// RemoteError is a failure that an instance answered with.
type RemoteError struct{ Response operator.ErrorResponse }

// Error returns the instance's message.
func (e *RemoteError) Error() string { return e.Response.Message }

// Code implements fault.Coded.
func (e *RemoteError) Code() fault.Code { return e.Response.Code }

// client calls the operator interface of the first instance that can serve.
type client struct {
	urls    []string
	token   string
	timeout time.Duration
	http    *http.Client
	notice  func(format string, args ...any)
}

func (a *App) newClient() (*client, error) {
	for _, text := range a.global.URLs {
		parsed, err := url.Parse(text)
		if err != nil || parsed.Host == "" || parsed.Scheme != "http" && parsed.Scheme != "https" {
			return nil, fault.New(fault.CodeInvalid, "read arguments", "--operator-url %q is not accepted; accepted: a URL such as http://127.0.0.1:8081", text)
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
		return nil, fault.New(fault.CodeInvalid, "read arguments", "--operator-ca: %s holds no PEM certificate", caFile)
	}
	transport.TLSClientConfig = &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}
	return transport, nil
}

// call sends a request to one address after the other until one can serve it. Every request may be repeated: a change
// carries an operation id or sets a state.
func (c *client) call(ctx context.Context, method, path string, body, answer any) error {
	var payload []byte
	if body != nil {
		var err error
		if payload, err = json.Marshal(body); err != nil {
			return errors.Wrap(err, "encode request")
		}
	}
	var last error
	for i, address := range c.urls {
		last = c.callOne(ctx, address, method, path, payload, answer)
		if last == nil || !nextMayServe(last) || ctx.Err() != nil {
			return last
		}
		if i < len(c.urls)-1 {
			c.notice("%s cannot serve (%s); trying %s", address, fault.CodeOf(last), c.urls[i+1])
		}
	}
	return last
}

// nextMayServe reports whether the failure may be one of this instance only.
func nextMayServe(err error) bool {
	switch fault.CodeOf(err) {
	case fault.CodeUnreachable, fault.CodeTimeout, fault.CodeNotReady, fault.CodeStopping, fault.CodeStoreUnavailable, fault.CodeNoAuthority:
		return true
	}
	return false
}

func (c *client) callOne(ctx context.Context, address, method, path string, payload []byte, answer any) error {
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
		return transportFailure(address, err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return transportFailure(address, err)
	}
	return readAnswer(address, response.StatusCode, data, answer)
}

func transportFailure(address string, err error) error {
	if errors.Is(err, context.DeadlineExceeded) {
		return fault.New(fault.CodeTimeout, "call "+address, "no answer in time")
	}
	return fault.New(fault.CodeUnreachable, "call "+address, "%s", errors.UnwrapAll(err))
}

func readAnswer(address string, status int, data []byte, answer any) error {
	if status == http.StatusOK {
		if err := json.Unmarshal(data, answer); err != nil {
			return fault.New(fault.CodeTruncated, "call "+address, "answer cannot be read: %s", err)
		}
		return nil
	}
	failure := &RemoteError{}
	if json.Unmarshal(data, &failure.Response) != nil || failure.Response.Code == "" {
		return fault.New(fault.CodeUnreachable, "call "+address, "status %d from something that is no bronzehook instance", status)
	}
	return errors.WithStack(failure)
}

func (c *client) get(ctx context.Context, path string, answer any) error {
	return c.call(ctx, http.MethodGet, path, nil, answer)
}

func (c *client) post(ctx context.Context, path string, body, answer any) error {
	return c.call(ctx, http.MethodPost, path, body, answer)
}
