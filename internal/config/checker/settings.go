// Package checker validates settings, documents and jobs. It reports all findings of an input at
// once, each with the path of the faulty value.
package checker

import (
	"fmt"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/config/decoder"
)

type (
	// validator collects the findings of one file.
	validator struct {
		file     string
		findings jaygw.Findings
	}
)

// Upper bounds of a worker's slots and connections, and of the length of a name.
const (
	maxSlots       = 1024
	maxConnections = 4096
	maxNameBytes   = 63
)

// maxSize is the largest size of a VM or task that the control state accepts, in millicores, bytes
// and accelerators.
var maxSize = jaygw.Resources{CPU: 1 << 45, Memory: 1 << 45, Accelerators: 1 << 45}

// Settings decodes and validates the settings of a daemon with the given role. The findings name
// the file; the settings are usable only if there are none.
func Settings(file string, data []byte, role jaygw.Role) (jaygw.Settings, jaygw.Findings) {
	var s jaygw.Settings
	findings := decoder.Decode(file, data, &s)
	if len(findings) > 0 {
		// The rules are also checked on the values that could be decoded, so that one run reports
		// as many faults as possible.
		decoder.Lenient(data, &s)
	}
	v := &validator{file: file}
	v.settings(s, role)
	for _, f := range v.findings {
		if !hasFinding(findings, f) {
			findings = append(findings, f)
		}
	}
	return s, findings
}

// addFinding records a fault of the value at a path.
func (v *validator) addFinding(path, format string, args ...any) {
	v.findings = append(v.findings, jaygw.Finding{File: v.file, Path: path, Message: fmt.Sprintf(format, args...)})
}

func (v *validator) settings(s jaygw.Settings, role jaygw.Role) {
	v.name("name", s.Name)
	v.name("group", s.Group)
	v.name("region", s.Region)
	v.name("failure-domain", s.Domain)
	v.name("rack", s.Rack)
	v.addresses(s, role)
	v.peers(s, role)
	v.control(s, role)
	v.worker(s, role)
	v.limits(s.Limits)
	v.log(s.Log)
	v.tls(s)
}

// name checks that a name is present, short enough and made of lower-case letters, digits, dots
// and hyphens.
func (v *validator) name(path, name string) {
	switch {
	case name == "":
		v.addFinding(path, "is missing")
	case len(name) > maxNameBytes || strings.Trim(name, "abcdefghijklmnopqrstuvwxyz0123456789-.") != "":
		v.addFinding(path, "%q is not a name of at most %d lower-case letters, digits, dots and hyphens", name, maxNameBytes)
	}
}

func (v *validator) addresses(s jaygw.Settings, role jaygw.Role) {
	listen := []struct {
		path, address string
		required      bool
	}{
		{"listen.callers", s.Listen.Callers, role == jaygw.RoleEntry},
		{"listen.operators", s.Listen.Operators, role != jaygw.RoleAgent},
		{"listen.processes", s.Listen.Processes, true},
	}
	seen := map[string]string{}
	for _, l := range listen {
		if l.address == "" {
			if l.required {
				v.addFinding(l.path, "is missing")
			}
			continue
		}
		v.address(l.path, l.address, s.TLS != nil)
		if other, ok := seen[l.address]; ok && !strings.HasSuffix(l.address, ":0") {
			v.addFinding(l.path, "%s is already the address of %s", l.address, other)
		}
		seen[l.address] = l.path
	}
	if s.Advertise != "" {
		v.address("advertise", s.Advertise, s.TLS != nil)
	}
}

// address checks an IP address with a port. Addresses other than loopback require TLS.
func (v *validator) address(path, address string, tls bool) {
	host, port, err := net.SplitHostPort(address)
	ip := net.ParseIP(host)
	if err != nil || ip == nil {
		v.addFinding(path, "%q is not an IP address with a port", address)
		return
	}
	if number, err := strconv.ParseUint(port, 10, 16); err != nil {
		v.addFinding(path, "%q is not a port number", port)
	} else if number == 0 && !ip.IsLoopback() {
		v.addFinding(path, "port 0 is allowed on loopback only")
	}
	if !ip.IsLoopback() && !tls {
		v.addFinding(path, "%s is not a loopback address; other addresses need the tls section", address)
	}
}

func (v *validator) peers(s jaygw.Settings, role jaygw.Role) {
	if len(s.Peers) == 0 && (role == jaygw.RoleAgent || role == jaygw.RoleEntry && s.Control == nil) {
		v.addFinding("peers", "is missing; name the addresses of control replicas")
	}
	for i, peer := range s.Peers {
		path := fmt.Sprintf("peers[%d]", i)
		v.address(path, peer, s.TLS != nil)
		if slices.Index(s.Peers, peer) < i {
			v.addFinding(path, "%s is listed twice", peer)
		}
	}
}

func (v *validator) control(s jaygw.Settings, role jaygw.Role) {
	if s.Control == nil {
		if role == jaygw.RoleControl {
			v.addFinding("control", "is missing")
		}
		return
	}
	if role == jaygw.RoleAgent {
		v.addFinding("control", "an agent runs no control replica")
		return
	}
	if s.Control.ID == 0 {
		v.addFinding("control.id", "must be 1 or more")
	}
	if s.Control.DataFolder == "" {
		v.addFinding("control.data-folder", "is missing")
	} else if info, err := os.Stat(s.Control.DataFolder); err != nil || !info.IsDir() {
		v.addFinding("control.data-folder", "folder %s does not exist; create it first", s.Control.DataFolder)
	}
	v.members(*s.Control, s.TLS != nil)
}

// members checks the initial members of a control group.
func (v *validator) members(control jaygw.ControlSettings, tls bool) {
	if len(control.Members) == 0 && !control.Join {
		v.addFinding("control.members", "is missing; a new group needs its members, a replica of an existing one needs \"join\": true")
	}
	self := false
	ids := map[uint64]bool{}
	addresses := map[string]bool{}
	for i, member := range control.Members {
		path := fmt.Sprintf("control.members[%d]", i)
		v.address(path+".address", member.Address, tls)
		if ids[member.ID] || member.ID == 0 {
			v.addFinding(path+".id", "%d is zero or used twice", member.ID)
		}
		if addresses[member.Address] {
			v.addFinding(path+".address", "%s is used twice", member.Address)
		}
		ids[member.ID] = true
		addresses[member.Address] = true
		self = self || member.ID == control.ID
	}
	if len(control.Members) > 0 && !self && !control.Join {
		v.addFinding("control.id", "member %d is not in control.members", control.ID)
	}
}

func (v *validator) worker(s jaygw.Settings, role jaygw.Role) {
	if s.Worker == nil {
		if role == jaygw.RoleAgent {
			v.addFinding("worker", "is missing")
		}
		return
	}
	w := s.Worker
	v.address("worker.address", w.Address, true)
	v.size("worker.size", w.Size)
	if w.Slots < 1 || w.Slots > maxSlots {
		v.addFinding("worker.slots", "%d is not from 1 to %d", w.Slots, maxSlots)
	}
	if w.Connections < w.Slots || w.Connections > maxConnections {
		v.addFinding("worker.connections", "%d is not from the number of slots to %d", w.Connections, maxConnections)
	}
	for i, service := range w.Services {
		v.name(fmt.Sprintf("worker.services[%d]", i), service)
	}
}

// size checks that the resources of a VM or task are positive and do not exceed maxSize.
func (v *validator) size(path string, r jaygw.Resources) {
	v.amounts(path, r)
	if !r.Fits(maxSize) {
		v.addFinding(path, "is larger than any VM may be")
	}
}

// amounts checks the lower bounds of resources. It checks no upper bound, because a quota may be
// the sum of many sizes.
func (v *validator) amounts(path string, r jaygw.Resources) {
	if r.CPU < 1 {
		v.addFinding(path+".cpu-millicores", "must be 1 or more")
	}
	if r.Memory < 1 {
		v.addFinding(path+".memory-bytes", "must be 1 or more")
	}
	if r.Accelerators < 0 {
		v.addFinding(path+".accelerators", "must not be negative")
	}
}

func (v *validator) limits(l jaygw.RequestLimits) {
	for _, limit := range []struct {
		path  string
		value int64
	}{
		{"limits.header-bytes", int64(l.HeaderBytes)},
		{"limits.body-bytes", int64(l.BodyBytes)},
		{"limits.requests", int64(l.Requests)},
		{"limits.queue-length", int64(l.QueueLength)},
		{"limits.drain-timeout", int64(l.DrainTimeout)},
		{"limits.balancer-wait", int64(l.BalancerWait)},
	} {
		if limit.value < 0 {
			v.addFinding(limit.path, "must not be negative")
		}
	}
}

func (v *validator) log(l jaygw.LogSettings) {
	if !slices.Contains([]string{"", "debug", "info", "warning", "error"}, l.Level) {
		v.addFinding("log.level", "%q is not debug, info, warning or error", l.Level)
	}
	if !slices.Contains([]string{"", "text", "json"}, l.Format) {
		v.addFinding("log.format", "%q is not text or json", l.Format)
	}
}

func (v *validator) tls(s jaygw.Settings) {
	if s.TLS != nil {
		v.readable("tls.ca-file", s.TLS.CAFile)
		v.readable("tls.certificate-file", s.TLS.CertificateFile)
		v.readable("tls.key-file", s.TLS.KeyFile)
	}
	if s.TokenFile != "" {
		v.readable("operator-token-file", s.TokenFile)
	}
}

// readable checks that a file can be opened.
func (v *validator) readable(path, name string) {
	file, err := os.Open(name)
	if err != nil {
		v.addFinding(path, "cannot be read: %v", err)
		return
	}
	file.Close()
}
