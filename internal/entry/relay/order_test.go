package relay_test

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/control/registrar"
	"github.com/jaygw/jaygw/internal/entry/relay"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

type (
	// catalogGroup is a group whose state changes while calls wait.
	catalogGroup struct {
		mu        sync.Mutex
		registrar *registrar.Registrar
		history   []map[string]bool // paths with a queue, by the number of the catalog
		// unnumbered makes the group answer like an earlier build.
		unnumbered bool
	}

	// heldCall is a call to a relay. Its first call to the group waits before it takes effect and before its
	// response is delivered; further ones do not wait.
	heldCall struct {
		path              string
		submits, held     bool
		arrived, ended    chan struct{}
		effect, delivery  chan struct{}
		tookEffect, calls int
		number            int // of the catalog at the last effect
		err               error
	}

	heldCallKey struct{}
)

var orderedPaths = []string{"/a/", "/b/", "/c/", "/d/"}

func newCatalogGroup() *catalogGroup {
	return &catalogGroup{registrar: registrar.New(func(string) bool { return false }), history: []map[string]bool{{}}}
}

// put puts a catalog with a queue at each path in force.
func (g *catalogGroup) put(t require.TestingT, paths ...string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	catalog := jaygw.Catalog{Number: uint64(len(g.history)), Services: []jaygw.PoolSpec{{Name: "s"}}}
	declared := map[string]bool{}
	for _, path := range paths {
		declared[path] = true
		catalog.Queues = append(catalog.Queues, jaygw.Queue{Name: path, Host: "h", Prefix: path, Service: "s", Timeout: time.Second})
	}
	require.Nil(t, g.registrar.PutCatalog(jaygw.PutCatalog{Catalog: catalog}).Refusal)
	g.history = append(g.history, declared)
}

// lastChange returns the number of the catalog that last changed a path, up to the one with a number.
func (g *catalogGroup) lastChange(path string, number int) int {
	for ; number > 0; number-- {
		if g.history[number][path] != g.history[number-1][path] {
			return number
		}
	}
	return 0
}

// hold applies a call to the group and holds it if it is the first one of its kind. A submission of a process that knows no
// catalog is preceded by a query.
func (g *catalogGroup) hold(ctx context.Context, submits bool, effect func()) {
	call, _ := ctx.Value(heldCallKey{}).(*heldCall)
	call.calls++
	if call.calls == 1 {
		close(call.arrived)
	}
	held := submits == call.submits && !call.held
	if held {
		call.held = true
		<-call.effect
	}
	g.mu.Lock()
	call.number = len(g.history) - 1
	effect()
	g.mu.Unlock()
	if held {
		call.effect <- struct{}{}
		<-call.delivery
	}
}

func (g *catalogGroup) Query(ctx context.Context, query jaygw.WorkflowQuery) (result jaygw.WorkflowQueryResult, _ error) {
	g.hold(ctx, false, func() { result = g.registrar.Query(query) })
	if g.unnumbered {
		result.Number, result.ChangedAt = 0, 0
	}
	return result, nil
}

func (g *catalogGroup) ProposeIdempotent(ctx context.Context, command jaygw.Command, _ time.Duration) (result jaygw.Result, _ error) {
	submit := *command.SubmitWorkflow
	if g.unnumbered {
		submit.CatalogLimit = nil
	}
	g.hold(ctx, true, func() { result = g.registrar.Submit(submit, 1) })
	if g.unnumbered {
		result.Catalog, result.ChangedAt = 0, 0
	}
	return result, nil
}

// send starts a call and waits until the relay has passed it on.
func send(service *relay.Relay, path string, submits bool, id int) *heldCall {
	call := &heldCall{
		path: path, submits: submits, arrived: make(chan struct{}), ended: make(chan struct{}), effect: make(chan struct{}), delivery: make(chan struct{}),
	}
	ctx := context.WithValue(context.Background(), heldCallKey{}, call)
	go func() {
		defer close(call.ended)
		if submits {
			spec := jaygw.WorkflowSpec{ID: fmt.Sprint("w", id), Steps: []jaygw.Step{{Tasks: 1}}}
			_, call.err = service.Submit(ctx, jaygw.SubmitWorkflow{Spec: spec, Host: "h", Path: path + spec.ID})
		} else {
			_, call.err = service.Query(ctx, jaygw.WorkflowQuery{Host: "h", Path: path, Workflow: true})
		}
	}()
	<-call.arrived
	return call
}

// takeEffect lets the first call to the group take effect, and deliver lets its response through.
func (c *heldCall) takeEffect() {
	c.effect <- struct{}{}
	<-c.effect
	c.tookEffect = 1
}

func (c *heldCall) deliver() {
	close(c.delivery)
	<-c.ended
}

func newOrderedRelay(g *catalogGroup) *relay.Relay {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return relay.New(g, log, metrics.NewRegistry())
}

// TestProcessGoesBackToOlderCatalog guards against a call that waits and is answered from a newer catalog than a call that
// arrived after it.
func TestProcessGoesBackToOlderCatalog(t *testing.T) {
	for _, submits := range []bool{false, true} {
		g := newCatalogGroup()
		g.put(t, "/a/", "/b/")
		service := newOrderedRelay(g)
		waiting, later := send(service, "/c/", submits, 1), send(service, "/a/", false, 2)
		later.takeEffect()
		later.deliver()
		require.NoError(t, later.err)
		g.put(t, "/b/", "/c/")
		waiting.takeEffect()
		waiting.deliver()
		require.ErrorIs(t, waiting.err, jaygw.ErrOvertaken, "submits: %t", submits)
		require.Empty(t, g.registrar.Active(), "nothing may be accepted with the refusal")
		again := send(service, "/c/", submits, 1)
		again.takeEffect()
		again.deliver()
		require.NoError(t, again.err)
	}
}

// TestQueryRepeatedForGood guards against a query that is repeated until its context ends because replicas of an earlier build,
// which name no catalog, answer beside others.
func TestQueryRepeatedForGood(t *testing.T) {
	g := newCatalogGroup()
	g.put(t, "/a/")
	service := newOrderedRelay(g)
	current := send(service, "/a/", false, 1)
	current.takeEffect()
	current.deliver()
	g.unnumbered = true
	for _, submits := range []bool{false, true} {
		earlier, call := send(service, "/a/", false, 2), send(service, "/a/", submits, 3)
		for _, c := range []*heldCall{call, earlier} {
			c.takeEffect()
			c.deliver()
			require.NoError(t, c.err)
			require.Equal(t, 1, c.calls)
		}
	}
}

// TestAnswersFollowArrivals plays random calls and changes of the catalog. Each answer must be one that the catalogs of all
// answers to later calls allow, and a call without a later one must be answered.
func TestAnswersFollowArrivals(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newCatalogGroup()
		g.put(t, orderedPaths[0], orderedPaths[1])
		service := newOrderedRelay(g)
		var calls, open []*heldCall
		end := func(i int) {
			call := open[i]
			open = append(open[:i:i], open[i+1:]...)
			if call.tookEffect == 0 {
				call.takeEffect()
			}
			call.deliver()
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch step := rapid.IntRange(0, 9).Draw(t, "step"); {
			case step < 2:
				g.put(t, rapid.SliceOfDistinct(rapid.SampledFrom(orderedPaths), rapid.ID[string]).Draw(t, "paths")...)
			case step < 5 || len(open) == 0:
				call := send(service, rapid.SampledFrom(orderedPaths).Draw(t, "path"), rapid.IntRange(0, 2).Draw(t, "kind") == 0, len(calls))
				calls, open = append(calls, call), append(open, call)
			default:
				i := rapid.IntRange(0, len(open)-1).Draw(t, "call")
				if open[i].tookEffect == 0 && rapid.Bool().Draw(t, "delayed response") {
					open[i].takeEffect()
				} else {
					end(i)
				}
			}
		}
		for len(open) > 0 {
			end(len(open) - 1)
		}
		for i, call := range calls {
			if call.err != nil {
				require.ErrorIs(t, call.err, jaygw.ErrOvertaken)
				require.Less(t, i, len(calls)-1, "the last call was refused")
				require.Greater(t, g.lastChange(call.path, call.number), 1, "call %d (%s) was refused, although its queue has not changed", i, call.path)
				continue
			}
			for j, later := range calls[i+1:] {
				if later.err == nil {
					require.LessOrEqual(t, g.lastChange(call.path, call.number), later.number,
						"call %d (%s, submits %t) was answered from catalog %d, the later call %d (%s) from catalog %d",
						i, call.path, call.submits, call.number, i+1+j, later.path, later.number)
				}
			}
		}
	})
}
