package api

import "fmt"

// Resources is an amount of CPU, memory and accelerators that a worker has or a task uses.
type Resources struct {
	// MilliCPU is in thousandths of a CPU core.
	MilliCPU int64 `json:"milliCPU" cbor:"1,keyasint"`
	// MemoryMB is in mebibytes.
	MemoryMB int64 `json:"memoryMB" cbor:"2,keyasint"`
	// Accelerators is a number of whole devices.
	Accelerators int64 `json:"accelerators" cbor:"3,keyasint"`
}

// Add returns r + o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.MilliCPU + o.MilliCPU, r.MemoryMB + o.MemoryMB, r.Accelerators + o.Accelerators}
}

// Sub returns r - o; a component may become negative.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.MilliCPU - o.MilliCPU, r.MemoryMB - o.MemoryMB, r.Accelerators - o.Accelerators}
}

// Fits reports whether r is at most o in every component.
func (r Resources) Fits(o Resources) bool {
	return r.MilliCPU <= o.MilliCPU && r.MemoryMB <= o.MemoryMB && r.Accelerators <= o.Accelerators
}

// String formats the amounts with their units.
func (r Resources) String() string {
	return fmt.Sprintf("cpu=%dm memory=%dMB accelerators=%d", r.MilliCPU, r.MemoryMB, r.Accelerators)
}
