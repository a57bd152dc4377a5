// Package indexed implements a binary heap that tells each item its index, so that
// any item can be moved or removed in logarithmic time.
package indexed

import "container/heap"

// Heap is a heap of items; the first by the order of less is at index 0. It is not
// safe for concurrent use.
type Heap[T any] struct{ slice heapSlice[T] }

// New returns an empty heap. less reports whether a comes before b. setIndex is
// called with an item's index when the item is added and whenever the index
// changes. The last index of a removed item is void.
func New[T any](less func(a, b T) bool, setIndex func(item T, index int)) *Heap[T] {
	return &Heap[T]{heapSlice[T]{less: less, setIndex: setIndex}}
}

// Len returns the number of items.
func (h *Heap[T]) Len() int { return len(h.slice.items) }

// First returns the first item. It panics if the heap is empty.
func (h *Heap[T]) First() T { return h.slice.items[0] }

// Push adds an item.
func (h *Heap[T]) Push(item T) { heap.Push(&h.slice, item) }

// Pop removes and returns the first item. It panics if the heap is empty.
func (h *Heap[T]) Pop() T { return heap.Pop(&h.slice).(T) }

// Remove removes the item at an index.
func (h *Heap[T]) Remove(index int) { heap.Remove(&h.slice, index) }

// Fix restores the order after the item at an index has changed.
func (h *Heap[T]) Fix(index int) { heap.Fix(&h.slice, index) }

// heapSlice implements heap.Interface and reports every change of an index.
type heapSlice[T any] struct {
	items    []T
	less     func(a, b T) bool
	setIndex func(item T, index int)
}

func (h *heapSlice[T]) Len() int           { return len(h.items) }
func (h *heapSlice[T]) Less(i, j int) bool { return h.less(h.items[i], h.items[j]) }

func (h *heapSlice[T]) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.setIndex(h.items[i], i)
	h.setIndex(h.items[j], j)
}

// Push implements heap.Interface.
func (h *heapSlice[T]) Push(x any) {
	item := x.(T)
	h.setIndex(item, len(h.items))
	h.items = append(h.items, item)
}

// Pop implements heap.Interface.
func (h *heapSlice[T]) Pop() any {
	last := len(h.items) - 1
	item := h.items[last]
	var zero T
	h.items[last] = zero
	h.items = h.items[:last]
	return item
}
