package jaygw

type (
	// Settings configures one process.
	Settings struct {
		Name      string           `json:"name"`
		Group     string           `json:"group"`
		Region    string           `json:"region"`
		Domain    string           `json:"failure-domain"`
		Rack      string           `json:"rack"`
		Listen    Listen           `json:"listen"`
		Advertise string           `json:"advertise,omitempty"` // address of listen.processes as others reach it
		Peers     []string         `json:"peers,omitempty"`     // control group members, nearest first
		Control   *ControlSettings `json:"control,omitempty"`
		Worker    *WorkerSettings  `json:"worker,omitempty"`
		Limits    RequestLimits    `json:"limits,omitempty"`
		Log       LogSettings      `json:"log,omitempty"`
		TLS       *TLSSettings     `json:"tls,omitempty"`
		TokenFile string           `json:"operator-token-file,omitempty"`
	}

	// Listen holds the addresses that a process serves.
	Listen struct {
		Callers   string `json:"callers,omitempty"`   // HTTP
		Operators string `json:"operators,omitempty"` // HTTP
		Processes string `json:"processes,omitempty"` // drpc
	}

	// ControlSettings configures a replica of the control state.
	ControlSettings struct {
		ID         uint64   `json:"id"`
		DataFolder string   `json:"data-folder"`
		Members    []Member `json:"members,omitempty"` // of a new group
		Join       bool     `json:"join,omitempty"`    // start as a learner of an existing group
	}

	// WorkerSettings describes the upstream beside an agent.
	WorkerSettings struct {
		Address     string    `json:"address"` // HTTP, of the platform's worker and its services
		Size        Resources `json:"size"`
		Slots       int       `json:"slots"`
		Connections int       `json:"connections"`
		Services    []string  `json:"services,omitempty"` // served without being scheduled
	}

	// RequestLimits bounds what a process accepts.
	RequestLimits struct {
		HeaderBytes  int      `json:"header-bytes,omitempty"`
		BodyBytes    Bytes    `json:"body-bytes,omitempty"`
		Requests     int      `json:"requests,omitempty"` // at the same time
		QueueLength  int      `json:"queue-length,omitempty"`
		DrainTimeout Duration `json:"drain-timeout,omitempty"`
		BalancerWait Duration `json:"balancer-wait,omitempty"` // between "not ready" and the end of accepting
	}

	// LogSettings configures the log.
	LogSettings struct {
		Level  string `json:"level,omitempty"`  // debug, info, warning or error
		Format string `json:"format,omitempty"` // text or json
	}

	// TLSSettings names the files for connections between processes. Both sides
	// are verified against the CA.
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
	// RoleAgent is the daemon beside an upstream.
	RoleAgent Role = "agent"
)

// Role is the kind of a daemon.
type Role string
