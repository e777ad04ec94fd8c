package forwarder_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/test/seeder"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

type (
	// step is one action on the testbed, followed by a pause.
	step struct {
		Kind          string
		Target        int // index of an entry, agent or upstream, modulo their number
		Method        string
		Operation     int // number that is part of the key; resends of a request share it
		Keyed         bool
		DifferentBody bool   // the same key with a different body
		Body          int    // bytes of the request body
		Query         string // controls the delay and the response of the upstream
		Timeout       string // value of the header jaygw-timeout; empty for none
		Percent       int    // share of messages or proposals to disturb
		Pause         time.Duration
	}

	// script is a sequence of steps with the seed of the testbed's random choices.
	script struct {
		Seed  uint64
		Steps []step
	}

	// sendResult is what a caller received in response to one send.
	sendResult struct {
		step      step
		send      string // id of the send
		operation string // idempotency key, or the id of a send without a key
		status    int    // 0 if there was no response
		executed  string // value of the header jaygw-executed
		body      string
		complete  bool // the body was received in full
	}
)

const (
	testEntries     = 2
	testAgents      = 3
	rapidChecks     = 60
	maxFaultScripts = 200
)

func TestMain(m *testing.M) {
	seeder.FixSeed(rapidChecks)
	os.Exit(m.Run())
}

var (
	steps = rapid.Custom(func(t *rapid.T) step {
		s := step{Pause: time.Duration(rapid.SampledFrom([]int{0, 0, 0, 1, 5, 50, 700}).Draw(t, "pause")) * time.Millisecond}
		s.Kind = rapid.SampledFrom([]string{
			"send", "send", "send", "send", "send", "send", "send", "burst", "crash-agent", "crash-entry",
			"disturb-agent", "calm-agent", "upstream-down", "upstream-up", "slow-upstream", "fast-upstream",
			"disturb-control", "control-down", "control-up",
		}).Draw(t, "kind")
		s.Target = rapid.IntRange(0, 5).Draw(t, "target")
		s.Percent = rapid.SampledFrom([]int{0, 10, 50}).Draw(t, "percent")
		s.Method = rapid.SampledFrom([]string{"GET", "PUT", "POST", "POST", "POST"}).Draw(t, "method")
		s.Keyed = rapid.Bool().Draw(t, "keyed")
		s.Operation = rapid.IntRange(0, 3).Draw(t, "operation")
		s.DifferentBody = rapid.IntRange(0, 9).Draw(t, "different-body") == 0
		s.Body = rapid.SampledFrom([]int{0, 10, 10, 10, 200_000}).Draw(t, "body")
		s.Timeout = rapid.SampledFrom([]string{"", "", "300ms", "20ms"}).Draw(t, "timeout")
		s.Query = fmt.Sprintf("delay=%dms&size=%d%s%s",
			rapid.SampledFrom([]int{0, 0, 5, 100, 400}).Draw(t, "delay"),
			rapid.SampledFrom([]int{0, 0, 100, 100_000}).Draw(t, "size"),
			rapid.SampledFrom([]string{"", "&length=1"}).Draw(t, "length"),
			rapid.SampledFrom([]string{"", "", "", "", "&cut=1"}).Draw(t, "cut"))
		return s
	})
	scripts = rapid.Custom(func(t *rapid.T) script {
		return script{
			Seed:  rapid.Uint64().Draw(t, "seed"),
			Steps: rapid.SliceOfN(steps, 5, 40).Draw(t, "steps"),
		}
	})
)

// TestRequestsUnderFaults guards against false statements to callers about execution, and
// against repeated execution, when responses are late, misdirected, duplicated or cut off,
// processes crash, requests are resent or load is too high. The upstreams' counts are the oracle.
func TestRequestsUnderFaults(t *testing.T) {
	total := 0
	rapid.Check(t, func(rt *rapid.T) {
		s := scripts.Draw(rt, "script")
		violations, results := runScript(t, s, faults{})
		total += len(results)
		if len(violations) > 0 {
			rt.Fatalf("%s", strings.Join(violations, "\n"))
		}
	})
	require.Greater(t, total, rapidChecks) // the scripts send requests
}

// TestFaultsAreFound guards against checks that have no effect: each injected fault must be
// detected by the checks of TestRequestsUnderFaults.
func TestFaultsAreFound(t *testing.T) {
	for name, f := range map[string]faults{
		"a request is retried after an unknown outcome": {retryUnknown: true},
		"responses are matched by their order":          {matchByOrder: true},
		"a refused request runs":                        {runRefused: true},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range maxFaultScripts {
				if violations, _ := runScript(t, scripts.Example(seed), f); len(violations) > 0 {
					return
				}
			}
			t.Fatalf("the fault was not found in %d scripts", maxFaultScripts)
		})
	}
}

// runScript runs a script in virtual time and returns the violated guarantees.
func runScript(t *testing.T, s script, f faults) (violations []string, results []sendResult) {
	synctest.Test(t, func(*testing.T) {
		tb := newTestbed(s.Seed, testEntries, testAgents, f)
		var mu sync.Mutex
		var sends sync.WaitGroup
		start := func(number int, s step) {
			sends.Go(func() {
				res := tb.send(fmt.Sprintf("send-%d", number), s)
				mu.Lock()
				results = append(results, res)
				mu.Unlock()
			})
		}
		number := 0
		for _, s := range s.Steps {
			switch s.Kind {
			case "send", "burst":
				copies := 1
				if s.Kind == "burst" {
					copies = 12
				}
				for range copies {
					number++
					start(number, s)
				}
			default:
				tb.applyStep(s)
			}
			time.Sleep(s.Pause)
		}
		sends.Wait()
		tb.endFaults()
		// After the faults have ended, no key may still count as running.
		for operation := range 4 {
			number++
			start(number, step{Kind: "last", Method: "POST", Keyed: true, Operation: operation, Body: 10, Query: "delay=0ms"})
		}
		sends.Wait()
		tb.close()
		time.Sleep(time.Minute)
		violations = tb.checkResults(results)
	})
	return violations, results
}

// applyStep applies a step that changes a fault.
func (tb *testbed) applyStep(s step) {
	i := s.Target % testAgents
	switch s.Kind {
	case "crash-agent":
		tb.crashAgent(i)
	case "crash-entry":
		tb.crashEntry(s.Target % testEntries)
	case "disturb-agent":
		tb.agent(i).disturbPercent.Store(int32(s.Percent))
	case "calm-agent":
		tb.agent(i).disturbPercent.Store(0)
	case "upstream-down", "upstream-up":
		tb.upstreams[i].mu.Lock()
		tb.upstreams[i].down = s.Kind == "upstream-down"
		tb.upstreams[i].mu.Unlock()
	case "slow-upstream":
		tb.upstreams[i].extraDelay.Store(int64(time.Second))
	case "fast-upstream":
		tb.upstreams[i].extraDelay.Store(0)
	case "disturb-control":
		tb.control.disturbPercent.Store(int32(s.Percent))
	case "control-down":
		tb.control.unreachable.Store(true)
	case "control-up":
		tb.control.unreachable.Store(false)
	}
}

// endFaults ends all faults and waits until lost claims have expired.
func (tb *testbed) endFaults() {
	tb.control.disturbPercent.Store(0)
	tb.control.unreachable.Store(false)
	for i := range testAgents {
		tb.agent(i).disturbPercent.Store(0)
		tb.upstreams[i].mu.Lock()
		tb.upstreams[i].down = false
		tb.upstreams[i].mu.Unlock()
		tb.upstreams[i].extraDelay.Store(0)
	}
	time.Sleep(30 * time.Second)
	tb.publish()
}

// send sends a request to an entry and returns the result as the caller sees it.
func (tb *testbed) send(id string, s step) sendResult {
	res := sendResult{step: s, send: id, operation: id}
	e := tb.entry(s.Target % testEntries)
	client := &http.Client{Transport: &http.Transport{DialContext: e.dial, DisableKeepAlives: true}}
	content := "x"
	if s.Keyed {
		res.operation = fmt.Sprintf("%s-%d", s.Method, s.Operation)
	}
	if s.DifferentBody {
		content = "y"
	}
	body := strings.Repeat(content, s.Body)
	r, err := http.NewRequestWithContext(context.Background(), s.Method, "http://entry/"+service+"/confirm?"+s.Query, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	if s.Keyed {
		r.Header.Set(jaygw.HeaderKey, res.operation)
	}
	if s.Timeout != "" {
		r.Header.Set(jaygw.HeaderTimeout, s.Timeout)
	}
	r.Header.Set("Test-Send", id)
	r.Header.Set("Test-Operation", res.operation)
	response, err := client.Do(r)
	if err != nil {
		return res
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	res.status, res.executed, res.body, res.complete = response.StatusCode, response.Header.Get(jaygw.HeaderExecuted), string(data), err == nil
	return res
}

// checkResults compares the responses to callers with the executions of the upstreams.
func (tb *testbed) checkResults(results []sendResult) (violations []string) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	fail := func(res sendResult, format string, args ...any) {
		violations = append(violations, fmt.Sprintf("%s %s (%+v): ", res.send, res.operation, res.step)+fmt.Sprintf(format, args...))
	}
	first := map[string]sendResult{} // by operation
	for _, res := range results {
		ran := tb.executions[res.send]
		if res.executed == string(jaygw.NotExecuted) && ran > 0 {
			fail(res, "reported as 'not executed' with status %d, but ran %d times", res.status, ran)
		}
		if res.step.Method == http.MethodPost && ran > 1 {
			fail(res, "a non-idempotent request ran %d times", ran)
		}
		if ran > 2 {
			fail(res, "more than one retry: ran %d times", ran)
		}
		if res.step.Keyed && res.step.Method == http.MethodPost && tb.operations[res.operation] > 1 {
			fail(res, "the key's request ran %d times", tb.operations[res.operation])
		}
		if res.step.Kind == "last" && (res.status == 0 || res.status == http.StatusConflict) {
			fail(res, "the key has no final response: status %d %q", res.status, res.body)
		}
		if res.status != http.StatusOK || !res.complete {
			continue
		}
		if !res.step.Keyed && !res.matchesRequest() {
			fail(res, "the response belongs to another request: %.60q (%d bytes)", res.body, len(res.body))
		}
		if earlier, ok := first[res.operation]; ok && res.step.Keyed && earlier.body != res.body {
			fail(res, "a resend got %.60q, an earlier one %.60q", res.body, earlier.body)
		}
		first[res.operation] = res
	}
	return violations
}

// matchesRequest reports whether the body equals, byte for byte, the body that the upstream
// sends for this request.
func (res sendResult) matchesRequest() bool {
	var size, execution int
	if query, err := url.ParseQuery(res.step.Query); err == nil {
		size, _ = strconv.Atoi(query.Get("size"))
	}
	content := "x"
	if res.step.DifferentBody {
		content = "y"
	}
	fields := strings.SplitN(res.body, "|", 3)
	if len(fields) < 3 {
		return false
	}
	_, _ = fmt.Sscan(fields[1], &execution)
	return res.body == responseOf(res.send, execution, strings.Repeat(content, res.step.Body), size)
}
