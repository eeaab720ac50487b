package actor

import "sync"

// Pool runs a function for each work item, in the order in which the items were added and on a limited number of
// goroutines. An idle pool has no goroutines. It is safe for concurrent use.
type Pool[T any] struct {
	do    func(T)
	limit int

	mu      sync.Mutex // guards the fields below
	pending []T
	running int
}

// NewPool returns a pool that calls do for each work item, on at most limit goroutines.
func NewPool[T any](limit int, do func(T)) *Pool[T] { return &Pool[T]{do: do, limit: limit} }

// Add adds a work item without blocking.
func (p *Pool[T]) Add(item T) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running == p.limit {
		p.pending = append(p.pending, item)
		return
	}
	p.running++
	go p.run(item)
}

// run processes work items until none is pending.
func (p *Pool[T]) run(item T) {
	for {
		p.do(item)
		next, ok := p.next()
		if !ok {
			return
		}
		item = next
	}
}

// next returns the next pending work item. If there is none, it returns false, and the calling goroutine must end.
func (p *Pool[T]) next() (item T, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.pending) == 0 {
		p.pending = nil
		p.running--
		return item, false
	}
	item = p.pending[0]
	p.pending = p.pending[1:]
	return item, true
}
