// Package feasibility finds work that can never run: larger than any worker of its regions, or than its team's quota.
// It looks at capacities only, so that a busy or drained fleet is not mistaken for one that is too small.
package feasibility

import (
	"fmt"
	"slices"
	"strings"

	"bronzehook/api"
	"bronzehook/fault"
)

// Options switches the check.
type Options struct {
	// Enabled reports work that can never run; without it such work is searched for room again and again.
	Enabled bool
}

// DefaultOptions returns the options of a production site.
func DefaultOptions() Options { return Options{Enabled: true} }

// Infeasible says why a piece of work can never run on the fleet as it is.
type Infeasible struct {
	Work string
	// Reason is for the operator.
	Reason string
}

// Error names the work and the reason.
func (e *Infeasible) Error() string { return fmt.Sprintf("%s can never run: %s", e.Work, e.Reason) }

// Code implements fault.Coded.
func (e *Infeasible) Code() fault.Code { return fault.CodeInfeasible }

// Fleet is the set of worker capacities per region, reduced to those that no other capacity exceeds.
type Fleet struct {
	opts     Options
	frontier map[string][]api.Resources
}

// NewFleet returns an empty fleet.
func NewFleet(opts Options) *Fleet { return &Fleet{opts: opts, frontier: map[string][]api.Resources{}} }

// Add counts a worker's capacity. Workers that are drained or quarantined are added too, because they may return;
// leaving ones are not.
func (f *Fleet) Add(region string, capacity api.Resources) {
	known := f.frontier[region]
	for _, c := range known {
		if capacity.Fits(c) {
			return
		}
	}
	kept := slices.DeleteFunc(known, func(c api.Resources) bool { return c.Fits(capacity) })
	f.frontier[region] = append(kept, capacity)
}

// Check returns the reason why a task of the given size can never run, or nil. Quota is the quota of the work's team;
// zero components mean no bound.
func (f *Fleet) Check(spec *api.Spec, size, quota api.Resources) *Infeasible {
	if !f.opts.Enabled {
		return nil
	}
	if reason := overQuota(spec, size, quota); reason != "" {
		return &Infeasible{Work: spec.Name, Reason: reason}
	}
	if reason := f.tooLarge(spec, size); reason != "" {
		return &Infeasible{Work: spec.Name, Reason: reason}
	}
	return nil
}

// ExceedsQuota reports whether use is above a bound of quota; zero components of quota mean no bound.
func ExceedsQuota(use, quota api.Resources) bool {
	return (quota.MilliCPU > 0 && use.MilliCPU > quota.MilliCPU) ||
		(quota.MemoryMB > 0 && use.MemoryMB > quota.MemoryMB) ||
		(quota.Accelerators > 0 && use.Accelerators > quota.Accelerators)
}

func overQuota(spec *api.Spec, size, quota api.Resources) string {
	if !ExceedsQuota(size, quota) {
		return ""
	}
	return fmt.Sprintf("one task needs %s, which is more than the quota of team %s (%s)", size, spec.Team, quota)
}

func (f *Fleet) tooLarge(spec *api.Spec, size api.Resources) string {
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
	return fmt.Sprintf("one task needs %s, and no worker in %s offers that (largest of each: %s)", size, where, largest)
}
