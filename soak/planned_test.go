package soak

import (
	"sync/atomic"
	"syscall"
	"time"

	"bronzehook/platform/platformtest"
)

// The planned part of a run: no faults, but instances that are stopped in order one after the other, changes of the manifest and
// of the settings, and a wave of maintenance, while callers go on over the connections that they have open.
const (
	// calmBefore is how long nothing is disturbed before the planned part.
	calmBefore = 4 * time.Second
	// plannedStops bounds the instances that are stopped.
	plannedStops = 4
	// plannedDelay is what calls to the store take in the planned part, so that requests are under way when a process is stopped.
	plannedDelay = 250 * time.Millisecond
	// cutSlack is how soon after a request was sent its connection may end without an answer: the process may have closed it
	// before the request came.
	cutSlack = 100 * time.Millisecond
	// faultWave is asked for while there are faults, plannedWave in the planned part.
	faultWave   = 1
	plannedWave = 2
	waveCap     = 1
	waveTime    = 4 * time.Second
	// downFor is how long a machine is down.
	downFor = 1200 * time.Millisecond
)

// strict is set while no request may be cut off.
type strict struct{ on atomic.Bool }

// noteCall checks a call that was sent at a time and had no answer.
func (s *site) noteCall(method, id string, sent time.Time, err error) {
	took := time.Since(sent)
	if s.strict.on.Load() && took > cutSlack {
		s.t.Errorf("lost: %s of %s had no answer after %v in planned work: %v", method, id, took, err)
	}
}

// askForMaintenance asks for a wave over some of the machines.
func (s *site) askForMaintenance(number, every int) {
	wave := platformtest.Wave{Wave: number, Duration: waveTime.Seconds(), Cap: waveCap}
	for n, w := range s.fleet.Workers() {
		if n%every == 0 {
			wave.Machines = append(wave.Machines, platformtest.MachineOf(w))
		}
	}
	s.waves[number] = wave
	s.machines.RequestWave(wave)
}

// planned plays the planned part.
func (s *site) planned(version int) {
	time.Sleep(calmBefore)
	s.strict.on.Store(true)
	s.store.SetDelay(plannedDelay)
	defer func() {
		// Calls that are under way get their answers.
		time.Sleep(time.Second)
		s.strict.on.Store(false)
		s.store.SetDelay(0)
	}()
	s.askForMaintenance(plannedWave, 2)
	s.store.Put("op", "config", manifest(version))
	for n, i := range s.instances {
		if n == plannedStops {
			break
		}
		i.signal(syscall.SIGHUP)
		i.restart(s.t, syscall.SIGTERM)
		time.Sleep(time.Duration(200+s.random.Intn(1500)) * time.Millisecond)
	}
}

// awaitMaintenance waits until the waves are over, at most for as long as their machines need one after the other.
func (s *site) awaitMaintenance() {
	const turn = 4 * time.Second
	machines := 0
	for _, wave := range s.waves {
		machines += len(wave.Machines)
	}
	for end := time.Now().Add(time.Duration(machines) * turn / waveCap); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		over := 0
		for number := range s.waves {
			if s.machines.WaveState(number) == "succeeded" {
				over++
			}
		}
		if over == len(s.waves) {
			return
		}
	}
}

// checkMaintenance requires that the waves are over, that no more machines were down than allowed, and that none was said to be over
// before its last machine.
func (s *site) checkMaintenance() {
	for _, violation := range s.machines.Violations() {
		s.t.Errorf("limit: %s", violation)
	}
	for number, wave := range s.waves {
		if got := s.machines.WaveState(number); got != "succeeded" {
			s.t.Errorf("wave %d is said to be %q in the end", number, got)
		}
		for _, machine := range wave.Machines {
			if !s.machines.MaintenanceBegun(number, machine) {
				s.t.Errorf("mixed: wave %d is over and %s has not begun", number, machine)
			}
		}
	}
}
