package zonefailover

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"pinebay/internal/protocol"
	"pinebay/internal/storage"
)

// openLoansPerMB is how many open loans are kept for each megabyte of the controller's memory: with their rows and
// pages they take a tenth of it.
const openLoansPerMB = 40

// RecordLimits are the limits of the state service that the stored records keep to.
type RecordLimits struct {
	LoansPerPage        int
	PagesPerTransaction int
}

// maxOpenLoans is how many loans may be open at a time in a controller with this much memory.
func (l RecordLimits) maxOpenLoans(memoryMB float64) int {
	return max(l.PagesPerTransaction*l.LoansPerPage, int(memoryMB*openLoansPerMB))
}

// recordPages are the pages of zone failover as they stand in the state service. A loan stays on the page that it was
// first written on, so that a change concerns few pages. Changed pages are written one transaction at a time.
type recordPages struct {
	writeInFlight bool
	lastWrite     time.Duration
	revisions     map[int]uint64 // by page
	contents      map[int]string // as last written, without the name of the write, by page
	unusable      map[int]bool   // pages of a newer format or out of form, which are never written
	dirty         map[int]bool   // pages that have changed since they were last written
	pageOf        map[TaskAttempt]int
	loansOnPage   map[int]int // by page
}

func newRecordPages() recordPages {
	return recordPages{
		revisions:   map[int]uint64{},
		contents:    map[int]string{},
		unusable:    map[int]bool{},
		dirty:       map[int]bool{},
		pageOf:      map[TaskAttempt]int{},
		loansOnPage: map[int]int{},
	}
}

// nextUsablePage returns the first page from the given one on that may be written.
func (r *recordPages) nextUsablePage(page int) int {
	for r.unusable[page] {
		page++
	}
	return page
}

// firstPage is the page that also holds the states of the zones.
func (r *recordPages) firstPage() int { return r.nextUsablePage(0) }

// addLoan puts a loan on the first page that has room for it.
func (r *recordPages) addLoan(lender TaskAttempt, loansPerPage int) {
	page := r.firstPage()
	for r.loansOnPage[page] >= loansPerPage {
		page = r.nextUsablePage(page + 1)
	}
	r.assignPage(lender, page)
	r.dirty[page] = true
}

// assignPage notes which page a loan is on.
func (r *recordPages) assignPage(lender TaskAttempt, page int) {
	r.pageOf[lender] = page
	r.loansOnPage[page]++
}

// removeLoan takes a loan that has ended off its page.
func (r *recordPages) removeLoan(lender TaskAttempt) {
	page, ok := r.pageOf[lender]
	if !ok {
		return
	}
	delete(r.pageOf, lender)
	r.loansOnPage[page]--
	r.dirty[page] = true
}

// isDirty reports whether the page of a loan has changed since it was last written.
func (r *recordPages) isDirty(lender TaskAttempt) bool { return r.dirty[r.pageOf[lender]] }

// written notes that a page holds this content, or does not exist if the content is empty.
func (r *recordPages) written(page int, content string, revision uint64) {
	if content == "" {
		delete(r.revisions, page)
		delete(r.contents, page)
		return
	}
	r.revisions[page], r.contents[page] = revision, content
}

// MarkZoneStatesChanged has the states of the zones written again.
func (m *Manager) MarkZoneStatesChanged() { m.records.dirty[m.records.firstPage()] = true }

// Restore takes over what an earlier leader recorded. A page that cannot be read, or is of a newer format, is
// reported and never written: its loans count as ended, which harms no job, as a lender waits for capacity like any
// other job.
func (m *Manager) Restore(now time.Duration, pages []protocol.KeyValue) {
	for _, p := range pages {
		page, err := strconv.Atoi(strings.TrimPrefix(p.Key, storage.ZoneFailoverPrefix))
		if err != nil {
			m.decide(RecordIgnored{Key: p.Key, Reason: "not a page"})
			continue
		}
		record, err := storage.DecodeZoneFailover(p)
		if err != nil {
			m.records.unusable[page] = true
			m.decide(RecordIgnored{Key: p.Key, Reason: err.Error()})
			continue
		}
		m.records.revisions[page] = p.Revision
		m.restoreZones(now, record.Zones)
		m.restoreLoans(p.Key, page, record.Loans)
		m.records.dirty[page] = true
	}
	if len(pages) > 0 {
		m.MarkZoneStatesChanged()
	}
}

func (m *Manager) restoreZones(now time.Duration, rows []storage.ZoneRow) {
	for _, row := range rows {
		age := time.Duration(max(0, m.options.TermStartedMS-row.SinceMS)) * time.Millisecond
		m.monitor.Restore(Zone{
			Name:  row.Name,
			State: State(row.State),
			Since: now - age,
			Flaps: row.Flaps,
		})
	}
}

func (m *Manager) restoreLoans(key string, page int, rows []storage.LoanRow) {
	for _, row := range rows {
		loan := LoanFromRow(row)
		if err := m.ledger.Open(loan); err != nil {
			reason := fmt.Sprintf("loan of %s/%d: %v", row.Lender, row.Task, err)
			m.decide(RecordIgnored{Key: key, Reason: reason})
			continue
		}
		m.records.assignPage(loan.Lender, page)
	}
}

// LoanFromRow returns a stored loan.
func LoanFromRow(r storage.LoanRow) Loan {
	return Loan{
		Term:        r.Term,
		Number:      r.Number,
		Lender:      TaskAttempt{Job: r.Lender, Task: r.Task, Attempt: r.Attempt},
		Borrower:    r.Borrower,
		Machine:     r.Machine,
		Zone:        r.Zone,
		LostSeconds: r.LostSeconds,
		CreatedMS:   r.CreatedMS,
		ExpiresMS:   r.ExpiresMS,
	}
}

// Row returns the loan as it is stored.
func (l Loan) Row() storage.LoanRow {
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

// RedistributeLoans moves loans off pages that hold more than the limits allow. It does nothing for a nil Manager.
func (m *Manager) RedistributeLoans(limits RecordLimits) {
	if m == nil {
		return
	}
	r := &m.records
	for _, loan := range m.ledger.Loans() {
		if r.loansOnPage[r.pageOf[loan.Lender]] > limits.LoansPerPage {
			r.removeLoan(loan.Lender)
			r.addLoan(loan.Lender, limits.LoansPerPage)
		}
	}
}

// RecordWrite is a transaction that writes changed pages.
type RecordWrite struct {
	If   []protocol.Compare
	Then []protocol.Op
	// VerifyKey and VerifyName are the key, and the name of the write in its record, by which the author of the
	// transaction recognises it when the answer is lost. A page that is deleted has no name.
	VerifyKey, VerifyName string

	contents map[int]string // of the pages once they are written; empty for a page that is deleted
	durable  []Loan         // open loans that are recorded once the pages are written
}

// Pages returns how many pages are written.
func (w *RecordWrite) Pages() int { return len(w.contents) }

// DurableLoans returns the open loans that are recorded once the transaction has succeeded, but for those of
// borrowers that have other loans which are not: all that lends to one job is preempted together.
func (w *RecordWrite) DurableLoans() []Loan { return w.durable }

// add adds the write of one page.
func (w *RecordWrite) add(page int, revision uint64, content string, op protocol.Op) {
	w.If = append(w.If, protocol.Compare{Key: storage.ZoneFailoverKey(page), Revision: revision})
	w.Then = append(w.Then, op)
	w.contents[page] = content
}

// setVerification chooses by which key the transaction is recognised.
func (w *RecordWrite) setVerification(name string) {
	for _, op := range w.Then {
		if op.PutKey != "" {
			w.VerifyKey, w.VerifyName = op.PutKey, name
			return
		}
	}
	if len(w.Then) > 0 {
		w.VerifyKey = w.Then[0].DeleteKey
	}
}

// IsWriteDue reports whether changes are to be written: at once while lenders wait to be preempted, and otherwise
// gathered for a cycle. It is false for a nil Manager and while a write is in flight.
func (m *Manager) IsWriteDue(now time.Duration) bool {
	if m == nil || len(m.records.dirty) == 0 || m.records.writeInFlight {
		return false
	}
	return len(m.awaitingPreemption) > 0 || now-m.records.lastWrite >= m.options.CycleInterval
}

// PrepareWrite returns the write of the pages that go into the next transaction, under the given name. It has no
// operations if no page has really changed; then nothing is in flight and the durable loans are recorded already.
// Otherwise WriteSucceeded or WriteRejected must follow, unless the leader's term ends.
func (m *Manager) PrepareWrite(now time.Duration, name string, limits RecordLimits) *RecordWrite {
	w := &RecordWrite{contents: map[int]string{}}
	pages := m.pagesToWrite(limits.PagesPerTransaction)
	records := m.buildRecords(pages)
	for _, page := range pages {
		delete(m.records.dirty, page)
		if err := m.addPage(w, page, records[page], name); err != nil {
			key := storage.ZoneFailoverKey(page)
			m.options.Log.Error("failed to encode zone failover record", "key", key, "error", err)
		}
	}
	w.setVerification(name)
	w.durable = m.durableLoans()
	if len(w.Then) > 0 {
		m.records.writeInFlight, m.records.lastWrite = true, now
	}
	return w
}

// addPage adds the write of a page if its content has changed. A nil record deletes the page.
func (m *Manager) addPage(w *RecordWrite, page int, record *storage.ZoneFailoverRecord, name string) error {
	key, revision := storage.ZoneFailoverKey(page), m.records.revisions[page]
	if record == nil {
		if revision != 0 {
			w.add(page, revision, "", protocol.Op{DeleteKey: key})
		}
		return nil
	}
	content, err := protocol.Encode(record)
	if err != nil {
		return err
	}
	if m.records.contents[page] == string(content) {
		return nil
	}
	record.WriteName = name
	value, err := protocol.Encode(record)
	if err != nil {
		return err
	}
	w.add(page, revision, string(content), protocol.Op{PutKey: key, Value: value})
	return nil
}

// pagesToWrite returns the pages that go into the next transaction, those first that lenders wait for.
func (m *Manager) pagesToWrite(most int) []int {
	awaited := map[int]bool{}
	for lender := range m.awaitingPreemption {
		awaited[m.records.pageOf[lender]] = true
	}
	pages := slices.SortedFunc(maps.Keys(m.records.dirty), func(a, b int) int {
		switch {
		case awaited[a] && !awaited[b]:
			return -1
		case awaited[b] && !awaited[a]:
			return 1
		}
		return cmp.Compare(a, b)
	})
	return pages[:min(len(pages), most)]
}

// buildRecords returns the records of some pages as they should be; nil for a page that nothing is on.
func (m *Manager) buildRecords(pages []int) map[int]*storage.ZoneFailoverRecord {
	records := map[int]*storage.ZoneFailoverRecord{}
	for _, page := range pages {
		if m.records.loansOnPage[page] > 0 || page == m.records.firstPage() {
			records[page] = &storage.ZoneFailoverRecord{Format: storage.ZoneFailoverFormat}
		}
	}
	if first := records[m.records.firstPage()]; first != nil {
		for _, zone := range m.monitor.Zones() {
			first.Zones = append(first.Zones, storage.ZoneRow{
				Name:    zone.Name,
				State:   int(zone.State),
				SinceMS: m.wallClockMS(zone.Since),
				Flaps:   zone.Flaps,
			})
		}
	}
	for _, loan := range m.ledger.Loans() {
		if record := records[m.records.pageOf[loan.Lender]]; record != nil {
			record.Loans = append(record.Loans, loan.Row())
		}
	}
	return records
}

// durableLoans returns the open loans on pages that have not changed, but for those of borrowers that have others on
// pages which have.
func (m *Manager) durableLoans() (durable []Loan) {
	incomplete := map[string]bool{} // borrowers
	for _, loan := range m.ledger.Loans() {
		if m.records.isDirty(loan.Lender) && m.awaitingPreemption[loan.Lender] {
			incomplete[loan.Borrower] = true
		}
	}
	for _, loan := range m.ledger.Loans() {
		if !m.records.isDirty(loan.Lender) && !incomplete[loan.Borrower] {
			durable = append(durable, loan)
		}
	}
	return durable
}

// WriteSucceeded notes that the pages of a write are stored, under the given revision.
func (m *Manager) WriteSucceeded(w *RecordWrite, revision uint64) {
	m.records.writeInFlight = false
	for page, content := range w.contents {
		m.records.written(page, content, revision)
	}
}

// WriteRejected notes that the state service does not accept the form of a write. Its pages are written again once a
// cycle has passed after the given moment, or as soon as lenders wait to be preempted.
func (m *Manager) WriteRejected(w *RecordWrite, retryAfter time.Duration) {
	m.records.writeInFlight = false
	m.records.lastWrite = retryAfter
	for page := range w.contents {
		m.records.dirty[page] = true
	}
}
