package interference

// table maps keys to slots by open addressing with linear probing. A placement looks up several hundred pairs; this takes
// about a third of the time of a built-in map. Key 0 marks a free cell, so no pair may have that key.
type table struct {
	cells []cell
	mask  uint64
	used  int
}

type cell struct {
	key  uint64
	slot int32
}

const firstCells = 1024

func newTable() *table { return &table{cells: make([]cell, firstCells), mask: firstCells - 1} }

func (t *table) home(key uint64) uint64 {
	const fibonacci = 0x9E3779B97F4A7C15
	return (key * fibonacci >> 20) & t.mask
}

// get returns the slot of a key, or -1.
func (t *table) get(key uint64) int32 {
	for i := t.home(key); ; i = (i + 1) & t.mask {
		c := &t.cells[i]
		if c.key == key {
			return c.slot
		}
		if c.key == 0 {
			return -1
		}
	}
}

// put adds a key that is not in the table.
func (t *table) put(key uint64, slot int32) {
	if 2*t.used >= len(t.cells) {
		t.grow()
	}
	i := t.home(key)
	for t.cells[i].key != 0 {
		i = (i + 1) & t.mask
	}
	t.cells[i] = cell{key: key, slot: slot}
	t.used++
}

func (t *table) grow() {
	old := t.cells
	t.cells = make([]cell, 2*len(old))
	t.mask = uint64(len(t.cells) - 1)
	t.used = 0
	for _, c := range old {
		if c.key != 0 {
			t.put(c.key, c.slot)
		}
	}
}

// remove deletes a key and moves later cells of its run back, so that no lookup stops too early.
func (t *table) remove(key uint64) {
	i := t.home(key)
	for t.cells[i].key != key {
		if t.cells[i].key == 0 {
			return
		}
		i = (i + 1) & t.mask
	}
	t.used--
	for j := (i + 1) & t.mask; t.cells[j].key != 0; j = (j + 1) & t.mask {
		home := t.home(t.cells[j].key)
		if (j-home)&t.mask >= (j-i)&t.mask {
			t.cells[i] = t.cells[j]
			i = j
		}
	}
	t.cells[i] = cell{}
}
