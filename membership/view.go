package membership

import (
	"time"

	"bronzehook/api"
)

// Status is the state of another instance as observed by this one.
type Status string

// Values of Status.
const (
	StatusLive Status = "live"
	// StatusSuspect instances get no new requests. They keep their units until their instance lease expires.
	StatusSuspect Status = "suspect"
	StatusLeaving Status = "leaving"
)

const (
	// missedHeartbeatsToSuspect is the number of missed heartbeats after which an instance is suspect: 3 s if every tick
	// reaches every peer.
	missedHeartbeatsToSuspect = 3
	// peerRetention is the time after its last heartbeat for which an instance is kept that neither the directory nor a
	// session row names.
	peerRetention = time.Minute
)

// Member describes another instance.
type Member struct {
	Instance api.Instance
	// Session is the incarnation that sent the last heartbeat.
	Session uint64
	Status  Status
	// Listed is set while the directory lists the instance.
	Listed bool
	// LastHeartbeat is the time of the last heartbeat; HeartbeatReceived is false before the first one.
	HeartbeatReceived bool
	LastHeartbeat     time.Duration
	Revision          uint64
	EndpointVersion   uint64
	StoreReachable    bool
	// Expired is set while the instance lease has expired by the rule of package authority, and RowExpired while the session
	// row alone has not changed for the expiry delay, which allows the coordinator unit to be acquired. Both refer to the
	// session row at RowVersion, which an acquisition must state as a condition.
	Expired    bool
	RowExpired bool
	// RowStale is set while the session row has not changed for authority.Rule.StaleAfter.
	RowStale   bool
	RowVersion uint64
	// RowSession is the incarnation that the session row names; 0 if there is no row.
	RowSession uint64
}

// CoordinatorReplaceable reports whether the coordinator unit may be acquired from the instance: its session row has not
// changed for the expiry delay, or it is suspect and its session row is stale.
func (m Member) CoordinatorReplaceable() bool {
	return m.RowExpired || m.RowStale && m.Status == StatusSuspect
}

// View is an immutable snapshot of what this instance knows about the fleet.
type View struct {
	// At is the monotonic time (Service.Now) of the snapshot.
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

// RegionOfAddr returns the region of the instance at an address, or "" if no instance is known there.
func (v *View) RegionOfAddr(addr string) string {
	for _, m := range v.Members {
		if m.Instance.Addr == addr {
			return m.Instance.Location.Region
		}
	}
	return ""
}

// hasUnexpiredSuspect reports whether there is a suspect instance whose lease has not expired.
func (v *View) hasUnexpiredSuspect() bool {
	for _, m := range v.Members {
		if m.Status == StatusSuspect && !m.Expired {
			return true
		}
	}
	return false
}

// peerState is the state of another instance as known from its heartbeats and its session row.
type peerState struct {
	instance          api.Instance
	hasDescription    bool
	session           uint64
	lastHeartbeat     heartbeat
	heartbeatReceived bool
	lastHeartbeatAt   time.Duration
	firstSeen         time.Duration
	// hasEchoed is set once the peer has echoed a heartbeat of this incarnation, so that it has the description of this
	// instance.
	hasEchoed  bool
	rowSession uint64
	// rowRevision is the configuration revision that the session row names.
	rowRevision uint64
}

// revision returns the highest configuration revision that is known to be active in the peer's current incarnation. In a
// large fleet heartbeats rotate over the peers, so the session row is often newer. A row of another incarnation is
// ignored.
func (p *peerState) revision() uint64 {
	if p.rowSession == p.session {
		return max(p.lastHeartbeat.Revision, p.rowRevision)
	}
	return p.lastHeartbeat.Revision
}

// ensurePeer returns the state of an instance and creates it if necessary.
func (s *Service) ensurePeer(id api.InstanceID) *peerState {
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
		SessionsRead:  s.row.sessionsRead,
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
		Instance:          instance,
		Session:           p.session,
		Status:            s.status(p, instance, now),
		Listed:            listed,
		HeartbeatReceived: p.heartbeatReceived,
		LastHeartbeat:     p.lastHeartbeatAt,
		Revision:          p.revision(),
		EndpointVersion:   p.lastHeartbeat.EndpointVersion,
		StoreReachable:    p.lastHeartbeat.Flags&flagStoreReachable != 0,
		Expired:           s.observer.Expired(id, instance.Location.Region, now),
		RowExpired:        s.observer.RowExpired(id, now),
		RowStale:          s.observer.RowStale(id, now),
		RowVersion:        s.observer.Version(id),
		RowSession:        p.rowSession,
	}
}

// instanceOf returns the description of an instance. Its own description takes precedence over that of the directory,
// which lags.
func (s *Service) instanceOf(id api.InstanceID, p *peerState) api.Instance {
	instance, listed := s.listed[id]
	if p.hasDescription || !listed {
		instance = p.instance
	}
	instance.ID = id
	instance.Leaving = s.listed[id].Leaving || p.lastHeartbeat.Flags&flagLeaving != 0
	return instance
}

func (s *Service) status(p *peerState, instance api.Instance, now time.Duration) Status {
	if instance.Leaving {
		return StatusLeaving
	}
	since := p.firstSeen
	if p.heartbeatReceived {
		since = p.lastHeartbeatAt
	}
	if now-since > s.suspectAfter() {
		return StatusSuspect
	}
	return StatusLive
}

// suspectAfter returns the time without a heartbeat after which an instance is suspect. It grows with the number of
// ticks that an instance needs to send one heartbeat to every peer.
func (s *Service) suspectAfter() time.Duration {
	ticks := (len(s.peers) + maxPeersPerTick - 1) / maxPeersPerTick
	return missedHeartbeatsToSuspect * heartbeatInterval * time.Duration(max(ticks, 1))
}

// removeStalePeers removes instances that have been unknown to all sources for peerRetention. s.mu must be held.
func (s *Service) removeStalePeers(now time.Duration) {
	for id, p := range s.peers {
		_, listed := s.listed[id]
		if !listed && p.rowSession == 0 && now-max(p.lastHeartbeatAt, p.firstSeen) > peerRetention {
			delete(s.peers, id)
		}
	}
}
