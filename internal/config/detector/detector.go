// Package detector finds out how much memory and how many descriptors a process may use.
package detector

import (
	"math"
	"runtime/debug"

	"github.com/KimMachineGun/automemlimit/memlimit"
	"github.com/jaygw/jaygw"
	"golang.org/x/sys/unix"
)

type (
	// Allowance is what a process may use, and where each value is from.
	Allowance struct {
		Memory            jaygw.Bytes // zero if it is not known
		MemorySource      Source
		FileDescriptors   int // zero if it is not known
		DescriptorsSource Source
	}

	// Source is where a value is from.
	Source string

	// Surroundings holds the limits outside the settings. Zero stands for none, or for one that is not known.
	Surroundings struct {
		// Runtime is the memory limit of the Go runtime, which GOMEMLIMIT sets.
		Runtime int64 `json:"runtime"`
		// Cgroup is the memory limit of the control group of the process, and VM the memory of the VM.
		Cgroup uint64 `json:"cgroup"`
		VM     uint64 `json:"vm"`
		// OpenFiles is the limit of open files.
		OpenFiles uint64 `json:"open-files"`
	}
)

const (
	// FromSettings is the source of a value that the settings state.
	FromSettings Source = "settings"
	// FromRuntime is the environment variable GOMEMLIMIT.
	FromRuntime Source = "GOMEMLIMIT"
	// FromCgroup is the control group of the process.
	FromCgroup Source = "cgroup"
	// FromVM is the memory of the VM, of which a process may use a part.
	FromVM Source = "vm"
	// FromOpenFiles is the limit of open files.
	FromOpenFiles Source = "open-files"
	// Unknown is the source of a value that nothing states.
	Unknown Source = "unknown"

	// vmShare is the part of the VM's memory that a process may use: others run beside it.
	vmShare = 2

	// maxDescriptors bounds the descriptors of a process without a practical limit.
	maxDescriptors = 1 << 20
)

// Look returns the surroundings of this process.
func Look() Surroundings {
	var s Surroundings
	if limit := debug.SetMemoryLimit(-1); limit != math.MaxInt64 {
		s.Runtime = limit
	}
	// An error means that there is no such limit, or that it cannot be read.
	if limit, err := memlimit.FromCgroup(); err == nil {
		s.Cgroup = limit
	}
	if memory, err := memlimit.FromSystem(); err == nil {
		s.VM = memory
	}
	var files unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &files); err == nil {
		s.OpenFiles = files.Cur
	}
	return s
}

// Detect returns what a process may use. The settings take precedence; look is called only if they leave something open.
func Detect(settings jaygw.NodeSettings, look func() Surroundings) Allowance {
	a := Allowance{settings.Memory, FromSettings, settings.FileDescriptors, FromSettings}
	if a.Memory > 0 && a.FileDescriptors > 0 {
		return a
	}
	s := look()
	if a.Memory == 0 {
		a.Memory, a.MemorySource = s.memory()
	}
	if a.FileDescriptors == 0 {
		a.FileDescriptors, a.DescriptorsSource = int(min(s.OpenFiles, maxDescriptors)), FromOpenFiles
		if s.OpenFiles == 0 {
			a.DescriptorsSource = Unknown
		}
	}
	return a
}

func (s Surroundings) memory() (jaygw.Bytes, Source) {
	switch {
	case s.Runtime > 0:
		return jaygw.Bytes(s.Runtime), FromRuntime
	case s.Cgroup > 0 && (s.VM == 0 || s.Cgroup < s.VM):
		return jaygw.Bytes(min(s.Cgroup, math.MaxInt64)), FromCgroup
	case s.VM > 0:
		return jaygw.Bytes(min(s.VM, math.MaxInt64) / vmShare), FromVM
	default:
		return 0, Unknown
	}
}
