package evacuation

import (
	"sync/atomic"
	"time"
)

// ReportPath is the path at an instance's metrics address under which it serves its Report as JSON.
const ReportPath = "/evacuations"

// Report is what an instance knows of the evacuations.
type Report struct {
	// Leading is set if the instance leads. Only a leader knows what is left in a data centre.
	Leading     bool               `json:"leading"`
	DataCentres []DataCentreReport `json:"data_centres"`
	// ConfirmedAgeMillis is the age of the knowledge of the evacuations.
	ConfirmedAgeMillis int64 `json:"confirmed_age_ms"`
}

// DataCentreReport is the state of one evacuation.
type DataCentreReport struct {
	DataCentre string `json:"data_centre"`
	Version    uint64 `json:"row_version"`
	AgeMillis  int64  `json:"age_ms"`
	// Tasks counts the tasks that are still there by kind, Reasons by the reason.
	Tasks   map[string]int `json:"tasks,omitempty"`
	Reasons map[string]int `json:"reasons,omitempty"`
	// Unplaceable names tasks that can run nowhere else, at most MaxListed of them.
	Unplaceable []string `json:"unplaceable,omitempty"`
}

// MaxListed bounds the tasks that are listed by name.
const MaxListed = 100

// Left returns the number of tasks that are still in the data centre.
func (r *DataCentreReport) Left() int {
	left := 0
	for _, count := range r.Tasks {
		left += count
	}
	return left
}

// Board holds the latest report of the leader, nil while this instance does not lead. A nil board takes none.
type Board struct{ latest atomic.Pointer[Report] }

// Publish replaces the report, which must not be changed afterwards.
func (b *Board) Publish(report *Report) {
	if b != nil {
		b.latest.Store(report)
	}
}

// Report returns the report of an instance: that of the leader, or else the evacuations that the registry holds.
func (b *Board) Report(registry *Registry, now time.Duration) Report {
	var report Report
	if latest := b.latest.Load(); latest != nil {
		report = *latest
	} else {
		for _, e := range registry.Evacuations() {
			report.DataCentres = append(report.DataCentres, DataCentreReport{
				DataCentre: e.DataCentre, Version: e.Version, AgeMillis: (now - e.Since).Milliseconds(),
			})
		}
	}
	report.ConfirmedAgeMillis = (now - registry.ConfirmedAt()).Milliseconds()
	return report
}
