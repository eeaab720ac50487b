package placementrecords

import (
	"time"

	"pinebay/internal/config"
	"pinebay/internal/coordination/featurelevel"
	"pinebay/internal/protocol"
	"pinebay/internal/storage"
)

const (
	// MaxTransactionBytes is how large the values of a transaction may be, with room left for its envelope.
	MaxTransactionBytes = protocol.MaxBodyBytes * 3 / 4
	// MinOperations is how many operations a transaction must be able to have: a job's end takes two.
	MinOperations = 2
)

const (
	// startWriteWindow is for how long the store's writes may be promised to records of starts before they are sent:
	// more urgent ones that come up meanwhile go first. A job that waits longer gathers more starts in its record.
	startWriteWindow = time.Second / 8
	// CompletionDelay is for how long the ends of a job's tasks are gathered before they are written.
	CompletionDelay = time.Second / 2
)

// Limits says how large records and transactions may be, and how many may be in flight. That follows from the
// settings, the feature level, and what the key-value store has rejected.
type Limits struct {
	settings *config.StoreLimits
	level    featurelevel.Level // the highest one that is final
	current  config.StoreLimits
}

// NewLimits returns the limits at a final feature level.
func NewLimits(settings *config.StoreLimits, level featurelevel.Level) Limits {
	l := Limits{settings: settings}
	l.SetLevel(level)
	return l
}

// SetLevel applies a final feature level. From Pipelines on records also fit the limits that the key-value store will
// have after its next change.
func (l *Limits) SetLevel(level featurelevel.Level) {
	l.level, l.current = level, *l.settings
	if level >= featurelevel.Pipelines {
		l.current = l.settings.Lowest()
	}
}

// Level returns the highest feature level that is final.
func (l *Limits) Level() featurelevel.Level { return l.level }

// ValueKB returns how large a record may be.
func (l *Limits) ValueKB() float64 { return l.current.ValueKB }

// MaxOperations returns how many operations a transaction may have.
func (l *Limits) MaxOperations() int { return l.current.TxnOps }

// fitsValue reports whether a value of an estimated size is within the limit.
func (l *Limits) fitsValue(size int) bool {
	return float64(size) <= l.current.ValueKB*storage.BytesPerKiB
}

// PagesPerTransaction returns how many full pages fit a transaction.
func (l *Limits) PagesPerTransaction() int {
	return max(1, min(l.current.TxnOps, int(MaxTransactionBytes/(l.current.ValueKB*storage.BytesPerKiB))))
}

// MaxStartPages returns how many pages that starts wait for may be in flight: as many as the key-value store writes
// within startWriteWindow. More would only queue there, ahead of more urgent ones that come up meanwhile.
func (l *Limits) MaxStartPages() int { return l.pagesWithin(startWriteWindow) }

// MaxCompletionPages returns how many pages may be in flight that no start waits for: as many as the key-value store
// writes in half the time for which completions are gathered.
func (l *Limits) MaxCompletionPages() int { return l.pagesWithin(CompletionDelay / 2) }

func (l *Limits) pagesWithin(d time.Duration) int {
	return max(l.PagesPerTransaction(), int(l.current.WriteRPS*storage.PlacementShare*d.Seconds()))
}

// NewJobLayout returns the page layout of new jobs.
func (l *Limits) NewJobLayout() storage.PageLayout {
	if l.level < featurelevel.Pipelines {
		return storage.PageLayout{TasksPerPage: storage.OriginalPageTasks(l.settings.ValueKB)}
	}
	return storage.PageLayout{TasksPerPage: storage.CompactTasksPerPage(l.current.ValueKB), Compact: true}
}

// LayoutAtMost returns the layout for a job whose narrowest stored pages cover so many tasks. Of several pages that
// cover a task the narrowest counts, so a job's pages never become wider.
func (l *Limits) LayoutAtMost(tasksPerPage int) storage.PageLayout {
	layout := l.NewJobLayout()
	layout.TasksPerPage = min(layout.TasksPerPage, tasksPerPage)
	return layout
}

// ShrinkTransactions applies the rejection of a malformed transaction: the key-value store may allow fewer operations
// than the settings say, so later transactions have half as many. It reports whether that was possible.
func (l *Limits) ShrinkTransactions(operations int) bool {
	if operations <= MinOperations {
		return false
	}
	l.current.TxnOps = max(MinOperations, min(l.current.TxnOps, operations/2))
	return true
}
