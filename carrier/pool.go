package carrier

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"bronzehook/jobs"
	"bronzehook/leadership"
	"bronzehook/recovery"
	"bronzehook/workers"
)

const (
	// directWorkersPerCore is the number of workers that a leader calls itself for each core that it may use. Above it,
	// calls cost more of its processor than decisions.
	directWorkersPerCore = 800
	// workersPerCore is the number of workers that a carrier is to have for each core that it may use: it serves callers,
	// too.
	workersPerCore = 320
	// minCarrierShare is the least share of a core of a carrier. With less, calls wait for the processor.
	minCarrierShare = 0.25
	maxCarriers     = 32
	// retryAfterLoss is the time after which a lost carrier is used again. It is longer than the time within which a
	// worker may not change to and fro between callers.
	retryAfterLoss = 15 * time.Second
	// connectInterval is the time between two tries to connect to more carriers.
	connectInterval = 100 * time.Millisecond
	// memberReadInterval is the least time between two reads of the instances.
	memberReadInterval = 4 * time.Second
)

// Pool holds the connections of a leader to its carriers and assigns workers to them.
type Pool struct {
	self     string
	cpuShare float64
	members  MembersFunc
	clock    leadership.Clock
	guard    *recovery.Guard
	logger   zerolog.Logger
	calls    *prometheus.CounterVec

	mu sync.Mutex
	// stop ends the connections of the present term; nil between terms.
	stop     context.CancelFunc
	session  Session
	fleet    int
	carriers map[string]*carrier
	// lostAt holds when carriers were lost last.
	lostAt map[string]time.Time
}

// carrier is an instance that makes calls for this one.
type carrier struct {
	link  *link
	share float64
	// assigned counts the workers that were assigned to it.
	assigned int
	leaving  bool
}

// MembersFunc reads the instances that may be carriers.
type MembersFunc func(ctx context.Context) ([]leadership.Member, error)

// NewPool returns a pool of the instance named self, which may use cpuShare of a core.
func NewPool(
	self string, cpuShare float64, members MembersFunc, clock leadership.Clock, guard *recovery.Guard,
	logger zerolog.Logger, registry prometheus.Registerer,
) *Pool {
	p := &Pool{
		self: self, cpuShare: cpuShare, members: members, clock: clock, guard: guard, logger: logger,
		carriers: make(map[string]*carrier), lostAt: make(map[string]time.Time),
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "bronzehook", Name: "carried_calls_total", Help: "Calls to workers made by other instances, by result.",
		}, []string{"result"}),
	}
	registry.MustRegister(p.calls)
	return p
}

// Session connects a pool with the leadership term that uses it.
type Session struct {
	// Valid reports whether the leader may act.
	Valid func() bool
	// Post runs a function on the term's goroutine. It may block, and is called on other goroutines.
	Post func(func())
	// Lost is called by Post when a carrier is no longer to be used.
	Lost func(name string)
}

// Begin starts a term.
func (p *Pool) Begin(session Session) {
	p.mu.Lock()
	defer p.mu.Unlock()
	ctx, stop := context.WithCancel(context.Background())
	p.stop, p.session, p.fleet = stop, session, 0
	go p.guard.Do("carrier connections", func() { p.connectUntil(ctx, session) })
}

// End ends a term and its connections.
func (p *Pool) End() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stop == nil {
		return
	}
	p.stop()
	for name, c := range p.carriers {
		go c.link.fail(context.Canceled)
		delete(p.carriers, name)
	}
	p.stop = nil
}

// Assign returns the carrier for the calls to one more worker of a fleet; empty if this instance is to make them itself.
func (p *Pool) Assign(fleet int) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fleet = fleet
	if !p.needed() {
		return ""
	}
	chosen := ""
	for name, c := range p.carriers {
		if !c.leaving && (chosen == "" || c.load() < p.carriers[chosen].load()) {
			chosen = name
		}
	}
	if chosen != "" {
		p.carriers[chosen].assigned++
	}
	return chosen
}

// Connecting reports whether the fleet needs carriers and none is connected yet.
func (p *Pool) Connecting() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.needed() && len(p.carriers) == 0
}

// Release notes that a worker is no longer assigned to a carrier.
func (p *Pool) Release(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := p.carriers[name]; c != nil {
		c.assigned--
	}
}

// load is the number of assigned workers for each core.
func (c *carrier) load() float64 { return float64(c.assigned) / c.share }

// needed reports whether the fleet is too large for this instance alone.
func (p *Pool) needed() bool { return float64(p.fleet) > directWorkersPerCore*p.cpuShare }

// connectUntil connects to carriers as the fleet needs them, until the term ends.
func (p *Pool) connectUntil(ctx context.Context, session Session) {
	var nextRead time.Duration
	var members []leadership.Member
	for ctx.Err() == nil {
		if now := p.clock(); p.lacking() > 0 && now >= nextRead {
			read, err := p.members(ctx)
			nextRead = now + memberReadInterval
			if err == nil {
				members = read
			}
		}
		for _, m := range p.missing(members) {
			p.connect(ctx, session, m)
		}
		leadership.Sleep(ctx, connectInterval)
	}
}

// lacking returns how many cores of further carriers the fleet needs.
func (p *Pool) lacking() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lackingLocked()
}

func (p *Pool) lackingLocked() float64 {
	if !p.needed() {
		return 0
	}
	lacking := float64(p.fleet) / workersPerCore
	for _, c := range p.carriers {
		lacking -= c.share
	}
	return lacking
}

// missing returns the members to connect to.
func (p *Pool) missing(members []leadership.Member) []leadership.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	lacking := p.lackingLocked()
	var missing []leadership.Member
	for _, m := range p.candidates(members) {
		if lacking <= 0 || len(p.carriers)+len(missing) >= maxCarriers {
			break
		}
		lacking -= usableShare(m)
		missing = append(missing, m)
	}
	return missing
}

// candidates returns the members that may become carriers, the best suited first.
func (p *Pool) candidates(members []leadership.Member) []leadership.Member {
	var candidates []leadership.Member
	for _, m := range members {
		if m.Name == p.self || m.Addr == "" || m.CPUShare < minCarrierShare || p.carriers[m.Name] != nil {
			continue
		}
		if lostAt, lost := p.lostAt[m.Name]; lost && time.Since(lostAt) < retryAfterLoss {
			continue
		}
		candidates = append(candidates, m)
	}
	slices.SortFunc(candidates, func(a, b leadership.Member) int { return leadership.CompareFitness(&a, &b) })
	return candidates
}

// usableShare returns the share of a core that a carrier can use: it makes calls on one thread at a time.
func usableShare(m leadership.Member) float64 { return min(1, m.CPUShare) }

func (p *Pool) connect(ctx context.Context, session Session, m leadership.Member) {
	onLeaving := func() { p.leave(ctx, session, m.Name) }
	onLost := func(err error) { p.lose(ctx, session, m.Name, err) }
	l, err := dialLink(ctx, m.Addr, session, p.clock, p.guard, onLeaving, onLost)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.lostAt[m.Name] = time.Now()
		p.logger.Warn().Str("peer", m.Name).AnErr("error", err).Msg("no carrier")
		return
	}
	if ctx.Err() != nil {
		go l.fail(ctx.Err())
		return
	}
	if l.ended() {
		// It ended before it was added, and lose has found nothing to remove.
		return
	}
	p.carriers[m.Name] = &carrier{link: l, share: usableShare(m)}
	p.logger.Info().Str("peer", m.Name).Float64("cpu_share", m.CPUShare).Int("fleet", p.fleet).Msg("carrier connected")
}

// leave stops assigning workers to a carrier that shuts down. Calls in flight still get their results.
func (p *Pool) leave(ctx context.Context, session Session, name string) {
	p.mu.Lock()
	if c := p.carriers[name]; c != nil {
		c.leaving = true
	}
	p.mu.Unlock()
	if ctx.Err() == nil {
		session.Post(func() { session.Lost(name) })
	}
}

// lose forgets a carrier.
func (p *Pool) lose(ctx context.Context, session Session, name string, err error) {
	if ctx.Err() != nil {
		return
	}
	p.mu.Lock()
	p.lostAt[name] = time.Now()
	delete(p.carriers, name)
	p.mu.Unlock()
	p.logger.Warn().Str("peer", name).AnErr("error", err).Msg("carrier lost")
	session.Post(func() { session.Lost(name) })
}

// linkOf returns the link to the carrier of a worker.
func (p *Pool) linkOf(target workers.Target) (*link, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.carriers[target.Via]
	if c == nil {
		return nil, &workers.UnreachableError{Worker: target.ID, Detail: "its carrier " + target.Via + " is lost"}
	}
	return c.link, nil
}

// carry makes a call through the carrier of a worker. done is called by Session.Post.
func (p *Pool) carry(target workers.Target, request call, done doneFunc) {
	request.Worker, request.Addr, request.FencingToken = target.ID, target.Addr, target.FencingToken
	handle := func(got result, err error) {
		if err != nil {
			p.calls.WithLabelValues("lost").Inc()
			var expired *ExpiredError
			done(got, lostCall(&request, target.ID, err, errors.As(err, &expired)))
			return
		}
		p.calls.WithLabelValues("answered").Inc()
		done(got, got.errorOf(target.ID))
	}
	l, err := p.linkOf(target)
	if err == nil {
		err = l.do(request, handle)
	}
	if err != nil {
		p.mu.Lock()
		post := p.session.Post
		p.mu.Unlock()
		// Post may block, and this may be the term's own goroutine.
		go post(func() {
			p.calls.WithLabelValues("lost").Inc()
			done(result{}, lostCall(&request, target.ID, err, true))
		})
	}
}

// lostCall returns the error of a call without a result. unsent is set if the call did not leave this instance.
func lostCall(request *call, id workers.ID, err error, unsent bool) error {
	if unsent && request.Kind == kindStart {
		return errors.WithStack(&workers.NotSentError{Worker: id, Detail: err.Error()})
	}
	return errors.WithStack(&workers.UnreachableError{Worker: id, Detail: err.Error()})
}

// StartVia sends a start through the carrier in its target and calls done with what workers.Client.Start would return.
func (p *Pool) StartVia(command workers.Start, done func(clock int64, err error)) {
	p.carry(command.Target, call{
		Kind: kindStart, Task: wireTask(command.Task), Attempt: command.Attempt, Text: command.Text, Checkpoint: command.Checkpoint,
		Ticket: command.Ticket, StartTime: command.StartTime, LeaseExpiry: command.LeaseExpiry, DataCentre: command.DataCentre,
		leaveBy: command.LeaveBy,
	}, func(got result, err error) { done(got.Clock, err) })
}

// PollVia sends a poll through the carrier in its target and calls done with what workers.Client.Poll would return.
func (p *Pool) PollVia(request workers.PollRequest, done func(workers.Inventory, error)) {
	p.carry(request.Target, call{
		Kind: kindPoll, StartTime: request.StartTime, LeaseExpiry: request.LeaseExpiry, AckUpTo: request.AckUpTo,
		Wait: request.Wait.Milliseconds(), TimeoutMargin: request.TimeoutMargin.Milliseconds(),
	}, func(got result, err error) {
		if got.Inventory == nil {
			done(workers.Inventory{Clock: got.Clock}, err)
			return
		}
		done(got.Inventory.inventory(got.Clock), err)
	})
}

// StopVia sends a stop through the carrier in its target and calls done with what workers.Client.Stop would return.
func (p *Pool) StopVia(target workers.Target, stopped jobs.Task, attempt int, done func(error)) {
	p.carry(target, call{Kind: kindStop, Task: wireTask(stopped), Attempt: attempt}, func(_ result, err error) { done(err) })
}

// ThrottleVia sends a throttle through the carrier in its target and calls done with what workers.Client.Throttle would
// return.
func (p *Pool) ThrottleVia(target workers.Target, throttled jobs.Task, attempt, percent int, done func(error)) {
	request := call{Kind: kindThrottle, Task: wireTask(throttled), Attempt: attempt, Percent: percent}
	p.carry(target, request, func(_ result, err error) { done(err) })
}
