package scheduler

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"pinebay/internal/coordination/zonefailover"
	"pinebay/internal/protocol"
	"pinebay/internal/storage"
)

// failoverRecords are the pages of zone return as they are in the state service. A loan stays on the page
// that it was first written on, so that a change concerns few pages; those that changed are written a
// transaction at a time.
type failoverRecords struct {
	writeInFlight bool
	lastWrite     time.Duration  // of the last write
	revisions     map[int]uint64 // versions of the pages
	contents      map[int]string // their contents
	unusable      map[int]bool   // pages that cannot be used, and are left alone
	dirty         map[int]bool   // pages that have changed since they were last written
	pageOf        map[zonefailover.TaskAttempt]int
	loansOnPage   map[int]int // on each page
}

func newFailoverRecords() failoverRecords {
	return failoverRecords{
		revisions: map[int]uint64{}, contents: map[int]string{}, unusable: map[int]bool{}, dirty: map[int]bool{},
		pageOf: map[zonefailover.TaskAttempt]int{}, loansOnPage: map[int]int{},
	}
}

// firstPage is the page that the zones stand on.
func (r *failoverRecords) firstPage() int { return r.nextUsablePage(0) }

// addLoan enters a loan on the first page that has room for it.
func (r *failoverRecords) addLoan(task zonefailover.TaskAttempt, perPage int) {
	number := r.firstPage()
	for r.loansOnPage[number] >= perPage {
		number = r.nextUsablePage(number + 1)
	}
	r.assignPage(task, number)
	r.dirty[number] = true
}

// assignPage notes on which page a loan is.
func (r *failoverRecords) assignPage(task zonefailover.TaskAttempt, number int) {
	r.pageOf[task] = number
	r.loansOnPage[number]++
}

// removeLoan takes a loan that has ended off its page.
func (r *failoverRecords) removeLoan(task zonefailover.TaskAttempt) {
	number, ok := r.pageOf[task]
	if !ok {
		return
	}
	delete(r.pageOf, task)
	r.loansOnPage[number]--
	r.dirty[number] = true
}

// openLoansPerMB is how many open loans are kept for each megabyte of memory: with their rows and pages
// they take a tenth of it.
const openLoansPerMB = 40

// maxOpenLoans is how many loans may be open at a time.
func (c *Scheduler) maxOpenLoans() int {
	return max(c.pagesPerTransaction()*c.loansPerPage(), int(c.cfg.Quota.RAMMB*openLoansPerMB))
}

// loansPerPage is how many loans one page holds.
func (c *Scheduler) loansPerPage() int { return storage.LoansPerPage(c.stateLimits.ValueKB) }

// recoverZoneFailover takes over what an earlier leader recorded. A page that cannot be read, or
// is of a newer format, is reported and left alone: its loans count as ended, which harms no
// job, as a lender waits for room like any other.
func (c *Scheduler) recoverZoneFailover(now time.Duration, pages []protocol.KeyValue) {
	z := c.zoneFailover
	for _, p := range pages {
		number, err := strconv.Atoi(strings.TrimPrefix(p.Key, storage.ZoneFailoverPrefix))
		if err != nil {
			c.addDecision(zonefailover.RecordIgnored{Key: p.Key, Reason: "not a page"})
			continue
		}
		rec, err := storage.DecodeZoneFailover(p)
		if err != nil {
			z.records.unusable[number] = true
			c.addDecision(zonefailover.RecordIgnored{Key: p.Key, Reason: err.Error()})
			continue
		}
		z.records.revisions[number] = p.Revision
		for _, row := range rec.Zones {
			since := now - time.Duration(max(0, c.termStartedMS-row.SinceMS))*time.Millisecond
			z.monitor.Restore(
				zonefailover.Zone{Name: row.Name, State: zonefailover.State(row.State), Since: since, Flaps: row.Flaps},
			)
		}
		for _, row := range rec.Loans {
			loan := loanFromRow(row)
			if err := z.ledger.Open(loan); err != nil {
				c.addDecision(
					zonefailover.RecordIgnored{
						Key:    p.Key,
						Reason: fmt.Sprintf("loan of %s/%d: %v", row.Lender, row.Task, err),
					},
				)
				continue
			}
			z.records.assignPage(loan.Lender, number)
		}
		z.records.dirty[number] = true
	}
	if len(pages) > 0 {
		z.records.dirty[z.records.firstPage()] = true
	}
}

func loanFromRow(r storage.LoanRow) zonefailover.Loan {
	return zonefailover.Loan{
		Term:        r.Term,
		Number:      r.Number,
		Lender:      zonefailover.TaskAttempt{Job: r.Lender, Task: r.Task, Attempt: r.Attempt},
		Borrower:    r.Borrower,
		Machine:     r.Machine,
		Zone:        r.Zone,
		LostSeconds: r.LostSeconds,
		CreatedMS:   r.CreatedMS,
		ExpiresMS:   r.ExpiresMS,
	}
}

func loanToRow(l zonefailover.Loan) storage.LoanRow {
	return storage.LoanRow{
		Term:        l.Term,
		Number:      l.Number,
		Lender:      l.Lender.Job,
		Task:        l.Lender.Task,
		Attempt:     l.Lender.Attempt,
		Borrower:    l.Borrower,
		Machine:     l.Machine,
		Zone:        l.Zone,
		LostSeconds: l.LostSeconds,
		CreatedMS:   l.CreatedMS,
		ExpiresMS:   l.ExpiresMS,
	}
}

// failoverPages returns some of the pages as they should be; nil for one that nothing is on.
func (c *Scheduler) failoverPages(now time.Duration, numbers []int) map[int]*storage.ZoneFailoverRecord {
	z := c.zoneFailover
	pages := map[int]*storage.ZoneFailoverRecord{}
	for _, number := range numbers {
		if z.records.loansOnPage[number] > 0 || number == z.records.firstPage() {
			pages[number] = &storage.ZoneFailoverRecord{Format: storage.ZoneFailoverFormat}
		}
	}
	if first := pages[z.records.firstPage()]; first != nil {
		for _, zone := range z.monitor.Zones() {
			first.Zones = append(
				first.Zones,
				storage.ZoneRow{
					Name:    zone.Name,
					State:   int(zone.State),
					SinceMS: c.wallClockMS(zone.Since),
					Flaps:   zone.Flaps,
				},
			)
		}
	}
	for _, loan := range z.ledger.Loans() {
		if page := pages[z.records.pageOf[loan.Lender]]; page != nil {
			page.Loans = append(page.Loans, loanToRow(loan))
		}
	}
	return pages
}

// failoverPagesToWrite lists the pages that go into the next transaction: those first that lenders wait for.
func (c *Scheduler) failoverPagesToWrite() []int {
	r := &c.zoneFailover.records
	awaited := map[int]bool{}
	for task := range c.zoneFailover.awaitingPreemption {
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

// durableLoans lists the open loans that stand on pages which have not changed, but for those of
// borrowers that have others on pages which have: what lends to one job is stopped together.
func (c *Scheduler) durableLoans() (recorded []zonefailover.Loan) {
	z := c.zoneFailover
	waits := map[string]bool{}
	for _, loan := range z.ledger.Loans() {
		if z.records.dirty[z.records.pageOf[loan.Lender]] && z.awaitingPreemption[loan.Lender] {
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

// nextUsablePage returns the first page from the given one on that may be written.
func (r *failoverRecords) nextUsablePage(number int) int {
	for r.unusable[number] {
		number++
	}
	return number
}

// writeFailoverRecords records what has changed: at once when lenders wait to be stopped, and
// otherwise gathered for a cycle.
func (c *Scheduler) writeFailoverRecords(now time.Duration) {
	z := c.zoneFailover
	if z == nil || c.writesPaused || len(z.records.dirty) == 0 || z.records.writeInFlight ||
		len(z.awaitingPreemption) == 0 && now-z.records.lastWrite < CycleInterval {
		return
	}
	id, name := c.nextWriteID()
	txn, contents := c.failoverTransaction(now, name)
	loans := c.durableLoans()
	if len(txn.Then) == 0 {
		c.preemptLenders(now, loans)
		return
	}
	z.records.writeInFlight, z.records.lastWrite = true, now
	c.writesInFlight[id] = func(now time.Duration, w TransactionOutcome) {
		z.records.writeInFlight = false
		if w.Malformed {
			c.log.Error("zone return record refused", "pages", len(contents))
			z.records.lastWrite = now + rejectedRetryDelay
			for number := range contents {
				z.records.dirty[number] = true
			}
			return
		}
		if !w.Succeeded {
			c.emit(StepDown{Reason: fmt.Sprintf("conditions failed: %v", w.FailedKeys)})
			return
		}
		for number, content := range contents {
			z.records.pageWritten(number, content, w.Revision)
		}
		c.preemptLenders(now, loans)
	}
	verify, mark := verificationKey(txn, name)
	c.emit(Write{ID: id, Txn: txn, VerifyKey: verify, Name: mark})
}

// redistributeLoanPages moves loans off pages that hold more than fits under the limits in force.
func (c *Scheduler) redistributeLoanPages() {
	if c.zoneFailover == nil {
		return
	}
	r := &c.zoneFailover.records
	for _, loan := range c.zoneFailover.ledger.Loans() {
		if r.loansOnPage[r.pageOf[loan.Lender]] > c.loansPerPage() {
			r.removeLoan(loan.Lender)
			r.addLoan(loan.Lender, c.loansPerPage())
		}
	}
}

// pageWritten notes what a page is now; "" that it is gone.
func (r *failoverRecords) pageWritten(number int, content string, rev uint64) {
	if content == "" {
		delete(r.revisions, number)
		delete(r.contents, number)
		return
	}
	r.revisions[number], r.contents[number] = rev, content
}

// failoverTransaction returns the transaction that writes the pages which have changed, and what
// they hold then.
func (c *Scheduler) failoverTransaction(now time.Duration, name string) (protocol.Txn, map[int]string) {
	z := c.zoneFailover
	txn := protocol.Txn{If: []protocol.Compare{{Key: storage.TermKey, Revision: c.termRevision}}}
	contents := map[int]string{}
	add := func(number int, content string, op protocol.Op) {
		txn.If = append(
			txn.If,
			protocol.Compare{Key: storage.ZoneFailoverKey(number), Revision: z.records.revisions[number]},
		)
		txn.Then = append(txn.Then, op)
		contents[number] = content
	}
	numbers := c.failoverPagesToWrite()
	pages := c.failoverPages(now, numbers)
	for _, number := range numbers {
		delete(z.records.dirty, number)
		page := pages[number]
		if page == nil {
			if z.records.revisions[number] != 0 {
				add(number, "", protocol.Op{DeleteKey: storage.ZoneFailoverKey(number)})
			}
			continue
		}
		plain, err := protocol.Encode(page)
		if err != nil {
			c.log.Error("zone return record", "err", err)
			continue
		}
		if z.records.contents[number] == string(plain) {
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

// verificationKey returns the key, and the mark in its record, by which the author of a
// transaction knows it again when its answer is lost. A page that is deleted has no mark.
func verificationKey(txn protocol.Txn, name string) (key, mark string) {
	for _, op := range txn.Then {
		if op.PutKey != "" {
			return op.PutKey, name
		}
	}
	return txn.Then[0].DeleteKey, ""
}
