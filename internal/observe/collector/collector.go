// Package collector collects the events of all processes into one time line.
package collector

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/wire/dialer"
	"github.com/jaygw/jaygw/internal/wire/encoder"
	"github.com/jaygw/jaygw/internal/wire/messenger"
	"golang.org/x/sync/errgroup"
)

type (
	// Process names a process and the address at which it serves its events.
	Process struct {
		Name    string
		Address string
	}

	// Filter selects events. A field that is zero selects all events.
	Filter struct {
		Subject string // name prefixed with the kind of the subject, such as vm:booking-03
		Kind    jaygw.EventKind
		Since   jaygw.Time
		Until   jaygw.Time
	}

	// Timeline holds the collected events in the order of their clocks.
	Timeline struct {
		Events      []jaygw.Event `json:"events"`
		Unreachable []string      `json:"unreachable,omitempty"` // names of the processes that did not respond
	}

	// Source provides the events of its own process and advances the clock that stamps them.
	Source interface {
		Events(since uint64) []jaygw.Event
		Observe(remote jaygw.Clock)
	}

	// Server serves the events of one process to other processes.
	Server struct {
		source  Source
		process string
	}
)

const (
	callTimeout        = 2 * time.Second
	maxConcurrentCalls = 64

	// maxEvents limits the events in a response, to keep it below the size limit of a message.
	maxEvents = 8192
)

// NewServer returns a server for the events of the named process.
func NewServer(process string, source Source) *Server {
	return &Server{source: source, process: process}
}

// Events returns the latest events after a sequence number, and the number of older ones that it
// left out to stay within the limit.
func (s *Server) Events(_ context.Context, request *messenger.EventsRequest) (*messenger.EventsResponse, error) {
	events := s.source.Events(request.SinceSequence)
	limit := maxEvents
	if request.Limit > 0 {
		limit = min(limit, int(request.Limit))
	}
	dropped := max(0, len(events)-limit)
	data, err := encoder.Marshal(events[dropped:])
	return &messenger.EventsResponse{Process: s.process, Events: data, Dropped: uint64(dropped)}, err
}

// Collect collects the events of all processes and merges them with those of this one, named self.
// A process that does not respond in time is listed as unreachable.
func Collect(ctx context.Context, d *dialer.Dialer, self string, own Source, processes []Process, filter Filter) Timeline {
	var mu sync.Mutex
	timeline := Timeline{Events: own.Events(0)}
	var calls errgroup.Group
	calls.SetLimit(maxConcurrentCalls)
	for _, process := range processes {
		if process.Name == self {
			continue
		}
		calls.Go(func() error {
			events, err := fetchEvents(ctx, d, process.Address)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				timeline.Unreachable = append(timeline.Unreachable, process.Name)
				return nil
			}
			if len(events) > 0 {
				own.Observe(events[len(events)-1].Clock)
			}
			timeline.Events = append(timeline.Events, events...)
			return nil
		})
	}
	_ = calls.Wait()
	timeline.Events = slices.DeleteFunc(timeline.Events, func(e jaygw.Event) bool { return !filter.matches(e) })
	slices.SortFunc(timeline.Events, compareEvents)
	slices.Sort(timeline.Unreachable)
	return timeline
}

func fetchEvents(ctx context.Context, d *dialer.Dialer, address string) ([]jaygw.Event, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	response, err := messenger.NewDRPCTimelineClient(d.Conn(ctx, address)).Events(ctx, &messenger.EventsRequest{})
	if err != nil {
		return nil, err
	}
	var events []jaygw.Event
	return events, encoder.Unmarshal(response.Events, &events)
}

func (f Filter) matches(e jaygw.Event) bool {
	return (f.Subject == "" || slices.Contains(e.Subjects, f.Subject)) &&
		(f.Kind == "" || e.Kind == f.Kind) &&
		(f.Since == 0 || e.Clock.Wall >= f.Since) &&
		(f.Until == 0 || e.Clock.Wall <= f.Until)
}

// compareEvents orders events by clock. The clock values of one process increase, so its events
// stay in the order in which they were recorded.
func compareEvents(a, b jaygw.Event) int {
	return cmp.Or(
		cmp.Compare(a.Clock.Wall, b.Clock.Wall), cmp.Compare(a.Clock.Logical, b.Clock.Logical),
		cmp.Compare(a.Process, b.Process), cmp.Compare(a.Sequence, b.Sequence))
}
