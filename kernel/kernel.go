// Package kernel is the micro-kernel of a process: services register under a name, find each other by name, start in
// the order of their dependencies and stop in the reverse order. A Bus carries events between them.
package kernel

import (
	"context"
	"fmt"
	"slices"

	"github.com/cockroachdb/errors"

	"bronzehook/fault"
)

// Service is a part of the process with a life cycle.
type Service interface {
	// Name is unique in a kernel.
	Name() string
	// Requires names the services that have to run before this one starts.
	Requires() []string
	// Start returns once the service is usable. The context ends with the start, not with the service.
	Start(ctx context.Context) error
	// Stop ends the service. It returns once nothing of the service runs any more or the context has ended.
	Stop(ctx context.Context) error
}

// UnknownServiceError reports a name under which no service is registered, or one of another type.
type UnknownServiceError struct {
	Service string
	// Wanted is the type that was asked for.
	Wanted string
}

// Error names the service and the wanted type.
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
	order, err := k.order()
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

// order sorts the services by their requirements, ties by name so that a start is the same on every run.
func (k *Kernel) order() ([]Service, error) {
	names := make([]string, 0, len(k.services))
	for name := range k.services {
		names = append(names, name)
	}
	slices.Sort(names)
	placed := map[string]bool{}
	var order []Service
	for len(order) < len(names) {
		before := len(order)
		for _, name := range names {
			s := k.services[name]
			if placed[name] {
				continue
			}
			ready, err := k.requirementsPlaced(s, placed)
			if err != nil {
				return nil, err
			}
			if ready {
				placed[name] = true
				order = append(order, s)
			}
		}
		if len(order) == before {
			rest := slices.DeleteFunc(names, func(n string) bool { return placed[n] })
			return nil, errors.WithStack(&DependencyError{Services: rest})
		}
	}
	return order, nil
}

func (k *Kernel) requirementsPlaced(s Service, placed map[string]bool) (bool, error) {
	for _, name := range s.Requires() {
		if _, ok := k.services[name]; !ok {
			return false, errors.WithStack(&UnknownServiceError{Service: name, Wanted: "requirement of " + s.Name()})
		}
		if !placed[name] {
			return false, nil
		}
	}
	return true, nil
}
