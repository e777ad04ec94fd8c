package endtoend

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/jaygw/jaygw"
	control "github.com/jaygw/jaygw/internal/control/client"
	"github.com/jaygw/jaygw/internal/wire/dialer"
	"github.com/stretchr/testify/require"
)

// runCommand runs an operators' command with the token and returns its JSON output.
func (e *estate) runCommand(entry *daemon, arguments ...string) ([]byte, error) {
	command := exec.Command(e.binary, append(arguments, "--server", entry.settings.Listen.Operators, "--output", "json")...)
	command.Env = append(os.Environ(), "JAYGW_TOKEN_FILE="+entry.settings.TokenFile)
	return command.Output()
}

// TestMemberCommandsReplaceALostReplica guards against a replica with a lost disk that the
// member commands alone cannot replace, and against a client that knew only the first member
// and does not find the new one.
func TestMemberCommandsReplaceALostReplica(t *testing.T) {
	e := newEmptyEstate(t)
	for i, domain := range domainNames {
		e.members = append(e.members, jaygw.Member{
			ID: uint64(i + 1), Name: "entry-" + domain, Address: e.freeAddress(), Domain: domain, Voter: true,
		})
	}
	token := filepath.Join(e.folder, "token")
	require.NoError(t, os.WriteFile(token, []byte("secret"), 0o600))
	for i := range e.members {
		entry := e.newEntry(i)
		entry.settings.TokenFile = token
		e.entries = append(e.entries, entry)
		e.start(entry)
	}
	t.Cleanup(func() {
		for _, d := range e.entries {
			e.kill(d)
		}
	})
	members := func(entry *daemon) (status jaygw.ReplicaStatus) {
		if out, err := e.runCommand(entry, "member", "list"); err == nil {
			require.NoError(t, json.Unmarshal(out, &status))
		}
		return status
	}
	for _, entry := range e.entries {
		require.Eventually(t, func() bool { return len(members(entry).Members) == 3 }, waitLimit, 100*time.Millisecond)
	}
	_, err := exec.Command(e.binary, "member", "list", "--server", e.entries[0].settings.Listen.Operators).Output()
	require.Error(t, err, "the interface must refuse a request without the token")

	connections := dialer.New()
	defer connections.Close()
	group := control.New(jaygw.DefaultGroup, []string{e.members[0].Address}, connections)
	watch := func() bool {
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		_, err := group.Watch(ctx, "test", jaygw.View{}, 0)
		return err == nil
	}
	require.Eventually(t, watch, waitLimit, 100*time.Millisecond)

	e.kill(e.entries[2])
	e.members[2] = jaygw.Member{ID: 4, Name: "entry-new", Address: e.freeAddress(), Domain: domainNames[2]}
	joining := e.newEntry(2)
	joining.settings.TokenFile, joining.settings.Control.Join = token, true
	joining.settings.Control.Members = e.members[:2]
	e.entries[2] = joining
	e.start(joining)
	require.Eventually(t, func() bool {
		_, err := e.runCommand(e.entries[0], "member", "add", "--id", "4", "--name", "entry-new",
			"--address", e.members[2].Address, "--failure-domain", domainNames[2], "--replaces", "3")
		return err == nil
	}, waitLimit, 100*time.Millisecond)
	require.Eventually(t, func() bool {
		list := members(joining).Members
		return len(list) == 3 && list[2].ID == 4 && list[2].Voter
	}, waitLimit, 100*time.Millisecond, fmt.Sprint(members(e.entries[0])))
	require.Eventually(t, watch, waitLimit, 100*time.Millisecond)

	e.kill(e.entries[0])
	require.Eventually(t, watch, waitLimit, 100*time.Millisecond, "the client did not learn the new members")
	require.Eventually(t, func() bool {
		_, err := e.runCommand(joining, "member", "remove", "--id", "1")
		return err == nil
	}, waitLimit, 200*time.Millisecond)
	require.Eventually(t, func() bool { return len(members(e.entries[1]).Members) == 2 }, waitLimit, 100*time.Millisecond)
}
