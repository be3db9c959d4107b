// Package kernel is the service manager of a process: services register under a name, look each other up by name, start
// in dependency order and stop in reverse order. A Bus carries events between them.
package kernel

import (
	"context"
	"fmt"
	"slices"

	"github.com/cockroachdb/errors"

	"bronzehook/fault"
)

// Service is a component of the process that is started and stopped.
type Service interface {
	// Name is unique in a kernel.
	Name() string
	// Requires returns the names of the services that have to run before this one starts.
	Requires() []string
	// Start returns once the service is usable. The context bounds the start, not the lifetime of the service.
	Start(ctx context.Context) error
	// Stop stops the service. It returns once nothing of the service runs any more or the context has ended.
	Stop(ctx context.Context) error
}

// UnknownServiceError reports a name under which no service is registered, or one of another type.
type UnknownServiceError struct {
	Service string
	// Wanted is the requested type.
	Wanted string
}

// Error names the service and the requested type.
func (e *UnknownServiceError) Error() string {
	return fmt.Sprintf("service %q of type %s is not registered", e.Service, e.Wanted)
}

// Code implements fault.Coded.
func (e *UnknownServiceError) Code() fault.Code { return fault.CodeInternal }

// DependencyError reports services whose requirements form a cycle.
type DependencyError struct{ Services []string }

// Error lists the services that could not be ordered.
func (e *DependencyError) Error() string {
	return fmt.Sprintf("services %v require each other in a cycle", e.Services)
}

// Code implements fault.Coded.
func (e *DependencyError) Code() fault.Code { return fault.CodeInternal }

// Kernel holds the services of a process. Register, Start and Stop are called from one goroutine.
type Kernel struct {
	bus      *Bus
	services map[string]Service
	started  []Service
}

// New returns a kernel without services.
func New(bus *Bus) *Kernel {
	return &Kernel{bus: bus, services: map[string]Service{}}
}

// Bus returns the event bus of the process.
func (k *Kernel) Bus() *Bus { return k.bus }

// Register adds services. A later service of the same name replaces an earlier one.
func (k *Kernel) Register(services ...Service) {
	for _, s := range services {
		k.services[s.Name()] = s
	}
}

// Lookup finds a service by name as a T.
func Lookup[T any](k *Kernel, name string) (T, error) {
	s, ok := k.services[name].(T)
	if !ok {
		return s, errors.WithStack(&UnknownServiceError{Service: name, Wanted: fmt.Sprintf("%T", *new(T))})
	}
	return s, nil
}

// Start starts all services, each after those that it requires. If one fails, those already started are stopped.
func (k *Kernel) Start(ctx context.Context) error {
	order, err := k.startOrder()
	if err != nil {
		return err
	}
	for _, s := range order {
		if err := s.Start(ctx); err != nil {
			return errors.CombineErrors(errors.Wrapf(err, "start %s", s.Name()), k.Stop(ctx))
		}
		k.started = append(k.started, s)
	}
	return nil
}

// Stop stops the started services in the reverse order of their start and returns the first failure.
func (k *Kernel) Stop(ctx context.Context) error {
	var first error
	for _, s := range slices.Backward(k.started) {
		if err := s.Stop(ctx); err != nil {
			first = errors.CombineErrors(first, errors.Wrapf(err, "stop %s", s.Name()))
		}
	}
	k.started = nil
	return first
}

// startOrder sorts the services topologically by their requirements, and by name where these leave the order open, so
// that every run starts them in the same order.
func (k *Kernel) startOrder() ([]Service, error) {
	names := make([]string, 0, len(k.services))
	for name := range k.services {
		names = append(names, name)
	}
	slices.Sort(names)
	ordered := map[string]bool{}
	var order []Service
	for len(order) < len(names) {
		before := len(order)
		for _, name := range names {
			s := k.services[name]
			if ordered[name] {
				continue
			}
			ready, err := k.requirementsOrdered(s, ordered)
			if err != nil {
				return nil, err
			}
			if ready {
				ordered[name] = true
				order = append(order, s)
			}
		}
		if len(order) == before {
			unordered := slices.DeleteFunc(names, func(n string) bool { return ordered[n] })
			return nil, errors.WithStack(&DependencyError{Services: unordered})
		}
	}
	return order, nil
}

func (k *Kernel) requirementsOrdered(s Service, ordered map[string]bool) (bool, error) {
	for _, name := range s.Requires() {
		if _, ok := k.services[name]; !ok {
			return false, errors.WithStack(&UnknownServiceError{Service: name, Wanted: "requirement of " + s.Name()})
		}
		if !ordered[name] {
			return false, nil
		}
	}
	return true, nil
}
