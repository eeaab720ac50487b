package scheduler

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"pinebay/internal/coordination/zones"
	"pinebay/internal/protocol"
	"pinebay/internal/storage"
)

// zoneRecords are the pages of zone return as they are in the state service. They fit into
// one transaction; borrowing beyond that is refused.
type zoneRecords struct {
	dirty   bool
	writing bool
	at      time.Duration  // of the last write
	stamps  map[int]uint64 // versions of the pages
	written map[int]string // their contents
	foreign map[int]bool   // pages that cannot be used, and are left alone
}

func newZoneRecords() zoneRecords {
	return zoneRecords{stamps: map[int]uint64{}, written: map[int]string{}, foreign: map[int]bool{}}
}

// loansPerPage is how many loans one page holds.
func (c *Core) loansPerPage() int { return storage.LoansPerPage(c.cfg.State.ValueKB) }

// recoverZoneReturn takes over what an earlier leader recorded. A page that cannot be read, or
// is of a newer format, is reported and left alone: its loans count as ended, which harms no
// job, as a lender waits for room like any other.
func (c *Core) recoverZoneReturn(now time.Duration, pages []protocol.Pair) {
	z := c.returning
	for _, p := range pages {
		number, err := strconv.Atoi(strings.TrimPrefix(p.Key, storage.ZoneReturnPrefix))
		if err != nil {
			c.decide(zones.RecordLeftAlone{Key: p.Key, Reason: "not a page"})
			continue
		}
		rec, err := storage.DecodeZoneReturn(p)
		if err != nil {
			z.records.foreign[number] = true
			c.decide(zones.RecordLeftAlone{Key: p.Key, Reason: err.Error()})
			continue
		}
		z.records.stamps[number] = p.Version
		for _, row := range rec.Zones {
			since := now - time.Duration(max(0, c.wallMS-row.SinceMS))*time.Millisecond
			z.monitor.Restore(zones.Zone{Name: row.Name, State: zones.State(row.State), Since: since, Flaps: row.Flaps})
		}
		for _, row := range rec.Loans {
			if err := z.ledger.Open(loanOf(row)); err != nil {
				c.decide(zones.RecordLeftAlone{Key: p.Key, Reason: fmt.Sprintf("loan of %s/%d: %v", row.Lender, row.Task, err)})
			}
		}
	}
	z.records.dirty = len(pages) > 0
}

func loanOf(r storage.LoanRow) zones.Loan {
	return zones.Loan{
		Term: r.Term, Number: r.Number, Lender: zones.LentTask{Job: r.Lender, Task: r.Task, Attempt: r.Attempt},
		Borrower: r.Borrower, Machine: r.Machine, Zone: r.Zone, LostS: r.LostS, AtMS: r.AtMS, UntilMS: r.UntilMS,
	}
}

func rowOf(l zones.Loan) storage.LoanRow {
	return storage.LoanRow{
		Term: l.Term, Number: l.Number, Lender: l.Lender.Job, Task: l.Lender.Task, Attempt: l.Lender.Attempt,
		Borrower: l.Borrower, Machine: l.Machine, Zone: l.Zone, LostS: l.LostS, AtMS: l.AtMS, UntilMS: l.UntilMS,
	}
}

// zonePages returns the pages as they should be, by number: the zones on the first, and the
// loans dealt out to as many as they need.
func (c *Core) zonePages(now time.Duration) map[int]*storage.ZoneReturnRecord {
	z := c.returning
	first := &storage.ZoneReturnRecord{Format: storage.ZoneReturnFormat}
	for _, zone := range z.monitor.Zones() {
		first.Zones = append(first.Zones, storage.ZoneRow{Name: zone.Name, State: int(zone.State), SinceMS: c.wallAt(zone.Since), Flaps: zone.Flaps})
	}
	pages := map[int]*storage.ZoneReturnRecord{}
	page, number := first, z.records.nextOwn(0)
	pages[number] = page
	for _, loan := range z.ledger.Loans() {
		if len(page.Loans) == c.loansPerPage() {
			page = &storage.ZoneReturnRecord{Format: storage.ZoneReturnFormat}
			number = z.records.nextOwn(number + 1)
			pages[number] = page
		}
		page.Loans = append(page.Loans, rowOf(loan))
	}
	return pages
}

// nextOwn returns the first page from the given one on that may be written.
func (r *zoneRecords) nextOwn(number int) int {
	for r.foreign[number] {
		number++
	}
	return number
}

// writeZoneReturn records what has changed: at once when lenders wait to be stopped, and
// otherwise gathered for a cycle.
func (c *Core) writeZoneReturn(now time.Duration) {
	z := c.returning
	if z == nil || !z.records.dirty || z.records.writing || len(z.untaken) == 0 && now-z.records.at < Cycle {
		return
	}
	z.records.dirty = false
	loans := z.ledger.Loans()
	id, name := c.name()
	txn, contents := c.zoneTransaction(now, name)
	if len(txn.Then) == 0 {
		c.takeLoans(now, loans)
		return
	}
	z.records.writing, z.records.at = true, now
	c.writes[id] = func(now time.Duration, w Written) {
		z.records.writing = false
		if !w.OK {
			c.emit(Depose{Reason: fmt.Sprintf("conditions failed: %v", w.Failed)})
			return
		}
		for number, content := range contents {
			z.records.settle(number, content, w.Rev)
		}
		c.takeLoans(now, loans)
	}
	verify, mark := verifiedBy(txn, name)
	c.emit(Write{ID: id, Txn: txn, Verify: verify, Name: mark})
}

// settle notes what a page is now; "" that it is gone.
func (r *zoneRecords) settle(number int, content string, rev uint64) {
	if content == "" {
		delete(r.stamps, number)
		delete(r.written, number)
		return
	}
	r.stamps[number], r.written[number] = rev, content
}

// zoneTransaction returns the transaction that writes the pages which have changed, and what
// they hold then.
func (c *Core) zoneTransaction(now time.Duration, name string) (protocol.Txn, map[int]string) {
	z := c.returning
	txn := protocol.Txn{If: []protocol.Cond{{Key: storage.TermKey, Version: c.termStamp}}}
	contents := map[int]string{}
	add := func(number int, content string, op protocol.Op) {
		txn.If = append(txn.If, protocol.Cond{Key: storage.ZoneReturnKey(number), Version: z.records.stamps[number]})
		txn.Then = append(txn.Then, op)
		contents[number] = content
	}
	pages := c.zonePages(now)
	for _, number := range slices.Sorted(maps.Keys(pages)) {
		page := pages[number]
		plain, err := protocol.Encode(page)
		if err != nil {
			c.log.Error("zone return record", "err", err)
			continue
		}
		if z.records.written[number] == string(plain) {
			continue
		}
		page.Write = name
		value, err := protocol.Encode(page)
		if err != nil {
			c.log.Error("zone return record", "err", err)
			continue
		}
		add(number, string(plain), protocol.Op{Put: storage.ZoneReturnKey(number), Value: value})
	}
	for _, number := range slices.Sorted(maps.Keys(z.records.stamps)) {
		if pages[number] == nil {
			add(number, "", protocol.Op{Delete: storage.ZoneReturnKey(number)})
		}
	}
	return txn, contents
}

// verifiedBy returns the key, and the mark in its record, by which the author of a
// transaction knows it again when its answer is lost. A page that is deleted has no mark.
func verifiedBy(txn protocol.Txn, name string) (key, mark string) {
	for _, op := range txn.Then {
		if op.Put != "" {
			return op.Put, name
		}
	}
	return txn.Then[0].Delete, ""
}
