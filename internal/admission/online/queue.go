package online

import "container/list"

// priorities is the number of tenant priorities, from 0 (highest) to 9.
const priorities = 10

// queue holds waiting tickets by priority, and within each in order of arrival.
type queue struct {
	levels   [priorities]list.List
	elements map[TicketID]*list.Element
	length   int
}

func level(priority int) int { return min(max(priority, 0), priorities-1) }

func (q *queue) push(state *ticketState) {
	if q.elements == nil {
		q.elements = map[TicketID]*list.Element{}
	}
	q.elements[state.id] = q.levels[level(state.ticket.Tenant.Priority)].PushBack(state)
	q.length++
}

func (q *queue) remove(state *ticketState) {
	element := q.elements[state.id]
	if element == nil {
		return
	}
	delete(q.elements, state.id)
	q.levels[level(state.ticket.Tenant.Priority)].Remove(element)
	q.length--
}

// first returns the next ticket to admit, or nil if none waits.
func (q *queue) first() *ticketState {
	for i := range q.levels {
		if front := q.levels[i].Front(); front != nil {
			return front.Value.(*ticketState)
		}
	}
	return nil
}

// last returns the first ticket to shed, the newest of the lowest priority.
func (q *queue) last() *ticketState {
	for i := priorities - 1; i >= 0; i-- {
		if back := q.levels[i].Back(); back != nil {
			return back.Value.(*ticketState)
		}
	}
	return nil
}

// ahead returns the number of tickets before a new one of this priority.
func (q *queue) ahead(priority int) int {
	count := 0
	for i := 0; i <= level(priority); i++ {
		count += q.levels[i].Len()
	}
	return count
}

// each calls visit for the tickets in order of admission.
func (q *queue) each(visit func(*ticketState)) {
	for i := range q.levels {
		for element := q.levels[i].Front(); element != nil; element = element.Next() {
			visit(element.Value.(*ticketState))
		}
	}
}
