package maintenance

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func wave(cap int, duration time.Duration, machines ...string) *Progress {
	p := NewProgress(Due{Wave: Wave{Number: 1, Machines: machines, Duration: duration, Cap: cap}, Since: time.Hour})
	p.Listed = true
	p.ListedAt = time.Hour
	return p
}

// Guards against more machines down at a time than the operator allows: by what is listed, by orders that the listing
// cannot show yet, and by orders without an answer.
func TestNoMoreMachinesDownThanAllowed(t *testing.T) {
	for name, c := range map[string]struct {
		states  map[string]State
		ordered map[string]time.Duration
		begun   map[string]bool
		open    string
		unread  bool
		want    bool
	}{
		"nothing is down":                        {want: true},
		"nothing is known":                       {unread: true},
		"as many are listed as down":             {states: map[string]State{"b": StateMaintenance}},
		"one is back":                            {states: map[string]State{"b": StateUp}, ordered: map[string]time.Duration{"b": time.Minute}, want: true},
		"an order later than the listing":        {states: map[string]State{"b": StateUp}, ordered: map[string]time.Duration{"b": time.Hour + 1}},
		"an order without an answer":             {states: map[string]State{"b": StateUp}, ordered: map[string]time.Duration{"b": time.Minute}, open: "b"},
		"the machine's own order had no answer":  {ordered: map[string]time.Duration{"a": time.Hour + 1}, want: true},
		"the machine itself is listed as down":   {states: map[string]State{"a": StateMaintenance}, want: true},
		"its maintenance has begun already":      {begun: map[string]bool{"a": true}},
		"a machine of no wave has crashed":       {states: map[string]State{"b": StateDown}, want: true},
		"a machine outside of the wave is there": {states: map[string]State{"z": StateMaintenance}, want: true},
	} {
		t.Run(name, func(t *testing.T) {
			p := wave(1, time.Minute, "a", "b", "c")
			p.States, p.Listed = c.states, !c.unread
			for machine, at := range c.ordered {
				p.Ordered[machine] = at
			}
			for machine := range c.begun {
				p.Begun[machine] = true
			}
			if c.open != "" {
				p.Open[c.open] = true
			}
			if got := p.MayOrder("a"); got != c.want {
				t.Errorf("may order: %v", got)
			}
		})
	}
}

// Guards against workers that are closed long before their turn, and against a wave that is late although machines could be
// emptied while others are down.
func TestMachinesAreEmptiedAsTheWaveNeeds(t *testing.T) {
	work := func(machine string) int { return map[string]int{"a": 5, "b": 1, "c": 3}[machine] }
	for name, c := range map[string]struct {
		duration time.Duration
		down     []string
		emptying []string
		want     []string
	}{
		"the least work goes first":              {duration: time.Minute, want: []string{"b", "c"}},
		"one is emptied already":                 {duration: time.Minute, emptying: []string{"b"}, want: []string{"c"}},
		"in time: waits for one that is down":    {duration: time.Minute, down: []string{"b"}, want: []string{"c"}},
		"late: empties while another is down":    {duration: time.Second, down: []string{"b"}, want: []string{"c", "a"}},
		"late: no more than can go down at once": {duration: time.Second, emptying: []string{"a", "b"}},
	} {
		t.Run(name, func(t *testing.T) {
			p := wave(2, c.duration, "a", "b", "c")
			p.States = make(map[string]State)
			for _, machine := range c.down {
				p.States[machine], p.Begun[machine] = StateMaintenance, true
			}
			for _, machine := range c.emptying {
				p.Emptying[machine] = time.Hour
			}
			got := p.Next(time.Hour, work)
			if diff := cmp.Diff(c.want, append([]string(nil), got...)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// Guards against work that is thrown away although the wave has time, and against a wave that waits for work beyond its time.
func TestPatienceFollowsTheTimeLeft(t *testing.T) {
	for name, c := range map[string]struct {
		duration, now time.Duration
		want          time.Duration
	}{
		"much time":       {10 * time.Minute, time.Hour, emptyTime},
		"little time":     {8 * time.Second, time.Hour, time.Second},
		"no time is left": {8 * time.Second, time.Hour + 9*time.Second, 0},
	} {
		t.Run(name, func(t *testing.T) {
			if got := wave(1, c.duration, "a", "b").Patience(c.now); got != c.want {
				t.Errorf("%v, want %v", got, c.want)
			}
		})
	}
}

// Guards against a changed wave that starts its time anew, and against one that goes on after it was withdrawn.
func TestBoardKeepsWhenAWaveWasFirstSeen(t *testing.T) {
	var b Registry
	b.Offer(Wave{Number: 2, Cap: 1}, time.Second)
	b.Offer(Wave{Number: 1, Cap: 1}, 2*time.Second)
	b.Offer(Wave{Number: 2, Cap: 3}, 3*time.Second)
	want := []Due{{Wave{Number: 1, Cap: 1}, 2 * time.Second}, {Wave{Number: 2, Cap: 3}, time.Second}}
	if diff := cmp.Diff(want, b.Waves()); diff != "" {
		t.Error(diff)
	}
	b.Withdraw(2)
	if diff := cmp.Diff(want[:1], b.Waves()); diff != "" {
		t.Error(diff)
	}
}
