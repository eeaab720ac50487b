package loadtest

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
)

// tableWriter writes Markdown tables with aligned columns.
type tableWriter struct {
	out *tabwriter.Writer
	err error // the first write error
}

func newTableWriter(out io.Writer) *tableWriter {
	return &tableWriter{out: tabwriter.NewWriter(out, 0, 0, 1, ' ', 0)}
}

// header starts a table with the given column titles.
func (t *tableWriter) header(cells ...string) {
	t.write("\n")
	t.row(cells...)
	t.row(slices.Repeat([]string{"---"}, len(cells))...)
}

func (t *tableWriter) row(cells ...string) {
	t.write("| " + strings.Join(cells, "\t| ") + "\t|\n")
}

func (t *tableWriter) write(text string) {
	if t.err == nil {
		_, t.err = io.WriteString(t.out, text)
	}
}

// flush writes all buffered text and returns the first error.
func (t *tableWriter) flush() error {
	if t.err == nil {
		t.err = t.out.Flush()
	}
	if t.err != nil {
		return fmt.Errorf("write tables: %w", t.err)
	}
	return nil
}

// WriteTables writes the result as Markdown tables.
func (r *Result) WriteTables(out io.Writer) error {
	t := newTableWriter(out)
	r.writeMetrics(t)
	r.writeTimes(t)
	r.writeFaults(t)
	r.writeSlopes(t)
	return t.flush()
}

// writeBySize writes a row with a label and a cell for each size.
func (r *Result) writeBySize(t *tableWriter, label string, cell func(*SizeResult) string) {
	t.row(r.cellsBySize(label, cell)...)
}

func (r *Result) cellsBySize(label string, cell func(*SizeResult) string) []string {
	cells := []string{label}
	for i := range r.Sizes {
		cells = append(cells, cell(&r.Sizes[i]))
	}
	return cells
}

// writeHeaderBySize starts a table with a column for each size.
func (r *Result) writeHeaderBySize(t *tableWriter, label string) {
	t.header(r.cellsBySize(label, func(s *SizeResult) string { return fmt.Sprintf("%s %d", r.Vary, s.Size) })...)
}

// sortedKeys returns the keys that occur in the map of at least one size, sorted. The function mapOf returns the map of
// a size.
func sortedKeys[V any](sizes []SizeResult, mapOf func(*SizeResult) map[string]V) []string {
	all := map[string]bool{}
	for i := range sizes {
		for key := range mapOf(&sizes[i]) {
			all[key] = true
		}
	}
	return slices.Sorted(maps.Keys(all))
}

func (r *Result) writeMetrics(t *tableWriter) {
	r.writeHeaderBySize(t, "figure (mean, least to most of the slices)")
	for _, name := range sortedKeys(r.Sizes, func(s *SizeResult) map[string]Metric { return s.Metrics }) {
		r.writeBySize(t, name, func(s *SizeResult) string {
			f := s.Metrics[name]
			return fmt.Sprintf("%.4g (%.3g to %.3g)", f.Mean, f.Min, f.Max)
		})
	}
}

func (r *Result) writeTimes(t *tableWriter) {
	const format = "%.4g, %.4g, %.4g (%d)"
	r.writeHeaderBySize(t, "time in ms (half, 99 of 100, longest)")
	for _, name := range sortedKeys(r.Sizes, func(s *SizeResult) map[string]LatencySummary { return s.Latencies }) {
		r.writeBySize(t, name, func(s *SizeResult) string {
			times := s.Latencies[name]
			return fmt.Sprintf(format, times.P50, times.P99, times.Max, times.Count)
		})
	}
	for _, kind := range sortedKeys(r.Sizes, func(s *SizeResult) map[string]stepTimes { return s.StepTimes }) {
		r.writeBySize(t, "step "+kind+" (mean)", func(s *SizeResult) string {
			times := s.StepTimes[kind]
			return fmt.Sprintf(format, times.MeanMS, times.P99MS, times.MaxMS, times.Count)
		})
	}
}

func (r *Result) writeFaults(t *tableWriter) {
	headerWritten := false
	for _, s := range r.Sizes {
		for i := range s.Faults {
			if !headerWritten {
				headerWritten = true
				t.header(
					"size",
					"trouble",
					"first answer, s",
					"most answered, s",
					"records read, s",
					"report p99, longest, ms",
					"question p99, longest, ms",
					"urgent start p99, longest, ms",
					"heartbeat p99, longest, ms",
					"cycle longest, ms",
				)
			}
			t.row(s.Faults[i].cells(s.Size)...)
		}
	}
}

// cells returns the cells of the table row for the fault.
func (f *FaultResult) cells(size int) []string {
	latency := func(l LatencyKind) string {
		times := f.Latencies[l.String()]
		return fmt.Sprintf("%.4g, %.4g", times.P99, times.Max)
	}
	peerHeartbeat, cycle := f.StepTimes["heartbeat"], f.StepTimes["cycle"]
	return []string{
		fmt.Sprint(size),
		string(f.Fault),
		fmt.Sprintf("%.3g", f.FirstReplySeconds),
		fmt.Sprintf("%.3g", f.MostRepliesSeconds),
		fmt.Sprintf("%.3g", f.RecordsReadSeconds),
		latency(HeartbeatReply),
		latency(QueryReply),
		latency(UrgentStart),
		fmt.Sprintf("%.4g, %.4g", peerHeartbeat.P99MS, peerHeartbeat.MaxMS),
		fmt.Sprintf("%.4g", cycle.MaxMS),
	}
}

func (r *Result) writeSlopes(t *tableWriter) {
	if len(r.Slopes) == 0 {
		return
	}
	const percent = 100
	perUnit := fmt.Sprintf("for each of %s", r.Vary)
	t.header("figure", "at none", perUnit, "standard error", "R2", "farthest off the line")
	for _, s := range r.Slopes {
		t.row(
			s.Metric,
			fmt.Sprintf("%.4g", s.Intercept),
			fmt.Sprintf("%.4g", s.Slope),
			fmt.Sprintf("%.2g", s.StandardError),
			fmt.Sprintf("%.3f", s.R2),
			fmt.Sprintf("%.0f%%", percent*s.MaxRelativeResidual),
		)
	}
}

// spreadStandardErrors is the width of the spread to each side of an estimate, in standard errors of the slope.
const spreadStandardErrors = 2

// WriteCapacity writes a table with an estimate of each metric at the given size. The estimate is the value of the
// fitted line. The table also has the spread of the estimate and, as its basis, whether the size is within the measured
// sizes or extrapolated beyond them.
func (r *Result) WriteCapacity(out io.Writer, size int) error {
	if len(r.Slopes) == 0 {
		return fmt.Errorf("%w: the result has no slopes, which need at least %d sizes", ErrInvalidConfig, minSizes)
	}
	largest := 0
	for _, s := range r.Sizes {
		largest = max(largest, s.Size)
	}
	basis := "within the sizes measured"
	if size > largest {
		basis = fmt.Sprintf("extrapolated, %.1f times the largest size", float64(size)/float64(largest))
	}
	t := newTableWriter(out)
	t.header(
		"figure",
		fmt.Sprintf("measured with %d", largest),
		"at none",
		fmt.Sprintf("for each of %s", r.Vary),
		fmt.Sprintf("with %d", size),
		"spread",
		"R2",
		"basis",
	)
	for _, s := range r.Slopes {
		t.row(
			s.Metric,
			fmt.Sprintf("%.4g", r.Sizes[len(r.Sizes)-1].Metrics[s.Metric].Mean),
			fmt.Sprintf("%.4g", s.Intercept),
			fmt.Sprintf("%.4g", s.Slope),
			fmt.Sprintf("%.4g", s.Intercept+s.Slope*float64(size)),
			fmt.Sprintf("%.2g", spreadStandardErrors*s.StandardError*float64(size)),
			fmt.Sprintf("%.3f", s.R2),
			basis,
		)
	}
	return t.flush()
}
