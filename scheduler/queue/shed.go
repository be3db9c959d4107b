package queue

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"bronzehook/api"
)

// Load describes how much batch work the fleet can do.
type Load struct {
	// MilliCPU is what batch work can use at one time.
	MilliCPU float64
	// Committed is what running batch work still needs, in thousandths of a core times seconds.
	Committed float64
}

// runKey identifies the pending parts of one run of a job: they share the work and the deadline.
type runKey struct {
	work string
	due  int64
}

// run is the pending part of one run of a job.
type run struct {
	key     runKey
	class   int
	due     time.Time
	entries []*entry
	// need is the work in thousandths of a core times seconds; longest is the longest run time of a part.
	need    float64
	longest time.Duration
}

// Shed decides which runs are expected to meet their deadlines and moves the others behind them. A run is late as soon
// as one of its parts is, so in overload it is better to give up few large runs as a whole than the last parts of many.
// Within each class the runs are taken in the order of their deadlines; when one would be late, the run with most work
// so far is given up (the rule of Moore and Hodgson). Runs that were given up still start where nothing else does.
func (q *Queue) Shed(load Load, now time.Time) {
	if !q.opts.ShedRuns || load.MilliCPU <= 0 || now.Sub(q.shedAt) < q.opts.ShedInterval {
		return
	}
	q.shedAt = now
	runs := q.collectRuns()
	finish := now.Add(workTime(load.Committed, load.MilliCPU))
	var kept runHeap
	for i, r := range runs {
		if i > 0 && runs[i-1].class != r.class {
			kept.runs = kept.runs[:0]
		}
		if now.Add(time.Duration(float64(r.longest) * q.opts.HopelessShare)).After(r.due) {
			q.setShed(r, true)
			continue
		}
		q.setShed(r, false)
		heap.Push(&kept, r)
		finish = finish.Add(workTime(r.need, load.MilliCPU))
		if finish.After(r.due) {
			dropped := heap.Pop(&kept).(*run)
			finish = finish.Add(-workTime(dropped.need, load.MilliCPU))
			q.setShed(dropped, true)
		}
	}
}

func workTime(need, milliCPU float64) time.Duration {
	return time.Duration(need / milliCPU * float64(time.Second))
}

// collectRuns groups the pending jobs with a deadline, in the order of class and deadline.
func (q *Queue) collectRuns() []*run {
	byKey := map[runKey]*run{}
	for _, e := range q.entries {
		task := &e.item.Task
		if e.item.Spec.Kind != api.KindJob || task.Due.IsZero() {
			continue
		}
		key := runKey{work: task.Work, due: task.Due.UnixNano()}
		r := byKey[key]
		if r == nil {
			r = &run{key: key, class: e.class, due: task.Due}
			byKey[key] = r
		}
		r.entries = append(r.entries, e)
		r.need += float64(e.item.Size.MilliCPU) * e.item.RunTime.Seconds()
		r.longest = max(r.longest, e.item.RunTime)
	}
	runs := make([]*run, 0, len(byKey))
	for _, r := range byKey {
		runs = append(runs, r)
	}
	slices.SortFunc(runs, func(a, b *run) int {
		return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.key.due, b.key.due), cmp.Compare(a.key.work, b.key.work))
	})
	return runs
}

func (q *Queue) setShed(r *run, shed bool) {
	for _, e := range r.entries {
		if e.shed == shed {
			continue
		}
		e.shed = shed
		if e.where == placeOnTime || e.where == placeLate {
			q.unlink(e)
			q.link(e)
		}
	}
}

// runHeap yields the run with most work first.
type runHeap struct{ runs []*run }

func (h *runHeap) Len() int { return len(h.runs) }

func (h *runHeap) Less(i, j int) bool {
	if h.runs[i].need != h.runs[j].need {
		return h.runs[i].need > h.runs[j].need
	}
	return h.runs[i].key.work < h.runs[j].key.work
}

func (h *runHeap) Swap(i, j int) { h.runs[i], h.runs[j] = h.runs[j], h.runs[i] }

func (h *runHeap) Push(x any) { h.runs = append(h.runs, x.(*run)) }

func (h *runHeap) Pop() any {
	last := len(h.runs) - 1
	r := h.runs[last]
	h.runs = h.runs[:last]
	return r
}
