// Package overdue decides what happens to a start command whose response is overdue. The decisions are pure: they use the state
// that the caller passes, and the caller's clock.
package overdue

import "time"

const (
	// After is how long the response to a start may take before it is overdue. Workers in another region respond within 30 ms.
	After = 200 * time.Millisecond
	// maxLeaderLag is the lag of the leader from which on no token is raised: its own delay then makes up most of After.
	maxLeaderLag = 150 * time.Millisecond
	// MinRaiseInterval is the minimum time between two raises for one worker. With After and the round trip of a poll it keeps
	// the time until a task is placed again within 500 ms.
	MinRaiseInterval = 250 * time.Millisecond
	// BudgetPerSecond bounds the raises for all workers, and likewise the calls that are sent a second time: to a leader that is slow
	// itself, all responses seem overdue.
	BudgetPerSecond = 24
	// maxRaises bounds the raises for one worker in a term. The token has 4,096 values for each worker and term, which changes
	// of carriers and restarts of the worker need, too.
	maxRaises = 2048
)

// Action is what happens to a start command whose response is overdue.
type Action int

// The actions.
const (
	// ActionRepeat sends the command a second time with the same token.
	ActionRepeat Action = iota
	// ActionWait decides again later.
	ActionWait
	// ActionRaise raises the fencing token for the worker and polls it at once.
	ActionRaise
	// ActionPoll polls the worker at once, as its fencing token has been raised since the command was sent.
	ActionPoll
)

// String returns the name of the action in metrics and in the log.
func (a Action) String() string {
	switch a {
	case ActionRepeat:
		return "repeated"
	case ActionRaise:
		return "raised"
	case ActionPoll:
		return "polled"
	}
	return "waiting"
}

// Worker is the state of the worker that an overdue start was sent to.
type Worker struct {
	// Reachable is false while polls of the worker fail.
	Reachable bool
	// TokenRaised is set if the fencing token for the worker exceeds that of the start.
	TokenRaised bool
	// Raises is the number of raises in this term. RaisedAt is when the token was last raised for an overdue start; 0 if it
	// never was.
	Raises   uint64
	RaisedAt time.Duration
}

// Budget limits what is done about overdue responses in each second.
type Budget struct {
	second time.Duration
	taken  int
}

// Take reports whether something may be done about another response in the current second, and counts it.
func (b *Budget) Take(now time.Duration) bool {
	if second := now.Truncate(time.Second); second != b.second {
		b.second, b.taken = second, 0
	}
	if b.taken == BudgetPerSecond {
		return false
	}
	b.taken++
	return true
}

// Taken returns how much of the budget was used in the latest second in which any was.
func (b *Budget) Taken() int { return b.taken }

// Decide returns what happens to an overdue start. leaderLag is by how much the leader handles events late.
func Decide(w Worker, leaderLag, now time.Duration, budget *Budget) Action {
	switch {
	case !w.Reachable || leaderLag > maxLeaderLag:
		return ActionRepeat
	case w.TokenRaised:
		return ActionPoll
	case w.Raises >= maxRaises:
		return ActionRepeat
	case w.RaisedAt > 0 && now < w.RaisedAt+MinRaiseInterval:
		return ActionWait
	case !budget.Take(now):
		return ActionRepeat
	}
	return ActionRaise
}

// FenceAfter returns how long after a start command was sent the token may be raised for it. A member of a gang is first sent
// the start again, because a gang restarts as a whole if one of its starts is given up.
func FenceAfter(gang bool, sent int) time.Duration {
	if gang && sent == 1 {
		return 2 * After
	}
	return After
}
