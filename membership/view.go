package membership

import (
	"time"

	"bronzehook/api"
)

// Status is what this instance thinks of another one.
type Status string

// The statuses.
const (
	StatusLive Status = "live"
	// StatusSuspect instances get no new requests; they keep their units until they lapse.
	StatusSuspect Status = "suspect"
	StatusLeaving Status = "leaving"
)

const (
	// suspectPeriods is the number of missed heartbeats after which an instance is suspect: 3 s in a full mesh.
	suspectPeriods = 3
	// forgetAfter removes an instance that neither heartbeats nor the directory name any more.
	forgetAfter = time.Minute
)

// Member is another instance.
type Member struct {
	Instance api.Instance
	Session  uint64
	Status   Status
	// Listed is set while the directory lists the instance.
	Listed bool
	// Heard is set once a heartbeat has arrived, the last one at LastHeard.
	Heard           bool
	LastHeard       time.Duration
	Revision        uint64
	EndpointVersion uint64
	StoreReachable  bool
	// Lapsed is set while the rule of package authority treats the instance as lapsed, and RowLapsed while its session row
	// alone has not changed for long enough to claim the coordinator unit. Both concern the session row at RowVersion,
	// which a claim must state as a condition.
	Lapsed    bool
	RowLapsed bool
	// RowStalled is set while the session row has not changed for authority.Rule.StallTime.
	RowStalled bool
	RowVersion uint64
	// RowSession is the session that the row names; 0 if there is no row.
	RowSession uint64
}

// CoordinatorGone reports whether the coordinator unit may be taken from the instance: its session row alone proves that
// it has lapsed, or it is not heard and its row has stalled.
func (m Member) CoordinatorGone() bool {
	return m.RowLapsed || m.RowStalled && m.Status == StatusSuspect
}

// View is what this instance knows of the fleet at one time. It is not changed after it was published.
type View struct {
	// At is the monotonic reading at which the view was made.
	At time.Duration
	// Members holds the other instances; this one is not among them.
	Members map[api.InstanceID]Member
	// Workers is the directory's list of workers.
	Workers []api.Worker
	// DirectoryRead is set once the directory has been read.
	DirectoryRead bool
	// SessionsRead is set once the session rows have been read.
	SessionsRead bool
}

// RegionOfAddr names the region of the instance at an address, or "" if there is none.
func (v *View) RegionOfAddr(addr string) string {
	for _, m := range v.Members {
		if m.Instance.Addr == addr {
			return m.Instance.Location.Region
		}
	}
	return ""
}

// lapsing reports whether an instance is suspect and has not lapsed.
func (v *View) lapsing() bool {
	for _, m := range v.Members {
		if m.Status == StatusSuspect && !m.Lapsed {
			return true
		}
	}
	return false
}

// peerState is what is known of another instance apart from the directory.
type peerState struct {
	instance  api.Instance
	described bool
	session   uint64
	last      heartbeat
	heard     bool
	at        time.Duration
	firstSeen time.Duration
	// echoed is set once the peer has echoed a heartbeat of this run, so that it knows this instance.
	echoed     bool
	rowSession uint64
	// rowRevision is the configuration revision that the session row names.
	rowRevision uint64
}

// revision returns the highest configuration revision that the present session is known to have in force. In a large
// fleet heartbeats take turns and the session row is often the later news; a row of an earlier session says nothing.
func (p *peerState) revision() uint64 {
	if p.rowSession == p.session {
		return max(p.last.Revision, p.rowRevision)
	}
	return p.last.Revision
}

func (s *Service) peer(id api.InstanceID) *peerState {
	p := s.peers[id]
	if p == nil {
		p = &peerState{firstSeen: s.Now()}
		s.peers[id] = p
	}
	return p
}

func (s *Service) makeView(now time.Duration) *View {
	v := &View{
		At:            now,
		Members:       make(map[api.InstanceID]Member, len(s.peers)),
		Workers:       s.workers,
		DirectoryRead: s.workers != nil,
		SessionsRead:  s.row.listed,
	}
	for id, p := range s.peers {
		v.Members[id] = s.member(id, p, now)
	}
	return v
}

func (s *Service) member(id api.InstanceID, p *peerState, now time.Duration) Member {
	instance := s.instanceOf(id, p)
	_, listed := s.listed[id]
	return Member{
		Instance:        instance,
		Session:         p.session,
		Status:          s.status(p, instance, now),
		Listed:          listed,
		Heard:           p.heard,
		LastHeard:       p.at,
		Revision:        p.revision(),
		EndpointVersion: p.last.EndpointVersion,
		StoreReachable:  p.last.Flags&flagStoreReachable != 0,
		Lapsed:          s.observer.Lapsed(id, instance.Location.Region, now),
		RowLapsed:       s.observer.RowLapsed(id, now),
		RowStalled:      s.observer.RowStalled(id, now),
		RowVersion:      s.observer.Version(id),
		RowSession:      p.rowSession,
	}
}

// instanceOf prefers the instance's own description over the directory's, which lags.
func (s *Service) instanceOf(id api.InstanceID, p *peerState) api.Instance {
	instance, listed := s.listed[id]
	if p.described || !listed {
		instance = p.instance
	}
	instance.ID = id
	instance.Leaving = s.listed[id].Leaving || p.last.Flags&flagLeaving != 0
	return instance
}

func (s *Service) status(p *peerState, instance api.Instance, now time.Duration) Status {
	if instance.Leaving {
		return StatusLeaving
	}
	since := p.firstSeen
	if p.heard {
		since = p.at
	}
	if now-since > s.suspectAfter() {
		return StatusSuspect
	}
	return StatusLive
}

// suspectAfter grows with the time that one round of heartbeats takes.
func (s *Service) suspectAfter() time.Duration {
	rounds := (len(s.peers) + maxPeersPerTick - 1) / maxPeersPerTick
	return suspectPeriods * heartbeatPeriod * time.Duration(max(rounds, 1))
}

// forget drops instances that are gone from everywhere. The lock is held.
func (s *Service) forget(now time.Duration) {
	for id, p := range s.peers {
		_, listed := s.listed[id]
		if !listed && p.rowSession == 0 && now-max(p.at, p.firstSeen) > forgetAfter {
			delete(s.peers, id)
		}
	}
}
