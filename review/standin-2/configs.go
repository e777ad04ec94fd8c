package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	manyRoutes     = 7300
	ordersInFlight = 8
	memoryLimitMB  = 284
	sampleInterval = 20 * time.Millisecond

	rounds     = 20
	roundPause = 2 * time.Second
	roundsTime = 85 * time.Second // after which no further round begins

	// faultEnds is how often processes end by themselves on half of the core in a day that counts nothing.
	faultEnds = 3
)

// playConfigs has the operator send changes of a config with many routes, eight at a time, while the platform kills a process that
// uses more memory than its VM has. TROUBLE=0 sends the changes of a config with one route.
func playConfigs(ctx context.Context, e *estate, trouble string) ([]string, error) {
	operators, _, err := e.startControl()
	if err != nil {
		return nil, err
	}
	if err := e.caller.putConfig(ctx, operators); err != nil {
		return nil, err
	}
	routes := 1
	if trouble != "0" {
		routes = manyRoutes
	}
	watched, stop := context.WithCancel(ctx)
	watches := make([]*memoryWatch, len(e.processes))
	var watching sync.WaitGroup
	for i, p := range e.processes {
		watches[i] = &memoryWatch{process: p}
		watching.Go(func() { e.limitMemory(watched, watches[i]) })
	}
	version, begin := 1, time.Now()
	var acked, unanswered atomic.Int64
	for round := 0; round < rounds && time.Since(begin) < roundsTime; round++ {
		var orders sync.WaitGroup
		for range ordersInFlight {
			version++
			body, turn := manyRouteConfig(version, routes), version
			orders.Go(func() {
				if e.caller.order(ctx, "/jaygw/configuration/replace", body, operators, turn) {
					acked.Add(1)
				} else {
					unanswered.Add(1)
				}
			})
		}
		orders.Wait()
		if err := pause(ctx, roundPause); err != nil {
			break
		}
	}
	stop()
	watching.Wait()
	core, faulty := 0, 0
	for _, w := range watches {
		e.rec.line("%s on %s: over its memory %d times, at most %d MB", w.process.role, w.process.vm.name, w.kills, w.highest)
		if w.process.role != "control" {
			continue
		}
		core++
		if w.kills >= faultEnds {
			faulty++
		}
	}
	e.rec.line("%d changes acknowledged, %d without an ack", acked.Load(), unanswered.Load())
	if 2*faulty >= core {
		return []string{fmt.Sprintf("Fault: on %d of %d core VMs the control process was over its memory %d times or more", faulty, core, faultEnds)}, ctx.Err()
	}
	return nil, ctx.Err()
}

// memoryWatch counts how often a process was over its memory.
type memoryWatch struct {
	process *process
	kills   int
	highest int64 // in MB
}

// limitMemory kills a process that uses more memory than its VM has, and starts it again, as the platform does.
func (e *estate) limitMemory(ctx context.Context, w *memoryWatch) {
	for pause(ctx, sampleInterval) == nil {
		used := memoryOf(w.process)
		w.highest = max(w.highest, used)
		if used <= memoryLimitMB {
			continue
		}
		w.kills++
		e.rec.line("%s on %s uses %d MB", w.process.role, w.process.vm.name, used)
		e.kill(w.process)
		if pause(ctx, 500*time.Millisecond) != nil || e.startAgain(w.process, false) != nil {
			return
		}
	}
}

// memoryOf returns the memory of a process in MB, without its program file.
func memoryOf(p *process) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	if err != nil {
		return 0 // it has ended
	}
	for line := range strings.Lines(string(data)) {
		var kb int64
		if n, _ := fmt.Sscanf(line, "RssAnon: %d kB", &kb); n == 1 {
			return kb / 1024
		}
	}
	return 0
}

// manyRouteConfig returns a config with a number of routes.
func manyRouteConfig(version, routes int) string {
	var b strings.Builder
	fmt.Fprintf(&b, `{"version":%d,"routes":[`, version)
	for i := range routes {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, `{"name":"r-%07d","host":"host%04d.example","path-prefix":"/pule%05d/","kind":"non_idempotent","timeout-ms":3000,`+
			`"target-latency-ms":%d,"priority":0,"service":"%s","max-attempts":4,"stretch":2.2}`, i, i%100, i, 1000+version%7, serviceName)
	}
	fmt.Fprintf(&b, `],"services":[{"name":"%s","health-path":"/health","max-connections":64,"protocol":"h1","tls":false,"cold-start-s":0.0,`+
		`"cold-per-s":0.0,"admission-control":false,"spare":false}],"limits":{"max-header-bytes":16384,"max-body-bytes":262144,"header-timeout-ms":3000,"idle-timeout-ms":15000}}`, serviceName)
	return b.String()
}
