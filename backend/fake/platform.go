package fake

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/cespare/xxhash/v2"
	"github.com/go-chi/chi/v5"
	"github.com/jonboulle/clockwork"

	"bronzehook/api"
	"bronzehook/backend"
	"bronzehook/backend/httpbackend"
	"bronzehook/backend/memory"
	"bronzehook/bodylimit"
	"bronzehook/fault"
)

// Paths of the fake platform that a real platform does not have.
const (
	// PathInstance registers the api.Instance in the body by PUT and removes it by DELETE.
	PathInstance = "/directory/instances/{id}"
	// PathTableFaults and PathObjectFaults accept PUT with a StoreFaults body.
	PathTableFaults  = "/faults/table"
	PathObjectFaults = "/faults/objects"
	// PathDirectoryFaults accepts PUT with a DirectoryFaults body.
	PathDirectoryFaults = "/faults/directory"
)

// Platform is an in-memory fake of the table, the object store and the directory. Its state is lost when the process
// exits.
type Platform struct {
	tableFaults  *faultInjector
	objectFaults *faultInjector
	table        *faultyTable
	objects      *faultyObjects
	directory    *Directory
}

// NewPlatform returns an empty platform without faults.
func NewPlatform(clock clockwork.Clock) *Platform {
	p := &Platform{
		tableFaults: newFaultInjector(clock), objectFaults: newFaultInjector(clock), directory: newDirectory(clock),
	}
	p.table = &faultyTable{rows: memory.New(), faults: p.tableFaults}
	p.objects = newFaultyObjects(p.objectFaults)
	return p
}

// Table returns the table with its injected faults, for use within this process.
func (p *Platform) Table() backend.Table { return p.table }

// Objects returns the object store with its injected faults, for use within this process.
func (p *Platform) Objects() backend.Objects { return p.objects }

func (p *Platform) Directory() *Directory { return p.directory }

// SetTableFaults replaces the injected faults of the table.
func (p *Platform) SetTableFaults(f StoreFaults) { p.tableFaults.set(f) }

// SetObjectFaults replaces the injected faults of the object store.
func (p *Platform) SetObjectFaults(f StoreFaults) { p.objectFaults.set(f) }

// Handler serves the HTTP interface that package httpbackend calls, and the paths that only the fake has.
func (p *Platform) Handler() http.Handler {
	r := chi.NewRouter()
	r.Use(echoRequestID)
	r.Get(httpbackend.PathTableRow, p.getRow)
	r.Get(httpbackend.PathTableRows, p.listRows)
	r.Post(httpbackend.PathTableCommit, p.commit)
	r.Put(httpbackend.PathObjects, p.putObject)
	r.Get(httpbackend.PathObjects, p.getObject)
	r.Delete(httpbackend.PathObjects, p.deleteObject)
	r.Get(httpbackend.PathDirectory, p.listDirectory)
	r.Put(PathInstance, p.putInstance)
	r.Delete(PathInstance, p.deleteInstance)
	r.Put(PathTableFaults, putHandler(p.SetTableFaults))
	r.Put(PathObjectFaults, putHandler(p.SetObjectFaults))
	r.Put(PathDirectoryFaults, putHandler(p.directory.SetFaults))
	return r
}

func (p *Platform) getRow(w http.ResponseWriter, r *http.Request) {
	row, err := p.table.Get(r.Context(), r.URL.Query().Get(httpbackend.ParamKey))
	respond(w, row, err)
}

func (p *Platform) listRows(w http.ResponseWriter, r *http.Request) {
	rows, err := p.table.List(r.Context(), r.URL.Query().Get(httpbackend.ParamPrefix))
	respond(w, rows, err)
}

func (p *Platform) commit(w http.ResponseWriter, r *http.Request) {
	var txn backend.Txn
	if err := decodeBody(w, r, &txn); err != nil {
		respond(w, nil, err)
		return
	}
	result, err := p.table.Commit(detachedContext(r), txn)
	respond(w, result, err)
}

func (p *Platform) putObject(w http.ResponseWriter, r *http.Request) {
	data, err := bodylimit.Content(r.Body, httpbackend.MaxObjectBytes)
	if err != nil {
		respond(w, nil, bodyError("object put", err))
		return
	}
	name := r.URL.Query().Get(httpbackend.ParamName)
	respond(w, struct{}{}, p.objects.Put(detachedContext(r), name, data))
}

func (p *Platform) getObject(w http.ResponseWriter, r *http.Request) {
	data, err := p.objects.Get(r.Context(), r.URL.Query().Get(httpbackend.ParamName))
	if err != nil {
		respond(w, nil, err)
		return
	}
	writeBody(w, http.StatusOK, "application/octet-stream", data)
}

func (p *Platform) deleteObject(w http.ResponseWriter, r *http.Request) {
	respond(w, struct{}{}, p.objects.Delete(detachedContext(r), r.URL.Query().Get(httpbackend.ParamName)))
}

func (p *Platform) listDirectory(w http.ResponseWriter, r *http.Request) {
	entries, err := p.directory.List(r.Context())
	if err != nil {
		respond(w, nil, err)
		return
	}
	data, err := json.Marshal(entries)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	tag := fmt.Sprintf("\"%016x\"", xxhash.Sum64(data))
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("ETag", tag)
	writeBody(w, http.StatusOK, "application/json", data)
}

func (p *Platform) putInstance(w http.ResponseWriter, r *http.Request) {
	var instance api.Instance
	if err := decodeBody(w, r, &instance); err != nil {
		respond(w, nil, err)
		return
	}
	if string(instance.ID) != chi.URLParam(r, "id") {
		respond(w, nil, fault.New(fault.CodeInvalid, "directory put", "the instance ids in the path and in the body differ"))
		return
	}
	p.directory.PutInstance(instance)
	respond(w, struct{}{}, nil)
}

func (p *Platform) deleteInstance(w http.ResponseWriter, r *http.Request) {
	p.directory.DeleteInstance(api.InstanceID(chi.URLParam(r, "id")))
	respond(w, struct{}{}, nil)
}

// detachedContext returns a context that is not cancelled when the client disconnects, because a write that has arrived
// takes effect whether or not the client still waits.
func detachedContext(r *http.Request) context.Context { return context.WithoutCancel(r.Context()) }

// putHandler returns a handler that passes the JSON body to set.
func putHandler[T any](set func(T)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var value T
		if err := decodeBody(w, r, &value); err != nil {
			respond(w, nil, err)
			return
		}
		set(value)
		respond(w, struct{}{}, nil)
	}
}

// decodeBody reads the JSON body of a request into the value that into points to.
func decodeBody(w http.ResponseWriter, r *http.Request, into any) error {
	data, err := bodylimit.Content(r.Body, httpbackend.MaxRequestBytes)
	if err != nil {
		return bodyError(r.URL.Path, err)
	}
	if err := json.Unmarshal(data, into); err != nil {
		return fault.New(fault.CodeInvalid, r.URL.Path, "the request body is invalid: %v", err)
	}
	return nil
}
