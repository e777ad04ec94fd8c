package runner

import "time"

// contact is how the worker answers. Lists and orders count apart: a worker may answer
// the ones and not the others.
type contact struct {
	unlisted   time.Time // first call for a list without an answer since the last list
	answered   time.Time // last answer to an order, or the start of the worker's life here
	unanswered int       // orders without an answer since
	lost       time.Time // the last one of them
}

const (
	// silence is the time without a list after which a worker gets no new runs.
	silence = 700 * time.Millisecond

	// A worker that has left ordersLost orders in a row unanswered, over at least
	// ordersSilence, gets no new runs until ordersPause after the last of them. Some
	// answers may be lost on their way.
	ordersLost    = 3
	ordersSilence = time.Second
	ordersPause   = 2 * time.Second
)

// fault says why a worker should get no new runs, or nothing.
func (c *contact) fault(now time.Time) string {
	switch {
	case !c.unlisted.IsZero() && now.Sub(c.unlisted) > silence:
		return "the worker does not list its runs"
	case c.unanswered >= ordersLost && c.lost.Sub(c.answered) > ordersSilence && now.Sub(c.lost) < ordersPause:
		return "the worker does not answer orders"
	}
	return ""
}
