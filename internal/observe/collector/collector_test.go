package collector_test

import (
	"bytes"
	"context"
	"encoding/xml"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/observe/collector"
	"github.com/jaygw/jaygw/internal/observe/recorder"
	"github.com/jaygw/jaygw/internal/wire/dialer"
	"github.com/jaygw/jaygw/internal/wire/messenger"
	"github.com/stretchr/testify/require"
	"storj.io/drpc/drpcmux"
)

func serve(t *testing.T, name string, source collector.Source) collector.Process {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	mux := drpcmux.New()
	require.NoError(t, messenger.DRPCRegisterTimeline(mux, collector.NewServer(name, source)))
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go func() { _ = dialer.Serve(ctx, listener, mux) }()
	return collector.Process{Name: name, Address: listener.Addr().String()}
}

// TestCollectMergesEventsAndListsUnreachable guards against events of several processes that are
// out of clock order, against a lost process that is not listed, and against filters that let
// other events through.
func TestCollectMergesEventsAndListsUnreachable(t *testing.T) {
	second := int64(0)
	clock := func() time.Time { second++; return time.Unix(second, 0) }
	a := recorder.New("a", "north", recorder.WithClock(clock))
	b := recorder.New("b", "south", recorder.WithClock(clock))
	for _, r := range []*recorder.Recorder{a, b, a, b} {
		r.Record(jaygw.EventTask, "started", "vm:1")
	}
	a.Record(jaygw.EventDomain, "out", "domain:north")
	processes := []collector.Process{{Name: "a"}, serve(t, "b", b), {Name: "gone", Address: "127.0.0.1:1"}}
	d := dialer.New()
	defer d.Close()

	all := collector.Collect(t.Context(), d, "a", a, processes, collector.Filter{})
	require.Equal(t, []string{"gone"}, all.Unreachable)
	var order []string
	for _, e := range all.Events {
		order = append(order, e.Process)
	}
	require.Equal(t, []string{"a", "b", "a", "b", "a"}, order)

	filtered := collector.Collect(t.Context(), d, "a", a, processes, collector.Filter{Subject: "vm:1", Since: jaygw.TimeOf(time.Unix(3, 0))})
	require.Len(t, filtered.Events, 2)
	require.Len(t, collector.Collect(t.Context(), d, "a", a, processes, collector.Filter{Kind: jaygw.EventDomain}).Events, 1)
}

// TestSVGIsWellFormed guards against names and causes that break the markup, and against a page
// that omits a process without events.
func TestSVGIsWellFormed(t *testing.T) {
	timeline := collector.Timeline{Unreachable: []string{"gone"}, Events: []jaygw.Event{
		{Process: "a<b", Kind: jaygw.EventTask, Cause: `"</svg>&`, Clock: jaygw.Clock{Wall: 5}},
		{Process: "c", Kind: "other", Clock: jaygw.Clock{Wall: 9}},
	}}
	var page bytes.Buffer
	require.NoError(t, timeline.WriteSVG(&page))
	elements := map[string]int{}
	d := xml.NewDecoder(bytes.NewReader(page.Bytes()))
	for {
		token, err := d.Token()
		if errors.Is(err, io.EOF) {
			break
		}
		require.NoError(t, err)
		if start, ok := token.(xml.StartElement); ok {
			elements[start.Name.Local]++
		}
	}
	require.Equal(t, 2, elements["circle"])
	require.Equal(t, 3, elements["line"])
}
