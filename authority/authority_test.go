package authority

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"pgregory.net/rapid"

	"bronzehook/api"
)

const (
	tickInterval      = 250 * time.Millisecond
	simulatedTime     = 60 * time.Second
	renewInterval     = 2 * time.Second
	heartbeatInterval = time.Second
	maxDirectoryLag   = time.Second
)

var testRule = Rule{LeaseDuration: DefaultLeaseDuration}

// process is one incarnation of an instance in the model. Its clock differs from the model's by offset.
type process struct {
	id           api.InstanceID
	session      int
	offset       time.Duration
	directoryLag time.Duration
	// The next three fields are the ends of injected faults on the model's clock. An isolated instance neither sends nor
	// receives.
	pausedUntil    time.Duration
	storeDownUntil time.Duration
	isolatedUntil  time.Duration
	lease          *Lease
	observer       *Observer
	tracker        *HeartbeatTracker
	echoes         map[api.InstanceID]echo
	periodStart    time.Duration
	period         uint64
	inbox          []event
}

type echo struct {
	session int
	sent    time.Duration
}

type event struct {
	at      time.Duration
	session int
	run     func(p *process, now time.Duration)
}

type directoryState struct {
	at      time.Duration
	members []api.InstanceID
}

type model struct {
	random    *rand.Rand
	now       time.Duration
	processes []*process
	rows      map[api.InstanceID]uint64
	commits   []event
	restarts  []event
	directory []directoryState
	// linkDownUntil holds the end of a fault for each pair of sender and receiver.
	linkDownUntil map[[2]api.InstanceID]time.Duration
}

// outsider is an observer from another region.
const outsider = api.InstanceID("outsider")

func newModel(n int, seed int64) *model {
	m := &model{random: rand.New(rand.NewSource(seed)), now: time.Hour, rows: map[api.InstanceID]uint64{}}
	m.linkDownUntil = map[[2]api.InstanceID]time.Duration{}
	var ids []api.InstanceID
	for i := range n {
		ids = append(ids, api.InstanceID(fmt.Sprint("i", i)))
	}
	m.directory = []directoryState{{members: ids}}
	for _, id := range append(ids, outsider) {
		p := &process{id: id}
		m.start(p)
		m.processes = append(m.processes, p)
	}
	return m
}

func (m *model) delay(limit time.Duration) time.Duration {
	if m.random.Intn(4) > 0 {
		limit = 50 * time.Millisecond
	}
	return time.Duration(m.random.Int63n(int64(limit)))
}

func (m *model) start(p *process) {
	offset := time.Duration(m.random.Int63n(int64(time.Hour)))
	*p = process{
		id: p.id, session: p.session + 1, offset: offset - m.now,
		directoryLag: time.Duration(m.random.Int63n(int64(maxDirectoryLag))),
	}
	p.lease = NewLease(testRule, p.id)
	p.observer = NewObserver(testRule)
	p.tracker = NewHeartbeatTracker(p.clock(m.now))
	p.echoes = map[api.InstanceID]echo{}
}

func (p *process) clock(now time.Duration) time.Duration { return now + p.offset }

func (m *model) send(to *process, delay time.Duration, run func(*process, time.Duration)) {
	to.inbox = append(to.inbox, event{at: m.now + delay, session: to.session, run: run})
}

func (m *model) tick() {
	m.now += tickInterval
	m.commits = m.runDue(m.commits)
	m.restarts = m.runDue(m.restarts)
	for _, p := range m.processes {
		if m.now >= p.pausedUntil {
			m.deliver(p)
			m.runTimers(p)
		}
	}
}

// runDue runs the events that are due and returns the others.
func (m *model) runDue(pending []event) []event {
	var later []event
	for _, e := range pending {
		if e.at > m.now {
			later = append(later, e)
			continue
		}
		e.run(nil, m.now)
	}
	return later
}

// deliver runs the message handlers that are due, in random order.
func (m *model) deliver(p *process) {
	pending := p.inbox
	p.inbox = nil
	m.random.Shuffle(len(pending), func(i, j int) { pending[i], pending[j] = pending[j], pending[i] })
	for _, e := range pending {
		switch {
		case e.at > m.now:
			p.inbox = append(p.inbox, e)
		case e.session == p.session:
			e.run(p, p.clock(m.now))
		}
	}
}

func (m *model) runTimers(p *process) {
	if m.now%heartbeatInterval == 0 {
		m.sendHeartbeats(p)
	}
	if m.now%renewInterval == 0 {
		m.poll(p)
		m.renew(p)
	}
	localNow := p.clock(m.now)
	for _, subject := range m.processes {
		if subject.id != p.id {
			p.observer.RecordUnresponsiveReport(p.id, subject.id, localNow-p.tracker.Age(subject.id, localNow), localNow)
		}
	}
}

func (m *model) poll(p *process) {
	var seen directoryState
	for _, state := range m.directory {
		if state.at <= m.now-p.directoryLag {
			seen = state
		}
	}
	localNow := p.clock(m.now)
	p.lease.SetRegion(seen.members, localNow)
	p.observer.SetRegion("r", seen.members, localNow)
	if m.now < p.storeDownUntil {
		return
	}
	rows := map[api.InstanceID]uint64{}
	for _, other := range m.processes {
		rows[other.id] = m.rows[other.id]
	}
	m.send(p, m.delay(2*time.Second), func(p *process, end time.Duration) {
		for id, version := range rows {
			p.observer.RecordSessionRow(id, version, localNow, end)
		}
	})
}

func (m *model) renew(p *process) {
	if m.now < p.storeDownUntil {
		return
	}
	start, session := p.clock(m.now), p.session
	m.commits = append(m.commits, event{at: m.now + m.delay(4*time.Second), run: func(*process, time.Duration) {
		if p.session != session {
			return
		}
		m.rows[p.id]++
		if m.random.Intn(5) > 0 {
			m.send(p, m.delay(2*time.Second), func(p *process, now time.Duration) { p.lease.RecordRenewal(start, now) })
		}
	}})
}

func (m *model) sendHeartbeats(p *process) {
	sent := p.clock(m.now)
	p.lease.ConfirmedBy(p.id, sent, sent)
	ages := map[api.InstanceID]time.Duration{}
	for _, subject := range m.processes {
		ages[subject.id] = p.tracker.Age(subject.id, sent)
	}
	for _, to := range m.processes {
		lost := m.now < m.linkDownUntil[[2]api.InstanceID{p.id, to.id}] ||
			m.now < p.isolatedUntil || m.now < to.isolatedUntil || m.random.Intn(10) == 0
		if to.id == p.id || lost {
			continue
		}
		back := p.echoes[to.id]
		session := p.session
		m.send(to, m.delay(8*time.Second), func(to *process, now time.Duration) {
			to.tracker.RecordHeartbeat(p.id, now)
			if old := to.echoes[p.id]; old.session < session || old.sent < sent {
				to.echoes[p.id] = echo{session, sent}
			}
			if back.session != to.session {
				return
			}
			to.lease.ConfirmedBy(p.id, back.sent, now)
			for subject, age := range ages {
				to.observer.RecordUnresponsiveReport(p.id, subject, now-age, back.sent)
			}
		})
	}
}

// check fails if an instance treats another one's lease as expired although that lease was valid for all of
// maxObservationAge, or although the observed session row is current and was renewed in that lease's period, so that an
// acquisition would succeed. It returns the number of expiry decisions.
func (m *model) check(t *rapid.T) (expiries int) {
	for _, x := range m.processes {
		if x.id == outsider {
			continue
		}
		localNow := x.clock(m.now)
		if period := x.lease.Period(localNow); period != x.period {
			x.period, x.periodStart = period, m.now
		}
		for _, o := range m.processes {
			if o.id == x.id || m.now < o.pausedUntil || !o.observer.Expired(x.id, "r", o.clock(m.now)) {
				continue
			}
			expiries++
			acquirable := o.observer.Version(x.id) == m.rows[x.id] && x.lease.RenewedInPeriod(localNow)
			valid := x.lease.Valid(localNow) && x.periodStart <= m.now-maxObservationAge
			if acquirable || valid {
				t.Fatalf("%s treats the lease of %s as expired while it is valid (lease period %d, acquirable %v)",
					o.id, x.id, x.period, acquirable)
			}
		}
	}
	return expiries
}

type faultPlan struct {
	at, length    time.Duration
	kind, who, to int
}

// faultKinds is the number of cases of inject. The last case injects two faults: the store is down for one instance while
// another one restarts.
const faultKinds = 8

func (m *model) inject(f faultPlan) {
	p := m.processes[f.who%len(m.processes)]
	end := m.now + f.length
	switch f.kind {
	case 0:
		p.pausedUntil = end
	case 1:
		p.storeDownUntil = end
	case 2:
		p.isolatedUntil = end
	case 3:
		m.start(p)
	case 4:
		m.changeDirectory(p.id)
	case 6:
		m.linkDownUntil[[2]api.InstanceID{p.id, m.processes[f.to%len(m.processes)].id}] = end
	case 7:
		p.storeDownUntil = end + renewInterval
		m.restarts = append(m.restarts, event{at: end, run: func(*process, time.Duration) {
			m.start(m.processes[f.to%len(m.processes)])
		}})
	case 5:
		for _, each := range m.processes {
			each.storeDownUntil = end
		}
	}
}

// changeDirectory adds an instance to the directory or removes it, whether the instance runs or not.
func (m *model) changeDirectory(id api.InstanceID) {
	if id == outsider {
		return
	}
	var members []api.InstanceID
	listed := false
	for _, member := range m.directory[len(m.directory)-1].members {
		if member == id {
			listed = true
			continue
		}
		members = append(members, member)
	}
	if !listed {
		members = append(members, id)
	}
	if len(members) > 0 {
		m.directory = append(m.directory, directoryState{at: m.now, members: members})
	}
}

// Guards against a takeover from an instance whose lease is still valid, under pauses, restarts, lost and delayed
// heartbeats, store outages for some or all instances, and a directory that is stale or wrong.
func TestValidLeaseIsNeverTreatedAsExpired(t *testing.T) {
	total := 0
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(rapid.IntRange(2, 6).Draw(t, "instances"), rapid.Int64().Draw(t, "seed"))
		plans := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) faultPlan {
			return faultPlan{
				at:     time.Duration(rapid.IntRange(0, int(simulatedTime/tickInterval)).Draw(t, "at")) * tickInterval,
				length: time.Duration(rapid.IntRange(1, 80).Draw(t, "length")) * tickInterval,
				kind:   rapid.IntRange(0, faultKinds-1).Draw(t, "kind"),
				who:    rapid.IntRange(0, 6).Draw(t, "who"),
				to:     rapid.IntRange(0, 6).Draw(t, "to"),
			}
		}), 5, 40).Draw(t, "faults")
		startTime := m.now
		for m.now < startTime+simulatedTime {
			for _, f := range plans {
				if startTime+f.at == m.now {
					m.inject(f)
				}
			}
			m.tick()
			total += m.check(t)
		}
	})
	if total == 0 {
		t.Error("no instance lease ever expired; the property was not tested")
	}
	t.Logf("%d expiry decisions", total)
}

// Guards against a coordinator crash that delays urgent starts beyond 8.7 s, and against replacing a coordinator that
// renews its session row.
func TestRowIsStaleBeforeItExpires(t *testing.T) {
	observer := NewObserver(Rule{LeaseDuration: DefaultLeaseDuration})
	observer.RecordSessionRow("a", 1, 0, 100*time.Millisecond)
	cases := []struct {
		name    string
		version uint64
		at      time.Duration
		stale   bool
		expired bool
	}{
		{"one missed renewal must not count", 1, 2 * time.Second, false, false},
		{"an unchanged row must be stale before it expires", 1, 3200 * time.Millisecond, true, false},
		{"a renewed row must not be stale", 2, 3300 * time.Millisecond, false, false},
		{"a row unchanged for the expiry delay must expire", 2, 10 * time.Second, true, true},
	}
	for _, tc := range cases {
		observer.RecordSessionRow("a", tc.version, tc.at, tc.at)
		if stale, expired := observer.RowStale("a", tc.at), observer.RowExpired("a", tc.at); stale != tc.stale || expired != tc.expired {
			t.Errorf("%s: stale %v, expired %v", tc.name, stale, expired)
		}
	}
}
