package actor

import "sync"

// Pool carries out work in the order in which it was given, so many pieces at a time. Its goroutines
// end when nothing is left.
type Pool[W any] struct {
	do    func(W)
	limit int

	mu      sync.Mutex
	pending []W
	running int
}

// NewPool returns a pool that hands work to do, at most so many pieces at a time.
func NewPool[W any](most int, do func(W)) *Pool[W] { return &Pool[W]{do: do, limit: most} }

// Add gives the pool a piece of work, and does not wait.
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
