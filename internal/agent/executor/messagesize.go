package executor

import (
	"slices"

	"github.com/jaygw/jaygw"
)

const (
	// maxReportBytes bounds the reports of one renewal, of which it carries at least one. They become a command
	// of 2 MiB at most. Later renewals carry the others.
	maxReportBytes = 512 << 10

	// reportOverheadBytes is more than what a report takes beside its texts.
	reportOverheadBytes = 160
)

// nextReports returns the reports for a renewal, the earliest first.
func (e *Executor) nextReports() []jaygw.SequencedReport {
	total := 0
	for i, r := range e.reports {
		total += reportOverheadBytes + len(r.Report.Attempt.Task) + len(r.Report.Checkpoint.Token) + len(r.Report.Reason)
		if total > maxReportBytes && i > 0 {
			return slices.Clone(e.reports[:i])
		}
	}
	return slices.Clone(e.reports)
}
