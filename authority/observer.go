package authority

import (
	"time"

	"bronzehook/api"
)

// silence is an interval of the observer's clock throughout which something did not happen.
type silence struct{ from, to time.Duration }

func (s silence) covers(end, length time.Duration) bool { return s.to >= end && s.from <= end-length }

type sessionRow struct {
	version   uint64
	unchanged silence
}

type reportKey struct{ reporter, subject api.InstanceID }

// Observer decides which other instances have lapsed. It is not safe for concurrent use.
type Observer struct {
	rule    Rule
	regions map[string]*regionLists
	rows    map[api.InstanceID]sessionRow
	reports map[reportKey]silence
}

// NewObserver returns an observer that has seen nothing.
func NewObserver(rule Rule) *Observer {
	return &Observer{
		rule:    rule,
		regions: map[string]*regionLists{},
		rows:    map[api.InstanceID]sessionRow{},
		reports: map[reportKey]silence{},
	}
}

// SetRegion takes a directory list of the instances of a region, read at a time.
func (o *Observer) SetRegion(region string, members []api.InstanceID, at time.Duration) {
	lists := o.regions[region]
	if lists == nil {
		lists = &regionLists{}
		o.regions[region] = lists
	}
	lists.set(o.rule, members, at)
}

// SessionSeen records that a reading of the table, begun at start and complete at end, showed an instance's session row
// at a version; 0 means that there was no row.
func (o *Observer) SessionSeen(id api.InstanceID, version uint64, start, end time.Duration) {
	row, known := o.rows[id]
	if !known || row.version != version {
		// The row may have been written at any time up to the end of the reading.
		o.rows[id] = sessionRow{version: version, unchanged: silence{from: end, to: end}}
		return
	}
	row.unchanged.to = max(row.unchanged.to, start)
	o.rows[id] = row
}

// NotHeardReport records what reporter says of subject: at some time not before asOf, reporter had not heard subject
// since at most heard on this observer's clock. asOf is the time at which the observer sent a message that reporter had
// received before it made the report; heard is the time of arrival of the report less the reported age.
func (o *Observer) NotHeardReport(reporter, subject api.InstanceID, heard, asOf time.Duration) {
	if asOf < heard {
		delete(o.reports, reportKey{reporter, subject})
		return
	}
	o.reports[reportKey{reporter, subject}] = silence{from: heard, to: asOf}
}

// Version returns the version of the session row that a verdict on an instance concerns.
func (o *Observer) Version(id api.InstanceID) uint64 { return o.rows[id].version }

// RowLapsed reports whether an instance's session row has not changed for Hold and margin. This alone frees only the
// coordinator unit.
func (o *Observer) RowLapsed(id api.InstanceID, now time.Duration) bool {
	row, known := o.rows[id]
	return known && now-row.unchanged.to <= maxVerdictAge && row.unchanged.to-row.unchanged.from >= o.rule.Silence()
}

// RowStalled reports whether an instance's session row has not changed for StallTime.
func (o *Observer) RowStalled(id api.InstanceID, now time.Duration) bool {
	row, known := o.rows[id]
	return known && now-row.unchanged.to <= maxVerdictAge && row.unchanged.to-row.unchanged.from >= o.rule.StallTime()
}

// Lapsed reports whether an instance of a region has lapsed: there is a recent time at which its session row had not
// changed, and enough instances of the region had not heard it, for Hold and margin.
func (o *Observer) Lapsed(id api.InstanceID, region string, now time.Duration) bool {
	lists := o.regions[region]
	row, known := o.rows[id]
	if !known || lists == nil || !o.RowLapsed(id, now) {
		return false
	}
	if o.lapsedAt(id, lists, row, row.unchanged.to, now) {
		return true
	}
	for key, report := range o.reports {
		if key.subject == id && o.lapsedAt(id, lists, row, report.to, now) {
			return true
		}
	}
	return false
}

// lapsedAt checks the conditions at one time, because conditions that held at different times prove nothing together.
func (o *Observer) lapsedAt(id api.InstanceID, lists *regionLists, row sessionRow, at, now time.Duration) bool {
	if now-at > maxVerdictAge || !row.unchanged.covers(at, o.rule.Silence()) {
		return false
	}
	return lists.inUse(o.rule, now, func(members []api.InstanceID) bool {
		// A region without listed instances has nobody to report.
		return len(members) == 0 || o.silent(id, members, at) >= othersToLapse(sizeWith(members, id))
	})
}

func (o *Observer) silent(id api.InstanceID, members []api.InstanceID, at time.Duration) int {
	count := 0
	for _, reporter := range members {
		report, ok := o.reports[reportKey{reporter, id}]
		if ok && reporter != id && report.covers(at, o.rule.Silence()) {
			count++
		}
	}
	return count
}
