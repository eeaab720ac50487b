package scheduler

import (
	"maps"
	"math"
	"slices"
	"time"

	"pinebay/internal/coordination/demand"
	"pinebay/internal/coordination/machineregistry"
	"pinebay/internal/protocol"
	"pinebay/internal/storage"
)

// recoverImageHints takes over what earlier leaders knew of the machines' images.
func (c *Scheduler) recoverImageHints(pairs []protocol.KeyValue) {
	for _, p := range pairs {
		var rec storage.ImageHintRecord
		if err := protocol.Decode(p.Value, &rec); err != nil || len(rec.Images) != len(rec.SizesGB) {
			c.log.Error("images record out of form", "key", p.Key, "err", err)
			continue
		}
		for _, m := range rec.Machines {
			var copies []machineregistry.CachedImage
			for _, i := range m.Images {
				if i >= 0 && i < len(rec.Images) {
					copies = append(copies, machineregistry.CachedImage{Image: rec.Images[i], SizeGB: rec.SizesGB[i]})
				}
			}
			c.machines.SetImageHint(m.Name, copies)
		}
		for _, a := range rec.Arrivals {
			c.forecast.Inherit(demand.ClassRate{Class: a.Class, Arrivals: a.Jobs, MeanTasks: a.MeanTasks})
		}
		c.imageHintPages[p.Key] = "" // to be written anew, or else dropped
	}
}

// writeImageHints writes down the machines' images, a page at a time and not often:
// it is a help for the next leader, and must not stand in anybody's way.
func (c *Scheduler) writeImageHints(now time.Duration) {
	if c.imageHintsInFlight || c.writesPaused || now-c.imageHintsWrittenAt < imageHintInterval {
		return
	}
	c.imageHintsWrittenAt = now
	copies := c.machines.CachedImages()
	names := slices.Sorted(maps.Keys(copies))
	per := storage.MachinesPerImageHint(c.stateLimits.ValueKB)
	pages := map[string][]byte{}
	for page := 0; page*per < len(names); page++ {
		var rec storage.ImageHintRecord
		index := map[string]int{}
		for _, n := range names[page*per : min((page+1)*per, len(names))] {
			m := storage.MachineImages{Name: n}
			for _, cp := range copies[n] {
				i, ok := index[cp.Image]
				if !ok {
					i = len(rec.Images)
					index[cp.Image] = i
					rec.Images = append(rec.Images, cp.Image)
					rec.SizesGB = append(rec.SizesGB, cp.SizeGB)
				}
				m.Images = append(m.Images, i)
			}
			rec.Machines = append(rec.Machines, m)
		}
		if page == 0 {
			for _, rate := range c.forecast.Rates() {
				rec.Arrivals = append(rec.Arrivals, storage.ClassArrivals{
					Class: rate.Class,
					// Two digits are enough, and a quiet fleet writes nothing.
					Jobs:      math.Round(rate.Arrivals*4) / 4,
					MeanTasks: rate.MeanTasks,
				})
			}
		}
		raw, err := protocol.Encode(rec)
		if err != nil || !storage.FitsValueLimit(raw, c.stateLimits.ValueKB) {
			continue // too many names for a hint
		}
		pages[storage.ImageHintKey(page)] = raw
	}
	t := protocol.Txn{If: []protocol.Compare{{Key: storage.TermKey, Revision: c.termRevision}}}
	var changed []string
	for _, key := range slices.Sorted(maps.Keys(c.imageHintPages)) {
		if pages[key] == nil && len(t.Then) < c.stateLimits.TxnOps/2 {
			t.Then = append(t.Then, protocol.Op{DeleteKey: key})
			changed = append(changed, key)
		}
	}
	for _, key := range rotateAfter(c.lastImageHintKey, slices.Sorted(maps.Keys(pages))) {
		raw := pages[key]
		if c.imageHintPages[key] != string(raw) && len(t.Then) < c.stateLimits.TxnOps/2 {
			t.Then = append(t.Then, protocol.Op{PutKey: key, Value: raw})
			changed = append(changed, key)
			c.lastImageHintKey = key
		}
	}
	if len(changed) == 0 {
		return
	}
	c.imageHintsInFlight = true
	id, _ := c.nextWriteID()
	c.writesInFlight[id] = func(_ time.Duration, w TransactionOutcome) {
		c.imageHintsInFlight = false
		if w.Malformed {
			c.shrinkTransactions(&t)
		}
		if !w.Succeeded {
			return // a hint; it is written anew the next time
		}
		for _, key := range changed {
			if pages[key] == nil {
				delete(c.imageHintPages, key)
			} else {
				c.imageHintPages[key] = string(pages[key])
			}
		}
	}
	c.emit(Write{ID: id, Txn: t, Priority: PriorityMaintenance, VerifyKey: storage.TermKey, Name: "-"})
}

// rotateAfter lists keys that are in order from the one after the given key on, and then those before: a
// transaction takes a few, and all must have their turn.
func rotateAfter(last string, keys []string) []string {
	i, found := slices.BinarySearch(keys, last)
	if found {
		i++
	}
	return slices.Concat(keys[i:], keys[:i])
}

// imageHintInterval is the time between two writes of the images.
const imageHintInterval = 10 * CycleInterval
