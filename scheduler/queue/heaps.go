package queue

// indexed is an element of a heap that records its position in it.
type indexed interface{ setHeapIndex(index int) }

func (e *entry) setHeapIndex(index int) { e.heapIndex = index }
func (s *shape) setHeapIndex(index int) { s.heapIndex = index }

// indexedHeap implements heap.Interface except for Less.
type indexedHeap[T indexed] struct{ items []T }

func (h *indexedHeap[T]) Len() int { return len(h.items) }

func (h *indexedHeap[T]) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.items[i].setHeapIndex(i)
	h.items[j].setHeapIndex(j)
}

func (h *indexedHeap[T]) Push(x any) {
	item := x.(T)
	item.setHeapIndex(len(h.items))
	h.items = append(h.items, item)
}

func (h *indexedHeap[T]) Pop() any {
	last := len(h.items) - 1
	item := h.items[last]
	clear(h.items[last:])
	h.items = h.items[:last]
	return item
}

// entryHeap is a heap of entries ordered by rank.
type entryHeap struct{ indexedHeap[*entry] }

func (h *entryHeap) Less(i, j int) bool { return h.items[i].before(h.items[j]) }

// delayHeap is a heap of delayed entries ordered by retry time.
type delayHeap struct{ indexedHeap[*entry] }

func (h *delayHeap) Less(i, j int) bool { return h.items[i].retryAt.Before(h.items[j].retryAt) }

// shapeHeap is a heap of shapes, ordered by retry time if byRetryTime is set and by placement order otherwise.
type shapeHeap struct {
	indexedHeap[*shape]
	byRetryTime bool
}

func (h *shapeHeap) Less(i, j int) bool {
	if h.byRetryTime {
		return h.items[i].retryAt.Before(h.items[j].retryAt)
	}
	return h.items[i].before(h.items[j])
}
