package entry

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"bronzehook/leadership"
	"bronzehook/platform"
	"bronzehook/store"
	"bronzehook/tablefeed"
)

const (
	// peerRetryDelay is the time after which peers are asked again of which none could answer.
	peerRetryDelay = 100 * time.Millisecond
	// peerCooldown is how long a peer is not asked again that did not answer.
	peerCooldown = 10 * time.Second
	// maxReadersAsked bounds the readers that are asked in one round, besides substitutes and one other instance.
	maxReadersAsked = 2
	// maxPeerAge is the age from which on a copy of a peer without changes is not used. That of a reader is up to twice
	// tablefeed.ReaderWait and the way to the store.
	maxPeerAge = 1300 * time.Millisecond
)

// Sources of the operator's table, as the label of a metric and in logs.
const (
	sourceStore = "store"
	sourcePeer  = "peer"
)

// configSource reads the operator's table: from the store, or from a reader of the same region (see tablefeed). It keeps the copy
// that this instance serves to peers.
type configSource struct {
	table  store.Table
	copy   *tablefeed.Copy
	client *tablefeed.Client
	clock  leadership.Clock
	self   string
	// leading reports whether this instance leads. The leader reads the store itself, as its commands depend on recent knowledge.
	leading func() bool
	logger  zerolog.Logger
	reads   *prometheus.CounterVec

	mu   sync.Mutex
	plan tablefeed.Plan
	// avoidUntil holds until when peers are not asked that did not answer.
	avoidUntil map[string]time.Duration
	// source is the source of the latest answer.
	source string
}

func newConfigSource(
	table store.Table, self string, leading func() bool, clock leadership.Clock, logger zerolog.Logger, registry prometheus.Registerer,
) *configSource {
	s := &configSource{
		table: table, copy: tablefeed.NewCopy(), client: tablefeed.NewClient(platform.OperatorTable), clock: clock, self: self,
		leading: leading, logger: logger, avoidUntil: make(map[string]time.Duration),
		reads: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "bronzehook", Name: "operator_table_reads_total", Help: "Reads of the operator's table, by source and result.",
		}, []string{"source", "result"}),
	}
	registry.MustRegister(s.reads)
	return s
}

// setMembers determines anew from whom this instance gets the table.
func (s *configSource) setMembers(members []leadership.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.plan = tablefeed.NewPlan(members, s.self)
}

func (s *configSource) currentPlan() tablefeed.Plan {
	if s.leading() {
		return tablefeed.Plan{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.plan
}

// list reads the whole table.
func (s *configSource) list(ctx context.Context) (tablefeed.Delta, error) {
	plan := s.currentPlan()
	if delta, ok := s.fromPeers(ctx, &plan, 0, 0); ok && delta.Full {
		return delta, nil
	}
	sentAt := s.clock()
	rows, err := store.List(ctx, s.table, platform.OperatorTable, "", "")
	s.record(sourceStore, "", err)
	if err != nil {
		return tablefeed.Delta{}, err
	}
	s.copy.Replace(rows.Rows, rows.Version, sentAt)
	return tablefeed.Delta{Rows: rows.Rows, Version: rows.Version, Full: true}, nil
}

// watch returns the changes after a version. It waits for the first one for a limited time.
func (s *configSource) watch(ctx context.Context, after uint64) (tablefeed.Delta, error) {
	wait := manifestWatchWait
	plan := s.currentPlan()
	for ; plan.FromPeers() && ctx.Err() == nil; plan = s.currentPlan() {
		if delta, ok := s.fromPeers(ctx, &plan, after, tablefeed.MaxWait); ok {
			return delta, nil
		}
		if plan.IsSubstitute || s.clock()-s.copy.ConfirmedAt() >= plan.Fallback {
			break
		}
		leadership.Sleep(ctx, peerRetryDelay)
	}
	switch {
	case plan.Reads, plan.IsSubstitute:
		wait = tablefeed.ReaderWait
	case plan.FromPeers():
		// An instance that waits at the store for a change would get it together with all others that do.
		wait = 0
	}
	sentAt := s.clock()
	changes, err := s.table.Watch(ctx, platform.OperatorTable, after, wait)
	s.record(sourceStore, "", err)
	if err != nil {
		return tablefeed.Delta{}, err
	}
	if changes.More {
		// The watch did not report all changes before it was sent, so that it confirms nothing.
		sentAt = 0
	}
	s.copy.Apply(changes.Rows, changes.ResumeAfter(after), sentAt)
	return tablefeed.Delta{Rows: changes.Rows, Version: changes.ResumeAfter(after)}, nil
}

// fromPeers asks peers for the changes after a version. The first one that answers may wait for a change. An old copy of a peer
// counts only if it has changes, and one with an older version than the own copy does not count: as a full read it would remove
// rows that are newer.
func (s *configSource) fromPeers(ctx context.Context, plan *tablefeed.Plan, after uint64, wait time.Duration) (tablefeed.Delta, bool) {
	oldest := max(after, s.copy.Version())
	for _, peer := range s.candidates(plan) {
		sentAt := s.clock()
		delta, err := s.client.Fetch(ctx, peer.Addr, after, wait)
		s.record(sourcePeer, peer.Name, err)
		if err != nil {
			s.avoid(peer.Name, sentAt)
			continue
		}
		wait = 0
		if delta.Version < oldest || (delta.Age > maxPeerAge && len(delta.Rows) == 0) {
			continue
		}
		if delta.Full {
			s.copy.Replace(delta.Rows, delta.Version, sentAt-delta.Age)
		} else {
			s.copy.Apply(delta.Rows, delta.Version, sentAt-delta.Age)
		}
		return delta, true
	}
	return tablefeed.Delta{}, false
}

// rowsOfPeers returns what a peer has beyond the copy, without a change of the copy.
func (s *configSource) rowsOfPeers(ctx context.Context) []store.Row {
	plan := s.currentPlan()
	known, _ := s.copy.Since(0, s.clock())
	for _, peer := range s.candidates(&plan) {
		sentAt := s.clock()
		delta, err := s.client.Fetch(ctx, peer.Addr, known.Version, 0)
		s.record(sourcePeer, peer.Name, err)
		if err != nil {
			s.avoid(peer.Name, sentAt)
		}
		if err == nil && len(delta.Rows) > 0 {
			return delta.Rows
		}
	}
	return nil
}

// fromStore reports whether this instance reads the store itself.
func (s *configSource) fromStore() bool {
	plan := s.currentPlan()
	return !plan.FromPeers()
}

// candidates returns the peers to ask in this order: readers, substitutes, then any other instance of the region.
func (s *configSource) candidates(plan *tablefeed.Plan) []leadership.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	avoided := func(m leadership.Member) bool { return now < s.avoidUntil[m.Name] }
	candidates := slices.DeleteFunc(slices.Clone(plan.Readers), avoided)
	candidates = candidates[:min(len(candidates), maxReadersAsked)]
	candidates = append(candidates, slices.DeleteFunc(slices.Clone(plan.Substitutes), avoided)...)
	if len(plan.Others) > 0 {
		if other := plan.Others[rand.N(len(plan.Others))]; !avoided(other) {
			candidates = append(candidates, other)
		}
	}
	return candidates
}

func (s *configSource) avoid(peer string, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.avoidUntil[peer] = now + peerCooldown
}

// record counts a read and logs a change of the source.
func (s *configSource) record(source, peer string, err error) {
	result := "good"
	if err != nil {
		result = "failed"
	}
	s.reads.WithLabelValues(source, result).Inc()
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil && s.source != source {
		s.source = source
		s.logger.Info().Str("source", source).Str("peer", peer).Msg("source of the operator's table")
	}
}
