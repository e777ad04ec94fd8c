package jaygw

type (
	// Settings configures one process.
	Settings struct {
		Name string `json:"name"`
		// Group is the name of the control group.
		Group  string `json:"group"`
		Region string `json:"region"`
		// Domain is the failure domain of the VM.
		Domain string `json:"failure-domain"`
		Rack   string `json:"rack"`
		Listen Listen `json:"listen"`
		// Advertise is the address at which other processes reach listen.processes; empty if
		// it is the same.
		Advertise string `json:"advertise,omitempty"`
		// Peers holds the addresses of control replicas, the nearest first. An agent needs
		// them, and an entry without a replica of its own.
		Peers []string `json:"peers,omitempty"`
		// Control configures a control replica in this process; nil if it has none.
		Control *ControlSettings `json:"control,omitempty"`
		// Worker describes the upstream of an agent; nil in other processes.
		Worker *WorkerSettings `json:"worker,omitempty"`
		Limits RequestLimits   `json:"limits,omitempty"`
		Log    LogSettings     `json:"log,omitempty"`
		// TLS secures the connections between processes. Without it, only loopback addresses
		// are allowed.
		TLS *TLSSettings `json:"tls,omitempty"`
		// TokenFile is the file with the token that operators have to present; empty if they
		// need none.
		TokenFile string `json:"operator-token-file,omitempty"`
	}

	// Listen holds the addresses, each with a port, that a process listens on.
	Listen struct {
		// Callers is where an entry serves callers, in HTTP.
		Callers string `json:"callers,omitempty"`
		// Operators is where entries and control replicas serve operators, in HTTP.
		Operators string `json:"operators,omitempty"`
		// Processes is where the other processes connect, in drpc.
		Processes string `json:"processes,omitempty"`
	}

	// ControlSettings configures a replica of the control state.
	ControlSettings struct {
		// ID is the replica's id in the group; it is not zero.
		ID uint64 `json:"id"`
		// DataFolder holds the log and the snapshots; it must exist.
		DataFolder string `json:"data-folder"`
		// Members lists all replicas of a new group; empty if the replica joins one.
		Members []Member `json:"members,omitempty"`
		// Join makes the replica start as a learner of an existing group.
		Join bool `json:"join,omitempty"`
	}

	// WorkerSettings describes the upstream on the VM of an agent.
	WorkerSettings struct {
		// Address is the HTTP address of the platform's worker and of its services.
		Address string `json:"address"`
		// Size is the capacity of the VM for tasks.
		Size Resources `json:"size"`
		// Slots is how many requests the worker handles at the same time.
		Slots int `json:"slots"`
		// Connections bounds the connections to the worker; it is at least Slots.
		Connections int `json:"connections"`
		// Services lists services that run on the VM without being scheduled.
		Services []string `json:"services,omitempty"`
	}

	// RequestLimits bounds what a process accepts. Zero stands for the default.
	RequestLimits struct {
		// HeaderBytes bounds the header of a request; the default is 64 KiB.
		HeaderBytes int `json:"header-bytes,omitempty"`
		// BodyBytes bounds the body of a request at an entry; the default is 64 MiB.
		BodyBytes Bytes `json:"body-bytes,omitempty"`
		// Requests bounds the requests in flight at an entry; the default is 2048.
		Requests int `json:"requests,omitempty"`
		// QueueLength bounds the requests that wait for a slot at an agent; the default is
		// 8.
		QueueLength int `json:"queue-length,omitempty"`
		// DrainTimeout bounds the time in which a stopping process finishes the requests in
		// flight; the default is 30 s.
		DrainTimeout Duration `json:"drain-timeout,omitempty"`
		// BalancerWait is the time for which a stopping process still accepts requests after
		// it has reported that it is not ready, until load balancers or entries know. The
		// default is 5 s at an entry and 3 s at an agent.
		BalancerWait Duration `json:"balancer-wait,omitempty"`
	}

	// LogSettings configures the log.
	LogSettings struct {
		// Level is debug, info, warning or error; empty stands for info.
		Level string `json:"level,omitempty"`
		// Format is text or json; empty stands for text.
		Format string `json:"format,omitempty"`
	}

	// TLSSettings names the PEM files for connections between processes. Both sides are
	// verified against the certificate authority (CA).
	TLSSettings struct {
		CAFile          string `json:"ca-file"`
		CertificateFile string `json:"certificate-file"`
		KeyFile         string `json:"key-file"`
	}
)

const (
	// DefaultGroup is the control group of an installation with only one.
	DefaultGroup = "main"

	// RoleEntry is the daemon that serves callers.
	RoleEntry Role = "entry"
	// RoleControl is the daemon that only runs a control replica.
	RoleControl Role = "control"
	// RoleAgent is the daemon on the VM of an upstream.
	RoleAgent Role = "agent"
)

// Role is the kind of a daemon.
type Role string
