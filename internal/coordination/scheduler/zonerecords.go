package scheduler

import (
	"cmp"
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

// zoneRecords are the pages of zone return as they are in the state service. A loan stays on the page
// that it was first written on, so that a change concerns few pages; those that changed are written a
// transaction at a time.
type zoneRecords struct {
	writing bool
	at      time.Duration  // of the last write
	stamps  map[int]uint64 // versions of the pages
	written map[int]string // their contents
	foreign map[int]bool   // pages that cannot be used, and are left alone
	dirty   map[int]bool   // pages that have changed since they were last written
	pageOf  map[zones.LentTask]int
	loans   map[int]int // on each page
}

func newZoneRecords() zoneRecords {
	return zoneRecords{stamps: map[int]uint64{}, written: map[int]string{}, foreign: map[int]bool{}, dirty: map[int]bool{},
		pageOf: map[zones.LentTask]int{}, loans: map[int]int{}}
}

// first is the page that the zones stand on.
func (r *zoneRecords) first() int { return r.nextOwn(0) }

// add enters a loan on the first page that has room for it.
func (r *zoneRecords) add(task zones.LentTask, perPage int) {
	number := r.first()
	for r.loans[number] >= perPage {
		number = r.nextOwn(number + 1)
	}
	r.put(task, number)
	r.dirty[number] = true
}

// put notes on which page a loan is.
func (r *zoneRecords) put(task zones.LentTask, number int) {
	r.pageOf[task] = number
	r.loans[number]++
}

// remove takes a loan that has ended off its page.
func (r *zoneRecords) remove(task zones.LentTask) {
	number, ok := r.pageOf[task]
	if !ok {
		return
	}
	delete(r.pageOf, task)
	r.loans[number]--
	r.dirty[number] = true
}

// loansPerMB is how many open loans are kept for each megabyte of memory: with their rows and pages
// they take a tenth of it.
const loansPerMB = 40

// mostLoans is how many loans may be open at a time.
func (c *Core) mostLoans() int {
	return max(c.pagesPerTransaction()*c.loansPerPage(), int(c.cfg.Quota.RAMMB*loansPerMB))
}

// loansPerPage is how many loans one page holds.
func (c *Core) loansPerPage() int { return storage.LoansPerPage(c.stateLimits.ValueKB) }

// recoverZoneReturn takes over what an earlier leader recorded. A page that cannot be read, or
// is of a newer format, is reported and left alone: its loans count as ended, which harms no
// job, as a lender waits for room like any other.
func (c *Core) recoverZoneReturn(now time.Duration, pages []protocol.KeyValue) {
	z := c.returning
	for _, p := range pages {
		number, err := strconv.Atoi(strings.TrimPrefix(p.Key, storage.ZoneFailoverPrefix))
		if err != nil {
			c.decide(zones.RecordLeftAlone{Key: p.Key, Reason: "not a page"})
			continue
		}
		rec, err := storage.DecodeZoneFailover(p)
		if err != nil {
			z.records.foreign[number] = true
			c.decide(zones.RecordLeftAlone{Key: p.Key, Reason: err.Error()})
			continue
		}
		z.records.stamps[number] = p.Revision
		for _, row := range rec.Zones {
			since := now - time.Duration(max(0, c.wallMS-row.SinceMS))*time.Millisecond
			z.monitor.Restore(zones.Zone{Name: row.Name, State: zones.State(row.State), Since: since, Flaps: row.Flaps})
		}
		for _, row := range rec.Loans {
			loan := loanOf(row)
			if err := z.ledger.Open(loan); err != nil {
				c.decide(zones.RecordLeftAlone{Key: p.Key, Reason: fmt.Sprintf("loan of %s/%d: %v", row.Lender, row.Task, err)})
				continue
			}
			z.records.put(loan.Lender, number)
		}
		z.records.dirty[number] = true
	}
	if len(pages) > 0 {
		z.records.dirty[z.records.first()] = true
	}
}

func loanOf(r storage.LoanRow) zones.Loan {
	return zones.Loan{
		Term: r.Term, Number: r.Number, Lender: zones.LentTask{Job: r.Lender, Task: r.Task, Attempt: r.Attempt},
		Borrower: r.Borrower, Machine: r.Machine, Zone: r.Zone, LostS: r.LostSeconds, AtMS: r.CreatedMS, UntilMS: r.ExpiresMS,
	}
}

func rowOf(l zones.Loan) storage.LoanRow {
	return storage.LoanRow{
		Term: l.Term, Number: l.Number, Lender: l.Lender.Job, Task: l.Lender.Task, Attempt: l.Lender.Attempt,
		Borrower: l.Borrower, Machine: l.Machine, Zone: l.Zone, LostSeconds: l.LostS, CreatedMS: l.AtMS, ExpiresMS: l.UntilMS,
	}
}

// zonePages returns some of the pages as they should be; nil for one that nothing is on.
func (c *Core) zonePages(now time.Duration, numbers []int) map[int]*storage.ZoneFailoverRecord {
	z := c.returning
	pages := map[int]*storage.ZoneFailoverRecord{}
	for _, number := range numbers {
		if z.records.loans[number] > 0 || number == z.records.first() {
			pages[number] = &storage.ZoneFailoverRecord{Format: storage.ZoneFailoverFormat}
		}
	}
	if first := pages[z.records.first()]; first != nil {
		for _, zone := range z.monitor.Zones() {
			first.Zones = append(first.Zones, storage.ZoneRow{Name: zone.Name, State: int(zone.State), SinceMS: c.wallAt(zone.Since), Flaps: zone.Flaps})
		}
	}
	for _, loan := range z.ledger.Loans() {
		if page := pages[z.records.pageOf[loan.Lender]]; page != nil {
			page.Loans = append(page.Loans, rowOf(loan))
		}
	}
	return pages
}

// zonePagesToWrite lists the pages that go into the next transaction: those first that lenders wait for.
func (c *Core) zonePagesToWrite() []int {
	r := &c.returning.records
	awaited := map[int]bool{}
	for task := range c.returning.untaken {
		awaited[r.pageOf[task]] = true
	}
	numbers := slices.SortedFunc(maps.Keys(r.dirty), func(a, b int) int {
		if awaited[a] != awaited[b] {
			if awaited[a] {
				return -1
			}
			return 1
		}
		return cmp.Compare(a, b)
	})
	return numbers[:min(len(numbers), c.pagesPerTransaction())]
}

// recordedLoans lists the open loans that stand on pages which have not changed, but for those of
// borrowers that have others on pages which have: what lends to one job is stopped together.
func (c *Core) recordedLoans() (recorded []zones.Loan) {
	z := c.returning
	waits := map[string]bool{}
	for _, loan := range z.ledger.Loans() {
		if z.records.dirty[z.records.pageOf[loan.Lender]] && z.untaken[loan.Lender] {
			waits[loan.Borrower] = true
		}
	}
	for _, loan := range z.ledger.Loans() {
		if !z.records.dirty[z.records.pageOf[loan.Lender]] && !waits[loan.Borrower] {
			recorded = append(recorded, loan)
		}
	}
	return recorded
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
	if z == nil || c.writesPaused || len(z.records.dirty) == 0 || z.records.writing || len(z.untaken) == 0 && now-z.records.at < Cycle {
		return
	}
	id, name := c.nextWriteID()
	txn, contents := c.zoneTransaction(now, name)
	loans := c.recordedLoans()
	if len(txn.Then) == 0 {
		c.takeLoans(now, loans)
		return
	}
	z.records.writing, z.records.at = true, now
	c.writesInFlight[id] = func(now time.Duration, w Written) {
		z.records.writing = false
		if w.Refused {
			c.log.Error("zone return record refused", "pages", len(contents))
			z.records.at = now + rejectedRetryDelay
			for number := range contents {
				z.records.dirty[number] = true
			}
			return
		}
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

// spreadLoans moves loans off pages that hold more than fits under the limits in force.
func (c *Core) spreadLoans() {
	if c.returning == nil {
		return
	}
	r := &c.returning.records
	for _, loan := range c.returning.ledger.Loans() {
		if r.loans[r.pageOf[loan.Lender]] > c.loansPerPage() {
			r.remove(loan.Lender)
			r.add(loan.Lender, c.loansPerPage())
		}
	}
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
	txn := protocol.Txn{If: []protocol.Compare{{Key: storage.TermKey, Revision: c.termStamp}}}
	contents := map[int]string{}
	add := func(number int, content string, op protocol.Op) {
		txn.If = append(txn.If, protocol.Compare{Key: storage.ZoneFailoverKey(number), Revision: z.records.stamps[number]})
		txn.Then = append(txn.Then, op)
		contents[number] = content
	}
	numbers := c.zonePagesToWrite()
	pages := c.zonePages(now, numbers)
	for _, number := range numbers {
		delete(z.records.dirty, number)
		page := pages[number]
		if page == nil {
			if z.records.stamps[number] != 0 {
				add(number, "", protocol.Op{DeleteKey: storage.ZoneFailoverKey(number)})
			}
			continue
		}
		plain, err := protocol.Encode(page)
		if err != nil {
			c.log.Error("zone return record", "err", err)
			continue
		}
		if z.records.written[number] == string(plain) {
			continue
		}
		page.WriteName = name
		value, err := protocol.Encode(page)
		if err != nil {
			c.log.Error("zone return record", "err", err)
			continue
		}
		add(number, string(plain), protocol.Op{PutKey: storage.ZoneFailoverKey(number), Value: value})
	}
	return txn, contents
}

// verifiedBy returns the key, and the mark in its record, by which the author of a
// transaction knows it again when its answer is lost. A page that is deleted has no mark.
func verifiedBy(txn protocol.Txn, name string) (key, mark string) {
	for _, op := range txn.Then {
		if op.PutKey != "" {
			return op.PutKey, name
		}
	}
	return txn.Then[0].DeleteKey, ""
}
