package main

import (
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["wave"] = playWave }

// Timing of the case.
const (
	// restartDelay is the time after which the platform starts a killed process again.
	restartDelay = 500 * time.Millisecond
	// overlapDelay is the time from the begin of the second machine's upkeep until the late order is carried out. The order is
	// late by minLate at least and maxLate at most.
	overlapDelay     = 500 * time.Millisecond
	minLate, maxLate = 2 * time.Second, 12 * time.Second
)

// playWave kills the leader while its order for one machine of a wave has no answer. The order is carried out late, while the
// next leader has begun the upkeep of another machine.
func playWave(l *Lab) []string {
	cloud := l.StartCloud()
	l.WriteManifest()
	busy := l.StartWorker("w1", "b", "r1-1")
	idle := l.StartWorker("w2", "a", "r1-1")
	for _, id := range []string{"w3", "w4", "w5", "w6"} {
		l.StartWorker(id, "a", "r1-2")
	}
	l.StartInstance("front-z1-1", 1)
	l.StartInstance("front-z1-2", 2)
	l.ready()
	time.Sleep(4 * time.Second)

	ordered, due := make(chan struct{}, 1), make(chan struct{})
	if l.trouble {
		var once atomic.Bool
		cloud.late = func(order upkeepOrder) <-chan struct{} {
			if order.Machine != idle.Machine || !once.CompareAndSwap(false, true) {
				return nil
			}
			ordered <- struct{}{}
			return due
		}
	}
	id := l.instances[0].Submit(queuePrefix, 2000, step{Count: 1, CPU: 1000, MemMB: 100, Requires: "b"})
	l.waitFor(5*time.Second, "a task runs on w1", func() bool { return l.running(id) == busy })
	cloud.Request(wave{Number: 7, Machines: []string{busy.Machine, idle.Machine}, Duration: 40, Cap: 1})
	if l.trouble {
		l.lateOrder(cloud, id, ordered, due)
	}
	l.waitFor(40*time.Second, "the wave has succeeded", func() bool { return cloud.status() == "succeeded" })
	time.Sleep(time.Second)
	cloud.mu.Lock()
	defer cloud.mu.Unlock()
	return cloud.breaches
}

// lateOrder kills the leader once the order for the idle machine is under way, and has the order carried out while the other
// machine is down.
func (l *Lab) lateOrder(cloud *Cloud, id string, ordered <-chan struct{}, due chan<- struct{}) {
	<-ordered
	arrived := time.Now()
	l.waitFor(3*time.Second, "the task on w1 has ended", func() bool { return l.running(id) == nil })
	leader := l.leader()
	leader.Signal(syscall.SIGKILL)
	<-leader.exited
	time.Sleep(restartDelay)
	leader.Start()
	select {
	case <-cloud.begins:
	case <-time.After(time.Until(arrived.Add(maxLate - overlapDelay))):
	}
	time.Sleep(max(overlapDelay, time.Until(arrived.Add(minLate))))
	close(due)
}
