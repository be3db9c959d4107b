package main

import (
	"net/http"
	"strings"
	"time"

	"bronzehook/review/harness"
)

const (
	jobID = "00000000000000d1"
	// removeAfter is the time from the hand-in until the operator removes the route.
	removeAfter = 200 * time.Millisecond
	// silentFor is under the 9 s for which the store turns machines away in the list of troubles of the site.
	silentFor = 6 * time.Second
)

// playRefused is the variant "refused": the store turns one of four instances away without an answer while a route is
// removed. A job that is handed in there just before must not run if its hand-in is rejected (rule REFUSED).
func playRefused(l *harness.Lab) (bool, error) {
	plan, leaving := harness.Route{Name: "plan", MaxAttempts: 3}, harness.Route{Name: "leaving", MaxAttempts: 3}
	l.PutManifest(1, plan, leaving)
	l.Fleet.Behaviour.Duration = func(string) time.Duration { return time.Second }
	if err := l.Fleet.Add(6); err != nil {
		return false, err
	}
	if err := l.Start(4); err != nil {
		return false, err
	}
	time.Sleep(settle)
	at := followers(l)[0]
	l.Note("%s leads, the requester is connected to %s", l.Leader().Name, at.Name)
	if l.Trouble {
		at.Gate.Silence(time.Millisecond)
		time.AfterFunc(silentFor, at.Gate.Restore)
	}
	time.AfterFunc(removeAfter, func() { l.PutManifest(2, plan) })
	statuses := handIn(l, leaving, at)
	time.Sleep(silentFor + 3*time.Second)
	starts := 0
	for _, s := range l.Fleet.Starts() {
		if strings.HasPrefix(s.Task, jobID) {
			starts++
		}
	}
	l.Note("answers to the hand-ins: %v; starts of the job's tasks: %d", statuses, starts)
	return starts > 0 && allRejected(statuses), nil
}

// handIn submits the job, and again at another instance after an answer that leaves it open whether it was accepted.
func handIn(l *harness.Lab, route harness.Route, first *harness.Instance) []int {
	job := harness.Job(harness.Step{"count": 2, "cpu": 1000, "mem_mb": 500, "estimated_ms": 1000})
	order := []*harness.Instance{first}
	for _, i := range l.Instances {
		if i != first {
			order = append(order, i)
		}
	}
	var statuses []int
	for _, i := range order {
		status := l.Submit(i, route, jobID, job)
		statuses = append(statuses, status)
		if status != 0 && status != http.StatusBadGateway && status != http.StatusGatewayTimeout {
			break
		}
	}
	return statuses
}

// allRejected reports whether every answer says that the job was not accepted.
func allRejected(statuses []int) bool {
	for _, status := range statuses {
		switch status {
		case http.StatusNotFound, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		default:
			return false
		}
	}
	return true
}
