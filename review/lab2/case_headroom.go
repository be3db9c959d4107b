package main

import (
	"fmt"
	"time"
)

func init() { cases["headroom"] = playHeadroom }

const (
	burstTime = 6 * time.Second
	// largeCPU is what the late task needs, nearly all of a worker.
	largeCPU = 60_000
	// finishTime and idleTime are the bounds of the rule: finish_s, and 3 s with nothing running.
	finishTime = 14 * time.Second
	idleTime   = 3 * time.Second
)

// playHeadroom lets large jobs of the first priority come at once. Once they are done, a job of a lower priority is handed in
// whose task needs nearly a whole worker.
func playHeadroom(l *Lab) []string {
	startFleet(l, 2, 10)
	l.ready()
	first := l.instances[0]
	if l.trouble {
		for range 8 {
			first.submitAs(queuePrefix, newID(), 2500, step{Count: 10, CPU: 8000, MemMB: 100})
			time.Sleep(burstTime / 8)
		}
	}
	time.Sleep(6 * time.Second)
	id := first.Submit(batchPrefix, 2000, step{Count: 1, CPU: largeCPU, MemMB: 100})
	accepted := time.Now()
	for time.Since(accepted) < finishTime+idleTime+500*time.Millisecond {
		time.Sleep(500 * time.Millisecond)
		first.State(batchPrefix, id)
	}
	var breaches []string
	if len(l.ledger.Runs(id)) == 0 {
		breaches = append(breaches, fmt.Sprintf("LOST: %.1f s after the last request the job has nothing running, though all 10 workers are empty",
			time.Since(accepted).Seconds()))
	}
	return breaches
}
