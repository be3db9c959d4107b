package execution

import (
	"fmt"
	"slices"
	"testing"

	"bronzehook/manifest"
	"bronzehook/store"
)

// Guards against urgent work that waits for the records of a busy fleet's batch work, against batch work that is never
// stored while there is urgent work, and against a change of the order among equals.
func TestUrgentRecordsAreStoredFirst(t *testing.T) {
	const count = 300
	var q commitQueue
	for n := range count {
		// One job of three is urgent.
		q.dirty = append(q.dirty, &job{
			queueKnown: true, queue: manifest.Queue{Name: fmt.Sprint(n), Priority: min(n%3, 1)},
		})
	}
	before := slices.Clone(q.dirty)
	q.promoteUrgent()
	for i, j := range q.dirty[:maxUrgentRecords] {
		if j != before[3*i] {
			t.Fatalf("job %s is stored as number %d", j.queue.Name, i)
		}
	}
	stored := q.dirty[:store.MaxEntries]
	if !slices.Contains(stored, before[1]) || !slices.Contains(stored, before[2]) {
		t.Error("the longest waiting batch job is not stored by the first commit")
	}
	if len(q.dirty) != count {
		t.Errorf("%d jobs are left of %d", len(q.dirty), count)
	}
}
