package runner

import "time"

// contact tracks the worker's responses. Lists and orders are tracked separately, because a
// worker may respond to one kind of call and not to the other.
type contact struct {
	listFailedSince time.Time // first failed request for a list since the last list; zero if none
	lastResponse    time.Time // last response to an order, initially the worker's first report
	failedOrders    int       // orders without a response since lastResponse
	lastFailure     time.Time // when the last of them failed
	deniedAt        time.Time // when another incarnation denied a request for a list; zero if none since the last list
	confirmed       bool      // a later incarnation has listed its runs
}

const (
	// listTimeout is the time without a list after which a worker gets no new runs.
	listTimeout = 700 * time.Millisecond

	// A worker that has not responded to maxFailedOrders orders in a row, over more than
	// failedOrdersPeriod, gets no new runs until ordersPause after the last of them. One
	// failed order is not enough, because a response may be lost on the network.
	maxFailedOrders    = 3
	failedOrdersPeriod = time.Second
	ordersPause        = 2 * time.Second
)

// unhealthyReason returns why the worker should get no new runs, or an empty string.
func (c *contact) unhealthyReason(now time.Time) string {
	switch {
	case !c.listFailedSince.IsZero() && now.Sub(c.listFailedSince) > listTimeout:
		return "the worker does not list its runs"
	case c.failedOrders >= maxFailedOrders && c.lastFailure.Sub(c.lastResponse) > failedOrdersPeriod && now.Sub(c.lastFailure) < ordersPause:
		return "the worker does not answer orders"
	}
	return ""
}

// restarted reports whether the worker has started again. A denial may be wrong, which a list that was
// requested after it shows; what a later incarnation has confirmed is certain.
func (c *contact) restarted() bool { return c.confirmed || !c.deniedAt.IsZero() }
