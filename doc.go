// Package jaygw holds the domain of the scheduler: VMs, failure domains,
// documents, tasks, leases and the commands that change them, together with the
// interfaces that the packages below internal implement.
package jaygw
