package authority

import (
	"time"

	"bronzehook/api"
)

// interval is a span of the observer's clock during which an event did not occur.
type interval struct{ from, to time.Duration }

// covers reports whether the interval contains the whole span of a length that ends at end.
func (i interval) covers(end, length time.Duration) bool { return i.to >= end && i.from <= end-length }

type sessionRow struct {
	version   uint64
	unchanged interval
}

type reportKey struct{ reporter, subject api.InstanceID }

// Observer decides which other instances' leases have expired. It is not safe for concurrent use.
type Observer struct {
	rule    Rule
	regions map[string]*regionLists
	rows    map[api.InstanceID]sessionRow
	reports map[reportKey]interval
}

// NewObserver returns an observer without observations.
func NewObserver(rule Rule) *Observer {
	return &Observer{
		rule:    rule,
		regions: map[string]*regionLists{},
		rows:    map[api.InstanceID]sessionRow{},
		reports: map[reportKey]interval{},
	}
}

// SetRegion applies a directory list of the instances in a region, read at time at.
func (o *Observer) SetRegion(region string, members []api.InstanceID, at time.Duration) {
	lists := o.regions[region]
	if lists == nil {
		lists = &regionLists{}
		o.regions[region] = lists
	}
	lists.set(o.rule, members, at)
}

// RecordSessionRow records that a read of the table, begun at start and complete at end, returned an instance's session row
// at a version; 0 means that there was no row.
func (o *Observer) RecordSessionRow(id api.InstanceID, version uint64, start, end time.Duration) {
	row, known := o.rows[id]
	if !known || row.version != version {
		// The row may have been written at any time until the read was complete.
		o.rows[id] = sessionRow{version: version, unchanged: interval{from: end, to: end}}
		return
	}
	row.unchanged.to = max(row.unchanged.to, start)
	o.rows[id] = row
}

// RecordUnresponsiveReport records a report by reporter about subject: at some time not before asOf, the last heartbeat that
// reporter had received from subject had arrived no later than lastHeartbeat, both on this observer's clock. asOf is the
// time at which the observer sent a message that reporter had received before it made the report. lastHeartbeat is the
// arrival time of the report minus the reported age.
func (o *Observer) RecordUnresponsiveReport(reporter, subject api.InstanceID, lastHeartbeat, asOf time.Duration) {
	if asOf < lastHeartbeat {
		delete(o.reports, reportKey{reporter, subject})
		return
	}
	o.reports[reportKey{reporter, subject}] = interval{from: lastHeartbeat, to: asOf}
}

// Version returns the version of the session row that an expiry decision about an instance refers to.
func (o *Observer) Version(id api.InstanceID) uint64 { return o.rows[id].version }

// RowExpired reports whether an instance's session row has not changed for the expiry delay. On its own, this allows only
// the coordinator unit to be acquired.
func (o *Observer) RowExpired(id api.InstanceID, now time.Duration) bool {
	row, known := o.rows[id]
	return known && now-row.unchanged.to <= maxObservationAge && row.unchanged.to-row.unchanged.from >= o.rule.ExpiryDelay()
}

// RowStale reports whether an instance's session row has not changed for StaleAfter.
func (o *Observer) RowStale(id api.InstanceID, now time.Duration) bool {
	row, known := o.rows[id]
	return known && now-row.unchanged.to <= maxObservationAge && row.unchanged.to-row.unchanged.from >= o.rule.StaleAfter()
}

// Expired reports whether the lease of an instance in a region has expired: up to some recent time and for the whole
// expiry delay, its session row did not change and enough instances of the region received no heartbeat from it.
func (o *Observer) Expired(id api.InstanceID, region string, now time.Duration) bool {
	lists := o.regions[region]
	row, known := o.rows[id]
	if !known || lists == nil || !o.RowExpired(id, now) {
		return false
	}
	if o.expiredAt(id, lists, row, row.unchanged.to, now) {
		return true
	}
	for key, report := range o.reports {
		if key.subject == id && o.expiredAt(id, lists, row, report.to, now) {
			return true
		}
	}
	return false
}

// expiredAt checks all conditions at one time, since conditions that held at different times do not prove an expiry.
func (o *Observer) expiredAt(id api.InstanceID, lists *regionLists, row sessionRow, at, now time.Duration) bool {
	if now-at > maxObservationAge || !row.unchanged.covers(at, o.rule.ExpiryDelay()) {
		return false
	}
	return lists.allInUse(o.rule, now, func(members []api.InstanceID) bool {
		// If the directory lists no instance of the region, there is nobody to report.
		return len(members) == 0 || o.unresponsiveReports(id, members, at) >= reportsRequired(sizeIncluding(members, id))
	})
}

// unresponsiveReports returns how many members report that an instance was unresponsive for the expiry delay up to at.
func (o *Observer) unresponsiveReports(id api.InstanceID, members []api.InstanceID, at time.Duration) int {
	count := 0
	for _, reporter := range members {
		report, ok := o.reports[reportKey{reporter, id}]
		if ok && reporter != id && report.covers(at, o.rule.ExpiryDelay()) {
			count++
		}
	}
	return count
}
