package machineregistry

import (
	"sort"
	"time"

	"pinebay/internal/config"
	"pinebay/internal/protocol"
)

// imageEntry is a machine's copy of an image, as far as can be told.
type imageEntry struct {
	sizeGB     float64
	expectedAt time.Duration // when it should be there, as the type's rate says
	latestAt   time.Duration // when at the latest, as fetches take up to a third longer
	confirmed  bool          // a task that needs it has got past its fetch
	lastUsed   time.Duration
}

// SlowFetchFactor is how much longer than the type's rate says a fetch may take.
const SlowFetchFactor = 4.0 / 3

// remainingFetch estimates how long the machine still needs to have the image. A fetch
// that should be over may go on: until a task has been seen past it, the image
// is not taken for granted, or tasks would be moved from one unfinished fetch
// to the next, and each would start from nothing.
func (im *imageEntry) remainingFetch(now time.Duration) time.Duration {
	third := im.latestAt - im.expectedAt
	switch {
	case im.confirmed:
		return 0
	case now < im.expectedAt-third:
		return im.expectedAt - now
	default:
		return max(im.latestAt-now, third/2) / 2
	}
}

// CachedImage is a machine's copy of an image.
type CachedImage struct {
	Image  string
	SizeGB float64
}

// CachedImages returns the images that machines have, as far as can be told.
func (p *Registry) CachedImages() map[string][]CachedImage {
	out := map[string][]CachedImage{}
	for _, m := range p.sortedMachines {
		n := m.Name
		for name, im := range m.images {
			if im.confirmed {
				out[n] = append(out[n], CachedImage{name, im.sizeGB})
			}
		}
		sort.Slice(out[n], func(i, j int) bool { return out[n][i].Image < out[n][j].Image })
	}
	return out
}

// SetImageHint tells which images a machine had when an earlier leader last wrote them
// down. It is no more than a hint: a wrong one costs a fetch.
func (p *Registry) SetImageHint(name string, copies []CachedImage) { p.imageHints[name] = copies }

// FetchTime estimates how long a machine needs until it has the job's image.
func (p *Registry) FetchTime(now time.Duration, m *Machine, j *protocol.Job) time.Duration {
	return p.FetchTimeWithout(now, m, j, nil)
}

// FetchTimeWithout is FetchTime if those tasks left that the function names.
func (p *Registry) FetchTimeWithout(
	now time.Duration,
	m *Machine,
	j *protocol.Job,
	leave func(*Placement) bool,
) time.Duration {
	if im := m.images[j.Image]; im != nil {
		return im.remainingFetch(now)
	}
	t := p.machineTypes[m.Type]
	if t == nil || t.FetchGBPerSecond <= 0 {
		return 0
	}
	fetches := 1
	for name, im := range m.images {
		if !im.confirmed && !m.fetchedOnlyFor(name, leave) {
			fetches++
		}
	}
	return config.Seconds(j.ImageGB / t.FetchGBPerSecond * float64(fetches))
}

// fetchedOnlyFor says whether an image is fetched for nothing but tasks that the
// function names.
func (m *Machine) fetchedOnlyFor(image string, which func(*Placement) bool) bool {
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

// FetchDelayWithout estimates by how much, in all, a fetch of the job's image would
// delay other fetches on the machine, which share its rate, if those tasks left
// that the function names.
func (p *Registry) FetchDelayWithout(
	now time.Duration,
	m *Machine,
	j *protocol.Job,
	leave func(*Placement) bool,
) time.Duration {
	t := p.machineTypes[m.Type]
	if m.images[j.Image] != nil || t == nil || t.FetchGBPerSecond <= 0 {
		return 0
	}
	whole := config.Seconds(j.ImageGB / t.FetchGBPerSecond)
	sum := time.Duration(0)
	for name, im := range m.images {
		if !im.confirmed && !m.fetchedOnlyFor(name, leave) {
			sum += min(whole, im.remainingFetch(now))
		}
	}
	return sum
}

// recordImageUse notes that a machine will have an image, and which ones give way.
func (p *Registry) recordImageUse(now time.Duration, m *Machine, j *protocol.Job) {
	im := m.images[j.Image]
	if im == nil {
		whole := p.FetchTime(now, m, j)
		im = &imageEntry{
			sizeGB:     j.ImageGB,
			expectedAt: now + whole,
			latestAt:   now + time.Duration(float64(whole)*SlowFetchFactor),
		}
		p.setImage(m, j.Image, im)
	}
	im.lastUsed = now
	t := p.machineTypes[m.Type]
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
			if !needed[name] && (oldest == "" || evictedBefore(m, name, oldest)) {
				oldest = name
			}
		}
		if total <= t.CacheGB || oldest == "" {
			return
		}
		p.deleteImage(m, oldest)
	}
}

// evictedBefore says whether one image gives way before another: the one that was used longer ago,
// or else the first by name, for the same decisions every time.
func evictedBefore(m *Machine, a, b string) bool {
	if usedA, usedB := m.images[a].lastUsed, m.images[b].lastUsed; usedA != usedB {
		return usedA < usedB
	}
	return a < b
}

// abandonFetch forgets an image whose fetch was given up with its last task.
func (p *Registry) abandonFetch(m *Machine, pl *Placement) {
	if pl.Job == nil {
		return
	}
	im := m.images[pl.Job.Image]
	if im == nil || im.confirmed {
		return
	}
	for _, o := range m.placements {
		if o.Job != nil && o.Job.Image == pl.Job.Image {
			return
		}
	}
	p.deleteImage(m, pl.Job.Image)
}
