package jaygw

import (
	"fmt"
	"time"
)

type (
	// MilliCores is processor capacity in thousandths of a core.
	MilliCores int64

	// Bytes is a size in bytes.
	Bytes int64

	// Duration is a time.Duration that is encoded as text such as "1.5s".
	Duration time.Duration

	// Time is a point in time in nanoseconds since the Unix epoch; zero stands for none.
	// The leader sets it on commands, and it never decreases along the log.
	Time int64

	// Index is a position in the replicated log of a control group.
	Index uint64
)

const (
	// Core is one processor core.
	Core MilliCores = 1000

	// MB is 10^6 bytes.
	MB Bytes = 1_000_000

	// GB is 10^9 bytes.
	GB Bytes = 1_000_000_000
)

// MarshalText writes the duration in the form of time.Duration.String.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText reads a duration in the form that time.ParseDuration accepts.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("duration %q: want a form such as \"1.5s\"", text)
	}
	*d = Duration(parsed)
	return nil
}

// Std returns the duration as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// TimeOf converts a time.Time.
func TimeOf(t time.Time) Time { return Time(t.UnixNano()) }

// Std returns the point in time as a time.Time in UTC.
func (t Time) Std() time.Time { return time.Unix(0, int64(t)).UTC() }

// Sub returns the time from u to t; it is negative if t is the earlier one.
func (t Time) Sub(u Time) time.Duration { return time.Duration(t - u) }

// Add returns the point in time d after t.
func (t Time) Add(d time.Duration) Time { return t + Time(d) }
