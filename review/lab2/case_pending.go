package main

import (
	"fmt"
	"time"
)

func init() { cases["pending"] = playPending }

const (
	// visibleTime is the time after which an accepted job has to be counted: visible_ms and 2 s.
	visibleTime = 5 * time.Second
	// observedTime is how long the count is asked for.
	observedTime = 15 * time.Second
	// takeoverAfter is the time from the acceptance of the job to the stop of the leader.
	takeoverAfter = 1500 * time.Millisecond
)

// playPending loses the only worker with room for good, and then stops the leader in order. A job that was placed on that
// worker, and has not begun, is no longer counted.
func playPending(l *Lab) []string {
	startFleet(l, 2, 9)
	w := l.StartWorker("w10", "b", "r1-2")
	l.ready()
	first := l.instances[0]
	filler := first.Submit(lastingPrefix, 0, step{Count: 9, CPU: workerCPU, MemMB: 1000, Requires: "a", Lasts: true})
	l.waitFor(20*time.Second, "all other workers are full", func() bool { return len(l.ledger.Runs(filler)) == 9 })
	time.Sleep(2 * time.Second)
	if l.trouble {
		w.Crash()
	}
	id := first.Submit(queuePrefix, 1000, step{Count: 1, CPU: 4000, MemMB: 100})
	accepted := time.Now()
	leader := l.leader()
	other := l.instances[0]
	if other == leader {
		other = l.instances[1]
	}
	if l.trouble {
		time.Sleep(takeoverAfter)
		go leader.Restart()
	}
	time.Sleep(time.Until(accepted.Add(visibleTime + 500*time.Millisecond)))
	var breaches []string
	for time.Since(accepted) < observedTime {
		count, begun := other.Pending(queuePrefix), len(l.ledger.Runs(id)) > 0
		if count == 0 && !begun {
			breaches = append(breaches, fmt.Sprintf("MIXED: %s gives pending_jobs 0, %.1f s after a job was accepted that has not begun",
				other.Name, time.Since(accepted).Seconds()))
		}
		time.Sleep(500 * time.Millisecond)
	}
	return breaches
}
