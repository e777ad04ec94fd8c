package main

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"
)

type (
	// jobSpec is the body of a submission.
	jobSpec struct {
		Specification string     `json:"specification"`
		Steps         []stepSpec `json:"steps"`
	}

	stepSpec struct {
		Count       int    `json:"count"`
		CPU         int64  `json:"cpu"`
		Memory      int64  `json:"requested-memory-mb"`
		EstimatedMs int64  `json:"estimated-ms,omitempty"`
		After       []int  `json:"after,omitempty"`
		LongRunning bool   `json:"long-running,omitempty"`
		Fills       bool   `json:"fills,omitempty"`
		Image       string `json:"image,omitempty"`
		Label       string `json:"requirements,omitempty"`
	}

	// registry holds the submitted jobs and what workers have run of them.
	registry struct {
		rec *record

		mu      sync.Mutex
		jobs    map[string]jobSpec
		running map[string]int       // runs at work, by job
		idle    map[string]time.Time // since when nothing of a job runs
		lastEnd map[string]time.Time // end of the last run, by task
	}
)

func newRegistry(rec *record) *registry {
	return &registry{
		rec: rec, jobs: map[string]jobSpec{}, running: map[string]int{}, idle: map[string]time.Time{}, lastEnd: map[string]time.Time{},
	}
}

// duration returns how long a run of the step takes.
func (s stepSpec) duration() time.Duration { return time.Duration(s.EstimatedMs) * time.Millisecond }

func (r *registry) add(id string, spec jobSpec) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.jobs[id], r.idle[id] = spec, time.Now()
}

// step returns the step of a task.
func (r *registry) step(task string) (stepSpec, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return stepSpec{}, false
	}
	step, err := strconv.Atoi(parts[2])
	spec, ok := r.jobs[parts[0]]
	if !ok || err != nil || step >= len(spec.Steps) {
		return stepSpec{}, false
	}
	return spec.Steps[step], true
}

func (r *registry) began(w *worker, task string, number uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running[jobOf(task)]++
	r.rec.line("run %d of %s begins on %s (%s)", number, task, w.id, w.zone)
}

func (r *registry) ended(w *worker, task string, number uint64, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running[jobOf(task)]--
	r.idle[jobOf(task)], r.lastEnd[task] = time.Now(), time.Now()
	r.rec.line("run %d of %s ends on %s: %s", number, task, w.id, how)
}

// idleTime returns how long nothing of a job has run; zero if something runs.
func (r *registry) idleTime(id string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.running[id] > 0 {
		return 0
	}
	return time.Since(r.idle[id])
}

// sinceLastEnd returns the time since the end of a task's last run.
func (r *registry) sinceLastEnd(task string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Since(r.lastEnd[task])
}

func jobOf(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}

// taskName returns the name of a task of a job without occurrences.
func taskName(id string, step, index int) string { return fmt.Sprintf("%s.0.%d.%d", id, step, index) }
