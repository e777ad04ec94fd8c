package scheduler

import (
	"slices"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/schedule/placer"
)

type (
	// control is the state of the reactions to interference on one VM.
	control struct {
		services  map[string]latency
		throttles map[jaygw.Attempt]int // share of the size left, in percent
		lifted    map[jaygw.Attempt]jaygw.Time
		// checkpoints are the attempts that were asked for a checkpoint, and when.
		checkpoints map[jaygw.Attempt]jaygw.Time
		acted       jaygw.Time
		calm        int // lag intervals without interference
		checked     jaygw.Time
	}

	latency struct {
		factor float64 // above the baseline
		at     jaygw.Time
		lag    time.Duration
		fresh  bool
	}
)

const (
	// slowFactor is the rise of the tail latency that is acted on; calmFactor is
	// the one below which throttling is taken back. The distance between them
	// keeps the loop from switching back and forth.
	slowFactor = 1.2
	calmFactor = 1.12

	// blameFloor is the rise below which an owner is not acted against.
	blameFloor = 0.05

	// blameShare is the part of the rise that an owner has to explain.
	blameShare = 0.25

	// allowedRise is the rise that the tasks placed beside a service may cause by
	// their estimated effects. It is below what slowFactor reacts to.
	allowedRise = 0.15

	// patience is how long a noisy job of which nothing runs waits for a VM
	// without a service that it would slow. After that one task starts, and the
	// reactions limit it.
	patience = 10 * time.Minute

	// throttlePercent is what is left to a throttled attempt.
	throttlePercent = 50

	// calmIntervals is how many lag intervals without interference end a
	// throttle.
	calmIntervals = 10

	// minLag is the shortest time between two actions on one VM.
	minLag = 2 * time.Second

	// settling is how long a service's latency is ignored after its last missing
	// replica has started again: without that, moves of replicas were blamed on
	// batch work.
	settling = 2 * time.Second

	// latencyKept is how long a report counts.
	latencyKept = 30 * time.Second

	// moveAfter is how long an attempt has to run before interference moves it.
	moveAfter = 5 * time.Second

	// liftedKept is how long the order that ends a throttle is repeated.
	liftedKept = 5 * time.Second
)

func (s *Scheduler) control(vm string) *control {
	c, ok := s.controls[vm]
	if !ok {
		c = &control{
			services: map[string]latency{}, throttles: map[jaygw.Attempt]int{}, lifted: map[jaygw.Attempt]jaygw.Time{},
			checkpoints: map[jaygw.Attempt]jaygw.Time{},
		}
		s.controls[vm] = c
	}
	return c
}

func (s *Scheduler) observeLatency(vm, owner string, sample jaygw.Usage, now jaygw.Time) {
	at := now.Add(-sample.Lag)
	if s.absent[owner] > 0 || at < s.complete[owner].Add(settling) {
		return // slower because it has fewer replicas
	}
	factor := s.interference.Observe(vm, owner, sample.Latency, at, now)
	s.control(vm).services[owner] = latency{factor: factor, at: now, lag: sample.Lag, fresh: true}
	s.reported[vm] = true
}

func (s *Scheduler) throttled(vm string, attempt jaygw.Attempt) bool {
	c, ok := s.controls[vm]
	return ok && c.throttles[attempt] != 0
}

// drop forgets an attempt that has ended.
func (c *control) drop(attempt jaygw.Attempt) {
	delete(c.throttles, attempt)
	delete(c.lifted, attempt)
	delete(c.checkpoints, attempt)
}

// Orders returns what the VM is to do with attempts besides starting and
// stopping them. Throttles are repeated in each response; a checkpoint is asked
// for in those of the next second.
func (s *Scheduler) Orders(vm string, now jaygw.Time) []jaygw.Order {
	c, ok := s.controls[vm]
	if !ok {
		return nil
	}
	var orders []jaygw.Order
	for attempt, percent := range c.throttles {
		orders = append(orders, jaygw.Order{Attempt: attempt, Action: jaygw.ActionThrottle, Percent: percent})
	}
	for attempt := range c.lifted {
		orders = append(orders, jaygw.Order{Attempt: attempt, Action: jaygw.ActionThrottle, Percent: 100})
	}
	for attempt, at := range c.checkpoints {
		if now.Sub(at) <= jaygw.RenewalInterval {
			orders = append(orders, jaygw.Order{Attempt: attempt, Action: jaygw.ActionCheckpoint})
		}
	}
	slices.SortFunc(orders, func(a, b jaygw.Order) int { return compareTasks(a.Attempt.Task, b.Attempt.Task) })
	return orders
}

func compareTasks(a, b jaygw.TaskID) int {
	if a < b {
		return -1
	}
	return 1
}

// ChangedOrders returns the VMs whose orders have changed since the last call.
func (s *Scheduler) ChangedOrders() []string {
	vms := sortedNames(s.ordersFor)
	clear(s.ordersFor)
	return vms
}

// react acts on VMs whose services have become slow, at most once per VM and lag
// interval: the effect of an action shows only after the lag.
func (d *decision) react() {
	if d.withoutInterference {
		return
	}
	for _, vm := range sortedNames(d.reported) {
		c, ok := d.controls[vm]
		if !ok {
			continue
		}
		c.forget(d.now)
		service, worst, interval, fresh := c.worst()
		if !fresh || d.now.Sub(c.acted) < interval {
			continue
		}
		if d.now.Sub(c.checked) >= interval {
			c.checked = d.now
			c.calm++
		}
		if worst >= calmFactor {
			c.calm = 0
		}
		switch {
		case worst >= slowFactor:
			d.slowDown(vm, c, service, worst-1)
		case c.calm >= calmIntervals && len(c.throttles) > 0:
			d.speedUp(vm, c)
		}
	}
	clear(d.reported)
}

func (c *control) forget(now jaygw.Time) {
	for service, l := range c.services {
		if now.Sub(l.at) > latencyKept {
			delete(c.services, service)
		}
	}
	for attempt, at := range c.lifted {
		if now.Sub(at) > liftedKept {
			delete(c.lifted, attempt)
		}
	}
}

// worst returns the slowest service, its factor, the time in which an action
// shows, and whether there are new reports.
func (c *control) worst() (service string, factor float64, interval time.Duration, fresh bool) {
	interval = minLag
	for _, name := range sortedNames(c.services) {
		l := c.services[name]
		if l.factor > factor {
			service, factor = name, l.factor
		}
		interval = max(interval, l.lag+jaygw.RenewalInterval)
		fresh = fresh || l.fresh
		l.fresh = false
		c.services[name] = l
	}
	return service, factor, interval, fresh
}

// slowDown throttles the batch owner that slows the service most, or moves one of
// its tasks if they are throttled already.
func (d *decision) slowDown(vm string, c *control, service string, rise float64) {
	tasks := map[string][]*jaygw.Task{}
	for _, id := range d.machine.TasksOn(vm) {
		task := d.state.Tasks[id]
		if placer.Evictable(task) && task.State == jaygw.Running && !d.limits(task.Environment).InterferenceDisabled {
			owner := placer.OwnerKey(task)
			tasks[owner] = append(tasks[owner], task)
		}
	}
	counts := map[string]int{}
	for owner, list := range tasks {
		counts[owner] = len(list)
	}
	for _, owner := range d.interference.Worst(service, counts, max(blameFloor, blameShare*rise), d.now) {
		if d.throttle(vm, c, tasks[owner]) || d.moveAway(c, tasks[owner], service) {
			return
		}
	}
}

func (d *decision) throttle(vm string, c *control, tasks []*jaygw.Task) bool {
	changed := false
	for _, task := range tasks {
		if c.throttles[task.Attempt()] == 0 {
			c.throttles[task.Attempt()] = throttlePercent
			delete(c.lifted, task.Attempt())
			changed = true
		}
	}
	if changed {
		c.acted = d.now
		d.ordersFor[vm] = true
	}
	return changed
}

// moveAway stops the task that loses the least work, with a checkpoint.
func (d *decision) moveAway(c *control, tasks []*jaygw.Task, service string) bool {
	var chosen *jaygw.Task
	for _, task := range tasks {
		if d.now.Sub(task.Since) >= moveAfter && (chosen == nil || d.lostWork(task) < d.lostWork(chosen)) {
			chosen = task
		}
	}
	if chosen == nil {
		return false
	}
	d.evict(chosen, "slows service "+service)
	c.acted = d.now
	return true
}

// speedUp ends one throttle.
func (d *decision) speedUp(vm string, c *control) {
	attempts := make([]jaygw.Attempt, 0, len(c.throttles))
	for attempt := range c.throttles {
		attempts = append(attempts, attempt)
	}
	first := slices.MinFunc(attempts, func(a, b jaygw.Attempt) int { return compareTasks(a.Task, b.Task) })
	delete(c.throttles, first)
	c.lifted[first] = d.now
	c.acted = d.now
	c.calm = 0
	d.ordersFor[vm] = true
}
