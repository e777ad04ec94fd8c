package applier

import (
	"container/heap"
	"time"

	"github.com/jaygw/jaygw"
)

const (
	// clientRetention is how long a client's results are stored after its last command.
	clientRetention = time.Hour

	// jobRetention is how long an ended job is retained. Until then it can be shown and its
	// name is not available to another job.
	jobRetention = 24 * time.Hour

	// recordRetention is the minimum time for which the digest of an earlier document is
	// retained, to recognize a resend of the document or another one with its number.
	recordRetention = 24 * time.Hour

	// maxKeyRetention bounds the time between a claim and the expiry of its key.
	maxKeyRetention = 7 * 24 * time.Hour
)

// expire removes table entries whose retention has expired at the time of the last command.
func (m *Machine) expire() {
	h := &m.index.expiries
	for h.Len() > 0 && (*h)[0].at <= m.state.Time {
		expired := heap.Pop(h).(expiry)
		switch expired.table {
		case clientTable:
			m.expireClient(expired.key)
		case keyTable:
			m.expireKey(expired.key)
		case jobTable:
			m.expireJob(expired.key)
		}
	}
}

func (m *Machine) expireClient(name string) {
	c, ok := m.state.Clients[name]
	if !ok {
		return
	}
	if until := c.LastUse.Add(clientRetention); until > m.state.Time {
		m.index.scheduleExpiry(until, clientTable, name)
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
		// The key was claimed again, with a later expiry, after a request that was not
		// executed.
		m.index.scheduleExpiry(record.Claim.Expires, keyTable, key)
		return
	}
	m.index.keyBytes -= keyRecordBytes(record)
	delete(m.state.Keys, key)
}

func (m *Machine) expireJob(key string) {
	job, ok := m.state.Jobs[key]
	if ok && job.State != jaygw.JobActive && job.Finished.Add(jobRetention) <= m.state.Time {
		delete(m.state.Jobs, key)
	}
}
