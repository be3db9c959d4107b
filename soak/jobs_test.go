package soak

import (
	"strconv"
	"strings"
	"time"

	"bronzehook/platform/platformtest"
)

const (
	// One in longRunningEvery jobs has long-running tasks, and one in cancelEvery is cancelled by its caller.
	longRunningEvery = 12
	cancelEvery      = 9
)

// behaviour returns how long tasks run and which fail in their first attempt, both derived from the seed.
func behaviour(seed int64) platformtest.Behaviour {
	return platformtest.Behaviour{
		Duration: func(task string) time.Duration {
			if isLongRunning(jobOf(task)) {
				return 0
			}
			return time.Duration(200+hash(seed, task)%700) * time.Millisecond
		},
		Fails: func(task string, attempt int) bool { return attempt == 1 && hash(seed, task)%11 == 0 },
		CPU:   cpuOf,
	}
}

// CPU requests of tasks, in thousandths of a core.
const (
	firstStepCPU   = 2000
	secondStepCPU  = 3000
	longRunningCPU = 1500
)

// cpuOf returns the CPU request of a task.
func cpuOf(task string) int {
	switch {
	case isLongRunning(jobOf(task)):
		return longRunningCPU
	case platformtest.StepOf(task) == 0:
		return firstStepCPU
	}
	return secondStepCPU
}

// jobOf returns the ID of the job in the name of a task.
func jobOf(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}

// jobNumber returns the number of a job, which is encoded in its ID.
func jobNumber(id string) int64 {
	n, err := strconv.ParseInt(id, 16, 64)
	if err != nil {
		panic(err)
	}
	return n
}

// isLongRunning and willCancel tell from its ID whether a job has long-running tasks and whether its caller cancels it.
func isLongRunning(id string) bool { return jobNumber(id)%longRunningEvery == 0 }
func willCancel(id string) bool    { return jobNumber(id)%cancelEvery == 0 }

func hash(seed int64, text string) int {
	sum := uint32(seed)
	for _, c := range []byte(text) {
		sum = sum*16777619 ^ uint32(c)
	}
	return int(sum % 1_000_003)
}

func manifest(version int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "q", "host": "h.example", "path_prefix": "/q/", "kind": "unsafe", "service": "svc", "timeout_ms": 3000,
			"target_latency_ms": 400, "priority": 0, "max_attempts": 4, "stretch": 1.5,
		}},
		"services": []any{map[string]any{"name": "svc"}},
		"limits":   map[string]any{"max_body_bytes": 65536},
	}
}
