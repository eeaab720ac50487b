package placementrecords

import (
	"time"

	"pinebay/internal/config"
	"pinebay/internal/coordination/featurelevel"
	"pinebay/internal/protocol"
	"pinebay/internal/storage"
)

const (
	// MaxTransactionBytes limits the total size of the values of a transaction. It leaves room for the rest of the
	// request.
	MaxTransactionBytes = protocol.MaxBodyBytes * 3 / 4
	// MinOperations is the minimum number of operations that a transaction must be able to have: the end of a job takes
	// two.
	MinOperations = 2
)

const (
	// startWriteWindow limits how far in advance the store's writes are allocated to records of starts. A longer window
	// would delay more urgent records that arrive meanwhile. A job that waits longer collects more starts in its
	// record.
	startWriteWindow = time.Second / 8
	// CompletionDelay is how long the ends of a job's tasks are collected before they are written.
	CompletionDelay = time.Second / 2
)

// Limits determines how large records and transactions may be, and how many pages may be in flight. It depends on the
// settings, the final feature level, and the transactions that the key-value store has rejected.
type Limits struct {
	settings *config.StoreLimits
	level    featurelevel.Level // highest feature level that is final
	current  config.StoreLimits
}

// NewLimits returns the limits for a final feature level.
func NewLimits(settings *config.StoreLimits, level featurelevel.Level) Limits {
	l := Limits{settings: settings}
	l.SetLevel(level)
	return l
}

// SetLevel applies a final feature level. From level Pipelines on, records also fit the limits that the key-value store
// will have after its next change.
func (l *Limits) SetLevel(level featurelevel.Level) {
	l.level, l.current = level, *l.settings
	if level >= featurelevel.Pipelines {
		l.current = l.settings.Lowest()
	}
}

// Level returns the highest feature level that is final.
func (l *Limits) Level() featurelevel.Level { return l.level }

// ValueKB returns the maximum size of a record in KiB.
func (l *Limits) ValueKB() float64 { return l.current.ValueKB }

// MaxOperations returns the maximum number of operations in a transaction.
func (l *Limits) MaxOperations() int { return l.current.TxnOps }

// fitsValue reports whether a value of the estimated size in bytes is within the limit.
func (l *Limits) fitsValue(size int) bool {
	return float64(size) <= l.current.ValueKB*storage.BytesPerKiB
}

// PagesPerTransaction returns the number of full pages that fit into a transaction.
func (l *Limits) PagesPerTransaction() int {
	return max(1, min(l.current.TxnOps, int(MaxTransactionBytes/(l.current.ValueKB*storage.BytesPerKiB))))
}

// MaxStartPages returns how many pages that starts depend on may be in flight: as many as the key-value store writes
// within startWriteWindow. More pages would only queue in the store, ahead of more urgent ones that arrive meanwhile.
func (l *Limits) MaxStartPages() int { return l.pagesWithin(startWriteWindow) }

// MaxCompletionPages returns how many pages that no start depends on may be in flight: as many as the key-value store
// writes in half of CompletionDelay.
func (l *Limits) MaxCompletionPages() int { return l.pagesWithin(CompletionDelay / 2) }

func (l *Limits) pagesWithin(d time.Duration) int {
	return max(l.PagesPerTransaction(), int(l.current.WriteRPS*storage.PlacementShare*d.Seconds()))
}

// NewJobLayout returns the page layout for new jobs.
func (l *Limits) NewJobLayout() storage.PageLayout {
	if l.level < featurelevel.Pipelines {
		return storage.PageLayout{TasksPerPage: storage.OriginalTasksPerPage(l.settings.ValueKB)}
	}
	return storage.PageLayout{TasksPerPage: storage.CompactTasksPerPage(l.current.ValueKB), Compact: true}
}

// LayoutAtMost returns the layout for a job whose narrowest stored pages cover the given number of tasks. If several
// pages cover a task, the narrowest one is valid, so the pages of a job must never become wider.
func (l *Limits) LayoutAtMost(tasksPerPage int) storage.PageLayout {
	layout := l.NewJobLayout()
	layout.TasksPerPage = min(layout.TasksPerPage, tasksPerPage)
	return layout
}

// ShrinkTransactions limits transactions to half the given number of operations, after the key-value store has rejected
// a transaction with that number as malformed: the store may allow fewer operations than the settings say. It reports
// whether the limit could be reduced.
func (l *Limits) ShrinkTransactions(operations int) bool {
	if operations <= MinOperations {
		return false
	}
	l.current.TxnOps = max(MinOperations, min(l.current.TxnOps, operations/2))
	return true
}
