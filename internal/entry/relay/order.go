package relay

import (
	"math"
	"sync"
	"time"
)

type (
	// answerOrder keeps the answers of a process in the order in which its calls arrived: a call is not answered
	// from a catalog that changes its outcome after a later call was answered from an older one, and no call
	// is answered from a catalog older than one that the process knows.
	answerOrder struct {
		mu     sync.Mutex
		newest uint64 // number of the newest catalog that a response has named
		next   uint64 // position of the next call
		open   map[*orderedCall]struct{}
	}

	// orderedCall is a call that has not been answered yet.
	orderedCall struct {
		position uint64
		arrived  time.Time
		limit    uint64 // number of the oldest catalog that a later call was answered from
		floor    uint64 // number of the newest catalog at the last proposal of a command, which is not accepted under an older one
	}

	// verdict is whether an answer may be given.
	verdict int
)

const (
	admitted  verdict = iota
	outdated          // a newer catalog is known, so the call is to be repeated
	overtaken         // a later call was or may be answered from a catalog before the change
)

func newAnswerOrder() *answerOrder { return &answerOrder{open: map[*orderedCall]struct{}{}} }

// arrive registers a call.
func (o *answerOrder) arrive() *orderedCall {
	o.mu.Lock()
	defer o.mu.Unlock()
	call := &orderedCall{position: o.next, arrived: time.Now(), limit: math.MaxUint64}
	o.next++
	o.open[call] = struct{}{}
	return call
}

// leave removes a call that has ended.
func (o *answerOrder) leave(call *orderedCall) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.open, call)
}

// learn records the number of a catalog that a response has named, and reports whether it is newer than all before.
func (o *answerOrder) learn(number uint64) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	isNew := number > o.newest
	o.newest = max(o.newest, number)
	return isNew
}

// newestCatalog returns the number of the newest catalog that a response has named, or zero.
func (o *answerOrder) newestCatalog() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.newest
}

// knowsCatalog reports whether a response has named a catalog.
func (o *answerOrder) knowsCatalog() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.newest != 0
}

// propose returns the number of the newest catalog by which a command may be handled that is about to be proposed. Later
// answers do not lower it.
func (o *answerOrder) propose(call *orderedCall) uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	call.floor = o.newest
	return o.limit(call)
}

// proposeAgain decides whether a command may be handled by the catalog with a number, after it was refused because that is newer
// than its limit. The catalog that changedAt names has changed the outcome of the command last.
func (o *answerOrder) proposeAgain(call *orderedCall, number, changedAt uint64) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.newest = max(o.newest, number)
	call.floor = o.newest
	return changedAt <= o.limit(call)
}

// limitOf returns the number of the newest catalog by which a call may be handled.
func (o *answerOrder) limitOf(call *orderedCall) uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.limit(call)
}

func (o *answerOrder) limit(call *orderedCall) uint64 {
	limit := min(o.newest, call.limit)
	for other := range o.open {
		if other.floor != 0 && other.position > call.position {
			limit = min(limit, other.floor)
		}
	}
	return limit
}

// admit decides whether a query may be answered from the catalog with a number, of which the one that changedAt names
// has changed the outcome of the query last. It records the answer if so.
func (o *answerOrder) admit(call *orderedCall, number, changedAt uint64) verdict {
	o.mu.Lock()
	defer o.mu.Unlock()
	if number < o.newest {
		return outdated
	}
	o.newest = number
	if changedAt > o.limit(call) {
		return overtaken
	}
	o.record(call, number)
	return admitted
}

// settle decides whether a committed command may be answered from the catalog with a number, like admit, and records the answer
// if so.
func (o *answerOrder) settle(call *orderedCall, number, changedAt uint64) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.newest = max(o.newest, number)
	if changedAt > o.limit(call) {
		return false
	}
	o.record(call, number)
	return true
}

func (o *answerOrder) record(call *orderedCall, number uint64) {
	delete(o.open, call)
	for other := range o.open {
		if other.position < call.position {
			other.limit = min(other.limit, number)
		}
	}
}
