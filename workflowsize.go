package jaygw

const (
	// MaxWorkflowTasks is the most tasks that a workflow may have in all its occurrences.
	MaxWorkflowTasks = 20_000

	// MaxWorkflowIDBytes is the length of the longest workflow id.
	MaxWorkflowIDBytes = 256

	// What the parts of a workflow take in the memory of a control replica, without their texts.
	endedWorkflowBytes = 512
	workflowBytes      = 1024
	stepBytes          = 512
	occurrenceBytes    = 64
	stepStateBytes     = 64
	taskBytes          = 224
	positionBytes      = 8
)

// SpecBytes estimates the memory of the workflow as its caller has sent it.
func (w WorkflowSpec) SpecBytes() int64 {
	bytes := workflowBytes + len(w.ID) + len(w.Payload)
	for i := range w.Steps {
		s := &w.Steps[i]
		bytes += stepBytes + len(s.Label) + len(s.DataRack) + len(s.Image) + len(s.After)*positionBytes
	}
	return int64(bytes)
}

// StateBytes estimates the memory that a valid workflow takes in the control state until it has ended.
func (w WorkflowSpec) StateBytes() int64 {
	if len(w.Steps) == 0 {
		return endedWorkflowBytes + int64(len(w.ID))
	}
	tasks := 0
	for i := range w.Steps {
		tasks += w.Steps[i].Tasks
	}
	return w.SpecBytes() + int64(w.Occurrences())*int64(occurrenceBytes+stepStateBytes*len(w.Steps)+taskBytes*tasks)
}
