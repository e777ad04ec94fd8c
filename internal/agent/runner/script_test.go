package runner_test

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/agent/runner"
	"github.com/stretchr/testify/require"
)

// interpreter executes one script. Each line has a time and a command; a line that begins
// with "->" lists what the command before it must have returned, or "-> none". A run is
// written as index/number, where index is that of the task in its step.
//
//	report INCARNATION [draining] [clock=READING] [cores=N] [born=N]   the worker reports its state
//	poll                            a poll is sent to the leader
//	response SEQUENCE SESSION [start=RUN] [stop=RUN] [recorded=RUN] [unplaced=RUN]
//	admit RUN                       a start is about to be sent
//	started RUN ok|DENIAL|timeout   result of a start
//	stopped RUN ok|timeout          result of a stop
//	extend                          a request for a list is sent to the worker
//	listed AGE [running=RUN] [ended=NUMBER:RUN:OUTCOME] [truncated]   list that was requested AGE ago
//	confirmed [DENIAL]              list by which the worker has confirmed its incarnation, requested just now
//	list-denied DENIAL              a request for a list was denied
//	list-timeout                    a request for a list got no response
//	unexpected                      runs that the latest list shows unexpectedly
//	idle                            whether the worker need not be asked for a list
//	due                             stops that are sent now
type interpreter struct {
	t           *testing.T
	runner      *runner.Runner
	start       time.Time
	incarnation jaygw.WorkerIncarnation
	starts      map[jaygw.Run]time.Time
	results     []string
}

const lease = 4500 * time.Millisecond

// TestScripts executes the scripts in testdata. The first line of each states the failure
// that it guards against.
func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.script")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".script"), func(t *testing.T) {
			data, err := os.ReadFile(file)
			require.NoError(t, err)
			in := &interpreter{t: t, runner: runner.New("vm", 1, 6*time.Second), start: time.Unix(1000, 0), starts: map[jaygw.Run]time.Time{}}
			for number, line := range strings.Split(string(data), "\n") {
				line = strings.TrimSpace(line)
				switch {
				case line == "" || strings.HasPrefix(line, "#"):
				case strings.HasPrefix(line, "->"):
					expected := strings.Fields(strings.TrimPrefix(line, "->"))
					if len(expected) == 1 && expected[0] == "none" {
						expected = nil
					}
					require.ElementsMatch(t, expected, in.results, "%s:%d", file, number+1)
				default:
					in.execute(line)
				}
			}
		})
	}
}

func (in *interpreter) execute(line string) {
	fields := strings.Fields(line)
	elapsed, err := time.ParseDuration(fields[0])
	require.NoError(in.t, err, line)
	now := in.start.Add(elapsed)
	args := fields[2:]
	in.results = nil
	switch fields[1] {
	case "report":
		in.incarnation = jaygw.WorkerIncarnation{Name: args[0]}
		worker, clock := jaygw.PoolWorker{Incarnation: in.incarnation}, elapsed
		for _, arg := range args[1:] {
			key, value, _ := strings.Cut(arg, "=")
			switch key {
			case "draining":
				worker.Draining = true
			case "clock":
				clock, err = time.ParseDuration(value)
				require.NoError(in.t, err, line)
			case "cores", "born":
				n, err := strconv.Atoi(value)
				require.NoError(in.t, err, line)
				if key == "cores" {
					worker.Size.CPU = jaygw.MilliCores(n) * jaygw.Core
				} else {
					in.incarnation.StartTime = jaygw.Time(n)
					worker.Incarnation = in.incarnation
				}
			default:
				in.t.Fatalf("%s: unknown argument", line)
			}
		}
		if in.runner.Report(worker, clock, now) {
			in.results = append(in.results, "notify")
		}
	case "poll":
		request, ok := in.runner.PollRequest(now, 0)
		require.True(in.t, ok)
		in.results = append(in.results, fmt.Sprintf("sequence:%d", request.Sequence))
		for _, run := range request.Runs {
			in.results = append(in.results, "run:"+format(run.Run))
		}
		for _, end := range request.Ended {
			late := ""
			if end.Late {
				late = ":late"
			}
			in.results = append(in.results, fmt.Sprintf("ended:%s:%s%s", format(end.Run), end.Outcome, late))
		}
		if request.Unhealthy != "" {
			in.results = append(in.results, "unhealthy")
		}
	case "response":
		in.response(args, now)
	case "admit":
		run := in.run(args[0])
		if decision, ok := in.runner.Admit(run, in.starts[run], now); ok {
			in.results = append(in.results, "deadline:"+decision.Deadline.Round(10*time.Millisecond).String())
		}
	case "started":
		reply, err := in.reply(args[1], elapsed)
		in.runner.Started(in.run(args[0]), reply, err, now)
	case "stopped":
		reply, err := in.reply(args[1], elapsed)
		in.runner.Stopped(in.run(args[0]), reply, err, now)
	case "extend":
		extension := in.runner.ListRequest(now, 0)
		in.results = append(in.results, fmt.Sprintf("recorded:%d", extension.LastRecordedEnd))
		if extension.Deadline > 0 {
			in.results = append(in.results, "deadline:"+extension.Deadline.Round(10*time.Millisecond).String())
		}
	case "listed":
		in.listed(args, elapsed, now)
	case "confirmed":
		list := jaygw.RunList{Incarnation: in.incarnation, WorkerResponse: jaygw.WorkerResponse{Clock: elapsed}}
		if len(args) > 0 {
			list.Denied = jaygw.OrderDenial(args[0])
		}
		in.runner.Confirmed(list, now, now)
	case "list-denied":
		reply, _ := in.reply(args[0], elapsed)
		actions, _ := in.runner.Listed(jaygw.RunList{WorkerResponse: reply, Incarnation: in.incarnation}, now, now)
		in.addActions(actions)
	case "list-timeout":
		in.runner.ListFailed(now)
	case "unexpected":
		for _, u := range in.runner.Unexpected() {
			in.results = append(in.results, fmt.Sprintf("%s:%s:%s", format(u.Run), u.Outcome, u.Age))
		}
	case "idle":
		if in.runner.Idle() {
			in.results = append(in.results, "idle")
		} else {
			in.results = append(in.results, "active")
		}
	case "due":
		in.addActions(in.runner.DueStops(now))
	default:
		in.t.Fatalf("%s: unknown command", line)
	}
}

func (in *interpreter) response(args []string, now time.Time) {
	sequence, err := strconv.ParseUint(args[0], 10, 64)
	require.NoError(in.t, err)
	session, err := strconv.ParseUint(args[1], 10, 64)
	require.NoError(in.t, err)
	result := jaygw.PollResponse{Session: session, Sequence: sequence, Lease: lease}
	for _, arg := range args[2:] {
		key, value, _ := strings.Cut(arg, "=")
		switch key {
		case "start":
			result.Starts = append(result.Starts, jaygw.StartOrder{Run: in.run(value), ValidFor: 2 * time.Second})
		case "stop":
			result.Stops = append(result.Stops, in.run(value))
		case "unplaced":
			result.Unplaced = append(result.Unplaced, in.run(value))
		case "recorded":
			result.Recorded = append(result.Recorded, in.run(value))
		}
	}
	in.addActions(in.runner.HandleResponse(result, now))
}

func (in *interpreter) listed(args []string, elapsed time.Duration, now time.Time) {
	age, err := time.ParseDuration(args[0])
	require.NoError(in.t, err)
	list := jaygw.RunList{Incarnation: in.incarnation, WorkerResponse: jaygw.WorkerResponse{Clock: elapsed}}
	for _, arg := range args[1:] {
		key, value, _ := strings.Cut(arg, "=")
		if key == "truncated" {
			list.Truncated = true
			continue
		}
		if key == "running" {
			list.Running = append(list.Running, jaygw.RunningRun{Run: in.run(value)})
			continue
		}
		parts := strings.Split(value, ":")
		number, err := strconv.ParseUint(parts[0], 10, 64)
		require.NoError(in.t, err)
		list.Ended = append(list.Ended, jaygw.NumberedEnd{Number: number, End: jaygw.EndedRun{Run: in.run(parts[1]), Outcome: jaygw.RunOutcome(parts[2])}})
	}
	actions, changed := in.runner.Listed(list, now.Add(-age), now)
	in.addActions(actions)
	if changed {
		in.results = append(in.results, "notify")
	}
}

func (in *interpreter) addActions(actions []runner.Action) {
	for _, action := range actions {
		if action.Start != nil {
			in.starts[action.Start.Run] = action.StartBy
			in.results = append(in.results, "start:"+format(action.Start.Run))
		} else {
			in.results = append(in.results, "stop:"+format(*action.Stop))
		}
	}
}

func (in *interpreter) reply(word string, elapsed time.Duration) (jaygw.WorkerResponse, error) {
	switch word {
	case "timeout":
		return jaygw.WorkerResponse{}, errors.New("no response")
	case "ok":
		return jaygw.WorkerResponse{Clock: elapsed}, nil
	}
	return jaygw.WorkerResponse{Clock: elapsed, Denied: jaygw.OrderDenial(word)}, nil
}

func (in *interpreter) run(word string) jaygw.Run {
	index, number, ok := strings.Cut(word, "/")
	require.True(in.t, ok, word)
	i, err := strconv.Atoi(index)
	require.NoError(in.t, err)
	n, err := strconv.ParseUint(number, 10, 64)
	require.NoError(in.t, err)
	return jaygw.Run{Task: jaygw.StepTask{Workflow: "w", Index: i}, Number: n}
}

func format(run jaygw.Run) string { return fmt.Sprintf("%d/%d", run.Task.Index, run.Number) }
