package partition

import (
	"sort"
	"time"

	"pinebay/internal/config"
	"pinebay/internal/protocol"
)

// image is a machine's copy of an image, as far as can be told.
type image struct {
	sizeGB float64
	ready  time.Duration // when it should be there, as the type's rate says
	latest time.Duration // when at the latest, as fetches take up to a third longer
	sure   bool          // a task that needs it has got past its fetch
	used   time.Duration
}

// SlowFetch is how much longer than the type's rate says a fetch may take.
const SlowFetch = 4.0 / 3

// left estimates how long the machine still needs to have the image. A fetch
// that should be over may go on: until a task has been seen past it, the image
// is not taken for granted, or tasks would be moved from one unfinished fetch
// to the next, and each would start from nothing.
func (im *image) left(now time.Duration) time.Duration {
	third := im.latest - im.ready
	switch {
	case im.sure:
		return 0
	case now < im.ready-third:
		return im.ready - now
	default:
		return max(im.latest-now, third/2) / 2
	}
}

// Copy is a machine's copy of an image.
type Copy struct {
	Image  string
	SizeGB float64
}

// Copies returns the images that machines have, as far as can be told.
func (p *Partition) Copies() map[string][]Copy {
	out := map[string][]Copy{}
	for _, m := range p.ordered {
		n := m.Name
		for name, im := range m.images {
			if im.sure {
				out[n] = append(out[n], Copy{name, im.sizeGB})
			}
		}
		sort.Slice(out[n], func(i, j int) bool { return out[n][i].Image < out[n][j].Image })
	}
	return out
}

// Hint tells which images a machine had when an earlier leader last wrote them
// down. It is no more than a hint: a wrong one costs a fetch.
func (p *Partition) Hint(name string, copies []Copy) { p.hints[name] = copies }

// FetchTime estimates how long a machine needs until it has the job's image.
func (p *Partition) FetchTime(now time.Duration, m *Machine, j *protocol.Job) time.Duration {
	return p.FetchTimeWithout(now, m, j, nil)
}

// FetchTimeWithout is FetchTime if those tasks left that the function names.
func (p *Partition) FetchTimeWithout(now time.Duration, m *Machine, j *protocol.Job, leave func(*Placement) bool) time.Duration {
	if im := m.images[j.Image]; im != nil {
		return im.left(now)
	}
	t := p.types[m.Type]
	if t == nil || t.FetchGBPerSecond <= 0 {
		return 0
	}
	fetches := 1
	for name, im := range m.images {
		if !im.sure && !m.fetchedFor(name, leave) {
			fetches++
		}
	}
	return config.Seconds(j.ImageGB / t.FetchGBPerSecond * float64(fetches))
}

// fetchedFor says whether an image is fetched for nothing but tasks that the
// function names.
func (m *Machine) fetchedFor(image string, which func(*Placement) bool) bool {
	if which == nil {
		return false
	}
	for _, pl := range m.placements {
		if pl.Job != nil && pl.Job.Image == image && !which(pl) {
			return false
		}
	}
	return true
}

// SlowsWithout estimates by how much, in all, a fetch of the job's image would
// delay other fetches on the machine, which share its rate, if those tasks left
// that the function names.
func (p *Partition) SlowsWithout(now time.Duration, m *Machine, j *protocol.Job, leave func(*Placement) bool) time.Duration {
	t := p.types[m.Type]
	if m.images[j.Image] != nil || t == nil || t.FetchGBPerSecond <= 0 {
		return 0
	}
	whole := config.Seconds(j.ImageGB / t.FetchGBPerSecond)
	sum := time.Duration(0)
	for name, im := range m.images {
		if !im.sure && !m.fetchedFor(name, leave) {
			sum += min(whole, im.left(now))
		}
	}
	return sum
}

// useImage notes that a machine will have an image, and which ones give way.
func (p *Partition) useImage(now time.Duration, m *Machine, j *protocol.Job) {
	im := m.images[j.Image]
	if im == nil {
		whole := p.FetchTime(now, m, j)
		im = &image{sizeGB: j.ImageGB, ready: now + whole, latest: now + time.Duration(float64(whole)*SlowFetch)}
		p.setImage(m, j.Image, im)
	}
	im.used = now
	t := p.types[m.Type]
	if t == nil {
		return
	}
	// What a task on the machine needs is in use, however long ago it started.
	needed := map[string]bool{j.Image: true}
	for _, pl := range m.placements {
		if pl.Job != nil {
			needed[pl.Job.Image] = true
		}
	}
	for {
		total, oldest := 0.0, ""
		for name, im := range m.images {
			total += im.sizeGB
			if !needed[name] && (oldest == "" || goesFirst(m, name, oldest)) {
				oldest = name
			}
		}
		if total <= t.CacheGB || oldest == "" {
			return
		}
		p.deleteImage(m, oldest)
	}
}

// goesFirst says whether one image gives way before another: the one that was used longer ago,
// or else the first by name, for the same decisions every time.
func goesFirst(m *Machine, a, b string) bool {
	if usedA, usedB := m.images[a].used, m.images[b].used; usedA != usedB {
		return usedA < usedB
	}
	return a < b
}

// dropFetch forgets an image whose fetch was given up with its last task.
func (p *Partition) dropFetch(m *Machine, pl *Placement) {
	if pl.Job == nil {
		return
	}
	im := m.images[pl.Job.Image]
	if im == nil || im.sure {
		return
	}
	for _, o := range m.placements {
		if o.Job != nil && o.Job.Image == pl.Job.Image {
			return
		}
	}
	p.deleteImage(m, pl.Job.Image)
}
