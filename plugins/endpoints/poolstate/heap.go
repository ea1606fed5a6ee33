package poolstate

import "container/heap"

// priority is a heap whose items know their place in it, so that any of them can be moved or
// removed. It serves as a heap.Interface; use add, fix and remove.
type priority[T any] struct {
	items []T
	less  func(a, b T) bool
	place func(item T) *int // Where the item keeps its index; absent while in no heap.
}

const absent = -1 // Index of an item that is in no heap.

// Len is part of heap.Interface.
func (p *priority[T]) Len() int { return len(p.items) }

// Less is part of heap.Interface.
func (p *priority[T]) Less(i, j int) bool { return p.less(p.items[i], p.items[j]) }

// Swap is part of heap.Interface.
func (p *priority[T]) Swap(i, j int) {
	p.items[i], p.items[j] = p.items[j], p.items[i]
	*p.place(p.items[i]) = i
	*p.place(p.items[j]) = j
}

// Push is part of heap.Interface.
func (p *priority[T]) Push(item any) {
	*p.place(item.(T)) = len(p.items)
	p.items = append(p.items, item.(T))
}

// Pop is part of heap.Interface.
func (p *priority[T]) Pop() any {
	last := len(p.items) - 1
	item := p.items[last]
	var none T
	p.items[last] = none
	p.items = p.items[:last]
	*p.place(item) = absent
	return item
}

func (p *priority[T]) empty() bool { return len(p.items) == 0 }

func (p *priority[T]) first() T { return p.items[0] }

func (p *priority[T]) has(item T) bool {
	i := *p.place(item)
	return i != absent
}

func (p *priority[T]) add(item T) { heap.Push(p, item) }

func (p *priority[T]) fix(item T) { heap.Fix(p, *p.place(item)) }

func (p *priority[T]) remove(item T) { heap.Remove(p, *p.place(item)) }
