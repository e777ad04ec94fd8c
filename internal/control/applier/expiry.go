package applier

import (
	"container/heap"
	"time"

	"github.com/jaygw/jaygw"
)

const (
	// clientRetention is how long a result is stored after the client's last
	// command.
	clientRetention = time.Hour

	// jobRetention is how long a finished job can be shown, and its name stays
	// taken.
	jobRetention = 24 * time.Hour

	// recordRetention is how long an earlier document's number is answered with
	// the digest that had it.
	recordRetention = 24 * time.Hour

	// maxKeyRetention bounds how long a claim may keep its place in the table.
	maxKeyRetention = 7 * 24 * time.Hour
)

// expire drops table entries whose retention is over at the time of the log.
func (m *Machine) expire() {
	h := &m.index.expiries
	for h.Len() > 0 && (*h)[0].at <= m.state.Time {
		due := heap.Pop(h).(expiry)
		switch due.table {
		case clientTable:
			m.expireClient(due.key)
		case keyTable:
			m.expireKey(due.key)
		case jobTable:
			m.expireJob(due.key)
		}
	}
}

func (m *Machine) expireClient(name string) {
	c, ok := m.state.Clients[name]
	if !ok {
		return
	}
	if until := c.LastUse.Add(clientRetention); until > m.state.Time {
		m.index.expireAt(until, clientTable, name)
		return
	}
	for _, result := range c.Results {
		m.index.resultBytes -= resultBytes(result)
	}
	delete(m.state.Clients, name)
}

func (m *Machine) expireKey(key string) {
	record, ok := m.state.Keys[key]
	if !ok {
		return
	}
	if record.Claim.Expires > m.state.Time {
		// The key was claimed again after a request that was not executed.
		m.index.expireAt(record.Claim.Expires, keyTable, key)
		return
	}
	m.index.keyBytes -= recordBytes(record)
	delete(m.state.Keys, key)
}

func (m *Machine) expireJob(key string) {
	job, ok := m.state.Jobs[key]
	if ok && job.State != jaygw.JobActive && job.Finished.Add(jobRetention) <= m.state.Time {
		delete(m.state.Jobs, key)
	}
}
