package maintenance

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func newWaveProgress(cap int, duration time.Duration, machines ...string) *Progress {
	p := NewProgress(SeenWave{Wave: Wave{Number: 1, Machines: machines, Duration: duration, MaxDown: cap}, Since: time.Hour})
	p.StatesKnown = true
	p.StatesRequestedAt = time.Hour
	return p
}

// Guards against more machines down at the same time than the operator allows: by the reported states, by commands that
// these states cannot show yet, and by unconfirmed commands.
func TestNoMoreMachinesDownThanAllowed(t *testing.T) {
	for name, c := range map[string]struct {
		states      map[string]State
		sent        map[string]time.Duration
		begun       map[string]bool
		unconfirmed string
		unknown     bool
		want        bool
	}{
		"nothing is down":                              {want: true},
		"no states known":                              {unknown: true},
		"cap reached by reported states":               {states: map[string]State{"b": StateMaintenance}},
		"other machine is back up":                     {states: map[string]State{"b": StateUp}, sent: map[string]time.Duration{"b": time.Minute}, want: true},
		"command sent after the states were requested": {states: map[string]State{"b": StateUp}, sent: map[string]time.Duration{"b": time.Hour + 1}},
		"unconfirmed command":                          {states: map[string]State{"b": StateUp}, sent: map[string]time.Duration{"b": time.Minute}, unconfirmed: "b"},
		"command just sent for the machine itself":     {sent: map[string]time.Duration{"a": time.Hour + 1}, want: true},
		"machine itself reported as down":              {states: map[string]State{"a": StateMaintenance}, want: true},
		"maintenance has already begun":                {begun: map[string]bool{"a": true}},
		"other machine has crashed":                    {states: map[string]State{"b": StateDown}, want: true},
		"machine outside the wave is in maintenance":   {states: map[string]State{"z": StateMaintenance}, want: true},
	} {
		t.Run(name, func(t *testing.T) {
			p := newWaveProgress(1, time.Minute, "a", "b", "c")
			p.States, p.StatesKnown = c.states, !c.unknown
			for machine, at := range c.sent {
				p.SentAt[machine] = at
			}
			for machine := range c.begun {
				p.Begun[machine] = true
			}
			if c.unconfirmed != "" {
				p.Unconfirmed[c.unconfirmed] = true
			}
			if got := p.MayBegin("a"); got != c.want {
				t.Errorf("may begin: %v", got)
			}
		})
	}
}

// Guards against cordoning workers long before the maintenance of their machine can begin, and against a wave that is
// late although machines could be drained while others are down.
func TestMachinesAreDrainedAsTheWaveNeeds(t *testing.T) {
	work := func(machine string) int { return map[string]int{"a": 5, "b": 1, "c": 3}[machine] }
	for name, c := range map[string]struct {
		duration time.Duration
		down     []string
		draining []string
		want     []string
	}{
		"least work goes first":                   {duration: time.Minute, want: []string{"b", "c"}},
		"one is already draining":                 {duration: time.Minute, draining: []string{"b"}, want: []string{"c"}},
		"on schedule: waits for one that is down": {duration: time.Minute, down: []string{"b"}, want: []string{"c"}},
		"late: drains while another is down":      {duration: time.Second, down: []string{"b"}, want: []string{"c", "a"}},
		"late: no more than may be down":          {duration: time.Second, draining: []string{"a", "b"}},
	} {
		t.Run(name, func(t *testing.T) {
			p := newWaveProgress(2, c.duration, "a", "b", "c")
			p.States = make(map[string]State)
			for _, machine := range c.down {
				p.States[machine], p.Begun[machine] = StateMaintenance, true
			}
			for _, machine := range c.draining {
				p.Draining[machine] = time.Hour
			}
			got := p.Next(time.Hour, work)
			if diff := cmp.Diff(c.want, append([]string(nil), got...)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// Guards against stopping work although the wave has time left, and against a wave that waits for work beyond its time.
func TestGracePeriodFollowsTheTimeLeft(t *testing.T) {
	for name, c := range map[string]struct {
		duration, now time.Duration
		want          time.Duration
	}{
		"much time":    {10 * time.Minute, time.Hour, maxDrainTime},
		"little time":  {8 * time.Second, time.Hour, time.Second},
		"no time left": {8 * time.Second, time.Hour + 9*time.Second, 0},
	} {
		t.Run(name, func(t *testing.T) {
			if got := newWaveProgress(1, c.duration, "a", "b").GracePeriod(c.now); got != c.want {
				t.Errorf("%v, want %v", got, c.want)
			}
		})
	}
}

// Guards against a changed wave that restarts its time, and against a wave that continues after it was withdrawn.
func TestRegistryKeepsWhenAWaveWasFirstSeen(t *testing.T) {
	var r Registry
	r.Put(Wave{Number: 2, MaxDown: 1}, time.Second)
	r.Put(Wave{Number: 1, MaxDown: 1}, 2*time.Second)
	r.Put(Wave{Number: 2, MaxDown: 3}, 3*time.Second)
	want := []SeenWave{{Wave{Number: 1, MaxDown: 1}, 2 * time.Second}, {Wave{Number: 2, MaxDown: 3}, time.Second}}
	if diff := cmp.Diff(want, r.Waves()); diff != "" {
		t.Error(diff)
	}
	r.Remove(2)
	if diff := cmp.Diff(want[:1], r.Waves()); diff != "" {
		t.Error(diff)
	}
}
