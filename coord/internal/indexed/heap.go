// Package indexed is a heap whose items know their places, so that any of them
// can be moved or removed in logarithmic time.
package indexed

import "container/heap"

// Heap holds items, the first by its order at place 0. It is not safe for
// concurrent use.
type Heap[T any] struct{ inner inner[T] }

// New returns an empty heap. less orders the items, and moved is told the place
// of an item whenever it changes.
func New[T any](less func(a, b T) bool, moved func(item T, place int)) *Heap[T] {
	return &Heap[T]{inner[T]{less: less, moved: moved}}
}

// Len returns the number of items.
func (h *Heap[T]) Len() int { return len(h.inner.items) }

// First returns the first item; there must be one.
func (h *Heap[T]) First() T { return h.inner.items[0] }

// Push adds an item.
func (h *Heap[T]) Push(item T) { heap.Push(&h.inner, item) }

// Pop takes the first item; there must be one.
func (h *Heap[T]) Pop() T { return heap.Pop(&h.inner).(T) }

// Remove takes out the item at a place.
func (h *Heap[T]) Remove(place int) { heap.Remove(&h.inner, place) }

// Fix restores the order after the item at a place has changed.
func (h *Heap[T]) Fix(place int) { heap.Fix(&h.inner, place) }

// inner implements heap.Interface.
type inner[T any] struct {
	items []T
	less  func(a, b T) bool
	moved func(item T, place int)
}

func (h *inner[T]) Len() int           { return len(h.items) }
func (h *inner[T]) Less(i, j int) bool { return h.less(h.items[i], h.items[j]) }

func (h *inner[T]) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.moved(h.items[i], i)
	h.moved(h.items[j], j)
}

// Push implements heap.Interface.
func (h *inner[T]) Push(x any) {
	item := x.(T)
	h.moved(item, len(h.items))
	h.items = append(h.items, item)
}

// Pop implements heap.Interface.
func (h *inner[T]) Pop() any {
	last := len(h.items) - 1
	item := h.items[last]
	var none T
	h.items[last] = none
	h.items = h.items[:last]
	return item
}
