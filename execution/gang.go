package execution

import (
	"slices"

	"bronzehook/jobs"
)

// gangFailures counts the failures of a gang. A gang fails as a whole: an attempt of it counts as one failure, however many of
// its members report that they failed.
type gangFailures struct {
	count int
	// attempts holds the failed attempts that this term knows by their number.
	attempts []int
}

// note counts the failure of an attempt unless it is counted already.
func (f *gangFailures) note(attempt int) {
	if !slices.Contains(f.attempts, attempt) {
		f.attempts = append(f.attempts, attempt)
		f.count++
	}
}

// gangFailuresOf returns the failures of the gang that makes up a step.
func (o *occurrence) gangFailuresOf(step int) *gangFailures {
	f := o.gangFailures[step]
	if f == nil {
		f = &gangFailures{}
		if o.gangFailures == nil {
			o.gangFailures = make(map[int]*gangFailures)
		}
		o.gangFailures[step] = f
	}
	return f
}

// store adds the failures of a gang to the records of its members. One member holds all of them, so that the sum over the
// members is their number, as in records of builds that count each member. Which one it is shows a later term whether the
// latest attempt is among the failed ones: it is if the holder has ended in that attempt.
func (f *gangFailures) store(members []jobs.TaskRecord) {
	if f.count == 0 || len(members) == 0 {
		return
	}
	latest := 0
	for i := range members {
		latest = max(latest, members[i].Attempt)
	}
	latestFailed := slices.Contains(f.attempts, latest)
	holder := slices.IndexFunc(members, func(m jobs.TaskRecord) bool { return (m.Ended == latest) == latestFailed })
	// If all members have ended in the latest attempt, none reports a failure of it any more, and any member will do.
	members[max(0, holder)].Failures = f.count
}

// restore restores the failures of a gang from the records of its members.
func (f *gangFailures) restore(members []*task) {
	latest := 0
	for _, m := range members {
		latest = max(latest, m.attempt)
	}
	for _, m := range members {
		f.count += m.failures
		if m.failures > 0 && m.lastEnded == latest && len(f.attempts) == 0 {
			f.attempts = append(f.attempts, latest)
		}
		m.failures = 0
	}
}

// restoreGangFailures restores the failures of all gangs of a job once the records of its tasks are applied.
func (j *job) restoreGangFailures() {
	for _, o := range j.occurrences {
		if o == nil {
			continue
		}
		for s, members := range o.steps {
			if j.spec.Steps[s].Gang {
				o.gangFailuresOf(s).restore(members)
			}
		}
	}
}

// occurrence returns the occurrence to which a task belongs.
func (t *task) occurrence() *occurrence { return t.job.occurrences[t.id.Occurrence] }

// failureCount returns the number of failed attempts of a task, or of its gang.
func (t *task) failureCount() int {
	if t.step.Gang {
		return t.occurrence().gangFailuresOf(t.id.Step).count
	}
	return t.failures
}

// gangOf returns all members of the gang of a task; the task alone if it is in none.
func (t *Term) gangOf(member *task) []*task {
	if !member.step.Gang {
		return []*task{member}
	}
	return member.occurrence().steps[member.id.Step]
}

// breakGang stops the other members of the gang of a task whose attempt has ended or is abandoned: a gang has to
// restart as a whole.
func (t *Term) breakGang(ended *task, attempt int) {
	if !ended.step.Gang || ended.done {
		return
	}
	for _, member := range t.gangOf(ended) {
		member.checkpoint = ended.checkpoint
		if member.current != nil && member.current.number <= attempt {
			t.stop(member.current, "the gang has to restart")
		}
	}
}
