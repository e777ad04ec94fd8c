// Package checker validates settings and documents. It reports all findings at
// once, each with its place.
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
	// collector gathers the findings of one file.
	collector struct {
		file     string
		findings jaygw.Findings
	}
)

const (
	maxSlots       = 1024
	maxConnections = 4096
	maxNameBytes   = 63
)

// maxSize is the largest size of a VM or task that the control state accepts.
var maxSize = jaygw.Resources{CPU: 1 << 45, Memory: 1 << 45, Accelerators: 1 << 45}

// Settings reads and validates the settings of a daemon.
func Settings(file string, data []byte, role jaygw.Role) (jaygw.Settings, jaygw.Findings) {
	var s jaygw.Settings
	findings := decoder.Decode(file, data, &s)
	if len(findings) > 0 {
		// The rules are checked on what could be read, so that one run shows as
		// many faults as possible.
		decoder.Lenient(data, &s)
	}
	c := &collector{file: file}
	c.settings(s, role)
	for _, f := range c.findings {
		if !covered(findings, f) {
			findings = append(findings, f)
		}
	}
	return s, findings
}

func (c *collector) find(path, format string, args ...any) {
	c.findings = append(c.findings, jaygw.Finding{File: c.file, Path: path, Message: fmt.Sprintf(format, args...)})
}

func (c *collector) settings(s jaygw.Settings, role jaygw.Role) {
	c.name("name", s.Name)
	c.name("group", s.Group)
	c.name("region", s.Region)
	c.name("failure-domain", s.Domain)
	c.name("rack", s.Rack)
	c.addresses(s, role)
	c.peers(s, role)
	c.control(s, role)
	c.worker(s, role)
	c.limits(s.Limits)
	c.log(s.Log)
	c.tls(s)
}

// name checks a name in kebab case.
func (c *collector) name(path, name string) {
	switch {
	case name == "":
		c.find(path, "is missing")
	case len(name) > maxNameBytes || strings.Trim(name, "abcdefghijklmnopqrstuvwxyz0123456789-.") != "":
		c.find(path, "%q is not a name of at most %d lower-case letters, digits, dots and hyphens", name, maxNameBytes)
	}
}

func (c *collector) addresses(s jaygw.Settings, role jaygw.Role) {
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
				c.find(l.path, "is missing")
			}
			continue
		}
		c.address(l.path, l.address, s.TLS != nil)
		if other, ok := seen[l.address]; ok && !strings.HasSuffix(l.address, ":0") {
			c.find(l.path, "%s is already the address of %s", l.address, other)
		}
		seen[l.address] = l.path
	}
	if s.Advertise != "" {
		c.address("advertise", s.Advertise, s.TLS != nil)
	}
}

// address checks an IP address with a port. Addresses other than loopback need
// TLS.
func (c *collector) address(path, address string, tls bool) {
	host, port, err := net.SplitHostPort(address)
	ip := net.ParseIP(host)
	if err != nil || ip == nil {
		c.find(path, "%q is not an IP address with a port", address)
		return
	}
	if number, err := strconv.ParseUint(port, 10, 16); err != nil {
		c.find(path, "%q is not a port number", port)
	} else if number == 0 && !ip.IsLoopback() {
		c.find(path, "port 0 is allowed on loopback only")
	}
	if !ip.IsLoopback() && !tls {
		c.find(path, "%s is not a loopback address; other addresses need the tls section", address)
	}
}

func (c *collector) peers(s jaygw.Settings, role jaygw.Role) {
	if len(s.Peers) == 0 && (role == jaygw.RoleAgent || role == jaygw.RoleEntry && s.Control == nil) {
		c.find("peers", "is missing; name the addresses of control replicas")
	}
	for i, peer := range s.Peers {
		path := fmt.Sprintf("peers[%d]", i)
		c.address(path, peer, s.TLS != nil)
		if slices.Index(s.Peers, peer) < i {
			c.find(path, "%s is listed twice", peer)
		}
	}
}

func (c *collector) control(s jaygw.Settings, role jaygw.Role) {
	if s.Control == nil {
		if role == jaygw.RoleControl {
			c.find("control", "is missing")
		}
		return
	}
	if role == jaygw.RoleAgent {
		c.find("control", "an agent runs no control replica")
		return
	}
	if s.Control.ID == 0 {
		c.find("control.id", "must be 1 or more")
	}
	if s.Control.DataFolder == "" {
		c.find("control.data-folder", "is missing")
	} else if info, err := os.Stat(s.Control.DataFolder); err != nil || !info.IsDir() {
		c.find("control.data-folder", "folder %s does not exist; create it first", s.Control.DataFolder)
	}
	c.members(*s.Control, s.TLS != nil)
}

func (c *collector) members(control jaygw.ControlSettings, tls bool) {
	if len(control.Members) == 0 && !control.Join {
		c.find("control.members", "is missing; a new group needs its members, a replica of an existing one needs \"join\": true")
	}
	self := false
	ids := map[uint64]bool{}
	addresses := map[string]bool{}
	for i, member := range control.Members {
		path := fmt.Sprintf("control.members[%d]", i)
		c.address(path+".address", member.Address, tls)
		if ids[member.ID] || member.ID == 0 {
			c.find(path+".id", "%d is zero or used twice", member.ID)
		}
		if addresses[member.Address] {
			c.find(path+".address", "%s is used twice", member.Address)
		}
		ids[member.ID] = true
		addresses[member.Address] = true
		self = self || member.ID == control.ID
	}
	if len(control.Members) > 0 && !self && !control.Join {
		c.find("control.id", "member %d is not in control.members", control.ID)
	}
}

func (c *collector) worker(s jaygw.Settings, role jaygw.Role) {
	if s.Worker == nil {
		if role == jaygw.RoleAgent {
			c.find("worker", "is missing")
		}
		return
	}
	w := s.Worker
	c.address("worker.address", w.Address, true)
	c.size("worker.size", w.Size)
	if w.Slots < 1 || w.Slots > maxSlots {
		c.find("worker.slots", "%d is not from 1 to %d", w.Slots, maxSlots)
	}
	if w.Connections < w.Slots || w.Connections > maxConnections {
		c.find("worker.connections", "%d is not from the number of slots to %d", w.Connections, maxConnections)
	}
	for i, service := range w.Services {
		c.name(fmt.Sprintf("worker.services[%d]", i), service)
	}
}

// size checks the size of a VM or a task.
func (c *collector) size(path string, r jaygw.Resources) {
	c.quota(path, r)
	if !r.Fits(maxSize) {
		c.find(path, "is larger than any VM may be")
	}
}

// quota checks an amount that may be the sum of many sizes.
func (c *collector) quota(path string, r jaygw.Resources) {
	if r.CPU < 1 {
		c.find(path+".cpu-millicores", "must be 1 or more")
	}
	if r.Memory < 1 {
		c.find(path+".memory-bytes", "must be 1 or more")
	}
	if r.Accelerators < 0 {
		c.find(path+".accelerators", "must not be negative")
	}
}

func (c *collector) limits(l jaygw.RequestLimits) {
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
			c.find(limit.path, "must not be negative")
		}
	}
}

func (c *collector) log(l jaygw.LogSettings) {
	if !slices.Contains([]string{"", "debug", "info", "warning", "error"}, l.Level) {
		c.find("log.level", "%q is not debug, info, warning or error", l.Level)
	}
	if !slices.Contains([]string{"", "text", "json"}, l.Format) {
		c.find("log.format", "%q is not text or json", l.Format)
	}
}

func (c *collector) tls(s jaygw.Settings) {
	if s.TLS != nil {
		c.readable("tls.ca-file", s.TLS.CAFile)
		c.readable("tls.certificate-file", s.TLS.CertificateFile)
		c.readable("tls.key-file", s.TLS.KeyFile)
	}
	if s.TokenFile != "" {
		c.readable("operator-token-file", s.TokenFile)
	}
}

func (c *collector) readable(path, name string) {
	file, err := os.Open(name)
	if err != nil {
		c.find(path, "cannot be read: %v", err)
		return
	}
	file.Close()
}
