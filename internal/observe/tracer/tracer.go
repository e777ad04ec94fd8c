// Package tracer extracts the trace of one request, task or VM from the logs of several processes.
package tracer

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

type (
	// Tracer collects the log lines that name a subject, and those that concern every subject.
	Tracer struct {
		subject string
		events  []event
		vms     map[string]bool // names of the VMs on which the subject has run
	}

	// event is a parsed log line.
	event struct {
		timestamp    time.Time
		process      string
		message      string
		fields       map[string]any
		namesSubject bool // the value of a field contains the subject
	}
)

// sharedMessages are parts of the log messages about events that can affect every subject. They are
// matched letter for letter.
var sharedMessages = []string{
	"leadership changed", "the lease of a VM is over", "node: stopping", "node: started", "control group lost",
	"a decision was not committed", "asked to join", "lines dropped",
}

// New returns a tracer of a subject, which is an id or a part of one.
func New(subject string) *Tracer { return &Tracer{subject: subject, vms: map[string]bool{}} }

// AddLine adds one line of a process's log and ignores lines without a JSON object. If text precedes
// the object, such as a time and a process name, its last word replaces process.
func (t *Tracer) AddLine(process, line string) {
	begin := strings.IndexByte(line, '{')
	if begin < 0 {
		return
	}
	var fields map[string]any
	if json.Unmarshal([]byte(line[begin:]), &fields) != nil {
		return
	}
	if prefix := strings.Fields(line[:begin]); len(prefix) > 0 {
		process = prefix[len(prefix)-1]
	}
	message, _ := fields["msg"].(string)
	text, _ := fields["time"].(string)
	timestamp, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		return
	}
	namesSubject := t.mentionsSubject(fields)
	if vm, ok := fields["vm"].(string); ok && namesSubject {
		t.vms[vm] = true
	}
	if !namesSubject && !slices.ContainsFunc(sharedMessages, func(s string) bool { return strings.Contains(message, s) }) {
		return
	}
	for _, key := range []string{"msg", "time", "level"} {
		delete(fields, key)
	}
	t.events = append(t.events, event{timestamp: timestamp, process: process, message: message, fields: fields, namesSubject: namesSubject})
}

func (t *Tracer) mentionsSubject(fields map[string]any) bool {
	for _, value := range fields {
		if text, ok := value.(string); ok && strings.Contains(text, t.subject) {
			return true
		}
	}
	return false
}

// Lines returns the trace lines in the order of time. Shared messages are included between the
// first and the last line that names the subject; one that names a VM is included only if the
// subject ran on that VM.
func (t *Tracer) Lines() []string {
	slices.SortStableFunc(t.events, func(a, b event) int { return cmp.Compare(a.timestamp.UnixNano(), b.timestamp.UnixNano()) })
	first := slices.IndexFunc(t.events, func(e event) bool { return e.namesSubject })
	if first < 0 {
		return nil
	}
	last := first
	for i, e := range t.events {
		if e.namesSubject {
			last = i
		}
	}
	var lines []string
	for _, e := range t.events[first : last+1] {
		if vm, ok := e.fields["vm"].(string); ok && !e.namesSubject && !t.vms[vm] {
			continue
		}
		lines = append(lines, e.String())
	}
	return lines
}

// String formats the event as one line, with its fields sorted by name.
func (e event) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s  %-28s %s", e.timestamp.UTC().Format("15:04:05.000"), e.process, e.message)
	for _, key := range slices.Sorted(maps.Keys(e.fields)) {
		if value := e.fields[key]; value != "" && value != nil {
			fmt.Fprintf(&b, "  %s=%v", key, value)
		}
	}
	return b.String()
}
