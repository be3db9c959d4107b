package placement

// Free CPU is of use to batch work in whole slots only: a slot is the CPU that a typical batch task reserves. A fleet whose free
// CPU is spread over all workers in smaller pieces than that has capacity, but none for the next batch task.

// Slots returns how many tasks that reserve slotCPU fit into the free CPU of the worker; 0 if slotCPU is unknown.
func (n *Node) Slots(slotCPU int) int {
	if slotCPU <= 0 {
		return 0
	}
	return max(0, n.Free().CPU) / slotCPU
}

// lostSlots returns how many slots a requested task would take from batch work.
func (n *Node) lostSlots(request *Request) int {
	if request.SlotCPU <= 0 {
		return 0
	}
	left := n.Free().CPU - request.Step.Reserved().CPU
	return n.Slots(request.SlotCPU) - max(0, left)/request.SlotCPU
}
