// Package manifest holds the operators' configuration in force: queues, the services that run them, and limits.
package manifest

import (
	"sort"
	"strings"
	"sync/atomic"
	"time"

	"bronzehook/jobs"
)

// Queue takes jobs under a host and a path prefix.
type Queue struct {
	Name    string
	Host    string
	Prefix  string
	Service string
	// Priority orders queues; 0 comes first.
	Priority    int
	MaxAttempts int
	// Stretch times the longest chain of work, plus LatencyTarget, is the objective for a job.
	Stretch       float64
	LatencyTarget time.Duration
	Timeout       time.Duration
	// Advice is nil if every worker may run the queue's steps.
	Advice *Advice
}

// Policy returns what a job of the queue needs to know of it.
func (q *Queue) Policy() jobs.QueuePolicy {
	return jobs.QueuePolicy{
		Service: q.Service, Priority: q.Priority, MaxAttempts: q.MaxAttempts, Stretch: q.Stretch, LatencyTarget: q.LatencyTarget,
	}
}

// QueueFromPolicy returns a queue that no manifest names any more, as a job remembers it.
func QueueFromPolicy(name string, terms jobs.QueuePolicy) *Queue {
	return &Queue{
		Name: name, Service: terms.Service, Priority: terms.Priority, MaxAttempts: terms.MaxAttempts,
		Stretch: terms.Stretch, LatencyTarget: terms.LatencyTarget,
	}
}

// Advice states how the advice service of a queue behaves.
type Advice struct {
	Valid time.Duration
}

// Service is a pool of workers.
type Service struct {
	Name string
	// Guards says that the workers refuse what does not fit.
	Guards bool
	// Spare says that the pool's machines are off until they are moved.
	Spare bool
}

// Limits bounds what callers may send. A zero means the default.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Manifest is one version of the configuration. It is immutable.
type Manifest struct {
	Version  uint64
	Queues   []Queue
	Services []Service
	Limits   Limits

	byHost map[string][]*Queue
	byName map[string]*Queue
}

// Index prepares a manifest for look-ups.
func (m *Manifest) Index() *Manifest {
	m.byHost = make(map[string][]*Queue)
	m.byName = make(map[string]*Queue, len(m.Queues))
	for i := range m.Queues {
		q := &m.Queues[i]
		host := strings.ToLower(q.Host)
		m.byHost[host] = append(m.byHost[host], q)
		m.byName[q.Name] = q
	}
	for _, queues := range m.byHost {
		sort.SliceStable(queues, func(i, j int) bool { return len(queues[i].Prefix) > len(queues[j].Prefix) })
	}
	return m
}

// Match returns the queue of a host whose prefix is the longest that the path begins with, or nil.
func (m *Manifest) Match(host, path string) *Queue {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 {
		host = host[:colon]
	}
	for _, q := range m.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, q.Prefix) {
			return q
		}
	}
	return nil
}

// Queue returns a queue by name, or nil.
func (m *Manifest) Queue(name string) *Queue { return m.byName[name] }

// Service returns a service by name, or nil.
func (m *Manifest) Service(name string) *Service {
	for i := range m.Services {
		if m.Services[i].Name == name {
			return &m.Services[i]
		}
	}
	return nil
}

// Provider publishes the version in force. It never goes back to an older one.
type Provider struct{ current atomic.Pointer[Manifest] }

// Current returns the manifest in force, or nil before the first one.
func (h *Provider) Current() *Manifest { return h.current.Load() }

// Offer puts a manifest in force if it is newer and reports whether it did.
func (h *Provider) Offer(m *Manifest) bool {
	for {
		old := h.current.Load()
		if old != nil && old.Version >= m.Version {
			return false
		}
		if h.current.CompareAndSwap(old, m) {
			return true
		}
	}
}
