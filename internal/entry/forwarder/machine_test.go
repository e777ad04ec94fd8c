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
	// step is one action on the world, followed by a pause.
	step struct {
		Kind      string
		Target    int // entry, agent or upstream
		Method    string
		Operation int // of a request with a key; resends share it
		Keyed     bool
		Other     bool // the same key with another body
		Body      int
		Query     string
		Timeout   string
		Percent   int
		Pause     time.Duration
	}

	script struct {
		Seed  uint64
		Steps []step
	}

	// answer is what a caller saw of one send.
	answer struct {
		step      step
		send      string
		operation string
		status    int
		executed  string
		body      string
		whole     bool
	}
)

const (
	testEntries  = 2
	testAgents   = 3
	checks       = 60
	faultScripts = 200
)

func TestMain(m *testing.M) {
	seeder.Fix(checks)
	os.Exit(m.Run())
}

var (
	steps = rapid.Custom(func(t *rapid.T) step {
		s := step{Pause: time.Duration(rapid.SampledFrom([]int{0, 0, 0, 1, 5, 50, 700}).Draw(t, "pause")) * time.Millisecond}
		s.Kind = rapid.SampledFrom([]string{
			"send", "send", "send", "send", "send", "send", "send", "burst", "crash-agent", "crash-entry",
			"chaos", "calm", "upstream-down", "upstream-up", "slow", "fast", "control", "cut-control", "control-back",
		}).Draw(t, "kind")
		s.Target = rapid.IntRange(0, 5).Draw(t, "target")
		s.Percent = rapid.SampledFrom([]int{0, 10, 50}).Draw(t, "percent")
		s.Method = rapid.SampledFrom([]string{"GET", "PUT", "POST", "POST", "POST"}).Draw(t, "method")
		s.Keyed = rapid.Bool().Draw(t, "keyed")
		s.Operation = rapid.IntRange(0, 3).Draw(t, "operation")
		s.Other = rapid.IntRange(0, 9).Draw(t, "other") == 0
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

// Late, crossed, doubled and cut responses, crashes, resends and overload must not
// break what callers are told: the upstreams' own count is the oracle.
func TestRequestsUnderFaults(t *testing.T) {
	total := 0
	rapid.Check(t, func(rt *rapid.T) {
		s := scripts.Draw(rt, "script")
		broken, answers := run(t, s, faults{})
		total += len(answers)
		if len(broken) > 0 {
			rt.Fatalf("%s", strings.Join(broken, "\n"))
		}
	})
	require.Greater(t, total, checks) // the scripts do send requests
}

// The check above must find faults of the kinds that it is there for.
func TestFaultsAreFound(t *testing.T) {
	for name, f := range map[string]faults{
		"a request is retried after an unknown outcome": {retryUnknown: true},
		"responses are matched by their order":          {matchByOrder: true},
		"a refused request runs":                        {runRefused: true},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range faultScripts {
				if broken, _ := run(t, scripts.Example(seed), f); len(broken) > 0 {
					return
				}
			}
			t.Fatalf("the fault was not found in %d scripts", faultScripts)
		})
	}
}

// run plays a script in virtual time and returns the broken promises.
func run(t *testing.T, s script, f faults) (broken []string, answers []answer) {
	synctest.Test(t, func(*testing.T) {
		w := newWorld(s.Seed, testEntries, testAgents, f)
		var mu sync.Mutex
		var sends sync.WaitGroup
		start := func(number int, s step) {
			sends.Go(func() {
				a := w.send(fmt.Sprintf("send-%d", number), s)
				mu.Lock()
				answers = append(answers, a)
				mu.Unlock()
			})
		}
		number := 0
		for _, s := range s.Steps {
			switch s.Kind {
			case "send", "burst":
				times := 1
				if s.Kind == "burst" {
					times = 12
				}
				for range times {
					number++
					start(number, s)
				}
			default:
				w.act(s)
			}
			time.Sleep(s.Pause)
		}
		sends.Wait()
		w.settle()
		// Once everything has settled, no key may still count as running.
		for operation := range 4 {
			number++
			start(number, step{Kind: "last", Method: "POST", Keyed: true, Operation: operation, Body: 10, Query: "delay=0ms"})
		}
		sends.Wait()
		w.close()
		time.Sleep(time.Minute)
		broken = w.judge(answers)
	})
	return broken, answers
}

func (w *world) act(s step) {
	i := s.Target % testAgents
	switch s.Kind {
	case "crash-agent":
		w.crashAgent(i)
	case "crash-entry":
		w.crashEntry(s.Target % testEntries)
	case "chaos":
		w.agent(i).chaos.Store(int32(s.Percent))
	case "calm":
		w.agent(i).chaos.Store(0)
	case "upstream-down", "upstream-up":
		w.upstreams[i].mu.Lock()
		w.upstreams[i].down = s.Kind == "upstream-down"
		w.upstreams[i].mu.Unlock()
	case "slow":
		w.upstreams[i].slow.Store(int64(time.Second))
	case "fast":
		w.upstreams[i].slow.Store(0)
	case "control":
		w.control.percent.Store(int32(s.Percent))
	case "cut-control":
		w.control.cut.Store(true)
	case "control-back":
		w.control.cut.Store(false)
	}
}

// settle ends all faults and waits until claims that were lost have ended.
func (w *world) settle() {
	w.control.percent.Store(0)
	w.control.cut.Store(false)
	for i := range testAgents {
		w.agent(i).chaos.Store(0)
		w.upstreams[i].mu.Lock()
		w.upstreams[i].down = false
		w.upstreams[i].mu.Unlock()
		w.upstreams[i].slow.Store(0)
	}
	time.Sleep(30 * time.Second)
	w.publish()
}

func (w *world) send(id string, s step) answer {
	a := answer{step: s, send: id, operation: id}
	e := w.entry(s.Target % testEntries)
	client := &http.Client{Transport: &http.Transport{DialContext: e.dial, DisableKeepAlives: true}}
	content := "x"
	if s.Keyed {
		a.operation = fmt.Sprintf("%s-%d", s.Method, s.Operation)
	}
	if s.Other {
		content = "y"
	}
	body := strings.Repeat(content, s.Body)
	r, err := http.NewRequestWithContext(context.Background(), s.Method, "http://entry/"+service+"/confirm?"+s.Query, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	if s.Keyed {
		r.Header.Set(jaygw.HeaderKey, a.operation)
	}
	if s.Timeout != "" {
		r.Header.Set(jaygw.HeaderTimeout, s.Timeout)
	}
	r.Header.Set("Test-Send", id)
	r.Header.Set("Test-Operation", a.operation)
	response, err := client.Do(r)
	if err != nil {
		return a
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	a.status, a.executed, a.body, a.whole = response.StatusCode, response.Header.Get(jaygw.HeaderExecuted), string(data), err == nil
	return a
}

// judge compares what callers were told with what the upstreams have run.
func (w *world) judge(answers []answer) (broken []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fail := func(a answer, format string, args ...any) {
		broken = append(broken, fmt.Sprintf("%s %s (%+v): ", a.send, a.operation, a.step)+fmt.Sprintf(format, args...))
	}
	first := map[string]answer{} // by operation
	for _, a := range answers {
		ran := w.executions[a.send]
		if a.executed == string(jaygw.NotExecuted) && ran > 0 {
			fail(a, "told 'not executed' with status %d, ran %d times", a.status, ran)
		}
		if a.step.Method == http.MethodPost && ran > 1 {
			fail(a, "a non-idempotent request ran %d times", ran)
		}
		if ran > 2 {
			fail(a, "more than one retry: ran %d times", ran)
		}
		if a.step.Keyed && a.step.Method == http.MethodPost && w.operations[a.operation] > 1 {
			fail(a, "the key's request ran %d times", w.operations[a.operation])
		}
		if a.step.Kind == "last" && (a.status == 0 || a.status == http.StatusConflict) {
			fail(a, "the key has no final answer: status %d %q", a.status, a.body)
		}
		if a.status != http.StatusOK || !a.whole {
			continue
		}
		if !a.step.Keyed && !a.isOwn() {
			fail(a, "the response is not its own: %.60q (%d bytes)", a.body, len(a.body))
		}
		if before, ok := first[a.operation]; ok && a.step.Keyed && before.body != a.body {
			fail(a, "a resend got %.60q, an earlier one %.60q", a.body, before.body)
		}
		first[a.operation] = a
	}
	return broken
}

// isOwn compares the response byte for byte with what the upstream has sent for
// this request.
func (a answer) isOwn() bool {
	var size, execution int
	if query, err := url.ParseQuery(a.step.Query); err == nil {
		size, _ = strconv.Atoi(query.Get("size"))
	}
	content := "x"
	if a.step.Other {
		content = "y"
	}
	fields := strings.SplitN(a.body, "|", 3)
	if len(fields) < 3 {
		return false
	}
	_, _ = fmt.Sscan(fields[1], &execution)
	return a.body == responseOf(a.send, execution, strings.Repeat(content, a.step.Body), size)
}
