package main

import (
	"strconv"
	"time"
)

func init() { cases["reborn"] = playReborn }

// Timing of the case.
const (
	crashAfterHold = 200 * time.Millisecond
	downTime       = 300 * time.Millisecond
	cutTime        = 5 * time.Second
)

// playReborn lets a worker crash and start again under its id while it is cut off from the store. It has ended tasks in its
// former life, and ends a task in the new one before the leader knows of that life.
func playReborn(l *Lab) []string {
	startFleet(l, 2, 9)
	w := l.StartWorker("w10", "b", "r1-2")
	l.ready()
	first := l.instances[0]
	onW := func(count int) step { return step{Count: count, CPU: 1000, MemMB: 100, Requires: "b"} }

	earlier := first.Submit(queuePrefix, 100, onW(5))
	l.waitFor(15*time.Second, "five tasks have ended on w10", func() bool { return first.State(queuePrefix, earlier) == "succeeded" })
	lasting := onW(1)
	lasting.Lasts = true
	keeper := first.Submit(lastingPrefix, 0, lasting)
	l.waitFor(15*time.Second, "a lasting task runs on w10", func() bool { return l.running(keeper) == w })
	held := make(chan struct{}, 1)
	w.mu.Lock()
	w.onCall = func(path string, c *command) effect {
		if path == "/-/hold" && c.Wait > 0 {
			select {
			case held <- struct{}{}:
			default:
			}
		}
		return effect{}
	}
	w.mu.Unlock()
	<-held
	time.Sleep(crashAfterHold)
	if l.trouble {
		w.SetCut(true)
		w.Crash()
		time.Sleep(downTime)
		w.Reborn()
		time.AfterFunc(cutTime, func() { w.SetCut(false) })
	}
	id := first.Submit(queuePrefix, 300, onW(5))
	l.settles(30*time.Second, first, queuePrefix, id)
	return l.ledger.Twice()
}

// startFleet writes the manifest and starts instances and workers of one kind.
func startFleet(l *Lab, instances, workers int) {
	l.WriteManifest()
	for n := 1; n <= workers; n++ {
		l.StartWorker("w"+strconv.Itoa(n), "a", "r1-1")
	}
	for n := 1; n <= instances; n++ {
		l.StartInstance("front-z1-"+strconv.Itoa(n), n)
	}
}
