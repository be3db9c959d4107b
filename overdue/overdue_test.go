package overdue

import (
	"testing"
	"time"
)

func TestDecide(t *testing.T) {
	const now = time.Hour
	idle := Worker{Reachable: true}
	for name, c := range map[string]struct {
		worker Worker
		lag    time.Duration
		spent  bool
		want   Action
	}{
		"a task that waits for the time-out of its start":                   {worker: idle, want: ActionRaise},
		"a token raised twice for commands sent before one raise":           {worker: Worker{Reachable: true, TokenRaised: true, RaisedAt: now}, want: ActionPoll},
		"a token raised without end for one worker":                         {worker: Worker{Reachable: true, RaisedAt: now - MinRaiseInterval + 1}, want: ActionWait},
		"a start that is overdue for 0.5 s because of the interval":         {worker: Worker{Reachable: true, RaisedAt: now - MinRaiseInterval}, want: ActionRaise},
		"tokens used up, so that a restart is not fenced any more":          {worker: Worker{Reachable: true, Raises: maxRaises}, want: ActionRepeat},
		"a raise that no poll can confirm":                                  {worker: Worker{RaisedAt: now}, want: ActionRepeat},
		"a slow leader that revokes commands of workers which are all well": {worker: idle, lag: maxLeaderLag + 1, want: ActionRepeat},
		"a leader that raises tokens for its whole fleet":                   {worker: idle, spent: true, want: ActionRepeat},
	} {
		t.Run(name, func(t *testing.T) {
			var budget Budget
			for c.spent && budget.Take(now) {
			}
			if got := Decide(c.worker, c.lag, now, &budget); got != c.want {
				t.Errorf("%v, want %v", got, c.want)
			}
		})
	}
}

// Guards against a budget that is spent by decisions that raise no token, or that is never renewed.
func TestBudgetCountsRaisesOfASecond(t *testing.T) {
	var budget Budget
	raised := 0
	for i := range 1000 {
		w := Worker{Reachable: i%2 == 0}
		if Decide(w, 0, time.Hour, &budget) == ActionRaise {
			raised++
		}
	}
	if raised != BudgetPerSecond || Decide(Worker{Reachable: true}, 0, time.Hour+time.Second, &budget) != ActionRaise {
		t.Errorf("%d raises in one second", raised)
	}
}

// Guards against a worker that is avoided for good after a fault, and against one whose many faults count as one.
func TestScoreDecays(t *testing.T) {
	var s Score
	s.Note(time.Hour)
	s.Note(time.Hour)
	if got := s.At(time.Hour); got != 2 {
		t.Errorf("score %v after two overdue starts", got)
	}
	if got := s.At(time.Hour + scoreHalfLife); got != 1 {
		t.Errorf("score %v after the half-life", got)
	}
}
