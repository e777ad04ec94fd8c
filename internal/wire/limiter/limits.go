package limiter

import (
	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/config/detector"
)

// Limits bounds what all clients of a process take together. Zero values set no bound.
type Limits struct {
	// Bytes bounds the memory for bodies, their decoded form, and large headers.
	Bytes int64
	// Connections bounds the connections of the main listener, and PerAddress those from one address.
	Connections, PerAddress int
	// ProbeConnections bounds the connections of each listener for metrics or the readiness.
	ProbeConnections int
	// ReadBuffer is the size of the receive buffer of a connection, in bytes: what has arrived and was not read also takes memory.
	ReadBuffer int
	// ProcessMemory is the limit for the garbage collector.
	ProcessMemory int64
	// State bounds the workflows in the control state, and Log the entries of the log between two snapshots.
	State, Log int64
}

const (
	// programMemory is the memory of a process that serves nobody, with the mapped program.
	programMemory = 24 * jaygw.MB

	// collectorReserve is the part of the memory that the garbage collector does not see: the mapped
	// program and what the operating system keeps for it.
	collectorReserve = 16 * jaygw.MB

	// connectionMemory is what an open connection takes: buffers and stacks.
	connectionMemory = 12 * 1024

	// fileDescriptors is reserved for files, as the platform reserves it, and for other processes.
	fileDescriptors = 200

	// probeConnections bounds the connections of each listener for metrics or the readiness if no descriptors are set, and
	// probeShare is their part of the descriptors otherwise. leastConnections is the least of any bound.
	probeConnections = 128
	probeShare       = 32
	leastConnections = 32

	// The shares of the free memory of a control process for the state and the log. A snapshot holds the state in memory up to
	// four times.
	stateShare, logShare = 8, 16

	// The log has from leastLogBytes to mostLogBytes.
	leastLogBytes, mostLogBytes = 2 << 20, 32 << 20

	// unreadShare is the share of the memory for what has arrived on all connections and was not read. A receive buffer has
	// from leastReadBuffer to mostReadBuffer.
	unreadShare                     = 16
	leastReadBuffer, mostReadBuffer = 4 << 10, 64 << 10

	// leastBytes lets one large body be served at a time on the smallest VM.
	leastBytes = 2 << 20
)

// LimitsFor returns the limits for a process that may use so much. An entry serves mostly callers; the other roles keep most of
// their memory and descriptors for the control state and for processes.
func LimitsFor(allowance detector.Allowance, role jaygw.Role) Limits {
	var limits Limits
	if allowance.Memory > 0 {
		free := int64(max(0, allowance.Memory-programMemory))
		share := int64(8)
		if role == jaygw.RoleEntry {
			share = 4
		}
		limits.Bytes = max(leastBytes, free/share)
		limits.Connections = int(max(leastConnections, free/4/connectionMemory))
		if role == jaygw.RoleControl {
			limits.State, limits.Log = free/stateShare, min(max(free/logShare, leastLogBytes), mostLogBytes)
		}
		limits.ProcessMemory = int64(max(allowance.Memory/2, allowance.Memory-collectorReserve)) * 9 / 10
	}
	probes := probeConnections
	if allowance.FileDescriptors > 0 {
		free := allowance.FileDescriptors - fileDescriptors
		probes = max(leastConnections, free/probeShare)
		if role == jaygw.RoleEntry {
			free = free * 7 / 8
		} else {
			free /= 4
		}
		free = max(leastConnections, free)
		if limits.Connections == 0 || free < limits.Connections {
			limits.Connections = free
		}
	}
	if limits.Connections > 0 {
		limits.PerAddress, limits.ProbeConnections = max(1, limits.Connections*3/4), probes
		if allowance.Memory > 0 {
			limits.ReadBuffer = min(max(int(allowance.Memory)/unreadShare/limits.Connections, leastReadBuffer), mostReadBuffer)
		}
	}
	return limits
}
