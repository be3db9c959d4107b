package main

import (
	"fmt"
	"time"
)

func init() { cases["headroom"] = playHeadroom }

const (
	// baseInterval is the time between two jobs of the usual traffic, baseTime how long that goes on before the burst.
	baseInterval = 500 * time.Millisecond
	baseTime     = 6 * time.Second
	// burstTenths, tenths of the usual traffic, and burstTime are the largest ones of the site for its class of priority 0.
	burstTenths = 18
	burstTime   = 3700 * time.Millisecond
	// baseTaskMs is how long a task of the traffic takes; emptyAfter is the time after which all have ended.
	baseTaskMs = 1700
	emptyAfter = 2500 * time.Millisecond
	// largeCPU is what the late task needs, nearly all of a worker.
	largeCPU = 60_000
	// finishTime and idleTime are the bounds of the rule: finish_s, and 3 s with nothing running.
	finishTime = 14 * time.Second
	idleTime   = 3 * time.Second
)

// playHeadroom lets more jobs of the first priority come for a few seconds. Once they are done, a job of a lower priority is
// handed in whose task needs nearly a whole worker.
func playHeadroom(l *Lab) []string {
	startFleet(l, 2, 10)
	l.ready()
	first := l.instances[0]
	traffic(first, baseTime, baseInterval)
	interval := baseInterval
	if l.trouble {
		interval = baseInterval * 10 / burstTenths
	}
	traffic(first, burstTime, interval)
	time.Sleep(emptyAfter)
	id := first.Submit(batchPrefix, 2000, step{Count: 1, CPU: largeCPU, MemMB: 100})
	accepted := time.Now()
	for time.Since(accepted) < finishTime+idleTime+500*time.Millisecond {
		time.Sleep(500 * time.Millisecond)
		first.State(batchPrefix, id)
	}
	if len(l.ledger.Runs(id)) > 0 || !l.ledger.IdleSince(accepted) {
		return nil
	}
	return []string{fmt.Sprintf("LOST: %.1f s after the last request the job has nothing running, though all 10 workers are empty",
		time.Since(accepted).Seconds())}
}

// traffic hands in jobs of the first priority at an interval.
func traffic(at *Instance, duration, interval time.Duration) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for end := time.Now().Add(duration); time.Now().Before(end); <-ticker.C {
		at.submitAs(queuePrefix, newID(), baseTaskMs, step{Count: 2, CPU: 7000, MemMB: 100})
	}
}
