package applier

import (
	"maps"

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

// resultWindow is how many sequence numbers below the highest one a client may
// resend.
const resultWindow = 64

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
	if command.Sequence+resultWindow <= c.Highest {
		return jaygw.Refuse(jaygw.RefusedSequence,
			"client %s sent command %d; results are stored from command %d on",
			command.Client, command.Sequence, c.Highest-resultWindow+1), true
	}
	return jaygw.Result{}, false
}

func (m *Machine) clientTableFull(command jaygw.Command) (jaygw.Result, bool) {
	if command.Client == "" {
		return jaygw.Result{}, false
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
	for sequence := range next.Results {
		if sequence+resultWindow <= next.Highest {
			delete(next.Results, sequence)
		}
	}
	m.state.Clients[command.Client] = next
}
