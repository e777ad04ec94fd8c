package launcher

import (
	"fmt"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/observe/recorder"
)

// eventObserver records applied changes on the time line.
type eventObserver struct {
	recorder *recorder.Recorder
}

// TaskChanged records changes of a task's state.
func (o *eventObserver) TaskChanged(before, after *jaygw.Task) {
	if after == nil || before != nil && before.State == after.State {
		return
	}
	cause := string(after.State)
	if after.Reason != "" {
		cause += ": " + after.Reason
	}
	kind := jaygw.EventTask
	switch after.State {
	case jaygw.Granted:
		kind = jaygw.EventGrant
	case jaygw.Stopping:
		kind = jaygw.EventEvict
	}
	subjects := []string{"task:" + string(after.ID), "job:" + after.Environment + "/" + after.Owner}
	if vm := vmName(before, after); vm != "" {
		subjects = append(subjects, "vm:"+vm)
	}
	o.recorder.Record(kind, cause, subjects...)
}

// vmName returns the name of a task's VM after a change, or before it if the task has none
// afterwards.
func vmName(before, after *jaygw.Task) string {
	if after.VM != "" || before == nil {
		return after.VM
	}
	return before.VM
}

// VMChanged records new, changed and removed VMs.
func (o *eventObserver) VMChanged(before, after *jaygw.VM) {
	switch {
	case after == nil:
		o.recorder.Record(jaygw.EventVM, "removed", "vm:"+before.Name)
	case before == nil:
		o.recorder.Record(jaygw.EventVM, "announced", "vm:"+after.Name, "domain:"+after.Domain)
	case before.Incarnation != after.Incarnation:
		o.recorder.Record(jaygw.EventVM, "agent restarted", "vm:"+after.Name, "domain:"+after.Domain)
	case !before.Leaving && after.Leaving:
		o.recorder.Record(jaygw.EventVM, "leaving", "vm:"+after.Name, "domain:"+after.Domain)
	}
}

// DomainChanged records that a failure domain was taken out or returned.
func (o *eventObserver) DomainChanged(after *jaygw.FailureDomain) {
	cause := "in"
	if after.Out {
		cause = "out"
	}
	o.recorder.Record(jaygw.EventDomain, cause, "domain:"+after.Name)
}

// DocumentChanged records submissions and promotions of documents.
func (o *eventObserver) DocumentChanged(after *jaygw.Submitted) {
	o.recorder.Record(jaygw.EventDocument, fmt.Sprintf("document %d is %s", after.Document.Number, after.State),
		"environment:"+after.Document.Environment, "digest:"+after.Digest)
}

// Reset records nothing when a snapshot replaces the state.
func (o *eventObserver) Reset() {}
