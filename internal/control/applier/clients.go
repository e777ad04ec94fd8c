package applier

import (
	"maps"
	"strings"

	"github.com/jaygw/jaygw"
)

type (
	// client stores the results of a client's latest commands.
	client struct {
		Highest uint64
		LastUse jaygw.Time
		Results map[uint64]jaygw.Result
	}
)

const (
	// resultWindow is how many sequence numbers below the highest one a client
	// may resend.
	resultWindow = 64

	maxClientBytes = 128

	// resultOverhead estimates the memory of a stored result or of one of its
	// items.
	resultOverhead = 128

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
	if forgotten(command.Sequence, c.Highest) {
		return jaygw.Refuse(jaygw.RefusedSequence,
			"client %s sent command %d; results are stored from command %d on",
			command.Client, command.Sequence, c.Highest-resultWindow+1), true
	}
	return jaygw.Result{}, false
}

// forgotten reports whether a result has left the window of stored results.
func forgotten(sequence, highest uint64) bool {
	return sequence < highest && highest-sequence >= resultWindow
}

func (m *Machine) clientTableFull(command jaygw.Command) (jaygw.Result, bool) {
	if command.Client == "" {
		return jaygw.Result{}, false
	}
	if len(command.Client) > maxClientBytes {
		return jaygw.Refuse(jaygw.RefusedInvalid, "the client's id is longer than %d bytes", maxClientBytes), true
	}
	if m.index.resultBytes+m.resultBound(command) > m.limits.ResultBytes {
		return jaygw.Refuse(jaygw.RefusedFull, "the stored results hold their limit of %d bytes; the oldest leave after %s without commands",
			m.limits.ResultBytes, clientRetention), true
	}
	if _, ok := m.state.Clients[command.Client]; ok || len(m.state.Clients) < m.limits.Clients {
		return jaygw.Result{}, false
	}
	return jaygw.Refuse(jaygw.RefusedFull,
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
		m.index.expireAt(m.state.Time.Add(clientRetention), clientTable, command.Client)
	}
	next.Results[command.Sequence] = result
	m.index.resultBytes += resultBytes(result)
	for sequence, old := range next.Results {
		if forgotten(sequence, next.Highest) {
			m.index.resultBytes -= resultBytes(old)
			delete(next.Results, sequence)
		}
	}
	m.state.Clients[command.Client] = next
}

// resultBound returns the largest size of a command's result. It is checked
// before the command is applied, since a result that cannot be stored would let
// a resend run the command again.
func (m *Machine) resultBound(command jaygw.Command) int {
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
	case command.Note != nil:
		items += len(command.Note.Notes)
	case command.Settle != nil:
		items += len(command.Settle.Settlements)
	case command.Claim != nil:
		items += len(command.Claim.Claims)
		for _, claim := range command.Claim.Claims {
			bound += recordBytes(m.state.Keys[claim.Key]) + recordBytes(&jaygw.KeyRecord{Claim: claim})
		}
	}
	return bound + items*(resultOverhead+maxDetailBytes)
}

func resultBytes(result jaygw.Result) int {
	size := resultOverhead
	if result.Refusal != nil {
		size += len(result.Refusal.Detail)
	}
	for _, item := range result.Results {
		size += resultOverhead + len(item.Detail) + recordBytes(item.Key)
	}
	return size
}

// clip shortens a detail that quotes long names.
func clip(detail string) string {
	if len(detail) <= maxDetailBytes {
		return detail
	}
	return strings.ToValidUTF8(detail[:maxDetailBytes], "")
}
