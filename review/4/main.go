// Command 4 lets one of twelve workers fail all that it starts while gangs start, and checks that no job is shown
// as failed before its gang has failed as often as the queue allows (rule LOST).
package main

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"bronzehook/review/harness"
)

const (
	workers = 12
	// members is the width of the gang: the largest width of a job of crew-roster.
	members     = 36
	maxAttempts = 2
	gangs       = 3
	gangPrefix  = "00000000000aaa"
	// greyFor is how long the worker fails what it starts, as in the list of troubles of the site.
	greyFor = 6500 * time.Millisecond
)

func main() { harness.Main(play) }

func play(l *harness.Lab) (bool, error) {
	plan := harness.Route{Name: "plan", MaxAttempts: maxAttempts}
	l.PutManifest(1, plan)
	l.Fleet.Behaviour.Duration = func(string) time.Duration { return 1700 * time.Millisecond }
	l.Fleet.Behaviour.Gang = func(task string) int {
		if strings.HasPrefix(task, gangPrefix) {
			return members
		}
		return 0
	}
	if err := l.Fleet.Add(workers); err != nil {
		return false, err
	}
	if err := l.Start(3); err != nil {
		return false, err
	}
	if l.Trouble {
		grey := l.Fleet.Workers()[4]
		grey.SetFailing(true)
		time.AfterFunc(greyFor, func() { grey.SetFailing(false) })
	}
	job := harness.Job(harness.Step{"count": members, "cpu": 2300, "mem_mb": 4600, "estimated_ms": 1700, "gang": true})
	var all sync.WaitGroup
	var accepted atomic.Int32
	for n := range gangs {
		all.Go(func() {
			if l.Submit(l.Instances[n], plan, gangID(n), job) == 200 {
				accepted.Add(1)
			}
		})
	}
	all.Wait()
	if accepted.Load() < gangs {
		return false, errors.New("a job was not accepted")
	}
	broken := false
	for n := range gangs {
		broken = failedEarly(l, plan, gangID(n)) || broken
	}
	return broken, nil
}

// failedEarly waits for the end of a job and reports whether it is shown as failed before its gang has failed maxAttempts
// times.
func failedEarly(l *harness.Lab, plan harness.Route, id string) bool {
	for deadline := time.Now().Add(25 * time.Second); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		_, state := l.State(l.Instances[1], plan, id)
		if state != "failed" && state != "succeeded" {
			continue
		}
		failed := make(map[int]int)
		for _, e := range l.Fleet.Ends() {
			if strings.HasPrefix(e.Task, id) && e.How == "failed" {
				failed[e.Run]++
			}
		}
		l.Note("GET %s: %q; ends failed by run: %v; max_attempts: %d", id, state, failed, maxAttempts)
		return state == "failed" && len(failed) < maxAttempts
	}
	l.Note("job %s has not ended", id)
	return false
}

func gangID(n int) string {
	return fmt.Sprintf("%s%02x", gangPrefix, n)
}
