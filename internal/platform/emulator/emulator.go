// Package emulator is a stand-in for the platform's worker on one VM: it runs
// tasks under leases and answers requests of the services that run on it.
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
	// Worker is a stand-in worker. Tasks are timers; nothing is computed.
	Worker struct {
		now      func() time.Time
		size     jaygw.Resources
		instance string
		born     time.Time // zero of the clock that the HTTP interface shows

		mu       sync.Mutex
		revision uint64 // of the list
		tasks    map[jaygw.Attempt]*task
		fences   map[jaygw.TaskID]jaygw.Epoch // ended epochs never start again
		history  []Run
		failing  bool
	}

	task struct {
		permit     jaygw.Permit
		started    time.Time
		base       time.Duration // progress at the start
		percent    int           // throttle
		throttled  time.Time     // last change of percent
		leaseEnd   time.Time
		state      jaygw.WorkerTaskState
		checkpoint jaygw.Checkpoint
		run        int // index in history
	}

	// Run is one attempt that was started, for the checks of tests.
	Run struct {
		Attempt  jaygw.Attempt
		Kind     jaygw.TaskKind
		Size     jaygw.Resources
		From     time.Duration // progress that it started from
		Start    time.Time
		End      time.Time // zero while it runs
		Complete bool
	}

	// Option changes a new Worker.
	Option func(*Worker)
)

const (
	fullSpeed = 100
	listPoll  = 10 * time.Millisecond // a waiting list looks for changes this often
)

var (
	_ jaygw.Worker = (*Worker)(nil)

	// ErrFenced is returned for the start of an attempt that has ended or was
	// stopped before.
	ErrFenced = errors.New("the attempt may no longer start")
	// ErrLate is returned for a start after its window.
	ErrLate = errors.New("the start arrived after its window")
	// ErrNotRunning is returned for attempts that do not run.
	ErrNotRunning = errors.New("the attempt does not run")
	// ErrInstance is returned for calls that mean another life of the VM.
	ErrInstance = errors.New("the call is for another instance of the VM")
	// ErrBroken is returned by a worker that fails everything.
	ErrBroken = errors.New("the worker cannot start tasks")
)

// WithClock replaces the clock.
func WithClock(now func() time.Time) Option {
	return func(w *Worker) { w.now = now }
}

// WithInstance names the life of the VM.
func WithInstance(instance string) Option {
	return func(w *Worker) { w.instance = instance }
}

// New returns a worker of a VM with this size.
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
	w.born = w.now()
	return w
}

// Fail makes every later start fail, or succeed again.
func (w *Worker) Fail(failing bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failing = failing
}

// History returns all attempts that were ever started.
func (w *Worker) History() []Run {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	return slices.Clone(w.history)
}

// Running returns the attempts that run now.
func (w *Worker) Running() []Run {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	var runs []Run
	for _, t := range w.tasks {
		if t.state == jaygw.WorkerRunning {
			runs = append(runs, w.history[t.run])
		}
	}
	return runs
}

// Start runs an attempt.
func (w *Worker) Start(_ context.Context, permit jaygw.Permit, window jaygw.StartWindow) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	if w.failing {
		return ErrBroken
	}
	id := permit.Attempt
	if t, known := w.tasks[id]; known && t.state == jaygw.WorkerRunning {
		return nil
	}
	if id.Epoch <= w.fences[id.Task] {
		return ErrFenced
	}
	now := w.now()
	if !now.Before(window.By) || !now.Before(window.LeaseEnd) {
		return ErrLate
	}
	w.tasks[id] = &task{
		permit: permit, started: now, throttled: now, base: permit.Checkpoint.Progress.Std(),
		percent: fullSpeed, leaseEnd: window.LeaseEnd, state: jaygw.WorkerRunning,
		checkpoint: permit.Checkpoint, run: len(w.history),
	}
	w.revision++
	w.history = append(w.history, Run{
		Attempt: id, Kind: permit.Kind, Size: permit.Size, From: permit.Checkpoint.Progress.Std(), Start: now,
	})
	return nil
}

// Extend moves the lease end of the attempts of a kind.
func (w *Worker) Extend(_ context.Context, kind jaygw.TaskKind, end time.Time) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	for _, t := range w.tasks {
		if t.state == jaygw.WorkerRunning && t.permit.Kind == kind && end.After(t.leaseEnd) {
			t.leaseEnd = end
		}
	}
	return nil
}

// Checkpoint records the progress of an attempt.
func (w *Worker) Checkpoint(_ context.Context, id jaygw.Attempt) (jaygw.Checkpoint, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	t, ok := w.tasks[id]
	if !ok || t.state != jaygw.WorkerRunning {
		return jaygw.Checkpoint{}, ErrNotRunning
	}
	w.checkpoint(t)
	return t.checkpoint, nil
}

// Throttle changes the speed of an attempt.
func (w *Worker) Throttle(_ context.Context, id jaygw.Attempt, percent int) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	t, ok := w.tasks[id]
	if !ok || t.state != jaygw.WorkerRunning {
		return ErrNotRunning
	}
	now := w.now()
	t.base = t.progress(now)
	t.throttled = now
	t.percent = percent
	return nil
}

// Stop checkpoints and ends an attempt. A stopped attempt never starts again.
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
		w.checkpoint(t)
		w.end(t, jaygw.WorkerStopped, w.now())
	}
	return t.listed(id), nil
}

func (t *task) listed(id jaygw.Attempt) jaygw.WorkerTask {
	return jaygw.WorkerTask{
		Attempt: id, Kind: t.permit.Kind, Service: t.permit.Service, State: t.state, Checkpoint: t.checkpoint,
	}
}

// List returns the attempts, in the order of their tasks, once the revision
// differs from the one seen or the wait is over.
func (w *Worker) List(ctx context.Context, seen uint64, wait time.Duration) (jaygw.WorkerList, error) {
	for end := time.Now().Add(wait); ; {
		list := w.list(seen)
		if list.Revision != seen || !time.Now().Before(end) {
			return list, nil
		}
		select {
		case <-ctx.Done():
			return list, ctx.Err()
		case <-time.After(listPoll):
		}
	}
}

func (w *Worker) list(seen uint64) jaygw.WorkerList {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	if w.revision == seen {
		return jaygw.WorkerList{Instance: w.instance, Revision: seen}
	}
	list := []jaygw.WorkerTask{}
	for id, t := range w.tasks {
		list = append(list, t.listed(id))
	}
	slices.SortFunc(list, func(a, b jaygw.WorkerTask) int {
		return cmp.Or(cmp.Compare(a.Attempt.Task, b.Attempt.Task), cmp.Compare(a.Attempt.Epoch, b.Attempt.Epoch))
	})
	return jaygw.WorkerList{Instance: w.instance, Revision: w.revision, Tasks: list}
}

// Forget drops an ended attempt.
func (w *Worker) Forget(_ context.Context, id jaygw.Attempt) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if t, ok := w.tasks[id]; ok && t.state != jaygw.WorkerRunning {
		delete(w.tasks, id)
		w.revision++
	}
	return nil
}

// Usage reports the declared size of each running attempt, scaled by its
// throttle.
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

// Serves reports whether a replica of the service runs here.
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

// advance ends attempts that have completed or whose lease is over.
func (w *Worker) advance() {
	now := w.now()
	for _, t := range w.tasks {
		if t.state != jaygw.WorkerRunning {
			continue
		}
		done, completes := t.completion()
		switch {
		case completes && !done.After(now) && !done.After(t.leaseEnd):
			w.end(t, jaygw.WorkerCompleted, done)
		case !now.Before(t.leaseEnd):
			w.end(t, jaygw.WorkerStopped, t.leaseEnd)
		}
	}
}

func (w *Worker) end(t *task, state jaygw.WorkerTaskState, at time.Time) {
	t.state = state
	w.revision++
	id := t.permit.Attempt
	w.fences[id.Task] = max(w.fences[id.Task], id.Epoch)
	w.history[t.run].End = at
	w.history[t.run].Complete = state == jaygw.WorkerCompleted
}

func (w *Worker) checkpoint(t *task) {
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

// progress returns the work done, in time at full speed.
func (t *task) progress(now time.Time) time.Duration {
	return t.base + now.Sub(t.throttled)*time.Duration(t.percent)/fullSpeed
}

// completion returns when the attempt completes at its present speed. Services do
// not complete.
func (t *task) completion() (time.Time, bool) {
	if t.permit.Kind == jaygw.ServiceTask || t.percent <= 0 {
		return time.Time{}, false
	}
	left := t.permit.RunTime.Std() - t.base
	return t.throttled.Add(left * fullSpeed / time.Duration(t.percent)), true
}
