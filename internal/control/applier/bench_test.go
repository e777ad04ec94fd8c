package applier_test

import (
	"fmt"
	"os"
	"regexp"
	"runtime"
	"strconv"
	"testing"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/control/applier"
	"github.com/stretchr/testify/require"
)

const (
	targetVMs      = 2_400
	targetTeams    = 170
	targetServices = 72  // with 100 replicas each
	targetJobs     = 490 // with 100 tasks each
)

// newTargetLog returns a log whose machine has the target size: 7,200 replicas and 49,000
// batch tasks of 170 teams run on 2,400 VMs.
func newTargetLog(b *testing.B) *commandLog {
	l := &commandLog{t: b, machine: applier.New("main"), now: 1}
	vmSize := jaygw.Resources{CPU: 64 * jaygw.Core, Memory: 256 * jaygw.GB}
	one := jaygw.Resources{CPU: jaygw.Core, Memory: jaygw.GB}
	document := jaygw.Document{Environment: "print", Number: 1}
	for i := range 16 {
		document.Domains = append(document.Domains, jaygw.DomainSpec{Name: fmt.Sprintf("d%d", i), Region: "r"})
	}
	for i := range targetTeams {
		document.Teams = append(document.Teams, jaygw.TeamSpec{
			Name: fmt.Sprintf("team-%d", i), Quota: jaygw.Resources{CPU: 1e8, Memory: 1e15},
		})
	}
	for i := range targetServices {
		document.Services = append(document.Services, jaygw.ServiceSpec{
			Name: fmt.Sprintf("service-%d", i), Team: fmt.Sprintf("team-%d", i%targetTeams), Replicas: 100, Resources: one,
		})
	}
	l.accept(jaygw.Command{Submit: &jaygw.SubmitDocument{Document: document, Digest: "d1"}})
	l.accept(jaygw.Command{Promote: &jaygw.PromoteDocument{Environment: "print", Digest: "d1"}})
	for i := range targetVMs {
		l.accept(jaygw.Command{AnnounceVM: &jaygw.AnnounceVM{VM: jaygw.VM{
			Name: fmt.Sprintf("vm-%d", i), Domain: fmt.Sprintf("d%d", i%16), Rack: fmt.Sprintf("r%d", i/20), Incarnation: 1,
			Size: vmSize, Address: fmt.Sprintf("10.0.%d.%d:7420", i/250, i%250),
		}}})
	}
	for i := range targetJobs {
		l.accept(jaygw.Command{SubmitJob: &jaygw.SubmitJob{Spec: jaygw.JobSpec{
			Name: fmt.Sprintf("job-%d", i), Environment: "print", Team: fmt.Sprintf("team-%d", i%targetTeams), Tasks: 100, Resources: one,
		}}})
	}
	number := 0
	for id := range l.machine.State().Tasks {
		vm := fmt.Sprintf("vm-%d", number%targetVMs)
		number++
		result := l.apply(jaygw.Command{Grant: &jaygw.GrantTasks{Grants: []jaygw.Grant{{Task: id, VM: vm, Incarnation: 1, Reserve: one}}}})
		require.Empty(b, result.Results[0].Code, result.Results[0].Detail)
		l.report(vm, jaygw.Started, id, 1)
	}
	require.Len(b, l.machine.State().Tasks, 56_200)
	return l
}

// residentBytes returns the resident memory of the process, or zero if it is unknown.
func residentBytes() float64 {
	data, err := os.ReadFile("/proc/self/status")
	match := regexp.MustCompile(`VmRSS:\s+(\d+) kB`).FindSubmatch(data)
	if err != nil || match == nil {
		return 0
	}
	kilobytes, _ := strconv.ParseFloat(string(match[1]), 64)
	return kilobytes * 1024
}

// BenchmarkSnapshotAtTarget encodes snapshots while commands are applied and measures the
// longest delay of a command.
func BenchmarkSnapshotAtTarget(b *testing.B) {
	l := newTargetLog(b)
	runtime.GC()
	var heap runtime.MemStats
	runtime.ReadMemStats(&heap)
	var copying, encoding, stall time.Duration
	var size int
	for b.Loop() {
		start := time.Now()
		encode := l.machine.Snapshot()
		copying = max(copying, time.Since(start))
		stall = max(stall, time.Since(start))
		done := make(chan time.Duration, 1)
		go func() {
			start := time.Now()
			data, err := encode()
			if err == nil {
				size = len(data)
			}
			done <- time.Since(start)
		}()
		for number, running := 0, true; running; number++ {
			applied := time.Now()
			l.apply(jaygw.Command{SetDomain: &jaygw.SetDomain{Name: "d1", Out: number%2 == 0}})
			stall = max(stall, time.Since(applied))
			select {
			case took := <-done:
				encoding = max(encoding, took)
				running = false
			default:
				time.Sleep(100 * time.Microsecond)
			}
		}
	}
	b.ReportMetric(float64(copying.Microseconds())/1000, "copy-ms")
	b.ReportMetric(float64(encoding.Microseconds())/1000, "encode-ms")
	b.ReportMetric(float64(stall.Microseconds())/1000, "longest-stall-ms")
	b.ReportMetric(float64(size)/1e6, "snapshot-MB")
	b.ReportMetric(float64(heap.HeapAlloc)/1e6, "heap-MB")
	b.ReportMetric(residentBytes()/1e6, "resident-MB")
}
