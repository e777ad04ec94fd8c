package checker

import (
	"fmt"
	"net"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/config/decoder"
)

// Node decodes and validates the settings of a process with the given role on a VM whose address a
// platform assigns. The findings name the file; the settings are usable only if there are none.
func Node(file string, data []byte, role jaygw.Role) (jaygw.NodeSettings, jaygw.Findings) {
	var s jaygw.NodeSettings
	findings := decoder.Decode(file, data, &s)
	if len(findings) > 0 {
		return s, findings
	}
	v := &validator{file: file}
	v.node(s, role)
	return s, v.findings
}

func (v *validator) node(s jaygw.NodeSettings, role jaygw.Role) {
	if s.Name == "" {
		v.addFinding("name", "is missing")
	}
	if s.Group == "" {
		v.addFinding("group", "is missing")
	}
	if s.Domain == "" {
		v.addFinding("failure-domain", "is missing")
	}
	if net.ParseIP(s.Address) == nil {
		v.addFinding("address", "%q is not an IP address", s.Address)
	}
	if s.ProcessPort < 1 || s.ProcessPort > 65535 {
		v.addFinding("process-port", "%d is not a port", s.ProcessPort)
	}
	if len(s.Seeds) == 0 {
		v.addFinding("seeds", "is missing")
	}
	for i, seed := range s.Seeds {
		v.address(fmt.Sprintf("seeds[%d]", i), seed, true)
	}
	for _, l := range []struct {
		path, address string
		required      bool
	}{
		{"listen.callers", s.Listen.Callers, role == jaygw.RoleEntry},
		{"listen.ready", s.Listen.Ready, role == jaygw.RoleEntry},
		{"listen.operators", s.Listen.Operators, role != jaygw.RoleEntry},
		{"listen.metrics", s.Listen.Metrics, false},
		{"listen.processes", s.Listen.Processes, false},
		{"worker", s.Worker, role == jaygw.RoleAgent},
		{"adviser", s.Adviser, false},
	} {
		switch {
		case l.address != "":
			v.address(l.path, l.address, true)
		case l.required:
			v.addFinding(l.path, "is missing")
		}
	}
	if s.ToleratedLosses < 0 {
		v.addFinding("tolerated-losses", "must not be negative")
	}
	if s.Memory < 0 {
		v.addFinding("memory", "must not be negative")
	}
	if s.FileDescriptors < 0 {
		v.addFinding("file-descriptors", "must not be negative")
	}
	if role == jaygw.RoleAgent && s.LongestLease <= 0 {
		v.addFinding("longest-lease", "must be more than zero")
	}
}
