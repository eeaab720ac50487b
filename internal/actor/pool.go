package actor

import "sync"

// Pool runs a function on pieces of work, in the order in which they were added and a limited
// number at a time. It has no goroutines while it has no work. It is safe for concurrent use.
type Pool[W any] struct {
	do    func(W)
	limit int

	mu      sync.Mutex // guards what follows
	pending []W
	running int
}

// NewPool returns a pool that calls do for each piece of work, on at most limit goroutines.
func NewPool[W any](limit int, do func(W)) *Pool[W] { return &Pool[W]{do: do, limit: limit} }

// Add adds a piece of work. It does not wait.
func (p *Pool[W]) Add(work W) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running == p.limit {
		p.pending = append(p.pending, work)
		return
	}
	p.running++
	go p.run(work)
}

// run works until nothing is pending.
func (p *Pool[W]) run(work W) {
	for {
		p.do(work)
		next, ok := p.next()
		if !ok {
			return
		}
		work = next
	}
}

// next returns the next pending piece of work. Without one, the calling goroutine must end.
func (p *Pool[W]) next() (work W, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.pending) == 0 {
		p.pending = nil
		p.running--
		return work, false
	}
	work = p.pending[0]
	p.pending = p.pending[1:]
	return work, true
}
