// Package manifest holds the operators' current configuration: queues, the services that run their jobs, and limits.
package manifest

import (
	"sort"
	"strings"
	"time"

	"bronzehook/jobs"
)

// Queue accepts the jobs that are sent to a host and a path prefix.
type Queue struct {
	Name    string
	Host    string
	Prefix  string
	Service string
	// Priority is the priority of the queue; 0 is the highest.
	Priority    int
	MaxAttempts int
	// Stretch times the critical path of a job, plus LatencyTarget, is the time within which the job accrues its full
	// value.
	Stretch       float64
	LatencyTarget time.Duration
	Timeout       time.Duration
	// Advice is nil if every worker may run the steps of the queue's jobs.
	Advice *Advice
}

// Policy returns the settings of the queue that are stored with its jobs: all that decisions on a job depend on.
func (q *Queue) Policy() jobs.QueuePolicy {
	policy := jobs.QueuePolicy{
		Service: q.Service, Priority: q.Priority, MaxAttempts: q.MaxAttempts, Stretch: q.Stretch, LatencyTarget: q.LatencyTarget,
	}
	if q.Advice != nil {
		policy.Advice = &jobs.AdvicePolicy{Valid: q.Advice.Valid}
	}
	return policy
}

// QueueFromPolicy returns a queue that the manifest no longer has, from the policy that is stored with a job.
func QueueFromPolicy(name string, policy jobs.QueuePolicy) *Queue {
	q := &Queue{
		Name: name, Service: policy.Service, Priority: policy.Priority, MaxAttempts: policy.MaxAttempts,
		Stretch: policy.Stretch, LatencyTarget: policy.LatencyTarget,
	}
	if policy.Advice != nil {
		q.Advice = &Advice{Valid: policy.Advice.Valid}
	}
	return q
}

// Advice describes the advice service of a queue, which decides which workers may run a step.
type Advice struct {
	// Valid is how long an answer of the service is valid.
	Valid time.Duration
}

// Service is a pool of workers.
type Service struct {
	Name string
	// EnforcesCapacity is set if the workers themselves enforce their capacity by refusing attempts that do not fit.
	EnforcesCapacity bool
	// Spare is set if the pool's machines are switched off until they are moved.
	Spare bool
}

// Limits limits the requests of callers. Zero means the default.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Manifest is one version of the configuration. It is immutable once Index has been called.
type Manifest struct {
	Version  uint64
	Queues   []Queue
	Services []Service
	Limits   Limits

	byHost map[string][]*Queue
	byName map[string]*Queue
}

// Index builds the lookup tables of a manifest and returns it. Match and Queue need them.
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

// Match returns the queue of a host with the longest prefix that the path begins with, or nil. It ignores a port and
// the case of the host.
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

// Queue returns the queue with a name, or nil.
func (m *Manifest) Queue(name string) *Queue { return m.byName[name] }

// Service returns the service with a name, or nil.
func (m *Manifest) Service(name string) *Service {
	for i := range m.Services {
		if m.Services[i].Name == name {
			return &m.Services[i]
		}
	}
	return nil
}
