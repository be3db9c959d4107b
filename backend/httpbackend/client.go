// Package httpbackend implements the interfaces of package platform over HTTP/1.1. Every call is bounded in time and
// size, and an answer counts only if it arrived whole and names the request that it answers. A call to the store
// without such an answer, or with a 5xx status, fails with CodeStoreUnavailable and may have taken effect; the caller
// repeats a Commit with the same OpID.
package httpbackend

import (
	"context"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"sync"
	"time"

	"bronzehook/backend"
	"bronzehook/fault"
)

// Client reaches the platform's table, object store and directory.
type Client struct {
	base   string
	caller caller
}

// New returns a client of the platform at baseURL. A nil client stands for one with a transport of its own, and a
// timeout of 0 for DefaultTimeout.
func New(baseURL string, client *http.Client, timeout time.Duration) *Client {
	return &Client{base: withScheme(baseURL), caller: newCaller(client, timeout, storeParty)}
}

// Table returns the platform's table.
func (c *Client) Table() backend.Table { return (*table)(c) }

// Objects returns the platform's object store.
func (c *Client) Objects() backend.Objects { return (*objects)(c) }

// Directory returns the platform's directory.
func (c *Client) Directory() backend.Directory { return &directory{client: c} }

func withScheme(address string) string {
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	return strings.TrimSuffix(address, "/")
}

func query(parameter, value string) string {
	return "?" + url.Values{parameter: {value}}.Encode()
}

type table Client

// Get implements backend.Table. An absent row is a failure with CodeNotFound.
func (t *table) Get(ctx context.Context, key string) (backend.Row, error) {
	k := call{op: "table get", method: http.MethodGet, url: t.base + PathTableRow + query(ParamKey, key)}
	var row backend.Row
	if err := t.caller.exchange(ctx, k, nil, &row); err != nil {
		return backend.Row{Key: key}, err
	}
	return row, nil
}

// List implements backend.Table.
func (t *table) List(ctx context.Context, prefix string) ([]backend.Row, error) {
	k := call{op: "table list", method: http.MethodGet, url: t.base + PathTableRows + query(ParamPrefix, prefix)}
	var rows []backend.Row
	err := t.caller.exchange(ctx, k, nil, &rows)
	return rows, err
}

// Commit implements backend.Table.
func (t *table) Commit(ctx context.Context, txn backend.Txn) (backend.CommitResult, error) {
	k := call{op: "table commit", method: http.MethodPost, url: t.base + PathTableCommit}
	var result backend.CommitResult
	err := t.caller.exchange(ctx, k, txn, &result)
	return result, err
}

type objects Client

// Put implements backend.Objects.
func (o *objects) Put(ctx context.Context, name string, data []byte) error {
	k := o.call("object put", http.MethodPut, name)
	if len(data) > MaxObjectBytes {
		return callError(fault.CodeTooLarge, k.op, "the object is too large", nil)
	}
	k.body = data
	_, err := o.caller.do(ctx, k)
	return err
}

// Get implements backend.Objects.
func (o *objects) Get(ctx context.Context, name string) ([]byte, error) {
	got, err := o.caller.do(ctx, o.call("object get", http.MethodGet, name))
	return got.body, err
}

// Delete implements backend.Objects.
func (o *objects) Delete(ctx context.Context, name string) error {
	_, err := o.caller.do(ctx, o.call("object delete", http.MethodDelete, name))
	return err
}

func (o *objects) call(op, method, name string) call {
	return call{op: op, method: method, url: o.base + PathObjects + query(ParamName, name), limit: MaxObjectBytes}
}

// directory keeps the last list with its entity tag. At 810 workers the list has about 190 kB, is read every 2 s and
// rarely changes.
type directory struct {
	client *Client

	mu      sync.Mutex
	tag     string
	entries []backend.Entry
}

// List implements backend.Directory.
func (d *directory) List(ctx context.Context) ([]backend.Entry, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	k := call{
		op: "directory list", method: http.MethodGet, url: d.client.base + PathDirectory, limit: MaxAnswerBytes, tag: d.tag,
	}
	got, err := d.client.caller.do(ctx, k)
	if err != nil {
		return nil, err
	}
	if got.notModified {
		return slices.Clone(d.entries), nil
	}
	var entries []backend.Entry
	if err := decodeAnswer(k, d.client.caller.party, got.body, &entries); err != nil {
		return nil, err
	}
	d.tag = got.tag
	d.entries = entries
	return slices.Clone(entries), nil
}
