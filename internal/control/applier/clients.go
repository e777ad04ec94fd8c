package applier

import (
	"maps"
	"strings"

	"github.com/jaygw/jaygw"
)

type (
	// client stores the results of a client's latest commands.
	client struct {
		Highest uint64                  // highest sequence number of the client's commands
		LastUse jaygw.Time              // time of the client's last command
		Results map[uint64]jaygw.Result // by sequence number
	}
)

const (
	// resultWindow is the number of latest sequence numbers, the highest included, whose
	// results are stored for resends.
	resultWindow = 64

	// maxIdentifierBytes bounds the id of a client and the digest of a document.
	maxIdentifierBytes = 128

	// resultOverheadBytes estimates the memory of a stored result, or of one of its items,
	// without its detail.
	resultOverheadBytes = 128

	// maxDetailBytes bounds the detail of a refusal, which quotes names from the
	// command.
	maxDetailBytes = 512
)

// storedResult returns the result of an earlier command with the same client and
// sequence, or a refusal if that result is no longer stored.
func (m *Machine) storedResult(command jaygw.Command) (jaygw.Result, bool) {
	if command.Client == "" {
		return jaygw.Result{}, false
	}
	c, ok := m.state.Clients[command.Client]
	if !ok {
		return jaygw.Result{}, false
	}
	if result, found := c.Results[command.Sequence]; found {
		return result, true
	}
	if outsideResultWindow(command.Sequence, c.Highest) {
		return jaygw.Refuse(jaygw.RefusedSequence,
			"client %s sent command %d; results are stored from command %d on",
			command.Client, command.Sequence, c.Highest-resultWindow+1), true
	}
	return jaygw.Result{}, false
}

// outsideResultWindow reports whether a sequence number is too old for its result to be
// stored.
func outsideResultWindow(sequence, highest uint64) bool {
	return sequence < highest && highest-sequence >= resultWindow
}

// checkClientLimits returns a refusal if the command's result could not be stored.
func (m *Machine) checkClientLimits(command jaygw.Command) (jaygw.Result, bool) {
	if command.Client == "" {
		return jaygw.Result{}, false
	}
	if len(command.Client) > maxIdentifierBytes {
		return jaygw.Refuse(jaygw.RefusedInvalid, "the client's id is longer than %d bytes", maxIdentifierBytes), true
	}
	if m.index.resultBytes+m.maxResultBytes(command) > m.limits.ResultBytes {
		return jaygw.Refuse(jaygw.RefusedTableFull, "the stored results hold their limit of %d bytes; the oldest leave after %s without commands",
			m.limits.ResultBytes, clientRetention), true
	}
	if _, ok := m.state.Clients[command.Client]; ok || len(m.state.Clients) < m.limits.Clients {
		return jaygw.Result{}, false
	}
	return jaygw.Refuse(jaygw.RefusedTableFull,
		"the table of clients holds its limit of %d; the oldest leaves after %s without commands",
		m.limits.Clients, clientRetention), true
}

func (m *Machine) storeResult(command jaygw.Command, result jaygw.Result) {
	if command.Client == "" {
		return
	}
	next := &client{Highest: command.Sequence, LastUse: m.state.Time, Results: map[uint64]jaygw.Result{}}
	if c, ok := m.state.Clients[command.Client]; ok {
		next.Highest = max(c.Highest, command.Sequence)
		next.Results = maps.Clone(c.Results)
	} else {
		m.index.scheduleExpiry(m.state.Time.Add(clientRetention), clientTable, command.Client)
	}
	next.Results[command.Sequence] = result
	m.index.resultBytes += resultBytes(result)
	for sequence, old := range next.Results {
		if outsideResultWindow(sequence, next.Highest) {
			m.index.resultBytes -= resultBytes(old)
			delete(next.Results, sequence)
		}
	}
	m.state.Clients[command.Client] = next
}

// maxResultBytes returns the largest possible size of a command's result. It is checked
// before the command is applied, since a result that cannot be stored would let a resend
// apply the command again.
func (m *Machine) maxResultBytes(command jaygw.Command) int {
	items := 1
	bound := 0
	switch {
	case command.Grant != nil:
		items += len(command.Grant.Grants)
	case command.Report != nil:
		items += len(command.Report.Reports)
	case command.Evict != nil:
		items += len(command.Evict.Evictions)
	case command.Resize != nil:
		items += len(command.Resize.Resizes)
	case command.BlockedJobs != nil:
		items += len(command.BlockedJobs.Jobs)
	case command.Settle != nil:
		items += len(command.Settle.Settlements)
	case command.Claim != nil:
		items += len(command.Claim.Claims)
		for _, claim := range command.Claim.Claims {
			bound += keyRecordBytes(m.state.Keys[claim.Key]) + keyRecordBytes(&jaygw.KeyRecord{Claim: claim})
		}
	}
	return bound + items*(resultOverheadBytes+maxDetailBytes)
}

// resultBytes estimates the memory of a stored result. The details count with their lengths,
// so replicas agree on whether the limit is exceeded only if they produce the same texts.
func resultBytes(result jaygw.Result) int {
	size := resultOverheadBytes
	if result.Refusal != nil {
		size += len(result.Refusal.Detail)
	}
	for _, item := range result.Results {
		size += resultOverheadBytes + len(item.Detail) + keyRecordBytes(item.Key)
	}
	return size
}

// truncateText shortens a detail or reason, which may quote long names, to maxDetailBytes.
func truncateText(detail string) string {
	if len(detail) <= maxDetailBytes {
		return detail
	}
	return strings.ToValidUTF8(detail[:maxDetailBytes], "")
}
