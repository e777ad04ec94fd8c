// Package whole tests the jaygw program end to end, with daemons as separate processes.
package endtoend

import (
	"bufio"
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/config/checker"
	"github.com/jaygw/jaygw/internal/operator/client"
	"github.com/stretchr/testify/require"
)

const waitLimit = time.Minute

var operatorsAddress = regexp.MustCompile(`operators at ([0-9.:]+)`)

// buildProgram compiles the program and returns the path of the executable.
func buildProgram(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "jaygw")
	out, err := exec.Command("go", "build", "-o", binary, "../../../cmd/jaygw").CombinedOutput()
	require.NoError(t, err, string(out))
	return binary
}

// startLocal starts an estate in one process and returns the process and the address of its
// operators' interface.
func startLocal(t *testing.T, binary, folder string) (*exec.Cmd, string) {
	t.Helper()
	command := exec.Command(binary, "local", "--data-folder", folder,
		"--callers", "127.0.0.1:0", "--operators", "127.0.0.1:0", "--log-level", "error")
	out, err := command.StdoutPipe()
	require.NoError(t, err)
	command.Stderr = os.Stderr
	require.NoError(t, command.Start())
	t.Cleanup(func() {
		_ = command.Process.Kill()
		_, _ = command.Process.Wait()
	})
	line, err := bufio.NewReader(out).ReadString('\n')
	require.NoError(t, err)
	match := operatorsAddress.FindStringSubmatch(line)
	require.NotNil(t, match, line)
	return command, match[1]
}

// TestLocalKeepsItsStateAfterAKill guards against the loss of a promoted document or a
// finished job when the process is killed with SIGKILL.
func TestLocalKeepsItsStateAfterAKill(t *testing.T) {
	binary := buildProgram(t)
	folder := t.TempDir()
	ctx, cancel := context.WithTimeout(t.Context(), waitLimit)
	defer cancel()

	process, address := startLocal(t, binary, folder)
	operator := client.New(address)
	data, err := os.ReadFile("../../../examples/litera-unita/document.json")
	require.NoError(t, err)
	document, findings := checker.Document("document.json", data)
	require.Empty(t, findings)
	submitted, err := operator.Submit(ctx, document, "test")
	require.NoError(t, err)
	promoted, err := operator.Promote(ctx, document.Environment, submitted.Digest, "test")
	require.NoError(t, err)
	require.Nil(t, promoted.Refusal)
	accepted, err := operator.SubmitJob(ctx, jaygw.JobSpec{
		Name: "short", Environment: document.Environment, Team: "ledgers", Tasks: 10,
		Resources: jaygw.Resources{CPU: jaygw.Core, Memory: jaygw.GB}, RunTime: jaygw.Duration(100 * time.Millisecond),
	})
	require.NoError(t, err)
	require.Nil(t, accepted.Refusal)
	require.Eventually(t, func() bool {
		job, err := operator.Job(ctx, document.Environment, "short")
		return err == nil && job.State == jaygw.JobDone
	}, waitLimit, 50*time.Millisecond)

	require.NoError(t, process.Process.Kill())
	_, _ = process.Process.Wait()

	_, address = startLocal(t, binary, folder)
	operator = client.New(address)
	job, err := operator.Job(ctx, document.Environment, "short")
	require.NoError(t, err)
	require.Equal(t, 10, job.Done)
	status, err := operator.Status(ctx)
	require.NoError(t, err)
	require.Equal(t, submitted.Digest, status.Environments[0].InForce.Digest)
}

// TestInvalidSettingsPrintAllFindings guards against invalid settings that do not end the
// program with exit code 2, or whose findings are not all printed.
func TestInvalidSettingsPrintAllFindings(t *testing.T) {
	command := exec.Command(buildProgram(t), "entry", "--settings", "../../config/checker/testdata/six-faults.json")
	out, err := command.CombinedOutput()
	var exit *exec.ExitError
	require.ErrorAs(t, err, &exit)
	require.Equal(t, 2, exit.ExitCode())
	require.Len(t, strings.Split(strings.TrimSpace(string(out)), "\n"), 6, string(out))
}
