// Package emulator emulates the platform's worker on one VM: it runs attempts under leases
// and responds to requests for the services that run on it.
package emulator

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/jaygw/jaygw"
)

type (
	// Worker is an emulated worker. Its attempts are timers that compute nothing. It is safe
	// for concurrent use.
	Worker struct {
		now      func() time.Time
		size     jaygw.Resources
		instance string
		// startTime is when the worker was created. The HTTP interface shows clock readings
		// that count from it.
		startTime time.Time

		mu       sync.Mutex
		revision uint64 // revision of the list
		tasks    map[jaygw.Attempt]*task
		// fences holds the highest epoch of each task that has ended or was stopped. That
		// epoch and the earlier ones never start again.
		fences     map[jaygw.TaskID]jaygw.Epoch
		history    []AttemptRecord
		startsFail bool
	}

	// task is one attempt that was started.
	task struct {
		permit  jaygw.Permit
		started time.Time
		// baseProgress is the work that was done at progressAt, as run time at full speed.
		// Both are set at the start and with each change of percent.
		baseProgress time.Duration
		percent      int // speed, in percent of full speed
		progressAt   time.Time
		leaseEnd     time.Time
		state        jaygw.WorkerTaskState
		checkpoint   jaygw.Checkpoint
		historyIndex int
	}

	// AttemptRecord is the record of one attempt that was started. Tests check it.
	AttemptRecord struct {
		Attempt jaygw.Attempt
		Kind    jaygw.TaskKind
		// Size is the size in the permit.
		Size jaygw.Resources
		// StartProgress is the progress from which the attempt started, as run time at full speed.
		StartProgress time.Duration
		Start         time.Time
		// End is zero while the attempt runs.
		End time.Time
		// Complete is set if the attempt has finished its work.
		Complete bool
	}

	// Option configures a new Worker.
	Option func(*Worker)
)

const (
	fullSpeed = 100 // percent

	// listPollInterval is the time between two checks of a call that waits for a change of
	// the list.
	listPollInterval = 10 * time.Millisecond
)

var (
	_ jaygw.Worker = (*Worker)(nil)

	// ErrFenced is returned for the start of an attempt that has ended or was
	// stopped before.
	ErrFenced = errors.New("the attempt may no longer start")
	// ErrLate is returned for a start that arrives after its window has expired.
	ErrLate = errors.New("the start arrived after its window")
	// ErrNotRunning is returned for calls about an attempt that does not run.
	ErrNotRunning = errors.New("the attempt does not run")
	// ErrInstance is returned for calls that are for another instance of the VM.
	ErrInstance = errors.New("the call is for another instance of the VM")
	// ErrStartsFail is returned for every start after Fail(true).
	ErrStartsFail = errors.New("the worker cannot start tasks")
)

// WithClock sets the clock. The default is time.Now.
func WithClock(now func() time.Time) Option {
	return func(w *Worker) { w.now = now }
}

// WithInstance sets the instance of the VM. The default is drawn at random.
func WithInstance(instance string) Option {
	return func(w *Worker) { w.instance = instance }
}

// New returns the worker of a VM with this size.
func New(size jaygw.Resources, options ...Option) *Worker {
	w := &Worker{
		now:      time.Now,
		size:     size,
		instance: fmt.Sprintf("%016x", rand.Uint64()),
		revision: 1,
		tasks:    map[jaygw.Attempt]*task{},
		fences:   map[jaygw.TaskID]jaygw.Epoch{},
	}
	for _, option := range options {
		option(w)
	}
	w.startTime = w.now()
	return w
}

// FailStarts makes every later start fail, or lets starts succeed again.
func (w *Worker) FailStarts(fail bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.startsFail = fail
}

// History returns all attempts that were ever started, in the order of their starts.
func (w *Worker) History() []AttemptRecord {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	return slices.Clone(w.history)
}

// Running returns the attempts that run now, in no particular order.
func (w *Worker) Running() []AttemptRecord {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	var runs []AttemptRecord
	for _, t := range w.tasks {
		if t.state == jaygw.WorkerRunning {
			runs = append(runs, w.history[t.historyIndex])
		}
	}
	return runs
}

// Start starts an attempt. Starting an attempt that already runs is not an error.
func (w *Worker) Start(_ context.Context, permit jaygw.Permit, window jaygw.StartWindow) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	if w.startsFail {
		return ErrStartsFail
	}
	id := permit.Attempt
	if t, known := w.tasks[id]; known && t.state == jaygw.WorkerRunning {
		return nil
	}
	if id.Epoch <= w.fences[id.Task] {
		return ErrFenced
	}
	now := w.now()
	if !now.Before(window.StartBy) || !now.Before(window.LeaseEnd) {
		return ErrLate
	}
	w.tasks[id] = &task{
		permit: permit, started: now, progressAt: now, baseProgress: permit.Checkpoint.Progress.Std(),
		percent: fullSpeed, leaseEnd: window.LeaseEnd, state: jaygw.WorkerRunning,
		checkpoint: permit.Checkpoint, historyIndex: len(w.history),
	}
	w.revision++
	w.history = append(w.history, AttemptRecord{
		Attempt: id, Kind: permit.Kind, Size: permit.Size, StartProgress: permit.Checkpoint.Progress.Std(), Start: now,
	})
	return nil
}

// Extend moves the lease end of the running attempts of a kind to a later time; it never
// moves one to an earlier time.
func (w *Worker) Extend(_ context.Context, kind jaygw.TaskKind, leaseEnd time.Time) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	for _, t := range w.tasks {
		if t.state == jaygw.WorkerRunning && t.permit.Kind == kind && leaseEnd.After(t.leaseEnd) {
			t.leaseEnd = leaseEnd
		}
	}
	return nil
}

// Checkpoint makes a running attempt write a checkpoint and returns it.
func (w *Worker) Checkpoint(_ context.Context, id jaygw.Attempt) (jaygw.Checkpoint, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	t, ok := w.tasks[id]
	if !ok || t.state != jaygw.WorkerRunning {
		return jaygw.Checkpoint{}, ErrNotRunning
	}
	w.writeCheckpoint(t)
	return t.checkpoint, nil
}

// Throttle sets the speed of a running attempt, in percent of full speed.
func (w *Worker) Throttle(_ context.Context, id jaygw.Attempt, percent int) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	t, ok := w.tasks[id]
	if !ok || t.state != jaygw.WorkerRunning {
		return ErrNotRunning
	}
	now := w.now()
	t.baseProgress = t.progress(now)
	t.progressAt = now
	t.percent = percent
	return nil
}

// Stop writes a checkpoint of an attempt, ends it and returns how it ended. The attempt and
// those with an earlier epoch never start afterwards.
func (w *Worker) Stop(_ context.Context, id jaygw.Attempt) (jaygw.WorkerTask, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	w.fences[id.Task] = max(w.fences[id.Task], id.Epoch)
	t, ok := w.tasks[id]
	if !ok {
		return jaygw.WorkerTask{Attempt: id, State: jaygw.WorkerStopped}, nil
	}
	if t.state == jaygw.WorkerRunning {
		w.writeCheckpoint(t)
		w.end(t, jaygw.WorkerStopped, w.now())
	}
	return t.workerTask(id), nil
}

// workerTask returns the attempt as the list shows it.
func (t *task) workerTask(id jaygw.Attempt) jaygw.WorkerTask {
	return jaygw.WorkerTask{
		Attempt: id, Kind: t.permit.Kind, Service: t.permit.Service, State: t.state, Checkpoint: t.checkpoint,
	}
}

// List returns the attempts, ordered by task and epoch, once the revision of the list
// differs from seen or the wait has expired.
func (w *Worker) List(ctx context.Context, seen uint64, wait time.Duration) (jaygw.WorkerList, error) {
	for end := time.Now().Add(wait); ; {
		list := w.list(seen)
		if list.Revision != seen || !time.Now().Before(end) {
			return list, nil
		}
		select {
		case <-ctx.Done():
			return list, ctx.Err()
		case <-time.After(listPollInterval):
		}
	}
}

// list returns the list as it is now, without attempts if its revision is seen.
func (w *Worker) list(seen uint64) jaygw.WorkerList {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	if w.revision == seen {
		return jaygw.WorkerList{Instance: w.instance, Revision: seen}
	}
	list := []jaygw.WorkerTask{}
	for id, t := range w.tasks {
		list = append(list, t.workerTask(id))
	}
	slices.SortFunc(list, func(a, b jaygw.WorkerTask) int {
		return cmp.Or(cmp.Compare(a.Attempt.Task, b.Attempt.Task), cmp.Compare(a.Attempt.Epoch, b.Attempt.Epoch))
	})
	return jaygw.WorkerList{Instance: w.instance, Revision: w.revision, Tasks: list}
}

// Forget removes an ended attempt from the list. It ignores attempts that run.
func (w *Worker) Forget(_ context.Context, id jaygw.Attempt) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if t, ok := w.tasks[id]; ok && t.state != jaygw.WorkerRunning {
		delete(w.tasks, id)
		w.revision++
	}
	return nil
}

// Usage reports the declared size of each running attempt, with the CPU scaled by its
// speed.
func (w *Worker) Usage(context.Context) ([]jaygw.Usage, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	var usage []jaygw.Usage
	for id, t := range w.tasks {
		if t.state != jaygw.WorkerRunning {
			continue
		}
		used := t.permit.Size
		used.CPU = used.CPU * jaygw.MilliCores(t.percent) / fullSpeed
		usage = append(usage, jaygw.Usage{Attempt: id, Used: used})
	}
	return usage, nil
}

// Serves reports whether a replica of the service runs on the worker.
func (w *Worker) Serves(service string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	for _, t := range w.tasks {
		if t.state == jaygw.WorkerRunning && t.permit.Service == service {
			return true
		}
	}
	return false
}

// advance ends the attempts that have completed or whose lease has expired by now. The
// caller holds the lock.
func (w *Worker) advance() {
	now := w.now()
	for _, t := range w.tasks {
		if t.state != jaygw.WorkerRunning {
			continue
		}
		completion, completes := t.completion()
		switch {
		case completes && !completion.After(now) && !completion.After(t.leaseEnd):
			w.end(t, jaygw.WorkerCompleted, completion)
		case !now.Before(t.leaseEnd):
			w.end(t, jaygw.WorkerStopped, t.leaseEnd)
		}
	}
}

// end ends an attempt at a time and fences its epoch.
func (w *Worker) end(t *task, state jaygw.WorkerTaskState, at time.Time) {
	t.state = state
	w.revision++
	id := t.permit.Attempt
	w.fences[id.Task] = max(w.fences[id.Task], id.Epoch)
	w.history[t.historyIndex].End = at
	w.history[t.historyIndex].Complete = state == jaygw.WorkerCompleted
}

// writeCheckpoint sets the checkpoint of an attempt to its present progress. Service
// replicas have none.
func (w *Worker) writeCheckpoint(t *task) {
	if t.permit.Kind == jaygw.ServiceTask {
		return
	}
	w.revision++
	t.checkpoint = jaygw.Checkpoint{
		Epoch:    t.permit.Attempt.Epoch,
		Progress: jaygw.Duration(t.progress(w.now())),
		Token:    fmt.Sprintf("%s@%d", t.permit.Attempt.Task, t.permit.Attempt.Epoch),
	}
}

// progress returns the work that is done, as run time at full speed.
func (t *task) progress(now time.Time) time.Duration {
	return t.baseProgress + now.Sub(t.progressAt)*time.Duration(t.percent)/fullSpeed
}

// completion returns when the attempt completes at its present speed. It reports false for
// service replicas, which do not complete, and for attempts that are throttled to zero.
func (t *task) completion() (time.Time, bool) {
	if t.permit.Kind == jaygw.ServiceTask || t.percent <= 0 {
		return time.Time{}, false
	}
	remaining := t.permit.RunTime.Std() - t.baseProgress
	return t.progressAt.Add(remaining * fullSpeed / time.Duration(t.percent)), true
}
