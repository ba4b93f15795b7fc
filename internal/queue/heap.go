package queue

// entryHeap is a heap of entries that updates the index of each entry.
type entryHeap struct {
	items []*entry
	cmp   func(a, b *entry) int
}

// newHeap returns an empty heap ordered by cmp.
func newHeap(cmp func(a, b *entry) int) *entryHeap { return &entryHeap{cmp: cmp} }

// first returns the lowest entry, or nil if the heap is empty.
func (h *entryHeap) first() *entry {
	if len(h.items) == 0 {
		return nil
	}
	return h.items[0]
}

// Len implements heap.Interface.
func (h *entryHeap) Len() int { return len(h.items) }

// Less implements heap.Interface.
func (h *entryHeap) Less(i, j int) bool { return h.cmp(h.items[i], h.items[j]) < 0 }

// Swap implements heap.Interface.
func (h *entryHeap) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.items[i].index, h.items[j].index = i, j
}

// Push implements heap.Interface.
func (h *entryHeap) Push(x any) {
	e := x.(*entry)
	e.index = len(h.items)
	h.items = append(h.items, e)
}

// Pop implements heap.Interface.
func (h *entryHeap) Pop() any {
	last := len(h.items) - 1
	e := h.items[last]
	h.items[last] = nil
	h.items = h.items[:last]
	return e
}
