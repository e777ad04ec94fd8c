package runner

import (
	"strings"

	"github.com/jaygw/jaygw"
)

const (
	// maxCheckpointBytes bounds the checkpoints of the reported runs in one poll, and each one: a poll of
	// 4 MiB (dialer.MaxMessageBytes) would never arrive.
	maxCheckpointBytes = 1 << 20

	// maxEndBytes bounds the ends in one poll, which become one command of 2 MiB at most. At least one is reported.
	maxEndBytes = 512 << 10

	// maxReasonBytes bounds the text on the end of a run, which the worker gives.
	maxReasonBytes = 4 << 10

	// endBytes is more than what an end takes beside its texts.
	endBytes = 160
)

// boundRequest leaves out of a poll what makes it too large. The leader keeps the last reported checkpoint of a
// run, and later polls report the rest.
func (r *Runner) boundRequest(request *jaygw.PollRequest) {
	total := 0
	for i := range request.Runs {
		if len(request.Runs[i].Checkpoint) > maxCheckpointBytes {
			request.Runs[i].Checkpoint = ""
		}
		total += len(request.Runs[i].Checkpoint)
	}
	if total > maxCheckpointBytes {
		r.rotateCheckpoints(request.Runs)
	}
	total = 0
	for i := range request.Ended {
		e := &request.Ended[i]
		if len(e.Checkpoint) > maxCheckpointBytes {
			e.Checkpoint = ""
		}
		e.Reason = strings.ToValidUTF8(e.Reason[:min(len(e.Reason), maxReasonBytes)], "")
		if total += endBytes + len(e.Run.Task.Workflow) + len(e.Checkpoint) + len(e.Reason); total > maxEndBytes && i > 0 {
			request.Ended = request.Ended[:i]
			return
		}
	}
}

// rotateCheckpoints removes the checkpoints beyond the limit, those that are next in turn last.
func (r *Runner) rotateCheckpoints(runs []jaygw.ReportedRun) {
	first, total, full := r.nextCheckpoint%len(runs), 0, false
	for i := range runs {
		index := (first + i) % len(runs)
		total += len(runs[index].Checkpoint)
		if total > maxCheckpointBytes {
			if !full {
				r.nextCheckpoint, full = index, true
			}
			runs[index].Checkpoint = ""
		}
	}
}
