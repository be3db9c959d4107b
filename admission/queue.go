package admission

// queue is a first-in-first-out queue of tickets. Removing a ticket leaves a hole that is skipped later, so that a wave
// of callers giving up costs no more than the tickets it removes.
type queue struct {
	tickets []*Ticket
	head    int
	live    int
}

func (q *queue) length() int { return q.live }

func (q *queue) push(t *Ticket) {
	q.tickets = append(q.tickets, t)
	q.live++
}

// front returns the first waiting ticket, or nil.
func (q *queue) front() *Ticket {
	q.skipHoles()
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
	q.live--
	return t
}

// remove takes out a waiting ticket; its state changes right after, which makes its place a hole.
func (q *queue) remove(*Ticket) { q.live-- }

func (q *queue) skipHoles() {
	for q.head < len(q.tickets) && q.tickets[q.head].state != stateWaiting {
		q.tickets[q.head] = nil
		q.head++
	}
	if q.head == len(q.tickets) || q.head > cap(q.tickets)/2 {
		kept := copy(q.tickets, q.tickets[q.head:])
		clear(q.tickets[kept:])
		q.tickets = q.tickets[:kept]
		q.head = 0
	}
}
