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
func (h *indexedHeap[T]) Len() int { return len(h.items) }

// Less is part of heap.Interface.
func (h *indexedHeap[T]) Less(i, j int) bool { return h.less(h.items[i], h.items[j]) }

// Swap is part of heap.Interface.
func (h *indexedHeap[T]) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	*h.indexOf(h.items[i]) = i
	*h.indexOf(h.items[j]) = j
}

// Push is part of heap.Interface.
func (h *indexedHeap[T]) Push(item any) {
	*h.indexOf(item.(T)) = len(h.items)
	h.items = append(h.items, item.(T))
}

// Pop is part of heap.Interface.
func (h *indexedHeap[T]) Pop() any {
	last := len(h.items) - 1
	item := h.items[last]
	var none T
	h.items[last] = none
	h.items = h.items[:last]
	*h.indexOf(item) = notInHeap
	return item
}

func (h *indexedHeap[T]) empty() bool { return len(h.items) == 0 }

func (h *indexedHeap[T]) first() T { return h.items[0] }

func (h *indexedHeap[T]) has(item T) bool {
	i := *h.indexOf(item)
	return i != notInHeap
}

func (h *indexedHeap[T]) add(item T) { heap.Push(h, item) }

func (h *indexedHeap[T]) fix(item T) { heap.Fix(h, *h.indexOf(item)) }

func (h *indexedHeap[T]) remove(item T) { heap.Remove(h, *h.indexOf(item)) }
