package backlog

// SizeClass is the class of a job by its work, compared with the recent jobs of its queue.
type SizeClass int

// The size classes.
const (
	// ClassOther holds the jobs that are in neither of the other classes.
	ClassOther SizeClass = iota
	// ClassLarge is the fifth of the jobs below the largest tenth, ClassLargest the largest tenth.
	ClassLarge
	ClassLargest
	classCount
)

const (
	// sizeSamples is the number of recent jobs with which the size of a job is compared; below minSizeSamples all jobs are in
	// ClassOther.
	sizeSamples    = 200
	minSizeSamples = 20
	// largestShare and largeShare are the shares of jobs that are as large as those of ClassLargest, and at least of ClassLarge.
	largestShare = 0.1
	largeShare   = 0.3
	// classDecay and queueDecay are the weights of one outcome in the share of jobs served, of a size class and of the whole queue.
	// They average over 7 s to 20 s of a queue with 15 jobs a second.
	classDecay = 1.0 / 30
	queueDecay = 1.0 / 100
	// protectBelow is the share of the whole queue's service below which a size class is protected. The requirement is a
	// half, and the measured share lags behind by the time that jobs take.
	protectBelow = 0.65
)

// Sizes tracks, for one queue, the sizes of its recent jobs and which share of each size class was served lately. The zero
// value has no jobs.
type Sizes struct {
	recent  []float64
	next    int
	served  [classCount]share
	overall share
}

// share is the share of jobs that were served, of which the latest ones weigh most.
type share struct {
	value float64
	known bool
}

func (s *share) note(served bool, decay float64) {
	sample := 0.0
	if served {
		sample = 1
	}
	if !s.known {
		// A class counts as served until outcomes show otherwise.
		s.value, s.known = 1, true
	}
	s.value += decay * (sample - s.value)
}

// Classify adds a job by its work and returns its size class.
func (s *Sizes) Classify(work float64) SizeClass {
	class := s.classOf(work)
	if len(s.recent) < sizeSamples {
		s.recent = append(s.recent, work)
		return class
	}
	s.recent[s.next] = work
	s.next = (s.next + 1) % sizeSamples
	return class
}

func (s *Sizes) classOf(work float64) SizeClass {
	if len(s.recent) < minSizeSamples {
		return ClassOther
	}
	larger := 0
	for _, other := range s.recent {
		// Jobs of equal size do not form a class of large ones.
		if other >= work {
			larger++
		}
	}
	switch position := float64(larger) / float64(len(s.recent)); {
	case position <= largestShare:
		return ClassLargest
	case position <= largeShare:
		return ClassLarge
	}
	return ClassOther
}

// Note records whether a job was served, that is, ended while it could still earn in full.
func (s *Sizes) Note(class SizeClass, served bool) {
	s.served[class].note(served, classDecay)
	s.overall.note(served, queueDecay)
}

// Protected reports whether a size class of large jobs was served so much less than the whole queue lately that its jobs are not to
// be deferred before others.
func (s *Sizes) Protected(class SizeClass) bool {
	c := s.served[class]
	return class != ClassOther && c.known && c.value < protectBelow*s.overall.value
}
