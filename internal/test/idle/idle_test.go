// Package idle measures what an agent costs while its tasks run and nothing
// changes.
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
	replicas   = 11
	batchTasks = 12
	ticksPerS  = 100 // of /proc/<pid>/stat
	settle     = 5 * time.Second
	measured   = 20 * time.Second
)

// relay forwards connections to an address and counts the bytes in both
// directions.
type relay struct {
	listener net.Listener
	bytes    atomic.Int64
}

func newRelay(b *testing.B, target string) *relay {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	b.Cleanup(func() { listener.Close() })
	r := &relay{listener: listener}
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
			go r.copy(in, out)
			go r.copy(out, in)
		}
	}()
	return r
}

func (r *relay) copy(to, from net.Conn) {
	defer to.Close()
	_, _ = io.Copy(to, io.TeeReader(from, r))
}

func (r *relay) Write(p []byte) (int, error) {
	r.bytes.Add(int64(len(p)))
	return len(p), nil
}

// BenchmarkAgentIdle runs one agent process with 23 tasks beside a stand-in
// worker and a control replica on loopback.
func BenchmarkAgentIdle(b *testing.B) {
	folder := b.TempDir()
	binary := filepath.Join(folder, "jaygw")
	out, err := exec.Command("go", "build", "-o", binary, "../../../cmd/jaygw").CombinedOutput()
	require.NoError(b, err, string(out))
	size := jaygw.Resources{CPU: 32 * jaygw.Core, Memory: 125 * jaygw.GB}

	worker := emulator.New(size)
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	go func() { _ = http.Serve(socket, worker.Handler()) }() //nolint:gosec // a stand-in on loopback
	b.Cleanup(func() { socket.Close() })

	toControl, operators := startControl(b, folder)
	toWorker := newRelay(b, socket.Addr().String())
	process := startAgent(b, binary, folder, toControl.listener.Addr().String(), jaygw.WorkerSettings{
		Address: toWorker.listener.Addr().String(), Size: size, Slots: 8, Connections: 64,
	})
	submit(b, operators)
	require.Eventually(b, func() bool { return len(worker.Running()) == replicas+batchTasks }, time.Minute, 50*time.Millisecond)
	time.Sleep(settle)

	cpu, controlBytes, workerBytes := cpuTime(b, process), toControl.bytes.Load(), toWorker.bytes.Load()
	begun := time.Now()
	time.Sleep(measured)
	seconds := time.Since(begun).Seconds()
	b.ReportMetric(100*(cpuTime(b, process)-cpu).Seconds()/seconds, "%core")
	b.ReportMetric(float64(toControl.bytes.Load()-controlBytes)/seconds/1000, "control-KB/s")
	b.ReportMetric(float64(toWorker.bytes.Load()-workerBytes)/seconds/1000, "worker-KB/s")
	b.ReportMetric(residentMB(b, process), "MB")
	b.ReportMetric(0, "ns/op")
	require.Len(b, worker.Running(), replicas+batchTasks)
}

func startControl(b *testing.B, folder string) (relayed *relay, operators string) {
	var listeners launcher.Listeners
	for _, l := range []*net.Listener{&listeners.Operators, &listeners.Processes} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(b, err)
		*l = listener
	}
	relayed = newRelay(b, listeners.Processes.Addr().String())
	address := relayed.listener.Addr().String()
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
	return relayed, listeners.Operators.Addr().String()
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

// cpuTime returns the processor time that a process has used.
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
	return time.Duration(ticks) * time.Second / ticksPerS
}

func residentMB(b *testing.B, pid int) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	require.NoError(b, err)
	pages, err := strconv.Atoi(strings.Fields(string(data))[1])
	require.NoError(b, err)
	return float64(pages) * float64(os.Getpagesize()) / 1e6
}
