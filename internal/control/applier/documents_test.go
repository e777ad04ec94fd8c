package applier_test

import (
	"encoding/json"
	"math"
	"os"
	"testing"

	"github.com/jaygw/jaygw"
	"github.com/stretchr/testify/require"
)

// scriptStep is one command of a script with its expected result. SameAs is the number of an
// earlier step whose result is expected again.
type scriptStep struct {
	Submit   uint64   `json:"submit"`
	Promote  string   `json:"promote"`
	Digest   string   `json:"digest"`
	Author   string   `json:"author"`
	Client   string   `json:"client"`
	Sequence uint64   `json:"sequence"`
	Code     string   `json:"code"`
	Detail   []string `json:"detail"`
	Already  bool     `json:"already"`
	SameAs   *int     `json:"same-as"`
	InForce  uint64   `json:"in-force"`
}

// Concurrent submissions with one number and resends after lost responses must never lead to
// two documents with one number or put an older document in force.
func TestDocumentScripts(t *testing.T) {
	data, err := os.ReadFile("testdata/documents.json")
	require.NoError(t, err)
	var scripts []struct {
		Name  string       `json:"name"`
		Steps []scriptStep `json:"steps"`
	}
	require.NoError(t, json.Unmarshal(data, &scripts))
	for _, script := range scripts {
		t.Run(script.Name, func(t *testing.T) {
			l := newLog(t)
			var results []jaygw.Result
			for _, step := range script.Steps {
				results = append(results, runStep(t, l, step, results))
			}
		})
	}
}

func runStep(t *testing.T, l *commandLog, step scriptStep, earlier []jaygw.Result) jaygw.Result {
	c := jaygw.Command{Client: step.Client, Sequence: step.Sequence}
	if step.Submit > 0 {
		document := l.machine.State().Environments["print"].InForce.Document
		document.Number = step.Submit
		c.Submit = &jaygw.SubmitDocument{Document: document, Digest: step.Digest, Author: step.Author}
	} else {
		c.Promote = &jaygw.PromoteDocument{Environment: "print", Digest: step.Promote}
	}
	result := l.apply(c)
	switch {
	case step.SameAs != nil:
		require.Equal(t, earlier[*step.SameAs], result)
	case step.Code != "":
		require.NotNil(t, result.Refusal)
		require.Equal(t, jaygw.RefusalCode(step.Code), result.Refusal.Code)
		for _, part := range step.Detail {
			require.Contains(t, result.Refusal.Detail, part)
		}
	default:
		require.NoError(t, result.Err())
		require.Equal(t, step.Already, result.AlreadyApplied)
	}
	if step.InForce > 0 {
		require.Equal(t, step.InForce, l.machine.State().Environments["print"].InForce.Document.Number)
	}
	return result
}

// A size near the largest integer must not overflow in the capacity check and pass it.
func TestGrantRefusesOverflowingSize(t *testing.T) {
	l := newLog(t)
	require.Empty(t, l.grant("print/plates/0", 0, "vm-a").Code)
	huge := jaygw.Resources{CPU: math.MaxInt64, Memory: jaygw.GB}
	result := l.apply(jaygw.Command{Grant: &jaygw.GrantTasks{Grants: []jaygw.Grant{{
		Task: "print/plates/1", VM: "vm-a", Incarnation: 1, Reserve: huge,
	}}}})
	require.Equal(t, jaygw.RefusedCapacity, result.Results[0].Code)
}
