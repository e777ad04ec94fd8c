// Package jaygw defines the types of the scheduler: VMs, failure domains, documents,
// tasks, workflows, leases and the commands that change them, together with the interfaces
// that the packages below internal implement.
//
// An estate is all VMs that one scheduler manages. A document declares services, teams and
// batch jobs, whose tasks run as attempts. A catalog declares queues that take workflows,
// whose tasks run as runs.
package jaygw
