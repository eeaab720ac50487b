package machineregistry

import (
	"cmp"
	"slices"
	"time"

	"pinebay/internal/config"
	"pinebay/internal/protocol"
)

// SlowFetchFactor is the ratio of the duration of a slow fetch to the duration expected at the fetch rate of the
// machine type.
const SlowFetchFactor = 4.0 / 3

// CachedImage is an image in the cache of a machine.
type CachedImage struct {
	Image  string
	SizeGB float64
}

// imageCache is an estimate of the images in the cache of a machine, by image name. Workers do not report the
// contents of their caches; the estimate is derived from the placements and the states of their tasks.
type imageCache map[string]*imageEntry

// imageEntry is an image that is cached or being fetched.
type imageEntry struct {
	sizeGB     float64
	expectedAt time.Duration // expected end of the fetch at the fetch rate of the machine type
	latestAt   time.Duration // expected end of a slow fetch
	confirmed  bool          // a task that needs the image has been seen past the fetching state
	lastUsed   time.Duration
}

// remainingFetch estimates how long the fetch will still take. A fetch may take longer than expected, so the estimate
// stays above 0 until the image is confirmed. Otherwise tasks would be moved from one unfinished fetch to another,
// and each fetch would start from the beginning.
func (e *imageEntry) remainingFetch(now time.Duration) time.Duration {
	margin := e.latestAt - e.expectedAt
	switch {
	case e.confirmed:
		return 0
	case now < e.expectedAt-margin:
		return e.expectedAt - now
	default:
		return max(e.latestAt-now, margin/2) / 2
	}
}

// confirmedImages returns the images that are known to be cached, sorted by name.
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

// leastRecentlyUsed returns the name of the image to be evicted first, not considering images in use, or "" if there
// is none. It also returns the total size of the cached images.
func (c imageCache) leastRecentlyUsed(inUse map[string]bool) (name string, totalGB float64) {
	for candidate, e := range c {
		totalGB += e.sizeGB
		if !inUse[candidate] && (name == "" || c.evictedBefore(candidate, name)) {
			name = candidate
		}
	}
	return name, totalGB
}

// evictedBefore orders images by last use, then by name.
func (c imageCache) evictedBefore(a, b string) bool {
	if usedA, usedB := c[a].lastUsed, c[b].lastUsed; usedA != usedB {
		return usedA < usedB
	}
	return a < b
}

// CachedImages returns the images that are known to be cached, by machine.
func (r *Registry) CachedImages() map[string][]CachedImage {
	byMachine := map[string][]CachedImage{}
	for _, m := range r.sortedMachines {
		if images := m.images.confirmedImages(); len(images) > 0 {
			byMachine[m.Name] = images
		}
	}
	return byMachine
}

// SetImageHint sets the images of a machine that a leader of an earlier term last recorded. They are considered
// confirmed when the machine is created. An incorrect hint costs no more than a fetch.
func (r *Registry) SetImageHint(machine string, images []CachedImage) { r.imageHints[machine] = images }

// HasImage reports whether the machine has an image or is fetching it.
func (m *Machine) HasImage(image string) bool { return m.images[image] != nil }

// FetchTime estimates how long it takes until a machine has the job's image.
func (r *Registry) FetchTime(now time.Duration, m *Machine, j *protocol.Job) time.Duration {
	return r.FetchTimeIfEvicted(now, m, j, nil)
}

// FetchTimeIfEvicted is like FetchTime, but assumes that the placements for which evicted returns true end. If evicted
// is nil, none ends.
func (r *Registry) FetchTimeIfEvicted(
	now time.Duration,
	m *Machine,
	j *protocol.Job,
	evicted func(*Placement) bool,
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
		if !e.confirmed && !m.fetchedOnlyFor(name, evicted) {
			fetches++
		}
	}
	return config.Seconds(j.ImageGB / t.FetchGBPerSecond * float64(fetches))
}

// FetchDelayIfEvicted estimates the total delay that a fetch of the job's image would cause to the other fetches on the
// machine, which share its fetch rate. It assumes that the placements for which evicted returns true end.
func (r *Registry) FetchDelayIfEvicted(
	now time.Duration,
	m *Machine,
	j *protocol.Job,
	evicted func(*Placement) bool,
) time.Duration {
	t := r.machineTypes[m.Type]
	if m.images[j.Image] != nil || t == nil || t.FetchGBPerSecond <= 0 {
		return 0
	}
	fetch := config.Seconds(j.ImageGB / t.FetchGBPerSecond)
	sum := time.Duration(0)
	for name, e := range m.images {
		if !e.confirmed && !m.fetchedOnlyFor(name, evicted) {
			sum += min(fetch, e.remainingFetch(now))
		}
	}
	return sum
}

// fetchedOnlyFor reports whether evicted returns true for every placement that needs an image.
func (m *Machine) fetchedOnlyFor(image string, evicted func(*Placement) bool) bool {
	if evicted == nil {
		return false
	}
	for _, pl := range m.placements {
		if pl.Job != nil && pl.Job.Image == image && !evicted(pl) {
			return false
		}
	}
	return true
}

// recordImageUse records that a task of the job uses its image. A missing image is added to the cache estimate, and
// the least recently used images are evicted if the cache is full, as the worker is expected to do.
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
		leastRecent, totalGB := m.images.leastRecentlyUsed(inUse)
		if totalGB <= t.CacheGB || leastRecent == "" {
			return
		}
		r.deleteImage(m, leastRecent)
	}
}

// imagesInUse returns the images that placements need, no matter how long ago these started.
func (m *Machine) imagesInUse() map[string]bool {
	inUse := map[string]bool{}
	for _, pl := range m.placements {
		if pl.Job != nil {
			inUse[pl.Job.Image] = true
		}
	}
	return inUse
}

// confirmImage records that the machine has the job's image, because a task of the job is past its fetch.
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

// abandonFetch removes the image of an ended placement from the cache estimate if its fetch may be incomplete and no
// other placement needs it: the worker aborts such a fetch.
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
