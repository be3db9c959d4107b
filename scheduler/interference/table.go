package interference

// table is a hash table from keys to slots, with open addressing and linear probing. A placement looks up several
// hundred pairs, which takes about a third of the time that a built-in map takes. Key 0 marks an empty cell and must
// not be used as a key.
type table struct {
	cells    []cell
	mask     uint64
	occupied int
}

type cell struct {
	key  uint64
	slot int32
}

const initialCells = 1024

func newTable() *table { return &table{cells: make([]cell, initialCells), mask: initialCells - 1} }

func (t *table) homeCell(key uint64) uint64 {
	const fibonacciMultiplier = 0x9E3779B97F4A7C15
	return (key * fibonacciMultiplier >> 20) & t.mask
}

// get returns the slot of a key, or -1 if the key is missing.
func (t *table) get(key uint64) int32 {
	for i := t.homeCell(key); ; i = (i + 1) & t.mask {
		c := &t.cells[i]
		if c.key == key {
			return c.slot
		}
		if c.key == 0 {
			return -1
		}
	}
}

// put adds a key that must not be in the table yet.
func (t *table) put(key uint64, slot int32) {
	if 2*t.occupied >= len(t.cells) {
		t.grow()
	}
	i := t.homeCell(key)
	for t.cells[i].key != 0 {
		i = (i + 1) & t.mask
	}
	t.cells[i] = cell{key: key, slot: slot}
	t.occupied++
}

func (t *table) grow() {
	old := t.cells
	t.cells = make([]cell, 2*len(old))
	t.mask = uint64(len(t.cells) - 1)
	t.occupied = 0
	for _, c := range old {
		if c.key != 0 {
			t.put(c.key, c.slot)
		}
	}
}

// remove deletes a key and moves later cells of the same probe sequence back, so that no lookup stops at an empty cell
// before it reaches its key.
func (t *table) remove(key uint64) {
	i := t.homeCell(key)
	for t.cells[i].key != key {
		if t.cells[i].key == 0 {
			return
		}
		i = (i + 1) & t.mask
	}
	t.occupied--
	for j := (i + 1) & t.mask; t.cells[j].key != 0; j = (j + 1) & t.mask {
		home := t.homeCell(t.cells[j].key)
		if (j-home)&t.mask >= (j-i)&t.mask {
			t.cells[i] = t.cells[j]
			i = j
		}
	}
	t.cells[i] = cell{}
}
