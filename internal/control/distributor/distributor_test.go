package distributor_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/control/distributor"
	"github.com/jaygw/jaygw/internal/test/seeder"
	"github.com/jaygw/jaygw/internal/wire/encoder"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	seeder.FixSeed(100)
	m.Run()
}

// changedView returns a view in which a service is removed if the number is divisible by five,
// and otherwise updated.
func changedView(view jaygw.View, number int) jaygw.View {
	next := jaygw.View{Index: view.Index + 1, Contracts: map[string]jaygw.Contract{}, Domains: view.Domains, Upstreams: map[string][]jaygw.Upstream{}}
	for name, c := range view.Contracts {
		next.Contracts[name] = c
	}
	for name, u := range view.Upstreams {
		next.Upstreams[name] = u
	}
	name := fmt.Sprintf("s%d", number%7)
	if number%5 == 0 {
		delete(next.Contracts, name)
		delete(next.Upstreams, name)
		return next
	}
	next.Contracts[name] = jaygw.Contract{Service: name, Timeout: time.Duration(number)}
	next.Upstreams[name] = []jaygw.Upstream{{VM: fmt.Sprint(number)}}
	return next
}

// TestLateResponsesNeverRestoreAnOlderView guards against a node that applies a response which
// was delayed until after a newer one, and against a node that was cut off for 300 changes and
// does not reach the present view with one response.
func TestLateResponsesNeverRestoreAnOlderView(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1, 0)
		d := distributor.New(3, now)
		d.Publish(changedView(jaygw.View{Domains: map[string]jaygw.FailureDomain{}}, 1))
		var stale jaygw.View
		stale, _ = distributor.Apply(stale, d.Since(0, 0))
		var lateResponses []jaygw.ViewDelta
		for number := range 300 {
			lateResponses = append(lateResponses, d.Since(stale.Term, stale.Revision))
			if number == 150 && rapid.Bool().Draw(t, "new leader") {
				head := d.Current()
				d = distributor.New(4, now.Add(time.Second))
				d.Publish(head)
			}
			d.Publish(changedView(d.Current(), rapid.IntRange(0, 50).Draw(t, "change")))
		}
		d.Acknowledge("stale", stale.Term, stale.Index, stale.Revision, now)
		require.True(t, d.Nodes(now)[0].Behind)

		next, applied := distributor.Apply(stale, d.Since(stale.Term, stale.Revision))
		require.True(t, applied)
		require.Equal(t, encode(t, d.Current()), encode(t, next), "one response was not enough")
		for range 20 {
			old := rapid.SampledFrom(lateResponses).Draw(t, "late response")
			after, applied := distributor.Apply(next, old)
			require.False(t, applied, "a late response was applied")
			require.Equal(t, next.Index, after.Index)
		}
		d.Acknowledge("stale", next.Term, next.Index, next.Revision, now)
		require.False(t, d.Nodes(now)[0].Behind)
	})
}

func encode(t *rapid.T, view jaygw.View) []byte {
	data, err := encoder.Marshal(view)
	require.NoError(t, err)
	return data
}

// BenchmarkDelta measures the bytes that a change of one service sends to a node, with 100
// services of 24 upstreams each.
func BenchmarkDelta(b *testing.B) {
	view := jaygw.View{Contracts: map[string]jaygw.Contract{}, Upstreams: map[string][]jaygw.Upstream{}}
	for i := range 100 {
		name := fmt.Sprintf("service-%d", i)
		view.Contracts[name] = jaygw.Contract{Environment: "production", Service: name, Class: jaygw.LatencyCritical}
		for j := range 24 {
			view.Upstreams[name] = append(view.Upstreams[name], jaygw.Upstream{
				VM: fmt.Sprintf("vm-%d-%d", i, j), Domain: "domain-1", Address: "10.0.0.1:7420", Incarnation: 1 << 60, Since: 1 << 60,
			})
		}
	}
	d := distributor.New(1, time.Unix(1, 0))
	d.Publish(view)
	var delta, full int
	for b.Loop() {
		before := d.Current().Revision
		next := d.Current()
		next.Index++
		next.Contracts = map[string]jaygw.Contract{}
		for name, c := range d.Current().Contracts {
			next.Contracts[name] = c
		}
		c := next.Contracts["service-1"]
		c.Timeout++
		next.Contracts["service-1"] = c
		d.Publish(next)
		data, err := encoder.Marshal(d.Since(1, before))
		if err != nil {
			b.Fatal(err)
		}
		delta = len(data)
	}
	data, err := encoder.Marshal(d.Since(0, 0))
	if err != nil {
		b.Fatal(err)
	}
	full = len(data)
	if data, err = encoder.Marshal(d.Since(1, d.Current().Revision)); err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(len(data)), "idle-bytes")
	b.ReportMetric(float64(delta), "delta-bytes")
	b.ReportMetric(float64(full), "full-bytes")
}
