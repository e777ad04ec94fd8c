// Package gatherer collects the events of all processes into one time line.
package gatherer

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
	// Process is a process with events.
	Process struct {
		Name    string
		Address string
	}

	// Filter chooses events; zero fields choose all.
	Filter struct {
		Subject string // such as vm:booking-03
		Kind    jaygw.EventKind
		Since   jaygw.Time
		Until   jaygw.Time
	}

	// Timeline is what was gathered.
	Timeline struct {
		Events      []jaygw.Event `json:"events"`
		Unreachable []string      `json:"unreachable,omitempty"` // names of processes
	}

	// Source is a process's own events.
	Source interface {
		Events(since uint64) []jaygw.Event
		Observe(remote jaygw.Clock)
	}

	// Server answers Events for one process.
	Server struct {
		source  Source
		process string
	}
)

const (
	callTimeout = 2 * time.Second
	parallel    = 64

	// maxEvents keeps a response below the limit of a message.
	maxEvents = 8192
)

// NewServer returns the server of a process's events.
func NewServer(process string, source Source) *Server {
	return &Server{source: source, process: process}
}

// Events returns the latest events after a sequence number.
func (s *Server) Events(_ context.Context, m *messenger.EventsRequest) (*messenger.EventsResponse, error) {
	events := s.source.Events(m.SinceSequence)
	limit := maxEvents
	if m.Limit > 0 {
		limit = min(limit, int(m.Limit))
	}
	dropped := max(0, len(events)-limit)
	data, err := encoder.Marshal(events[dropped:])
	return &messenger.EventsResponse{Process: s.process, Events: data, Dropped: uint64(dropped)}, err
}

// Gather asks all processes and merges what they return with the events of this
// one. A process that does not answer in time is named, not waited for.
func Gather(ctx context.Context, d *dialer.Dialer, self string, own Source, processes []Process, filter Filter) Timeline {
	var mu sync.Mutex
	timeline := Timeline{Events: own.Events(0)}
	var group errgroup.Group
	group.SetLimit(parallel)
	for _, process := range processes {
		if process.Name == self {
			continue
		}
		group.Go(func() error {
			events, err := ask(ctx, d, process.Address)
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
	_ = group.Wait()
	timeline.Events = slices.DeleteFunc(timeline.Events, func(e jaygw.Event) bool { return !filter.matches(e) })
	slices.SortFunc(timeline.Events, inOrder)
	slices.Sort(timeline.Unreachable)
	return timeline
}

func ask(ctx context.Context, d *dialer.Dialer, address string) ([]jaygw.Event, error) {
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

// inOrder orders by the clock. Events of one process have rising clock values,
// so their order is kept.
func inOrder(a, b jaygw.Event) int {
	return cmp.Or(
		cmp.Compare(a.Clock.Wall, b.Clock.Wall), cmp.Compare(a.Clock.Logical, b.Clock.Logical),
		cmp.Compare(a.Process, b.Process), cmp.Compare(a.Sequence, b.Sequence))
}
