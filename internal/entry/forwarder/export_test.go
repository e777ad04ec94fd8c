package forwarder

// RetryUnknown makes the forwarder resend requests whose outcome is unknown.
func (f *Forwarder) RetryUnknown() { f.faults.retryUnknown = true }

// MatchByOrder makes the forwarder take any response for that of the waiting
// attempt.
func (f *Forwarder) MatchByOrder() { f.faults.matchByOrder = true }
