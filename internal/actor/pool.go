package actor

import "sync"

// Pool carries out work in the order in which it was given, so many pieces at a time. Its goroutines
// end when nothing is left.
type Pool[W any] struct {
	do   func(W)
	most int

	mu      sync.Mutex
	queue   []W
	running int
}

// NewPool returns a pool that hands work to do, at most so many pieces at a time.
func NewPool[W any](most int, do func(W)) *Pool[W] { return &Pool[W]{do: do, most: most} }

// Add gives the pool a piece of work, and does not wait.
func (p *Pool[W]) Add(work W) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running == p.most {
		p.queue = append(p.queue, work)
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
	if len(p.queue) == 0 {
		p.queue = nil
		p.running--
		return work, false
	}
	work = p.queue[0]
	p.queue = p.queue[1:]
	return work, true
}
