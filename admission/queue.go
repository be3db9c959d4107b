package admission

// queue is a first-in-first-out queue of tickets. A removed ticket stays in the slice until it reaches the front, so that
// each removal takes constant time even if many callers give up at once.
type queue struct {
	tickets []*Ticket
	head    int // index of the first ticket that was not popped or dropped
	waiting int // number of tickets that were not popped or removed
}

func (q *queue) length() int { return q.waiting }

func (q *queue) push(t *Ticket) {
	q.tickets = append(q.tickets, t)
	q.waiting++
}

// front returns the first waiting ticket, or nil.
func (q *queue) front() *Ticket {
	q.dropRemoved()
	if q.head == len(q.tickets) {
		return nil
	}
	return q.tickets[q.head]
}

// pop removes and returns the first waiting ticket. The queue must not be empty.
func (q *queue) pop() *Ticket {
	t := q.front()
	q.tickets[q.head] = nil
	q.head++
	q.waiting--
	return t
}

// remove removes a waiting ticket from the count. The caller has to change the state of the ticket right afterwards, by
// which dropRemoved recognises it.
func (q *queue) remove(*Ticket) { q.waiting-- }

// dropRemoved drops removed tickets from the front. It moves the remaining tickets to the start of the slice when more
// than half of the capacity lies before them.
func (q *queue) dropRemoved() {
	for q.head < len(q.tickets) && q.tickets[q.head].state != stateWaiting {
		q.tickets[q.head] = nil
		q.head++
	}
	if q.head == len(q.tickets) || q.head > cap(q.tickets)/2 {
		remaining := copy(q.tickets, q.tickets[q.head:])
		clear(q.tickets[remaining:])
		q.tickets = q.tickets[:remaining]
		q.head = 0
	}
}
