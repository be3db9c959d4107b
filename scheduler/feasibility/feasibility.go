// Package feasibility detects tasks that can never run because they are larger than every worker of their regions or
// than their team's quota. It considers total capacity only, so a busy or drained fleet does not make a task
// infeasible.
package feasibility

import (
	"fmt"
	"slices"
	"strings"

	"bronzehook/api"
	"bronzehook/fault"
)

// Options configures the check.
type Options struct {
	// Enabled turns the check on. Without it, the scheduler keeps searching for a worker for infeasible tasks.
	Enabled bool
}

// DefaultOptions returns the production defaults.
func DefaultOptions() Options { return Options{Enabled: true} }

// Infeasible is the error for a workload whose tasks can never run on the current fleet.
type Infeasible struct {
	Work string
	// Reason is shown to operators.
	Reason string
}

// Error implements error.
func (e *Infeasible) Error() string { return fmt.Sprintf("%s can never run: %s", e.Work, e.Reason) }

// Code implements fault.Coded.
func (e *Infeasible) Code() fault.Code { return fault.CodeInfeasible }

// Fleet holds the largest worker capacities of each region.
type Fleet struct {
	opts Options
	// frontier is the Pareto frontier of the worker capacities per region: no capacity in it fits into another one.
	frontier map[string][]api.Resources
}

// NewFleet returns an empty fleet.
func NewFleet(opts Options) *Fleet { return &Fleet{opts: opts, frontier: map[string][]api.Resources{}} }

// Add adds a worker's capacity. The caller also adds drained and quarantined workers, because they may return to
// service, but not workers that are leaving.
func (f *Fleet) Add(region string, capacity api.Resources) {
	capacities := f.frontier[region]
	for _, c := range capacities {
		if capacity.Fits(c) {
			return
		}
	}
	kept := slices.DeleteFunc(capacities, func(c api.Resources) bool { return c.Fits(capacity) })
	f.frontier[region] = append(kept, capacity)
}

// Check returns why a task of the given size can never run, or nil if it can. quota is the quota of the workload's
// team; a zero component means no limit.
func (f *Fleet) Check(spec *api.Spec, size, quota api.Resources) *Infeasible {
	if !f.opts.Enabled {
		return nil
	}
	if reason := quotaExceededReason(spec, size, quota); reason != "" {
		return &Infeasible{Work: spec.Name, Reason: reason}
	}
	if reason := f.noFittingWorkerReason(spec, size); reason != "" {
		return &Infeasible{Work: spec.Name, Reason: reason}
	}
	return nil
}

// ExceedsQuota reports whether use exceeds quota in any component. A zero component of quota means no limit.
func ExceedsQuota(use, quota api.Resources) bool {
	return (quota.MilliCPU > 0 && use.MilliCPU > quota.MilliCPU) ||
		(quota.MemoryMB > 0 && use.MemoryMB > quota.MemoryMB) ||
		(quota.Accelerators > 0 && use.Accelerators > quota.Accelerators)
}

// quotaExceededReason returns why the size exceeds the team's quota, or an empty string.
func quotaExceededReason(spec *api.Spec, size, quota api.Resources) string {
	if !ExceedsQuota(size, quota) {
		return ""
	}
	return fmt.Sprintf("one task needs %s, which is more than the quota of team %s (%s)", size, spec.Team, quota)
}

// noFittingWorkerReason returns why no worker is large enough, or an empty string.
func (f *Fleet) noFittingWorkerReason(spec *api.Spec, size api.Resources) string {
	var largest api.Resources
	found := false
	for region, capacities := range f.frontier {
		if len(spec.Regions) > 0 && !slices.Contains(spec.Regions, region) {
			continue
		}
		for _, c := range capacities {
			found = true
			if size.Fits(c) {
				return ""
			}
			largest.MilliCPU = max(largest.MilliCPU, c.MilliCPU)
			largest.MemoryMB = max(largest.MemoryMB, c.MemoryMB)
			largest.Accelerators = max(largest.Accelerators, c.Accelerators)
		}
	}
	where := "any region"
	if len(spec.Regions) > 0 {
		where = "regions " + strings.Join(spec.Regions, ", ")
	}
	if !found {
		return "there is no worker in " + where
	}
	return fmt.Sprintf(
		"one task needs %s, and no worker in %s offers that (largest capacity of each resource: %s)", size, where, largest)
}
