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
func (n *eventObserver) TaskChanged(before, after *jaygw.Task) {
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
	if vm := vmOf(before, after); vm != "" {
		subjects = append(subjects, "vm:"+vm)
	}
	n.recorder.Record(kind, cause, subjects...)
}

func vmOf(before, after *jaygw.Task) string {
	if after.VM != "" || before == nil {
		return after.VM
	}
	return before.VM
}

// VMChanged records new, changed and removed VMs.
func (n *eventObserver) VMChanged(before, after *jaygw.VM) {
	switch {
	case after == nil:
		n.recorder.Record(jaygw.EventVM, "removed", "vm:"+before.Name)
	case before == nil:
		n.recorder.Record(jaygw.EventVM, "announced", "vm:"+after.Name, "domain:"+after.Domain)
	case before.Incarnation != after.Incarnation:
		n.recorder.Record(jaygw.EventVM, "agent restarted", "vm:"+after.Name, "domain:"+after.Domain)
	case !before.Leaving && after.Leaving:
		n.recorder.Record(jaygw.EventVM, "leaving", "vm:"+after.Name, "domain:"+after.Domain)
	}
}

// DomainChanged records that a failure domain is out or in.
func (n *eventObserver) DomainChanged(after *jaygw.FailureDomain) {
	cause := "in"
	if after.Out {
		cause = "out"
	}
	n.recorder.Record(jaygw.EventDomain, cause, "domain:"+after.Name)
}

// DocumentChanged records submissions and promotions.
func (n *eventObserver) DocumentChanged(after *jaygw.Submitted) {
	n.recorder.Record(jaygw.EventDocument, fmt.Sprintf("document %d is %s", after.Document.Number, after.State),
		"environment:"+after.Document.Environment, "digest:"+after.Digest)
}

// Reset records that the state was replaced.
func (n *eventObserver) Reset() {}
