package relay

import "github.com/jaygw/jaygw"

// maxFindings bounds the faults of a submission that a refusal names.
const maxFindings = 10

// checkSubmission returns the refusal of a submission that no control group accepts, or nil.
func checkSubmission(submit jaygw.SubmitWorkflow) *jaygw.Refusal {
	findings := submit.Spec.Check(jaygw.MaxWorkflowTasks)
	if len(submit.Spec.ID) > jaygw.MaxWorkflowIDBytes {
		findings = append(findings, jaygw.Finding{Path: "id", Message: "is too long"})
	}
	if len(findings) == 0 {
		return nil
	}
	return jaygw.Refuse(jaygw.RefusedInvalid, "%s", findings[:min(len(findings), maxFindings)].Error()).Refusal
}
