// Package httpbackend implements the interfaces of package backend over HTTP/1.1. Every call is limited in time and
// size. A response is accepted only if it is complete and carries the ID of the request. A call to the store without
// such a response, or with a 5xx status, fails with CodeStoreUnavailable and may have taken effect; the caller has to
// repeat a Commit with the same OpID.
package httpbackend

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"bronzehook/backend"
	"bronzehook/fault"
	"bronzehook/invalid"
)

// Client accesses the platform's table, object store and directory.
type Client struct {
	base string
	rpc  rpcClient
	// Invalid reports entries of the directory that are left out; nil reports none.
	Invalid *invalid.Reporter
}

// reportInvalid reports the entry of the directory with the given index.
func (c *Client) reportInvalid(index int, err error) {
	if c.Invalid != nil {
		c.Invalid.Report(invalid.SourceDirectory, strconv.Itoa(index), 0, err)
	}
}

// New returns a client of the platform at baseURL. If client is nil, an HTTP client with its own transport is created.
// A timeout of 0 means DefaultTimeout.
func New(baseURL string, client *http.Client, timeout time.Duration) *Client {
	return &Client{base: withScheme(baseURL), rpc: newRPCClient(client, timeout, storeFailures)}
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

// Get implements backend.Table. It returns CodeNotFound if the row is absent.
func (t *table) Get(ctx context.Context, key string) (backend.Row, error) {
	k := call{op: "table get", method: http.MethodGet, url: t.base + PathTableRow + query(ParamKey, key)}
	var row backend.Row
	if err := t.rpc.callJSON(ctx, k, nil, &row); err != nil {
		return backend.Row{Key: key}, err
	}
	return row, nil
}

// List implements backend.Table.
func (t *table) List(ctx context.Context, prefix string) ([]backend.Row, error) {
	k := call{op: "table list", method: http.MethodGet, url: t.base + PathTableRows + query(ParamPrefix, prefix)}
	var rows []backend.Row
	err := t.rpc.callJSON(ctx, k, nil, &rows)
	return rows, err
}

// Commit implements backend.Table.
func (t *table) Commit(ctx context.Context, txn backend.Txn) (backend.CommitResult, error) {
	k := call{op: "table commit", method: http.MethodPost, url: t.base + PathTableCommit}
	var result backend.CommitResult
	err := t.rpc.callJSON(ctx, k, txn, &result)
	return result, err
}

type objects Client

// Put implements backend.Objects.
func (o *objects) Put(ctx context.Context, name string, data []byte) error {
	k := o.call("object put", http.MethodPut, name)
	if len(data) > MaxObjectBytes {
		return callError(fault.CodeTooLarge, k.op, "object is too large", nil)
	}
	k.body = data
	_, err := o.rpc.do(ctx, k)
	return err
}

// Get implements backend.Objects.
func (o *objects) Get(ctx context.Context, name string) ([]byte, error) {
	got, err := o.rpc.do(ctx, o.call("object get", http.MethodGet, name))
	return got.body, err
}

// Delete implements backend.Objects.
func (o *objects) Delete(ctx context.Context, name string) error {
	_, err := o.rpc.do(ctx, o.call("object delete", http.MethodDelete, name))
	return err
}

func (o *objects) call(op, method, name string) call {
	return call{op: op, method: method, url: o.base + PathObjects + query(ParamName, name), limit: MaxObjectBytes}
}

// directory caches the last list with its entity tag, because the list rarely changes but is read every 2 s and has
// about 190 kB at 810 workers.
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
		op: "directory list", method: http.MethodGet, url: d.client.base + PathDirectory, limit: MaxResponseBytes, tag: d.tag,
	}
	got, err := d.client.rpc.do(ctx, k)
	if err != nil {
		return nil, err
	}
	if got.notModified {
		return slices.Clone(d.entries), nil
	}
	var listed []json.RawMessage
	if err := decodeResponse(k, d.client.rpc.failures, got.body, &listed); err != nil {
		return nil, err
	}
	entries := make([]backend.Entry, 0, len(listed))
	for i, encoded := range listed {
		entry, err := decodeEntry(encoded)
		if err != nil {
			d.client.reportInvalid(i, err)
			continue
		}
		entries = append(entries, entry)
	}
	d.tag = got.tag
	d.entries = entries
	return slices.Clone(entries), nil
}

// decodeEntry decodes and checks one entry of the directory, so that an invalid one does not affect the others of the list.
func decodeEntry(encoded json.RawMessage) (backend.Entry, error) {
	var entry backend.Entry
	if err := json.Unmarshal(encoded, &entry); err != nil {
		return entry, invalid.Undecodable("entry", err)
	}
	return entry, entry.Validate()
}
