package scheduler

// heapElement is an element of an elementHeap.
type heapElement[T any] interface {
	comparable
	before(other T) bool
	setHeapIndex(i int) // called when the element's index changes; -1: it was removed
}

// elementHeap implements heap.Interface; its first element is before all others.
type elementHeap[T heapElement[T]] []T

func (h elementHeap[T]) Len() int           { return len(h) }
func (h elementHeap[T]) Less(i, j int) bool { return h[i].before(h[j]) }
func (h elementHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].setHeapIndex(i)
	h[j].setHeapIndex(j)
}

// Push implements heap.Interface.
func (h *elementHeap[T]) Push(x any) {
	e := x.(T)
	e.setHeapIndex(len(*h))
	*h = append(*h, e)
}

// Pop implements heap.Interface.
func (h *elementHeap[T]) Pop() any {
	old := *h
	e := old[len(old)-1]
	var none T
	old[len(old)-1] = none
	*h = old[:len(old)-1]
	e.setHeapIndex(-1)
	return e
}
