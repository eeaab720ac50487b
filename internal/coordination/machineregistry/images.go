package machineregistry

import (
	"cmp"
	"slices"
	"time"

	"pinebay/internal/config"
	"pinebay/internal/protocol"
)

// SlowFetchFactor is how much longer than the machine type's rate suggests a fetch may take.
const SlowFetchFactor = 4.0 / 3

// CachedImage is an image in a machine's cache.
type CachedImage struct {
	Image  string
	SizeGB float64
}

// imageCache is an estimate of the images in a machine's cache, by name. Workers do not report
// their cache: the estimate follows from the placements and the states of their tasks.
type imageCache map[string]*imageEntry

// imageEntry is an image that is in the cache or being fetched.
type imageEntry struct {
	sizeGB     float64
	expectedAt time.Duration // when the fetch is over at the machine type's rate
	latestAt   time.Duration // when it is over if it is slow
	confirmed  bool          // a task that needs it has been seen past its fetch
	lastUsed   time.Duration
}

// remainingFetch estimates how long the fetch will still take. A fetch that should be over may
// still go on, so until the image is confirmed some time is left: otherwise tasks would be moved
// from one unfinished fetch to the next, and each would begin anew.
func (e *imageEntry) remainingFetch(now time.Duration) time.Duration {
	third := e.latestAt - e.expectedAt
	switch {
	case e.confirmed:
		return 0
	case now < e.expectedAt-third:
		return e.expectedAt - now
	default:
		return max(e.latestAt-now, third/2) / 2
	}
}

// confirmedImages returns the images that are known to be in the cache, by name.
func (c imageCache) confirmedImages() []CachedImage {
	var list []CachedImage
	for name, e := range c {
		if e.confirmed {
			list = append(list, CachedImage{Image: name, SizeGB: e.sizeGB})
		}
	}
	slices.SortFunc(list, func(a, b CachedImage) int { return cmp.Compare(a.Image, b.Image) })
	return list
}

// leastRecentlyUsed returns the image that is evicted first, except those in use, or "" if there
// is none, and the size of the whole cache.
func (c imageCache) leastRecentlyUsed(inUse map[string]bool) (name string, totalGB float64) {
	for candidate, e := range c {
		totalGB += e.sizeGB
		if !inUse[candidate] && (name == "" || c.evictedBefore(candidate, name)) {
			name = candidate
		}
	}
	return name, totalGB
}

// evictedBefore orders images by their last use, and those of equal use by name.
func (c imageCache) evictedBefore(a, b string) bool {
	if usedA, usedB := c[a].lastUsed, c[b].lastUsed; usedA != usedB {
		return usedA < usedB
	}
	return a < b
}

// CachedImages returns the images that are known to be in the caches, by machine.
func (r *Registry) CachedImages() map[string][]CachedImage {
	byMachine := map[string][]CachedImage{}
	for _, m := range r.sortedMachines {
		if images := m.images.confirmedImages(); len(images) > 0 {
			byMachine[m.Name] = images
		}
	}
	return byMachine
}

// SetImageHint sets the images that a machine had when an earlier leader last recorded them. They
// are taken for confirmed when the machine is created; a wrong hint costs no more than a fetch.
func (r *Registry) SetImageHint(machine string, images []CachedImage) { r.imageHints[machine] = images }

// HasImage reports whether the machine has an image or is fetching it.
func (m *Machine) HasImage(image string) bool { return m.images[image] != nil }

// FetchTime estimates how long a machine takes until it has the job's image.
func (r *Registry) FetchTime(now time.Duration, m *Machine, j *protocol.Job) time.Duration {
	return r.FetchTimeWithout(now, m, j, nil)
}

// FetchTimeWithout is FetchTime in case the placements for which leaves returns true end. A nil
// leaves stands for none of them.
func (r *Registry) FetchTimeWithout(
	now time.Duration,
	m *Machine,
	j *protocol.Job,
	leaves func(*Placement) bool,
) time.Duration {
	if e := m.images[j.Image]; e != nil {
		return e.remainingFetch(now)
	}
	t := r.machineTypes[m.Type]
	if t == nil || t.FetchGBPerSecond <= 0 {
		return 0
	}
	fetches := 1
	for name, e := range m.images {
		if !e.confirmed && !m.fetchedOnlyFor(name, leaves) {
			fetches++
		}
	}
	return config.Seconds(j.ImageGB / t.FetchGBPerSecond * float64(fetches))
}

// FetchDelayWithout estimates by how much, summed up, a fetch of the job's image would delay the
// other fetches on the machine, which share its rate, in case the placements for which leaves
// returns true end.
func (r *Registry) FetchDelayWithout(
	now time.Duration,
	m *Machine,
	j *protocol.Job,
	leaves func(*Placement) bool,
) time.Duration {
	t := r.machineTypes[m.Type]
	if m.images[j.Image] != nil || t == nil || t.FetchGBPerSecond <= 0 {
		return 0
	}
	fetch := config.Seconds(j.ImageGB / t.FetchGBPerSecond)
	sum := time.Duration(0)
	for name, e := range m.images {
		if !e.confirmed && !m.fetchedOnlyFor(name, leaves) {
			sum += min(fetch, e.remainingFetch(now))
		}
	}
	return sum
}

// fetchedOnlyFor reports whether all placements that need an image are among those for which
// leaves returns true.
func (m *Machine) fetchedOnlyFor(image string, leaves func(*Placement) bool) bool {
	if leaves == nil {
		return false
	}
	for _, pl := range m.placements {
		if pl.Job != nil && pl.Job.Image == image && !leaves(pl) {
			return false
		}
	}
	return true
}

// recordImageUse adds the job's image to the machine's cache if it is not there, and evicts
// others, least recently used first, as the worker is expected to.
func (r *Registry) recordImageUse(now time.Duration, m *Machine, j *protocol.Job) {
	e := m.images[j.Image]
	if e == nil {
		fetch := r.FetchTime(now, m, j)
		e = &imageEntry{
			sizeGB:     j.ImageGB,
			expectedAt: now + fetch,
			latestAt:   now + time.Duration(float64(fetch)*SlowFetchFactor),
		}
		r.setImage(m, j.Image, e)
	}
	e.lastUsed = now
	t := r.machineTypes[m.Type]
	if t == nil {
		return
	}
	inUse := m.imagesInUse()
	inUse[j.Image] = true
	for {
		oldest, totalGB := m.images.leastRecentlyUsed(inUse)
		if totalGB <= t.CacheGB || oldest == "" {
			return
		}
		r.deleteImage(m, oldest)
	}
}

// imagesInUse returns the images that placements need, however long ago they started.
func (m *Machine) imagesInUse() map[string]bool {
	inUse := map[string]bool{}
	for _, pl := range m.placements {
		if pl.Job != nil {
			inUse[pl.Job.Image] = true
		}
	}
	return inUse
}

// confirmImage notes that a task of the job is past its fetch, so that the machine has the image.
func (r *Registry) confirmImage(now time.Duration, m *Machine, j *protocol.Job) {
	e := m.images[j.Image]
	switch {
	case e == nil:
		r.setImage(m, j.Image, &imageEntry{sizeGB: j.ImageGB, confirmed: true, lastUsed: now})
	case !e.confirmed:
		e.confirmed = true
		r.setImage(m, j.Image, e)
	}
}

// abandonFetch drops the image of a placement that has ended if its fetch may be unfinished and
// no other placement needs it: the worker gives up such a fetch.
func (r *Registry) abandonFetch(m *Machine, pl *Placement) {
	if pl.Job == nil {
		return
	}
	e := m.images[pl.Job.Image]
	if e == nil || e.confirmed {
		return
	}
	for _, other := range m.placements {
		if other.Job != nil && other.Job.Image == pl.Job.Image {
			return
		}
	}
	r.deleteImage(m, pl.Job.Image)
}
