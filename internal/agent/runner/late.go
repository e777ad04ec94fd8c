package runner

import (
	"time"

	"github.com/jaygw/jaygw"
)

// lateReports is a row of late reports, each with a higher number than the one before.
type lateReports struct {
	sequence uint64 // number of the last one
	count    int
}

// maxLateReports is how many reports in a row are taken for late. More of them show that the number of the
// accepted one was not the worker's.
const maxLateReports = 8

// IsLate reports whether a report of the present incarnation was sent before the accepted one. A report without a
// number never was.
func (r *Runner) IsLate(w jaygw.PoolWorker) bool {
	switch {
	case r.worker == nil || r.worker.Incarnation != w.Incarnation || w.Sequence == 0:
		return false
	case w.Sequence > r.reportSequence:
		r.late = lateReports{}
		return false
	case w.Sequence == r.reportSequence || w.Sequence == r.late.sequence:
		return true // a copy
	case w.Sequence < r.late.sequence:
		r.late.count = 0
	}
	r.late.sequence = w.Sequence
	r.late.count++
	if r.late.count <= maxLateReports {
		return true
	}
	r.late, r.reportSequence = lateReports{}, w.Sequence-1
	return false
}

// ReportSequence returns the number of the accepted report, or zero if none had one.
func (r *Runner) ReportSequence() uint64 { return r.reportSequence }

// ReportLate handles a late report, of which only what stays true counts: that the worker drains, and the least
// reading of its clock. It returns whether the leader should be notified immediately.
func (r *Runner) ReportLate(w jaygw.PoolWorker, clock time.Duration, now time.Time) bool {
	current := *r.worker
	current.Draining, current.Sequence = w.Draining, 0
	return r.Report(current, clock, now)
}
