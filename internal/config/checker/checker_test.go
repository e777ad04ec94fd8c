package checker_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/config/checker"
	"github.com/stretchr/testify/require"
)

// Guards against a run of the checker that stops at the first faults of a settings file: each of
// them must be found, with the path of its value.
func TestSettingsReportsAllFaults(t *testing.T) {
	const file = "testdata/six-faults.json"
	data, err := os.ReadFile(file)
	require.NoError(t, err)
	_, findings := checker.Settings(file, data, jaygw.RoleEntry)
	var paths []string
	for _, f := range findings {
		require.Equal(t, file, f.File)
		paths = append(paths, f.Path)
	}
	require.ElementsMatch(t, []string{
		"limits.requests", "logs", "name", "listen.operators", "listen.processes", "control.data-folder",
	}, paths)
}

// Guards against a change of the rules or of an example that makes the example invalid.
func TestExamplesAreValid(t *testing.T) {
	files, err := filepath.Glob("../../../examples/*/*.json")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		data, err := os.ReadFile(file)
		require.NoError(t, err)
		var findings jaygw.Findings
		switch name := filepath.Base(file); {
		case name == "document.json":
			_, findings = checker.Document(file, data)
		case name[:5] == "agent":
			_, findings = checker.Settings(file, data, jaygw.RoleAgent)
		case name[:5] == "entry":
			_, findings = checker.Settings(file, data, jaygw.RoleEntry)
			findings = withoutDataFolder(findings)
		default:
			_, findings = checker.Job(file, data)
		}
		require.Empty(t, findings, findings.Error())
	}
}

// withoutDataFolder returns the findings other than the one on the data folder, which exists only
// where the daemon runs.
func withoutDataFolder(findings jaygw.Findings) jaygw.Findings {
	var remaining jaygw.Findings
	for _, f := range findings {
		if f.Path != "control.data-folder" {
			remaining = append(remaining, f)
		}
	}
	return remaining
}

// Guards against faults of a document that are missed in one run, such as those that only a
// comparison of its parts shows.
func TestDocumentReportsAllFaults(t *testing.T) {
	const file = "testdata/faulty-document.json"
	data, err := os.ReadFile(file)
	require.NoError(t, err)
	_, findings := checker.Document(file, data)
	var paths []string
	for _, f := range findings {
		paths = append(paths, f.Path)
	}
	require.ElementsMatch(t, []string{
		"number", "teams[0].may-start[1]", "teams[0].quota.cpu-millicores", "services[0].latency-target",
		"services[0].idempotent-methods[1]", "services[0].domains", "jobs[0].resources",
	}, paths)
}
