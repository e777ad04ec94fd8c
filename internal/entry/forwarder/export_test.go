package forwarder

// RetryUnknown makes the forwarder resend requests whose outcome is unknown.
func (f *Forwarder) RetryUnknown() { f.faults.retryUnknown = true }

// MatchByOrder makes the forwarder assign any response message to the attempt that waits
// on its stream, without comparing ids and sequence numbers.
func (f *Forwarder) MatchByOrder() { f.faults.matchByOrder = true }
