package drain

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"bronzehook/api"
	"bronzehook/backend/fake"
	"bronzehook/fault"
)

func newService(t *testing.T, p *fake.Platform) *Service {
	ops := 0
	s := New(Options{
		Table: p.Table(), Clock: clockwork.NewRealClock(), Logger: zerolog.Nop(),
		NewOpID: func() string { ops++; return fmt.Sprintf("%p-%d", t, ops) },
	})
	if err := s.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := s.Stop(t.Context()); err != nil {
			t.Error(err)
		}
	})
	return s
}

// Guards against a drain that is active only on the instance that received the request, that ends when the table becomes
// unavailable, or that never expires.
func TestDrainReachesOtherInstancesSurvivesOutageAndExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := fake.NewPlatform(clockwork.NewRealClock())
		first, second := newService(t, p), newService(t, p)
		record := Record{Worker: "w1", Expires: time.Now().Add(time.Minute), Author: "ops"}
		if err := first.Drain(t.Context(), record); err != nil {
			t.Fatal(err)
		}
		time.Sleep(3 * time.Second)
		if !second.Workers()["w1"] {
			t.Error("the drain is not active on the other instance after 3 s")
		}
		p.SetTableFaults(fake.StoreFaults{Down: true})
		time.Sleep(10 * time.Second)
		if !second.Workers()["w1"] {
			t.Error("the drain ended during the table outage")
		}
		if err := first.Undrain(t.Context(), api.WorkerID("w1")); !fault.Is(err, fault.CodeStoreUnavailable) {
			t.Errorf("Undrain while the table is down: %v, want %s", err, fault.CodeStoreUnavailable)
		}
		time.Sleep(time.Minute)
		if second.Workers()["w1"] {
			t.Error("the drain has not expired")
		}
	})
}
