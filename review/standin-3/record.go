package main

import (
	"fmt"
	"maps"
	"os"
	"strings"
	"sync"
	"time"
)

type (
	// record is what was sent, answered and run, with the seconds since the driver's start.
	record struct {
		mu    sync.Mutex
		start time.Time
		file  *os.File
		tasks map[string]*taskRecord
	}

	taskRecord struct {
		starts int
		active map[uint64]string // workers by run
		done   int
	}
)

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{start: time.Now(), file: file, tasks: map[string]*taskRecord{}}, err
}

// add writes a line about what was sent, answered, run or found.
func (r *record) add(kind, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(kind, format, args...)
}

func (r *record) write(kind, format string, args ...any) {
	fmt.Fprintf(r.file, "%8.3f %-8s %s\n", time.Since(r.start).Seconds(), kind, fmt.Sprintf(format, args...))
}

func (r *record) task(name string) *taskRecord {
	t := r.tasks[name]
	if t == nil {
		t = &taskRecord{active: map[uint64]string{}}
		r.tasks[name] = t
	}
	return t
}

func (r *record) started(task string, run uint64, worker string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.task(task)
	t.starts++
	t.active[run] = worker
	r.write("run", "%s run %d starts on %s", task, run, worker)
}

func (r *record) ended(task string, run uint64, worker, outcome string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.task(task)
	delete(t.active, run)
	if outcome == "done" {
		t.done++
	}
	r.write("run", "%s run %d ends %s on %s", task, run, outcome, worker)
}

// starts returns how many runs of a job's tasks workers have started.
func (r *record) starts(job string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	starts := 0
	for name, t := range r.tasks {
		if strings.HasPrefix(name, job+".") {
			starts += t.starts
		}
	}
	return starts
}

// isActive reports whether a run of a task is at work.
func (r *record) isActive(task string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.task(task).active) > 0
}

// activeRuns returns the workers of the runs of a task that are at work, by run.
func (r *record) activeRuns(task string) map[uint64]string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.task(task).active)
}
