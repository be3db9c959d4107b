package fake_test

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"bronzehook/api"
	"bronzehook/backend"
	"bronzehook/backend/fake"
	"bronzehook/fault"
)

// Guards against commands that take effect although the worker has to refuse them: from an earlier owner, for an old
// attempt, after their expiry, or beyond the capacity of the worker.
func TestInvalidCommandsAreRefused(t *testing.T) {
	const clockReading = time.Minute
	running := newStartRequest("running", api.KindWatcher, 2)
	next := newStartRequest("next", api.KindWatcher, 1)
	changed := func(change func(*backend.StartRequest)) backend.StartRequest {
		o := next
		change(&o)
		return o
	}
	startOf := func(change func(*backend.StartRequest)) func(*harness) error {
		return func(r *harness) error { return r.control.Start(r.ctx, changed(change)) }
	}
	changedRef := func(change func(*backend.TaskRef)) backend.TaskRef {
		named := taskRef(running)
		change(&named)
		return named
	}
	old := changedRef(func(n *backend.TaskRef) { n.Epoch-- })
	absent := changedRef(func(n *backend.TaskRef) { n.Attempt++ })
	cases := map[string]struct {
		call func(*harness) error
		want fault.Code
	}{
		"start accepted":      {startOf(func(*backend.StartRequest) {}), ""},
		"start old epoch":     {startOf(func(o *backend.StartRequest) { o.Epoch-- }), fault.CodeStaleEpoch},
		"start not fenced":    {startOf(func(o *backend.StartRequest) { o.Epoch++ }), fault.CodeNotReady},
		"start attempt 0":     {startOf(func(o *backend.StartRequest) { o.Attempt = 0 }), fault.CodeStaleAttempt},
		"start repeated":      {func(r *harness) error { return r.control.Start(r.ctx, running) }, fault.CodeStaleAttempt},
		"start expired":       {startOf(func(o *backend.StartRequest) { o.NotAfter = clockReading - 1 }), fault.CodeExpired},
		"start lease expired": {startOf(func(o *backend.StartRequest) { o.LeaseExpiry = clockReading }), fault.CodeExpired},
		"start no cpu":        {startOf(func(o *backend.StartRequest) { o.Resources.MilliCPU = 3001 }), fault.CodeNoCapacity},
		"start no memory":     {startOf(func(o *backend.StartRequest) { o.Resources.MemoryMB = 901 }), fault.CodeNoCapacity},
		"start accelerator":   {startOf(func(o *backend.StartRequest) { o.Resources.Accelerators = 1 }), fault.CodeNoCapacity},
		"start negative":      {startOf(func(o *backend.StartRequest) { o.Resources.MemoryMB = -1 }), fault.CodeInvalid},
		"start unknown":       {startOf(func(o *backend.StartRequest) { o.Kind = "cron" }), fault.CodeInvalid},
		"start on leaving": {func(r *harness) error {
			r.worker.SetLeaving(true)
			return r.control.Start(r.ctx, next)
		}, fault.CodeStopping},
		"start after refusal": {func(r *harness) error {
			_ = startOf(func(o *backend.StartRequest) { o.Resources.MemoryMB = 901 })(r)
			return r.control.Start(r.ctx, next)
		}, fault.CodeStaleAttempt},
		"start after stop": {func(r *harness) error {
			if err := r.control.Stop(r.ctx, taskRef(next)); err != nil {
				return err
			}
			return r.control.Start(r.ctx, next)
		}, fault.CodeStaleAttempt},
		"fence old epoch": {func(r *harness) error {
			_, err := r.control.Fence(r.ctx, testEpoch-1)
			return err
		}, fault.CodeStaleEpoch},
		"renew old epoch": {func(r *harness) error {
			return r.control.Renew(r.ctx, testEpoch-1, nil, longLease)
		}, fault.CodeStaleEpoch},
		"throttle old epoch": {func(r *harness) error { return r.control.Throttle(r.ctx, old, 1) }, fault.CodeStaleEpoch},
		"throttle absent":    {func(r *harness) error { return r.control.Throttle(r.ctx, absent, 1) }, fault.CodeNotFound},
		"throttle to 0": {func(r *harness) error {
			return r.control.Throttle(r.ctx, taskRef(running), 0)
		}, fault.CodeInvalid},
		"checkpoint old epoch": {func(r *harness) error {
			_, err := r.control.Checkpoint(r.ctx, old)
			return err
		}, fault.CodeStaleEpoch},
		"checkpoint, store down": {func(r *harness) error {
			r.platform.SetObjectFaults(fake.StoreFaults{Down: true})
			_, err := r.control.Checkpoint(r.ctx, taskRef(running))
			return err
		}, fault.CodeStoreUnavailable},
		"stop old epoch": {func(r *harness) error { return r.control.Stop(r.ctx, old) }, fault.CodeStaleEpoch},
		"stop absent":    {func(r *harness) error { return r.control.Stop(r.ctx, absent) }, ""},
		"ack old epoch":  {func(r *harness) error { return r.control.Ack(r.ctx, old) }, fault.CodeStaleEpoch},
		"ack running":    {func(r *harness) error { return r.control.Ack(r.ctx, taskRef(running)) }, fault.CodeConflict},
		"old epoch is ignored": {func(r *harness) error {
			r.worker.SetFaults(fake.WorkerFaults{IgnoreEpochs: true})
			return r.control.Start(r.ctx, changed(func(o *backend.StartRequest) { o.Epoch-- }))
		}, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			clock := clockwork.NewFakeClock()
			r := newHarness(t, clock, nil)
			r.start(running)
			clock.Advance(clockReading)
			before := r.status(running)
			wantCode(t, c.call(r), c.want)
			if after := r.status(running); after.State != before.State {
				t.Errorf("the running attempt changed from %s to %s", before.State, after.State)
			}
			if c.want != "" && r.status(next).State != "" {
				t.Errorf("a refused attempt appears in the inventory")
			}
		})
	}
}

// Guards against an attempt that keeps running after its attempt lease has expired, and against a lease that a renewal
// shortens or that the renewal of another attempt extends.
func TestAttemptLeasesFollowTheWorkerClock(t *testing.T) {
	clock := clockwork.NewFakeClock()
	r := newHarness(t, clock, nil)
	short, long := newStartRequest("short", api.KindWatcher, 1), newStartRequest("long", api.KindWatcher, 1)
	short.LeaseExpiry, long.LeaseExpiry = 30*time.Second, 30*time.Second
	r.start(short)
	r.start(long)
	for _, expiry := range []time.Duration{60 * time.Second, 10 * time.Second} {
		if err := r.control.Renew(r.ctx, testEpoch, []backend.TaskRef{taskRef(long)}, expiry); err != nil {
			t.Fatal(err)
		}
	}
	// The clock jumps well past the lease expiry, as after a pause of the process.
	clock.Advance(45 * time.Second)
	if got := r.status(short); got.State != api.SeenStopped {
		t.Errorf("attempt with an expired lease is %s", got.State)
	}
	if got := r.status(long); got.State != api.SeenRunning || got.LeaseLeft != 15*time.Second {
		t.Errorf("renewed attempt = %+v", got)
	}
	entry := r.worker.EventLog().Attempts()[0]
	if ran := entry.End.Sub(entry.Start); ran != 30*time.Second {
		t.Errorf("the event log shows an attempt of %s, want 30s", ran)
	}
}

// Guards against a result that is lost before its acknowledgement, and a result that is kept after it.
func TestTerminatedAttemptsAreKeptUntilAck(t *testing.T) {
	r := newHarness(t, clockwork.NewRealClock(), nil)
	job := newStartRequest("job", api.KindJob, 1, "run", "1ms")
	r.start(job)
	if got := r.awaitState(job, api.SeenSucceeded); got.Progress != 1 {
		t.Errorf("progress = %v", got.Progress)
	}
	for range 2 {
		if err := r.control.Ack(r.ctx, taskRef(job)); err != nil {
			t.Fatal(err)
		}
	}
	if got := r.status(job); got.State != "" {
		t.Errorf("acknowledged attempt is still reported as %s", got.State)
	}
	wantCode(t, r.control.Start(r.ctx, job), fault.CodeStaleAttempt)
}
