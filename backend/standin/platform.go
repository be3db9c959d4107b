package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/cespare/xxhash/v2"
	"github.com/go-chi/chi/v5"
	"github.com/jonboulle/clockwork"

	"bronzehook/api"
	"bronzehook/backend"
	"bronzehook/backend/httpbackend"
	"bronzehook/fault"
)

// Paths of the stand-in that a real platform does not have.
const (
	// PathInstance takes an api.Instance by PUT and removes it by DELETE.
	PathInstance = "/directory/instances/{id}"
	// PathTableFaults and PathObjectFaults take StoreFaults by PUT.
	PathTableFaults  = "/faults/table"
	PathObjectFaults = "/faults/objects"
	// PathDirectoryFaults takes DirectoryFaults by PUT.
	PathDirectoryFaults = "/faults/directory"
)

// Platform stands in for the table, the object store and the directory. All of it is lost when the process ends.
type Platform struct {
	tableGate   *gate
	objectsGate *gate
	table       *faultyTable
	objects     *faultyObjects
	directory   *Directory
}

// NewPlatform returns an empty platform without faults.
func NewPlatform(clock clockwork.Clock) *Platform {
	p := &Platform{tableGate: newGate(clock), objectsGate: newGate(clock), directory: newDirectory(clock)}
	p.table = &faultyTable{rows: newRowTable(), gate: p.tableGate}
	p.objects = newFaultyObjects(p.objectsGate)
	return p
}

// Table returns the table, with its faults, for use in this process.
func (p *Platform) Table() backend.Table { return p.table }

// Objects returns the object store, with its faults, for use in this process.
func (p *Platform) Objects() backend.Objects { return p.objects }

// Directory returns the directory.
func (p *Platform) Directory() *Directory { return p.directory }

// SetTableFaults replaces the faults of the table.
func (p *Platform) SetTableFaults(f StoreFaults) { p.tableGate.set(f) }

// SetObjectFaults replaces the faults of the object store.
func (p *Platform) SetObjectFaults(f StoreFaults) { p.objectsGate.set(f) }

// Handler returns the HTTP interface that package httpbackend speaks, with the paths of the stand-in.
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
	r.Put(PathTableFaults, setter(p.SetTableFaults))
	r.Put(PathObjectFaults, setter(p.SetObjectFaults))
	r.Put(PathDirectoryFaults, setter(p.directory.SetFaults))
	return r
}

func (p *Platform) getRow(w http.ResponseWriter, r *http.Request) {
	row, err := p.table.Get(r.Context(), r.URL.Query().Get(httpbackend.ParamKey))
	answer(w, row, err)
}

func (p *Platform) listRows(w http.ResponseWriter, r *http.Request) {
	rows, err := p.table.List(r.Context(), r.URL.Query().Get(httpbackend.ParamPrefix))
	answer(w, rows, err)
}

func (p *Platform) commit(w http.ResponseWriter, r *http.Request) {
	var txn backend.Txn
	if err := decode(w, r, &txn); err != nil {
		answer(w, nil, err)
		return
	}
	result, err := p.table.Commit(uninterrupted(r), txn)
	answer(w, result, err)
}

func (p *Platform) putObject(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, httpbackend.MaxObjectBytes))
	if err != nil {
		answer(w, nil, bodyError("object put", err))
		return
	}
	name := r.URL.Query().Get(httpbackend.ParamName)
	answer(w, struct{}{}, p.objects.Put(uninterrupted(r), name, data))
}

func (p *Platform) getObject(w http.ResponseWriter, r *http.Request) {
	data, err := p.objects.Get(r.Context(), r.URL.Query().Get(httpbackend.ParamName))
	if err != nil {
		answer(w, nil, err)
		return
	}
	writeBody(w, http.StatusOK, "application/octet-stream", data)
}

func (p *Platform) deleteObject(w http.ResponseWriter, r *http.Request) {
	answer(w, struct{}{}, p.objects.Delete(uninterrupted(r), r.URL.Query().Get(httpbackend.ParamName)))
}

func (p *Platform) listDirectory(w http.ResponseWriter, r *http.Request) {
	entries, err := p.directory.List(r.Context())
	if err != nil {
		answer(w, nil, err)
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
	if err := decode(w, r, &instance); err != nil {
		answer(w, nil, err)
		return
	}
	if string(instance.ID) != chi.URLParam(r, "id") {
		answer(w, nil, fault.New(fault.CodeInvalid, "directory put", "the id in the path and in the body differ"))
		return
	}
	p.directory.PutInstance(instance)
	answer(w, struct{}{}, nil)
}

func (p *Platform) deleteInstance(w http.ResponseWriter, r *http.Request) {
	p.directory.DeleteInstance(api.InstanceID(chi.URLParam(r, "id")))
	answer(w, struct{}{}, nil)
}

// uninterrupted returns a context that survives the caller's connection, because a write that has arrived takes effect
// whether or not its caller still waits.
func uninterrupted(r *http.Request) context.Context { return context.WithoutCancel(r.Context()) }

// setter returns a handler that passes the JSON body to set.
func setter[T any](set func(T)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var value T
		if err := decode(w, r, &value); err != nil {
			answer(w, nil, err)
			return
		}
		set(value)
		answer(w, struct{}{}, nil)
	}
}

func decode(w http.ResponseWriter, r *http.Request, into any) error {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, httpbackend.MaxOrderBytes))
	if err != nil {
		return bodyError(r.URL.Path, err)
	}
	if err := json.Unmarshal(data, into); err != nil {
		return fault.New(fault.CodeInvalid, r.URL.Path, "the body is not valid: %v", err)
	}
	return nil
}
