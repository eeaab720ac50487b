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

// openLoansPerMB is the maximum number of open loans per megabyte of the controller's memory. The loans with their rows
// and pages then use a tenth of the memory.
const openLoansPerMB = 40

// RecordLimits holds the store limits that the stored records must respect.
type RecordLimits struct {
	LoansPerPage        int
	PagesPerTransaction int
}

// maxOpenLoans returns the maximum number of open loans for a controller with the given memory.
func (l RecordLimits) maxOpenLoans(memoryMB float64) int {
	return max(l.PagesPerTransaction*l.LoansPerPage, int(memoryMB*openLoansPerMB))
}

// recordPages tracks the record pages of zone failover in the key-value store. A loan stays on the page to which it was
// first written, so that a change affects few pages. One transaction with changed pages is in flight at a time.
type recordPages struct {
	writeInFlight bool
	lastWrite     time.Duration
	revisions     map[int]uint64 // by page
	contents      map[int]string // last written content without the write's name, by page
	unusable      map[int]bool   // malformed pages and pages of a newer format, which are never written
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

// nextUsablePage returns the first writable page at or after the given one.
func (r *recordPages) nextUsablePage(page int) int {
	for r.unusable[page] {
		page++
	}
	return page
}

// firstPage returns the page that also holds the states of the zones.
func (r *recordPages) firstPage() int { return r.nextUsablePage(0) }

// addLoan puts a loan on the first page with room for it.
func (r *recordPages) addLoan(lender TaskAttempt, loansPerPage int) {
	page := r.firstPage()
	for r.loansOnPage[page] >= loansPerPage {
		page = r.nextUsablePage(page + 1)
	}
	r.assignPage(lender, page)
	r.dirty[page] = true
}

// assignPage records which page a loan is on.
func (r *recordPages) assignPage(lender TaskAttempt, page int) {
	r.pageOf[lender] = page
	r.loansOnPage[page]++
}

// removeLoan removes an ended loan from its page.
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

// setStored records the content of a page in the store. Empty content means that the page does not exist.
func (r *recordPages) setStored(page int, content string, revision uint64) {
	if content == "" {
		delete(r.revisions, page)
		delete(r.contents, page)
		return
	}
	r.revisions[page], r.contents[page] = revision, content
}

// MarkZoneStatesChanged schedules another write of the states of the zones.
func (m *Manager) MarkZoneStatesChanged() { m.records.dirty[m.records.firstPage()] = true }

// Restore restores the state recorded by an earlier leader. A page that is malformed or of a newer format is reported
// and never written. Its loans count as ended. That harms no job, because a lender waits for capacity like any other
// job.
func (m *Manager) Restore(now time.Duration, pages []protocol.KeyValue) {
	for _, p := range pages {
		page, err := strconv.Atoi(strings.TrimPrefix(p.Key, storage.ZoneFailoverPrefix))
		if err != nil {
			m.addDecision(RecordIgnored{Key: p.Key, Reason: "key does not end in a page number"})
			continue
		}
		record, err := storage.DecodeZoneFailover(p)
		if err != nil {
			m.records.unusable[page] = true
			m.addDecision(RecordIgnored{Key: p.Key, Reason: err.Error()})
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
			reason := fmt.Sprintf("loan by %s/%d: %v", row.Lender, row.Task, err)
			m.addDecision(RecordIgnored{Key: key, Reason: reason})
			continue
		}
		m.records.assignPage(loan.Lender, page)
	}
}

// LoanFromRow converts a stored loan.
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

// Row returns the stored form of the loan.
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

// RedistributeLoans moves loans off pages that hold more of them than the limits allow. It does nothing for a nil
// Manager.
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
	// VerifyKey and VerifyName are the key and the write name by which the transaction's author finds out whether the
	// transaction was applied if its response is lost. For the deletion of a page the name is empty.
	VerifyKey, VerifyName string

	contents map[int]string // content of each page after the write, empty for a deleted page
	durable  []Loan         // open loans that are recorded once the pages are written
}

// Pages returns the number of pages in the write.
func (w *RecordWrite) Pages() int { return len(w.contents) }

// DurableLoans returns the open loans that are recorded once the transaction has succeeded. It omits the loans of
// borrowers with other loans that are not recorded yet, because all lenders to one job are preempted together.
func (w *RecordWrite) DurableLoans() []Loan { return w.durable }

// add adds the write of one page.
func (w *RecordWrite) add(page int, revision uint64, content string, op protocol.Op) {
	w.If = append(w.If, protocol.Compare{Key: storage.ZoneFailoverKey(page), Revision: revision})
	w.Then = append(w.Then, op)
	w.contents[page] = content
}

// setVerification chooses the key by which the outcome of the transaction is verified.
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

// IsWriteDue reports whether changes should be written now. They are written at once while lenders wait to be
// preempted, and are otherwise collected for one cycle. It returns false while a write is in flight and for a nil
// Manager.
func (m *Manager) IsWriteDue(now time.Duration) bool {
	if m == nil || len(m.records.dirty) == 0 || m.records.writeInFlight {
		return false
	}
	return len(m.awaitingPreemption) > 0 || now-m.records.lastWrite >= m.options.CycleInterval
}

// PrepareWrite returns the next write, under the given write name. If no page has really changed, the write has no
// operations: nothing is in flight and its durable loans are already recorded. Otherwise the caller must call
// WriteSucceeded or WriteRejected unless the leader's term ends.
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

// pagesToWrite returns the pages for the next transaction. Pages that lenders wait for come first.
func (m *Manager) pagesToWrite(limit int) []int {
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
	return pages[:min(len(pages), limit)]
}

// buildRecords returns the current records of the given pages. A page without content has no record.
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
				SinceMS: m.unixMS(zone.Since),
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

// durableLoans returns the open loans on unchanged pages. It omits the loans of borrowers with other loans on changed
// pages.
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

// WriteSucceeded records that the pages of a write are stored with the given revision.
func (m *Manager) WriteSucceeded(w *RecordWrite, revision uint64) {
	m.records.writeInFlight = false
	for page, content := range w.contents {
		m.records.setStored(page, content, revision)
	}
}

// WriteRejected records that the store rejected a write as malformed. Its pages are written again one cycle after
// retryAfter, or as soon as lenders wait to be preempted.
func (m *Manager) WriteRejected(w *RecordWrite, retryAfter time.Duration) {
	m.records.writeInFlight = false
	m.records.lastWrite = retryAfter
	for page := range w.contents {
		m.records.dirty[page] = true
	}
}
