package poolstate

import "container/heap"

// indexedHeap is a heap whose items know their index in it, so that any of them can be moved or
// removed. It implements heap.Interface; use add, fix and remove to change it.
type indexedHeap[T any] struct {
	items   []T
	less    func(a, b T) bool
	indexOf func(item T) *int // Returns where the item stores its index, which is notInHeap while it is in no heap.
}

const notInHeap = -1 // Index of an item that is in no heap.

// Len is part of heap.Interface.
func (p *indexedHeap[T]) Len() int { return len(p.items) }

// Less is part of heap.Interface.
func (p *indexedHeap[T]) Less(i, j int) bool { return p.less(p.items[i], p.items[j]) }

// Swap is part of heap.Interface.
func (p *indexedHeap[T]) Swap(i, j int) {
	p.items[i], p.items[j] = p.items[j], p.items[i]
	*p.indexOf(p.items[i]) = i
	*p.indexOf(p.items[j]) = j
}

// Push is part of heap.Interface.
func (p *indexedHeap[T]) Push(item any) {
	*p.indexOf(item.(T)) = len(p.items)
	p.items = append(p.items, item.(T))
}

// Pop is part of heap.Interface.
func (p *indexedHeap[T]) Pop() any {
	last := len(p.items) - 1
	item := p.items[last]
	var none T
	p.items[last] = none
	p.items = p.items[:last]
	*p.indexOf(item) = notInHeap
	return item
}

func (p *indexedHeap[T]) empty() bool { return len(p.items) == 0 }

func (p *indexedHeap[T]) first() T { return p.items[0] }

func (p *indexedHeap[T]) has(item T) bool {
	i := *p.indexOf(item)
	return i != notInHeap
}

func (p *indexedHeap[T]) add(item T) { heap.Push(p, item) }

func (p *indexedHeap[T]) fix(item T) { heap.Fix(p, *p.indexOf(item)) }

func (p *indexedHeap[T]) remove(item T) { heap.Remove(p, *p.indexOf(item)) }
