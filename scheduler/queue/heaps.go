package queue

// entryHeap is a heap of entries ordered by rank.
type entryHeap struct{ entries []*entry }

func (h *entryHeap) Len() int           { return len(h.entries) }
func (h *entryHeap) Less(i, j int) bool { return h.entries[i].before(h.entries[j]) }
func (h *entryHeap) Swap(i, j int) {
	h.entries[i], h.entries[j] = h.entries[j], h.entries[i]
	h.entries[i].heapIndex = i
	h.entries[j].heapIndex = j
}

func (h *entryHeap) Push(x any) {
	e := x.(*entry)
	e.heapIndex = len(h.entries)
	h.entries = append(h.entries, e)
}

func (h *entryHeap) Pop() any {
	last := len(h.entries) - 1
	e := h.entries[last]
	h.entries[last] = nil
	h.entries = h.entries[:last]
	return e
}

// delayHeap is a heap of delayed entries ordered by retry time.
type delayHeap struct{ entryHeap }

func (h *delayHeap) Less(i, j int) bool { return h.entries[i].retryAt.Before(h.entries[j].retryAt) }

// shapeHeap is a heap of shapes, ordered by retry time if byRetryTime is set and by placement order otherwise.
type shapeHeap struct {
	shapes      []*shape
	byRetryTime bool
}

func (h *shapeHeap) Len() int { return len(h.shapes) }

func (h *shapeHeap) Less(i, j int) bool {
	if h.byRetryTime {
		return h.shapes[i].retryAt.Before(h.shapes[j].retryAt)
	}
	return h.shapes[i].before(h.shapes[j])
}

func (h *shapeHeap) Swap(i, j int) {
	h.shapes[i], h.shapes[j] = h.shapes[j], h.shapes[i]
	h.shapes[i].heapIndex = i
	h.shapes[j].heapIndex = j
}

func (h *shapeHeap) Push(x any) {
	s := x.(*shape)
	s.heapIndex = len(h.shapes)
	h.shapes = append(h.shapes, s)
}

func (h *shapeHeap) Pop() any {
	last := len(h.shapes) - 1
	s := h.shapes[last]
	h.shapes[last] = nil
	h.shapes = h.shapes[:last]
	return s
}
