package queue

// entryHeap is a heap of the entries of one shape.
type entryHeap struct{ entries []*entry }

func (h *entryHeap) Len() int           { return len(h.entries) }
func (h *entryHeap) Less(i, j int) bool { return h.entries[i].before(h.entries[j]) }
func (h *entryHeap) Swap(i, j int) {
	h.entries[i], h.entries[j] = h.entries[j], h.entries[i]
	h.entries[i].pos = i
	h.entries[j].pos = j
}

func (h *entryHeap) Push(x any) {
	e := x.(*entry)
	e.pos = len(h.entries)
	h.entries = append(h.entries, e)
}

func (h *entryHeap) Pop() any {
	last := len(h.entries) - 1
	e := h.entries[last]
	h.entries[last] = nil
	h.entries = h.entries[:last]
	return e
}

// delayHeap is a heap of entries that wait for a time of their own.
type delayHeap struct{ entryHeap }

func (h *delayHeap) Less(i, j int) bool { return h.entries[i].readyAt.Before(h.entries[j].readyAt) }

// shapeHeap is a heap of shapes: by order of their heads, or by the time at which they are tried again.
type shapeHeap struct {
	shapes []*shape
	byTime bool
}

func (h *shapeHeap) Len() int { return len(h.shapes) }

func (h *shapeHeap) Less(i, j int) bool {
	if h.byTime {
		return h.shapes[i].until.Before(h.shapes[j].until)
	}
	return h.shapes[i].before(h.shapes[j])
}

func (h *shapeHeap) Swap(i, j int) {
	h.shapes[i], h.shapes[j] = h.shapes[j], h.shapes[i]
	h.shapes[i].pos = i
	h.shapes[j].pos = j
}

func (h *shapeHeap) Push(x any) {
	s := x.(*shape)
	s.pos = len(h.shapes)
	h.shapes = append(h.shapes, s)
}

func (h *shapeHeap) Pop() any {
	last := len(h.shapes) - 1
	s := h.shapes[last]
	h.shapes[last] = nil
	h.shapes = h.shapes[:last]
	return s
}
