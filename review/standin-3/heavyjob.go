package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// manySteps is the number of steps of a job whose body has less than max-body-bytes.
	manySteps = 20_000

	// The wide job has one step of small tasks, all of which fit on the workers at the same time: they take 60 of 176 cores.
	wideTasks = 12_000
	wideCPU   = 5 // thousandths of a core
	wideWork  = 20 * time.Second

	// lastingTasks is the number of tasks of the job that lasts, and lastingCheck the time between two checks. Each has to run again
	// within restartLimit: 6 s after its last run, and the 3 s for which it may have nothing running from then on.
	lastingTasks = 6
	restartLimit = 9 * time.Second
	lastingCheck = 100 * time.Millisecond

	// The ordinary jobs: two a second, a quarter of the traffic of a small deployment.
	ordinaryJobs     = 40
	ordinaryInterval = 500 * time.Millisecond
)

// playManySteps hands in one job of many steps, each of one task.
func playManySteps(rec *record, trouble bool) ([]string, error) {
	return playHeavyJob(rec, trouble, `{"specification":"work 300","steps":[`+strings.TrimSuffix(strings.Repeat(`{"count":1},`, manySteps), ",")+`]}`)
}

// playWideJob hands in one job of one step with many small tasks.
func playWideJob(rec *record, trouble bool) ([]string, error) {
	return playHeavyJob(rec, trouble, fmt.Sprintf(`{"specification":"work %d","steps":[{"count":%d,"cpu":%d,"requested-memory-mb":10,"estimated-ms":%d}]}`,
		wideWork.Milliseconds(), wideTasks, wideCPU, wideWork.Milliseconds()))
}

// playHeavyJob hands in a job, and checks whether the tasks of another job that last stay at work, and whether the ordinary jobs of other
// clients are run and answered for.
func playHeavyJob(rec *record, trouble bool, body string) ([]string, error) {
	e, err := newEstate(rec, size{controls: 3, workers: 11})
	if e != nil {
		defer e.end()
	}
	if err != nil {
		return nil, err
	}
	if !e.configure(mainRoute) {
		return nil, errNotReady
	}
	first, feed := smallJob(mainRoute, "00000000000000a1"), feedJob(mainRoute, "00000000000000a2")
	if !e.submit(first) || !e.submit(feed) || !e.awaitState(first, "completed", finishTime) || !e.awaitState(feed, "running", finishTime) {
		return nil, errNotReady
	}
	time.Sleep(ackTimeout) // a calm start
	stop, missing := make(chan struct{}), make(chan []string, 1)
	go func() { missing <- watchLasting(rec, feed.id, stop) }()
	var clients sync.WaitGroup
	if trouble {
		clients.Go(func() { e.submit(&job{route: mainRoute, id: "00000000000000b1", body: body}) })
	}
	var jobs []*job
	for i := range ordinaryJobs {
		j := smallJob(mainRoute, fmt.Sprintf("00000000000001%02x", i))
		jobs = append(jobs, j)
		clients.Go(func() { e.submit(j) })
		time.Sleep(ordinaryInterval)
	}
	clients.Wait()
	rec.add("traffic", "ends")
	time.Sleep(finishTime)
	close(stop)
	broken := append(<-missing, e.checkJobs(append(jobs, feed))...)
	rec.add("summary", "leaders in all: %d", e.leaderChanges())
	return broken, nil
}

// checkJobs returns which accepted jobs are not answered for, or have not started, finishTime after the traffic.
func (e *estate) checkJobs(jobs []*job) []string {
	var mu sync.Mutex
	var broken []string
	var clients sync.WaitGroup
	refused := 0
	for _, j := range jobs {
		if j.accepted.IsZero() {
			refused++
			continue
		}
		clients.Go(func() {
			status, answer := e.state(j)
			for attempt := 0; attempt < clientRetries && status != http.StatusOK; attempt++ {
				status, answer = e.state(j)
			}
			mu.Lock()
			defer mu.Unlock()
			switch {
			case status != http.StatusOK:
				broken = append(broken, fmt.Sprintf("LOST: job %s was accepted, and its state is answered with %d, %s after the traffic", j.id, status, finishTime))
			case e.record.starts(j.id) == 0:
				broken = append(broken, fmt.Sprintf("LOST: job %s was accepted, and has not started %s after the traffic: %s", j.id, finishTime, answer))
			}
		})
	}
	clients.Wait()
	e.record.add("summary", "%d of %d jobs were not accepted in %d attempts each", refused, len(jobs), 1+clientRetries)
	return broken
}

// watchLasting returns the tasks of a job that were not at work for longer than restartLimit, once each.
func watchLasting(rec *record, job string, stop <-chan struct{}) []string {
	var broken []string
	since, reported := map[string]time.Time{}, map[string]bool{}
	for {
		select {
		case <-stop:
			return broken
		case now := <-time.After(lastingCheck):
			for i := range lastingTasks {
				task := fmt.Sprintf("%s.0.0.%d", job, i)
				if rec.isActive(task) {
					delete(since, task)
					continue
				}
				if since[task].IsZero() {
					since[task] = now
				}
				if now.Sub(since[task]) > restartLimit && !reported[task] {
					reported[task] = true
					broken = append(broken, fmt.Sprintf("LOST: task %s, which lasts, has not run for more than %s", task, restartLimit))
					rec.add("found", "%s", broken[len(broken)-1])
				}
			}
		}
	}
}

// feedJob returns a job of tasks that last.
func feedJob(r route, id string) *job {
	return &job{route: r, id: id, body: fmt.Sprintf(
		`{"specification":"feed","steps":[{"count":%d,"cpu":1000,"requested-memory-mb":6400,"long-running":true}]}`, lastingTasks)}
}
