package fake

import (
	"bytes"
	"context"
	"sync"

	"bronzehook/fault"
)

// faultyObjects is the in-memory object store with injected faults.
type faultyObjects struct {
	faults *faultInjector
	mu     sync.Mutex
	data   map[string][]byte
}

func newFaultyObjects(g *faultInjector) *faultyObjects {
	return &faultyObjects{faults: g, data: map[string][]byte{}}
}

// Put implements backend.Objects.
func (o *faultyObjects) Put(ctx context.Context, name string, data []byte) error {
	if name == "" {
		return fault.New(fault.CodeInvalid, "object put", "the name is missing")
	}
	if err := o.faults.beforeCall(ctx, "object put"); err != nil {
		return err
	}
	o.set(name, bytes.Clone(data))
	return o.faults.afterWrite("object put")
}

// Get implements backend.Objects.
func (o *faultyObjects) Get(ctx context.Context, name string) ([]byte, error) {
	if err := o.faults.beforeCall(ctx, "object get"); err != nil {
		return nil, err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	data, ok := o.data[name]
	if !ok {
		return nil, fault.New(fault.CodeNotFound, "object get", "no object %q", name)
	}
	return bytes.Clone(data), nil
}

// Delete implements backend.Objects. Deleting an absent object succeeds.
func (o *faultyObjects) Delete(ctx context.Context, name string) error {
	if err := o.faults.beforeCall(ctx, "object delete"); err != nil {
		return err
	}
	o.remove(name)
	return o.faults.afterWrite("object delete")
}

func (o *faultyObjects) set(name string, data []byte) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.data[name] = data
}

func (o *faultyObjects) remove(name string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.data, name)
}
