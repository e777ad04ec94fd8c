// Package idle measures the resources that an agent uses while its tasks run and nothing changes.
package idle

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/daemon/launcher"
	"github.com/jaygw/jaygw/internal/operator/client"
	"github.com/jaygw/jaygw/internal/platform/emulator"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
)

const (
	replicas    = 11
	batchTasks  = 12
	clockTicks  = 100 // clock ticks per second, the unit of time in /proc/<pid>/stat
	settleTime  = 5 * time.Second
	measureTime = 20 * time.Second
)

// countingProxy forwards connections to an address and counts the bytes in both directions.
type countingProxy struct {
	listener net.Listener
	bytes    atomic.Int64
}

func newCountingProxy(b *testing.B, target string) *countingProxy {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	b.Cleanup(func() { listener.Close() })
	p := &countingProxy{listener: listener}
	go func() {
		for {
			in, err := listener.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", target)
			if err != nil {
				in.Close()
				continue
			}
			go p.copy(in, out)
			go p.copy(out, in)
		}
	}()
	return p
}

func (p *countingProxy) copy(to, from net.Conn) {
	defer to.Close()
	_, _ = io.Copy(to, io.TeeReader(from, p))
}

// Write counts the bytes that pass through the proxy.
func (p *countingProxy) Write(data []byte) (int, error) {
	p.bytes.Add(int64(len(data)))
	return len(data), nil
}

// BenchmarkAgentIdle measures the processor time, traffic and memory of one agent process with 23
// running tasks. The agent is connected to an emulated worker and a control replica on loopback.
func BenchmarkAgentIdle(b *testing.B) {
	folder := b.TempDir()
	binary := filepath.Join(folder, "jaygw")
	out, err := exec.Command("go", "build", "-o", binary, "../../../cmd/jaygw").CombinedOutput()
	require.NoError(b, err, string(out))
	size := jaygw.Resources{CPU: 32 * jaygw.Core, Memory: 125 * jaygw.GB}

	worker := emulator.New(size)
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	go func() { _ = http.Serve(socket, worker.Handler()) }() //nolint:gosec // an emulated worker on loopback
	b.Cleanup(func() { socket.Close() })

	toControl, operators := startControl(b, folder)
	toWorker := newCountingProxy(b, socket.Addr().String())
	process := startAgent(b, binary, folder, toControl.listener.Addr().String(), jaygw.WorkerSettings{
		Address: toWorker.listener.Addr().String(), Size: size, Slots: 8, Connections: 64,
	})
	submit(b, operators)
	require.Eventually(b, func() bool { return len(worker.Running()) == replicas+batchTasks }, time.Minute, 50*time.Millisecond)
	time.Sleep(settleTime)

	cpu, controlBytes, workerBytes := cpuTime(b, process), toControl.bytes.Load(), toWorker.bytes.Load()
	started := time.Now()
	time.Sleep(measureTime)
	seconds := time.Since(started).Seconds()
	b.ReportMetric(100*(cpuTime(b, process)-cpu).Seconds()/seconds, "%core")
	b.ReportMetric(float64(toControl.bytes.Load()-controlBytes)/seconds/1000, "control-KB/s")
	b.ReportMetric(float64(toWorker.bytes.Load()-workerBytes)/seconds/1000, "worker-KB/s")
	b.ReportMetric(residentMB(b, process), "MB")
	b.ReportMetric(0, "ns/op")
	require.Len(b, worker.Running(), replicas+batchTasks)
}

func startControl(b *testing.B, folder string) (proxy *countingProxy, operators string) {
	var listeners launcher.Listeners
	for _, l := range []*net.Listener{&listeners.Operators, &listeners.Processes} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(b, err)
		*l = listener
	}
	proxy = newCountingProxy(b, listeners.Processes.Addr().String())
	address := proxy.listener.Addr().String()
	log := logrus.New()
	log.SetLevel(logrus.ErrorLevel)
	process := launcher.New(jaygw.Settings{
		Name: "control-1", Group: jaygw.DefaultGroup, Region: "r", Domain: "a", Advertise: address,
		Control: &jaygw.ControlSettings{ID: 1, DataFolder: filepath.Join(folder, "data"), Members: []jaygw.Member{
			{ID: 1, Name: "control-1", Address: address, Domain: "a", Voter: true},
		}},
	}, launcher.WithListeners(listeners), launcher.WithLogger(log))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = process.Run(ctx, jaygw.RoleControl)
	}()
	b.Cleanup(func() {
		cancel()
		<-done
	})
	return proxy, listeners.Operators.Addr().String()
}

func startAgent(b *testing.B, binary, folder, control string, worker jaygw.WorkerSettings) int {
	data, err := json.Marshal(jaygw.Settings{
		Name: "vm-1", Group: jaygw.DefaultGroup, Region: "r", Domain: "a", Rack: "a-1",
		Listen: jaygw.Listen{Processes: "127.0.0.1:0"}, Peers: []string{control}, Worker: &worker,
		Log: jaygw.LogSettings{Level: "warning"},
	})
	require.NoError(b, err)
	file := filepath.Join(folder, "agent.json")
	require.NoError(b, os.WriteFile(file, data, 0o600))
	command := exec.Command(binary, "agent", "--settings", file)
	command.Stderr = os.Stderr
	require.NoError(b, command.Start())
	b.Cleanup(func() {
		_ = command.Process.Kill()
		_, _ = command.Process.Wait()
	})
	return command.Process.Pid
}

func submit(b *testing.B, operators string) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	small := jaygw.Resources{CPU: jaygw.Core, Memory: jaygw.GB}
	document := jaygw.Document{
		Environment: "booking", Number: 1,
		Domains:  []jaygw.DomainSpec{{Name: "a", Region: "r"}},
		Teams:    []jaygw.TeamSpec{{Name: "ledgers", Quota: jaygw.Resources{CPU: 100 * jaygw.Core, Memory: 500 * jaygw.GB}}},
		Services: []jaygw.ServiceSpec{{Name: "days", Team: "ledgers", Class: jaygw.LatencyCritical, Replicas: replicas, Resources: small, Timeout: jaygw.Duration(time.Second)}},
	}
	operator := client.New(operators)
	var digest string
	require.Eventually(b, func() bool {
		submitted, err := operator.Submit(ctx, document, "test")
		digest = submitted.Digest
		return err == nil
	}, time.Minute, 100*time.Millisecond)
	promoted, err := operator.Promote(ctx, document.Environment, digest, "test")
	require.NoError(b, err)
	require.Nil(b, promoted.Refusal)
	require.Eventually(b, func() bool {
		accepted, err := operator.SubmitJob(ctx, jaygw.JobSpec{
			Name: "statements", Environment: document.Environment, Team: "ledgers", Tasks: batchTasks,
			Resources: small, RunTime: jaygw.Duration(time.Hour),
		})
		return err == nil && accepted.Refusal == nil
	}, time.Minute, 100*time.Millisecond)
}

// cpuTime returns the user and system time that a process has used.
func cpuTime(b *testing.B, pid int) time.Duration {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	require.NoError(b, err)
	fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+1:]))
	var ticks int
	for _, field := range fields[11:13] { // user and system time
		n, err := strconv.Atoi(field)
		require.NoError(b, err)
		ticks += n
	}
	return time.Duration(ticks) * time.Second / clockTicks
}

// residentMB returns the resident memory of a process in megabytes of 10^6 bytes.
func residentMB(b *testing.B, pid int) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	require.NoError(b, err)
	pages, err := strconv.Atoi(strings.Fields(string(data))[1])
	require.NoError(b, err)
	return float64(pages) * float64(os.Getpagesize()) / 1e6
}
