package membership

import (
	"context"
	"slices"
	"strings"
	"time"

	"bronzehook/api"
	"bronzehook/fault"
	"bronzehook/peer"
)

const (
	maxPeersPerTick = 8
	// sameRegionQuota is the guaranteed number of heartbeats per tick to instances of the same region, since the instance
	// lease needs their acknowledgements within the instance lease duration.
	sameRegionQuota = 6
	// unresponsiveTicks is the number of ticks between heartbeats to an instance from which none was received for
	// unresponsiveAfter. Every attempt to connect costs a handshake of several full-size packets.
	unresponsiveTicks = 5
	unresponsiveAfter = 10 * time.Second
)

// outgoingHeartbeat is one heartbeat to be sent.
type outgoingHeartbeat struct {
	id      api.InstanceID
	addr    string
	message heartbeat
}

// sendHeartbeats sends heartbeats to at most limit peers without waiting for them.
func (s *Service) sendHeartbeats(ctx context.Context, limit int) {
	s.mu.Lock()
	now := s.Now()
	s.lease.ConfirmedBy(s.config.Self.ID, now, now)
	s.recordOwnReports(now)
	s.removeStalePeers(now)
	messages := s.prepareHeartbeats(now, limit)
	s.tick++
	s.publish()
	s.mu.Unlock()
	for _, m := range messages {
		s.goroutines.Go(func() { s.sendHeartbeat(ctx, m) })
	}
}

func (s *Service) sendHeartbeat(ctx context.Context, m outgoingHeartbeat) {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	if err := s.config.Messenger.Send(ctx, m.addr, peer.KindHeartbeat, m.message); err != nil {
		s.config.Log.Debug().Err(err).Str("peer", string(m.id)).Msg("heartbeat not sent")
	}
	s.mu.Lock()
	delete(s.inFlight, m.id)
	s.mu.Unlock()
}

// recordOwnReports records this instance's own reports about the other instances of its region.
func (s *Service) recordOwnReports(now time.Duration) {
	for id := range s.peers {
		if s.sameRegion(id) {
			s.observer.RecordUnresponsiveReport(s.config.Self.ID, id, now-s.tracker.Age(id, now), now)
		}
	}
}

func (s *Service) sameRegion(id api.InstanceID) bool {
	return s.instanceOf(id, s.peers[id]).Location.Region == s.config.Self.Location.Region
}

func (s *Service) prepareHeartbeats(now time.Duration, limit int) []outgoingHeartbeat {
	var messages []outgoingHeartbeat
	for _, id := range s.choosePeers(now, limit) {
		s.inFlight[id] = true
		p := s.peers[id]
		messages = append(messages, outgoingHeartbeat{
			id: id, addr: s.instanceOf(id, p).Addr, message: s.heartbeatFor(id, p, now),
		})
	}
	return messages
}

// choosePeers returns the peers that get a heartbeat in this tick. If more than limit are due, the choice rotates from
// tick to tick.
func (s *Service) choosePeers(now time.Duration, limit int) []api.InstanceID {
	var regionPeers, others []api.InstanceID
	for id, p := range s.peers {
		skip := now-max(p.lastHeartbeatAt, p.firstSeen) > unresponsiveAfter && s.tick%unresponsiveTicks != 0
		switch {
		case s.inFlight[id] || skip || s.instanceOf(id, p).Addr == "":
		case s.sameRegion(id):
			regionPeers = append(regionPeers, id)
		default:
			others = append(others, id)
		}
	}
	if len(regionPeers)+len(others) <= limit {
		return append(regionPeers, others...)
	}
	regionCount := min(len(regionPeers), max(sameRegionQuota, limit-len(others)))
	return append(s.rotate(regionPeers, regionCount), s.rotate(others, limit-regionCount)...)
}

// rotate returns count of the IDs, with a start that moves on by count at every tick.
func (s *Service) rotate(ids []api.InstanceID, count int) []api.InstanceID {
	if count >= len(ids) {
		return ids
	}
	slices.SortFunc(ids, func(a, b api.InstanceID) int { return strings.Compare(string(a), string(b)) })
	start := int(s.tick*uint64(count)) % len(ids)
	return slices.Concat(ids[start:], ids[:start])[:count]
}

func (s *Service) heartbeatFor(id api.InstanceID, p *peerState, now time.Duration) heartbeat {
	m := heartbeat{Sent: uint64(now.Milliseconds()), Flags: s.flags(), Ages: s.agesFor(id, now)}
	if s.config.Revision != nil {
		m.Revision = s.config.Revision()
	}
	if s.config.EndpointVersion != nil {
		m.EndpointVersion = s.config.EndpointVersion()
	}
	if p.heartbeatReceived {
		m.EchoSession = uint32(p.session)
		m.Echo = p.lastHeartbeat.Sent
	}
	if !p.hasEchoed {
		self := s.config.Self
		m.Self = &self
	}
	return m
}

func (s *Service) flags() uint8 {
	var flags uint8
	if s.leaving.Load() {
		flags |= flagLeaving
	}
	if s.storeReachable {
		flags |= flagStoreReachable
	}
	return flags
}

func (s *Service) agesFor(receiver api.InstanceID, now time.Duration) []byte {
	var ages []byte
	for id := range s.peers {
		if id != receiver && s.sameRegion(id) {
			ages = appendAge(ages, id, s.tracker.Age(id, now), s.config.Rule.ExpiryDelay())
		}
	}
	return ages
}

// handleHeartbeat handles a heartbeat from another instance.
func (s *Service) handleHeartbeat(_ context.Context, from peer.Sender, payload []byte) ([]byte, error) {
	var m heartbeat
	if err := peer.Decode(payload, &m); err != nil {
		return nil, err
	}
	if from.ID == s.config.Self.ID {
		return nil, fault.New(fault.CodeConflict, "heartbeat", "another process uses the ID of this instance")
	}
	s.mu.Lock()
	p, endpointsChanged := s.applyHeartbeat(from, m)
	instance := s.instanceOf(from.ID, p)
	s.publish()
	s.mu.Unlock()
	s.invokeCallbacks(instance, m, endpointsChanged)
	return nil, nil
}

// applyHeartbeat applies a heartbeat to the state of its sender. It returns that state and reports whether the endpoint
// version has changed.
func (s *Service) applyHeartbeat(from peer.Sender, m heartbeat) (*peerState, bool) {
	now := s.Now()
	p := s.ensurePeer(from.ID)
	restarted := p.session != from.Session
	// An older heartbeat of the same incarnation is dropped. One with an equal time was sent within the same millisecond,
	// for example to announce the leaving flag, and is applied.
	if !restarted && m.Sent < p.lastHeartbeat.Sent {
		return p, false
	}
	if !restarted {
		m.Flags |= p.lastHeartbeat.Flags & flagLeaving
	}
	endpointsChanged := restarted || p.lastHeartbeat.EndpointVersion != m.EndpointVersion
	if restarted {
		p.hasEchoed = false
	}
	p.session, p.lastHeartbeat, p.heartbeatReceived, p.lastHeartbeatAt = from.Session, m, true, now
	if m.Self != nil {
		p.instance, p.hasDescription = *m.Self, true
	}
	s.tracker.RecordHeartbeat(from.ID, now)
	if m.EchoSession == uint32(s.session) && m.Echo > 0 {
		s.applyEcho(from.ID, p, m, now)
	}
	return p, endpointsChanged
}

// applyEcho applies the parts of a heartbeat that are usable only because its sender has received one from this
// instance: the echo bounds the age of the message on this instance's clock.
func (s *Service) applyEcho(from api.InstanceID, p *peerState, m heartbeat, now time.Duration) {
	sent := time.Duration(m.Echo) * time.Millisecond
	if sent > now {
		return
	}
	p.hasEchoed = true
	s.lease.ConfirmedBy(from, sent, now)
	ids := map[uint64]api.InstanceID{}
	for id := range s.peers {
		ids[ageKey(id)] = id
	}
	decodeAges(m.Ages, s.config.Rule.ExpiryDelay(), func(key uint64, age time.Duration) {
		if id, ok := ids[key]; ok {
			s.observer.RecordUnresponsiveReport(from, id, now-age, sent)
		}
	})
}

func (s *Service) invokeCallbacks(from api.Instance, m heartbeat, endpointsChanged bool) {
	if s.config.OnRevision != nil && s.config.Revision != nil && m.Revision >= s.config.Revision() {
		s.config.OnRevision(from, m.Revision)
	}
	if s.config.OnEndpointsChanged != nil && endpointsChanged {
		s.config.OnEndpointsChanged(from, m.EndpointVersion)
	}
}
