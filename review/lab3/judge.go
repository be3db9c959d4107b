package main

import "time"

// Times of the rules and of the judging that the scripts share.
const (
	finishTime    = 14 * time.Second
	idleLimit     = 3 * time.Second
	judgeTime     = 5 * time.Second
	judgeInterval = 100 * time.Millisecond
)

// countTrue returns how many entries of a set are true.
func countTrue(set map[string]bool) int {
	count := 0
	for _, ok := range set {
		if ok {
			count++
		}
	}
	return count
}
