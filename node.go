package jaygw

import (
	"net"
	"strconv"
)

type (
	// NodeSettings configures a process on a VM whose address and control group members
	// are assigned by a platform. The platform's network is trusted: connections are plain
	// TCP.
	NodeSettings struct {
		Name string `json:"name"`
		// Group is the name of the control group.
		Group  string `json:"group"`
		Region string `json:"region"`
		// Domain is the failure domain of the VM.
		Domain string `json:"failure-domain"`
		// Domains lists all failure domains of the estate.
		Domains []string `json:"failure-domains"`
		// Address is the IP address of the VM, without a port.
		Address string `json:"address"`

		// ProcessPort is the port of control replicas for other processes, the same on
		// all VMs.
		ProcessPort int        `json:"process-port"`
		Listen      NodeListen `json:"listen"`
		// Seeds are the addresses of some control VMs, each with a port that is ignored.
		Seeds []string `json:"seeds"`

		// FirstStart is set while the estate starts for the first time, with empty
		// disks. The replicas at the seeds then bootstrap the control group.
		FirstStart bool `json:"first-start"`
		// DataFolder holds the log of a control replica. A control process without it runs
		// no replica.
		DataFolder string `json:"data-folder,omitempty"`
		// Worker is the address of the worker on an agent's VM; other roles have none.
		Worker string `json:"worker,omitempty"`
		// LongestLease is the longest lease that the worker accepts at a time. It must be
		// positive for an agent; other roles ignore it.
		LongestLease Duration `json:"longest-lease,omitempty"`
		// Adviser is the address of the service that issues tickets; empty if there is none.
		Adviser string `json:"adviser,omitempty"`
		// ToleratedLosses is how many control VMs may be lost at the same time. The group keeps
		// enough voters to retain a quorum without them.
		ToleratedLosses int `json:"tolerated-losses,omitempty"`
		// Memory is the memory that the process may use. Zero stands for GOMEMLIMIT, the limit of its control group, or
		// half of the VM's memory, in this order.
		Memory Bytes `json:"memory,omitempty"`
		// FileDescriptors is how many descriptors the process may open. Zero stands for the limit of open files.
		FileDescriptors int `json:"file-descriptors,omitempty"`
		// LookAhead makes placement hold claims for tasks that wait for much room.
		LookAhead bool `json:"look-ahead,omitempty"`
		// PaceByUrgency makes agents slow down spare runs of late workflows first.
		PaceByUrgency bool `json:"pace-by-urgency,omitempty"`
		// Admission refuses workflows that would end too late to be of use.
		Admission bool `json:"admission,omitempty"`
		// CopiesOff starts no second run of a late task, also where its step allows copies.
		CopiesOff bool `json:"copies-off,omitempty"`
		// Grace is the time between the signal to stop and the end of the process; zero
		// stands for 6 s.
		Grace Duration    `json:"grace,omitempty"`
		Log   LogSettings `json:"log,omitempty"`
	}

	// NodeListen holds the addresses, each with a port, that a process listens on. Empty
	// ones are not served, except Processes.
	NodeListen struct {
		// Callers is where an entry serves callers.
		Callers string `json:"callers,omitempty"`
		// Ready is where an entry serves its readiness to the platform's load balancer.
		Ready string `json:"ready,omitempty"`
		// Operators is where a control process serves operators, and an agent the reports
		// of its worker.
		Operators string `json:"operators,omitempty"`
		// Metrics is where metrics are served as text.
		Metrics string `json:"metrics,omitempty"`
		// Processes is where a control replica listens for other processes if that differs
		// from its process address, such as behind a port forwarder.
		Processes string `json:"processes,omitempty"`
	}
)

// SeedPeers returns the process addresses of the control replicas at the seeds.
func (s NodeSettings) SeedPeers() []string {
	var peers []string
	for _, seed := range s.Seeds {
		host, _, err := net.SplitHostPort(seed)
		if err != nil {
			continue // reported by the check of the settings
		}
		peers = append(peers, s.ProcessAddress(host))
	}
	return peers
}

// ProcessAddress returns the process address of a control replica at an IP address.
func (s NodeSettings) ProcessAddress(host string) string {
	return net.JoinHostPort(host, strconv.Itoa(s.ProcessPort))
}
