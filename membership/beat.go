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
	// ownRegionShare is the number of places in a tick that instances of the own region may take when there are others,
	// since authority needs answers of the own region within Hold.
	ownRegionShare = 6
	// quietTicks is the number of ticks between heartbeats to an instance that has not been heard for quietAfter. Every
	// attempt costs a handshake of several full-size packets.
	quietTicks = 5
	quietAfter = 10 * time.Second
)

// outgoing is one heartbeat to be sent.
type outgoing struct {
	id      api.InstanceID
	addr    string
	message heartbeat
}

// beat sends heartbeats to at most limit peers without waiting for them.
func (s *Service) beat(ctx context.Context, limit int) {
	s.mu.Lock()
	now := s.Now()
	s.holder.HeardBy(s.config.Self.ID, now, now)
	s.reportOwnAges(now)
	s.forget(now)
	messages := s.prepare(now, limit)
	s.tick++
	s.publish()
	s.mu.Unlock()
	for _, m := range messages {
		s.tasks.Go(func() { s.send(ctx, m) })
	}
}

func (s *Service) send(ctx context.Context, m outgoing) {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	if err := s.config.Messenger.Send(ctx, m.addr, peer.KindHeartbeat, m.message); err != nil {
		s.config.Log.Debug().Err(err).Str("peer", string(m.id)).Msg("heartbeat not sent")
	}
	s.mu.Lock()
	delete(s.sending, m.id)
	s.mu.Unlock()
}

// reportOwnAges is this instance's own word on the other instances of its region.
func (s *Service) reportOwnAges(now time.Duration) {
	for id := range s.peers {
		if s.sameRegion(id) {
			s.observer.NotHeardReport(s.config.Self.ID, id, now-s.ledger.Age(id, now), now)
		}
	}
}

func (s *Service) sameRegion(id api.InstanceID) bool {
	return s.instanceOf(id, s.peers[id]).Location.Region == s.config.Self.Location.Region
}

func (s *Service) prepare(now time.Duration, limit int) []outgoing {
	var messages []outgoing
	for _, id := range s.choosePeers(now, limit) {
		s.sending[id] = true
		p := s.peers[id]
		messages = append(messages, outgoing{id: id, addr: s.instanceOf(id, p).Addr, message: s.heartbeatFor(id, p, now)})
	}
	return messages
}

// choosePeers rotates over the peers if there are more than limit.
func (s *Service) choosePeers(now time.Duration, limit int) []api.InstanceID {
	var own, others []api.InstanceID
	for id, p := range s.peers {
		quiet := now-max(p.at, p.firstSeen) > quietAfter && s.tick%quietTicks != 0
		switch {
		case s.sending[id] || quiet || s.instanceOf(id, p).Addr == "":
		case s.sameRegion(id):
			own = append(own, id)
		default:
			others = append(others, id)
		}
	}
	if len(own)+len(others) <= limit {
		return append(own, others...)
	}
	ownPlaces := min(len(own), max(ownRegionShare, limit-len(others)))
	return append(s.rotate(own, ownPlaces), s.rotate(others, limit-ownPlaces)...)
}

// rotate returns count of the ids, the next ones at every tick.
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
	if p.heard {
		m.EchoSession = uint32(p.session)
		m.Echo = p.last.Sent
	}
	if !p.echoed {
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
	if s.storeUp {
		flags |= flagStoreReachable
	}
	return flags
}

func (s *Service) agesFor(receiver api.InstanceID, now time.Duration) []byte {
	var ages []byte
	for id := range s.peers {
		if id != receiver && s.sameRegion(id) {
			ages = appendAge(ages, id, s.ledger.Age(id, now), s.config.Rule.Silence())
		}
	}
	return ages
}

// handleHeartbeat takes a heartbeat of another instance.
func (s *Service) handleHeartbeat(_ context.Context, from peer.Sender, payload []byte) ([]byte, error) {
	var m heartbeat
	if err := peer.Decode(payload, &m); err != nil {
		return nil, err
	}
	if from.ID == s.config.Self.ID {
		return nil, fault.New(fault.CodeConflict, "heartbeat", "another process uses the ID of this instance")
	}
	s.mu.Lock()
	p, changed := s.receive(from, m)
	instance := s.instanceOf(from.ID, p)
	s.publish()
	s.mu.Unlock()
	s.notify(instance, m, changed)
	return nil, nil
}

// receive joins a heartbeat into the state and reports whether the endpoint version differs from the one before.
func (s *Service) receive(from peer.Sender, m heartbeat) (*peerState, bool) {
	now := s.Now()
	p := s.peer(from.ID)
	renewed := p.session != from.Session
	// An equal reading is a second heartbeat within a millisecond, as when the leaving flag is set.
	if !renewed && m.Sent < p.last.Sent {
		return p, false
	}
	if !renewed {
		m.Flags |= p.last.Flags & flagLeaving
	}
	changed := renewed || p.last.EndpointVersion != m.EndpointVersion
	if renewed {
		p.echoed = false
	}
	p.session, p.last, p.heard, p.at = from.Session, m, true, now
	if m.Self != nil {
		p.instance, p.described = *m.Self, true
	}
	s.ledger.Heard(from.ID, now)
	if m.EchoSession == uint32(s.session) && m.Echo > 0 {
		s.receiveEcho(from.ID, p, m, now)
	}
	return p, changed
}

// receiveEcho uses what depends on the sender having heard this instance: the echo bounds the age of the message by
// this instance's own clock.
func (s *Service) receiveEcho(from api.InstanceID, p *peerState, m heartbeat, now time.Duration) {
	sent := time.Duration(m.Echo) * time.Millisecond
	if sent > now {
		return
	}
	p.echoed = true
	s.holder.HeardBy(from, sent, now)
	ids := map[uint64]api.InstanceID{}
	for id := range s.peers {
		ids[ageKey(id)] = id
	}
	decodeAges(m.Ages, s.config.Rule.Silence(), func(key uint64, age time.Duration) {
		if id, ok := ids[key]; ok {
			s.observer.NotHeardReport(from, id, now-age, sent)
		}
	})
}

func (s *Service) notify(from api.Instance, m heartbeat, endpointsChanged bool) {
	if s.config.RevisionSeen != nil && s.config.Revision != nil && m.Revision >= s.config.Revision() {
		s.config.RevisionSeen(from, m.Revision)
	}
	if s.config.EndpointsSeen != nil && endpointsChanged {
		s.config.EndpointsSeen(from, m.EndpointVersion)
	}
}
