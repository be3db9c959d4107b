package eviction

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bronzehook/api"
)

func batch(index int, lost, slack time.Duration) Candidate {
	return Candidate{
		Index: index, Kind: api.KindJob, Urgency: api.Normal, Size: api.Resources{MilliCPU: 1000},
		LostWork: lost, Slack: slack, CheckpointAge: -1,
	}
}

func with(c Candidate, change func(*Candidate)) Candidate {
	change(&c)
	return c
}

func TestSelectVictims(t *testing.T) {
	const hour = time.Hour
	watcher := with(batch(1, 0, hour), func(c *Candidate) { c.Kind, c.Urgency = api.KindWatcher, api.Low })
	service := with(batch(2, 0, hour), func(c *Candidate) { c.Kind, c.Urgency = api.KindService, api.Low })
	evictedOften := with(batch(3, 0, hour), func(c *Candidate) { c.Evictions = MaxEvictions })
	urgent := with(batch(4, 0, hour), func(c *Candidate) { c.Urgency = api.Critical })
	checkpointRequested := with(batch(5, 5*time.Minute, hour), func(c *Candidate) {
		c.LastStep, c.SinceStep = StepCheckpoint, DefaultOptions().CheckpointWait
	})
	for _, tc := range []struct {
		name       string
		kind       api.Kind
		urgency    api.Urgency
		missing    int64
		candidates []Candidate
		want       []Action
	}{
		{"the task that loses the least work is the victim", api.KindService, api.High, 1000,
			[]Candidate{batch(1, 5*time.Minute, hour), batch(2, time.Minute, hour)}, []Action{{Index: 2, Step: StepCheckpoint}}},
		{"of equal losses the task with the most slack is the victim", api.KindService, api.High, 1000,
			[]Candidate{batch(1, time.Minute, hour), batch(2, time.Minute, 2*hour)}, []Action{{Index: 2, Step: StepCheckpoint}}},
		{"a task that would miss its deadline is spared although it loses less", api.KindService, api.High, 1000,
			[]Candidate{batch(1, time.Minute, time.Minute), batch(2, 5*time.Minute, hour)}, []Action{{Index: 2, Step: StepCheckpoint}}},
		{"a task whose checkpoint was requested CheckpointWait ago is evicted", api.KindService, api.High, 1000,
			[]Candidate{checkpointRequested}, []Action{{Index: 5, Step: StepEvict}}},
		{"a service is never preempted", api.KindService, api.Critical, 1000, []Candidate{service}, nil},
		{"a task evicted MaxEvictions times is not preempted", api.KindService, api.Critical, 1000, []Candidate{evictedOften}, nil},
		{"a watcher is not a victim while a job frees enough", api.KindService, api.High, 1000,
			[]Candidate{watcher, batch(2, hour, hour)}, []Action{{Index: 2, Step: StepCheckpoint}}},
		{"a watcher is preempted by a more urgent service if no job can be", api.KindService, api.High, 1000,
			[]Candidate{watcher}, []Action{{Index: 1, Step: StepEvict}}},
		{"a watcher is not preempted by a job", api.KindJob, api.Critical, 1000, []Candidate{watcher}, nil},
		{"a job is not preempted by a job of the same urgency", api.KindJob, api.Critical, 1000, []Candidate{urgent}, nil},
		{"no victims if they do not free enough", api.KindService, api.High, 3000, []Candidate{batch(1, 0, hour), batch(2, 0, hour)}, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			opts := DefaultOptions()
			set, _ := opts.SelectVictims(api.Resources{MilliCPU: tc.missing}, tc.kind, tc.urgency, tc.candidates)
			if diff := cmp.Diff(tc.want, set.Actions); diff != "" {
				t.Errorf("actions (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against a victim that is unnecessary because a later, larger victim frees enough by itself.
func TestSelectVictimsOmitsUnnecessaryVictims(t *testing.T) {
	opts := DefaultOptions()
	large := with(batch(2, 5*time.Minute, time.Hour), func(c *Candidate) { c.Size.MilliCPU = 4000 })
	set, ok := opts.SelectVictims(api.Resources{MilliCPU: 4000}, api.KindService, api.High,
		[]Candidate{batch(1, time.Minute, time.Hour), large})
	if !ok || set.Count != 1 || set.Actions[0].Index != 2 {
		t.Errorf("victim set = %+v, want only the large victim", set)
	}
}

func TestPressureIgnoresShortChanges(t *testing.T) {
	opts := DefaultOptions()
	noHysteresis := opts
	noHysteresis.Hysteresis = false
	between := (opts.HighSlowdown + opts.LowSlowdown) / 2
	for _, tc := range []struct {
		name      string
		opts      Options
		slowdowns []float64
		want      bool
	}{
		{"one high report does not begin pressure", opts, []float64{1, 3, 1, 1}, false},
		{"alternating reports do not begin pressure", opts, []float64{3, 1, 3, 1, 3, 1, 3}, false},
		{"sustained high reports begin pressure", opts, []float64{3, 3, 3, 3, 3}, true},
		{"one low report does not end pressure", opts, []float64{3, 3, 3, 3, 3, 1, 3}, true},
		{"sustained low reports end pressure", opts, []float64{3, 3, 3, 3, 3, 1, 1, 1, 1, 1}, false},
		{"reports between the limits keep the state", opts, []float64{3, 3, 3, 3, 3, between, between, between, between, between}, true},
		{"without hysteresis one high report begins pressure", noHysteresis, []float64{1, 3}, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			tracker := NewPressureTracker(tc.opts)
			now := time.Unix(0, 0)
			for _, slowdown := range tc.slowdowns {
				now = now.Add(5 * time.Second)
				tracker.Observe("w", slowdown, now)
			}
			if got := tracker.Pressure("w").Active; got != tc.want {
				t.Errorf("active = %t, want %t", got, tc.want)
			}
		})
	}
}

func TestRelieveReturnsOneStepAtATime(t *testing.T) {
	throttled := func(c Candidate, since time.Duration) Candidate {
		c.Throttled, c.LastStep, c.SinceStep = true, StepThrottle, since
		return c
	}
	fresh := batch(1, 0, time.Hour)
	opts := DefaultOptions()
	for _, tc := range []struct {
		name       string
		pressure   Pressure
		candidates []Candidate
		want       []Action
	}{
		{"no pressure, no step", Pressure{}, []Candidate{fresh}, nil},
		{"the first step is a throttle", Pressure{Active: true}, []Candidate{fresh},
			[]Action{{Index: 1, Step: StepThrottle, Share: opts.ThrottleShare}}},
		{"no second step before a report can show the effect of the first", Pressure{Active: true},
			[]Candidate{throttled(fresh, time.Second), batch(2, 0, time.Hour)}, nil},
		{"a job that causes no slowdown is spared", Pressure{Active: true},
			[]Candidate{fresh, with(batch(2, time.Hour, 0), func(c *Candidate) { c.CausedSlowdown = 0.5 })},
			[]Action{{Index: 2, Step: StepThrottle, Share: opts.ThrottleShare}}},
		{"all victims are throttled before one is stopped", Pressure{Active: true},
			[]Candidate{throttled(fresh, time.Minute), batch(2, 0, time.Hour)},
			[]Action{{Index: 2, Step: StepThrottle, Share: opts.ThrottleShare}}},
		{"a checkpoint comes before the eviction", Pressure{Active: true},
			[]Candidate{throttled(batch(1, time.Minute, time.Hour), time.Minute)}, []Action{{Index: 1, Step: StepCheckpoint}}},
		{"calm lifts a throttle", Pressure{MayLiftThrottles: true}, []Candidate{throttled(fresh, time.Minute)},
			[]Action{{Index: 1, Step: StepUnthrottle, Share: 1}}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if diff := cmp.Diff(tc.want, opts.Relieve(tc.pressure, tc.candidates)); diff != "" {
				t.Errorf("actions (-want +got):\n%s", diff)
			}
		})
	}
}
