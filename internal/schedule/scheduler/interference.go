package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/schedule/placer"
)

type (
	// vmControl holds the state of the reactions to interference on one VM, and the orders to
	// its agent that result from them.
	vmControl struct {
		latencies map[string]latency    // last reports, by service
		throttles map[jaygw.Attempt]int // share of its size left to an attempt, in percent
		// lifted holds when throttles were lifted. The order that lifts them is repeated for
		// liftRepeatTime.
		lifted map[jaygw.Attempt]jaygw.Time
		// checkpoints holds when an attempt was last ordered to write a checkpoint.
		checkpoints     map[jaygw.Attempt]jaygw.Time
		lastAction      jaygw.Time
		normalIntervals int        // consecutive lag intervals without interference
		intervalStart   jaygw.Time // start of the current lag interval
	}

	// latency is the last latency report of a service on a VM.
	latency struct {
		factor float64 // tail latency divided by its baseline
		at     jaygw.Time
		lag    time.Duration // age of the measurement at the time of the report
		fresh  bool          // not evaluated yet
	}
)

const (
	// slowFactor is the ratio of the tail latency to its baseline at which batch tasks are
	// throttled, and normalFactor the one below which throttles are lifted. The gap between
	// them is hysteresis that prevents oscillation.
	slowFactor   = 1.2
	normalFactor = 1.12

	// minOwnerEffect is the smallest effect on a service's latency, as a share of its baseline,
	// for which an owner is throttled.
	minOwnerEffect = 0.05

	// minEffectShare is the smallest share of the rise in latency that an owner must account
	// for to be throttled.
	minEffectShare = 0.25

	// allowedRise is the estimated rise in latency that co-located tasks may cause when they are
	// placed. It is below the rise that slowFactor reacts to.
	allowedRise = 0.15

	// noisyWaitLimit is how long a job that causes interference, and of which no task runs,
	// waits for a VM without a service that it would slow down. Then one task starts and is
	// throttled if necessary.
	noisyWaitLimit = 10 * time.Minute

	// minNormalIntervals is the number of consecutive lag intervals without interference after
	// which a throttle is raised by one level.
	minNormalIntervals = 5

	// minActionInterval is the shortest time between two reactions on one VM.
	minActionInterval = 2 * time.Second

	// settlingTime is how long a service's latency is ignored after its last missing replica
	// has started again. Without it, the latency caused by replica moves was attributed to batch
	// tasks.
	settlingTime = 2 * time.Second

	// latencyLifetime is how long a latency report is used.
	latencyLifetime = 30 * time.Second

	// minRunBeforeMove is how long an attempt has to run before it is evicted for
	// interference.
	minRunBeforeMove = 5 * time.Second

	// liftRepeatTime is how long the order that lifts a throttle is repeated.
	liftRepeatTime = 5 * time.Second
)

// throttleLevels are the shares of their size left to throttled attempts, in percent, in the order
// in which they are applied. The last level removes nearly all interference, so that an eviction is
// rarely necessary.
var throttleLevels = []int{50, 20, 4}

// vmControl returns the reactions to interference on a VM, and adds them if there are none.
func (s *Scheduler) vmControl(vm string) *vmControl {
	c, ok := s.vmControls[vm]
	if !ok {
		c = &vmControl{
			latencies: map[string]latency{}, throttles: map[jaygw.Attempt]int{}, lifted: map[jaygw.Attempt]jaygw.Time{},
			checkpoints: map[jaygw.Attempt]jaygw.Time{},
		}
		s.vmControls[vm] = c
	}
	return c
}

// observeLatency records a latency report of a service's replica on a VM.
func (s *Scheduler) observeLatency(vm, owner string, sample jaygw.Usage, now jaygw.Time) {
	at := now.Add(-sample.Lag)
	if s.missingReplicas[owner] > 0 || at < s.completeSince[owner].Add(settlingTime) {
		return // the latency is higher because replicas were missing
	}
	factor := s.interference.Observe(vm, owner, sample.Latency, at, now)
	s.vmControl(vm).latencies[owner] = latency{factor: factor, at: now, lag: sample.Lag, fresh: true}
	s.latencyReported[vm] = true
}

func (s *Scheduler) throttled(vm string, attempt jaygw.Attempt) bool {
	c, ok := s.vmControls[vm]
	return ok && c.throttles[attempt] != 0
}

// removeAttempt removes the state of an attempt that has ended.
func (c *vmControl) removeAttempt(attempt jaygw.Attempt) {
	delete(c.throttles, attempt)
	delete(c.lifted, attempt)
	delete(c.checkpoints, attempt)
}

// Orders returns the throttle and checkpoint orders for the attempts on the VM. Throttle orders
// are repeated in each response, checkpoint orders during one jaygw.RenewalInterval.
func (s *Scheduler) Orders(vm string, now jaygw.Time) []jaygw.Order {
	c, ok := s.vmControls[vm]
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
	vms := sortedKeys(s.changedOrders)
	clear(s.changedOrders)
	return vms
}

// reactToInterference throttles or evicts batch tasks on VMs whose services have become slow. It
// acts at most once per VM and lag interval, because an action takes effect in the reports only
// after the lag.
func (d *decision) reactToInterference() {
	if d.withoutInterference {
		return
	}
	for _, vm := range sortedKeys(d.replicaEnded) {
		d.liftThrottles(vm)
	}
	clear(d.replicaEnded)
	for _, vm := range sortedKeys(d.latencyReported) {
		c, ok := d.vmControls[vm]
		if !ok {
			continue
		}
		c.removeExpired(d.now)
		service, factor, interval, fresh := c.slowestService()
		if !fresh || d.now.Sub(c.lastAction) < interval {
			continue
		}
		if d.now.Sub(c.intervalStart) >= interval {
			c.intervalStart = d.now
			c.normalIntervals++
		}
		if factor >= normalFactor {
			c.normalIntervals = 0
		}
		switch {
		case factor >= slowFactor:
			d.reduceInterference(vm, c, service, factor-1)
		case c.normalIntervals >= minNormalIntervals && len(c.throttles) > 0:
			d.raiseThrottle(vm, c)
		}
	}
	clear(d.latencyReported)
}

// liftThrottles lifts all throttles on a VM without services. No latency report would lift them.
func (d *decision) liftThrottles(vm string) {
	c, ok := d.vmControls[vm]
	if !ok || slices.ContainsFunc(d.machine.TasksOn(vm), func(id jaygw.TaskID) bool {
		return d.state.Tasks[id].Kind == jaygw.ServiceTask
	}) {
		return
	}
	clear(c.latencies)
	for attempt := range c.throttles {
		c.lifted[attempt] = d.now
		d.interference.TaskThrottled(vm, attempt.Task, 100, d.now)
		d.changedOrders[vm] = true
	}
	clear(c.throttles)
}

// removeExpired removes old latency reports and lifted throttles.
func (c *vmControl) removeExpired(now jaygw.Time) {
	for service, l := range c.latencies {
		if now.Sub(l.at) > latencyLifetime {
			delete(c.latencies, service)
		}
	}
	for attempt, at := range c.lifted {
		if now.Sub(at) > liftRepeatTime {
			delete(c.lifted, attempt)
		}
	}
}

// slowestService returns the slowest service, the ratio of its latency to the baseline, the time
// until an action takes effect in the reports, and whether there are new reports. It marks all
// reports as evaluated.
func (c *vmControl) slowestService() (service string, factor float64, interval time.Duration, fresh bool) {
	interval = minActionInterval
	for _, name := range sortedKeys(c.latencies) {
		l := c.latencies[name]
		if l.factor > factor {
			service, factor = name, l.factor
		}
		interval = max(interval, l.lag+jaygw.RenewalInterval)
		fresh = fresh || l.fresh
		l.fresh = false
		c.latencies[name] = l
	}
	return service, factor, interval, fresh
}

// reduceInterference throttles the batch tasks of the owner that slows the service down most. If
// all such owners are at the lowest level, it evicts one task.
func (d *decision) reduceInterference(vm string, c *vmControl, service string, rise float64) {
	tasks := map[string][]*jaygw.Task{}
	for _, id := range d.machine.TasksOn(vm) {
		task := d.state.Tasks[id]
		if placer.Evictable(task) && task.State == jaygw.Running && !d.limits(task.Environment).InterferenceDisabled {
			owner := placer.OwnerKey(task)
			tasks[owner] = append(tasks[owner], task)
		}
	}
	shares := map[string]float64{}
	for owner, list := range tasks {
		for _, task := range list {
			shares[owner] += float64(cmp.Or(c.throttles[task.Attempt()], 100)) / 100
		}
	}
	causes := d.interference.RankOwners(service, shares, max(minOwnerEffect, minEffectShare*rise), d.now)
	for _, owner := range causes {
		if d.throttle(vm, c, tasks[owner]) {
			return
		}
	}
	for _, owner := range causes {
		if d.moveAway(c, tasks[owner], service) {
			return
		}
	}
}

// throttle lowers the throttle level of the tasks by one and reports whether any has changed.
func (d *decision) throttle(vm string, c *vmControl, tasks []*jaygw.Task) bool {
	changed := false
	for _, task := range tasks {
		attempt := task.Attempt()
		if level := lowerLevel(c.throttles[attempt]); level != c.throttles[attempt] {
			c.throttles[attempt] = level
			delete(c.lifted, attempt)
			d.interference.TaskThrottled(vm, task.ID, level, d.now)
			changed = true
		}
	}
	if changed {
		c.lastAction = d.now
		d.changedOrders[vm] = true
	}
	return changed
}

// lowerLevel returns the next lower throttle level, or the lowest; percent 0 means no throttle.
func lowerLevel(percent int) int {
	if percent == 0 {
		return throttleLevels[0]
	}
	return throttleLevels[min(slices.Index(throttleLevels, percent)+1, len(throttleLevels)-1)]
}

// higherLevel returns the next higher throttle level, or 0 for no throttle.
func higherLevel(percent int) int {
	if i := slices.Index(throttleLevels, percent); i > 0 {
		return throttleLevels[i-1]
	}
	return 0
}

// moveAway evicts the task that loses the least work, with a checkpoint, and reports whether there
// was one.
func (d *decision) moveAway(c *vmControl, tasks []*jaygw.Task, service string) bool {
	var chosen *jaygw.Task
	for _, task := range tasks {
		if d.now.Sub(task.Since) >= minRunBeforeMove && (chosen == nil || d.lostWork(task) < d.lostWork(chosen)) {
			chosen = task
		}
	}
	if chosen == nil {
		return false
	}
	d.evict(chosen, "slows service "+service)
	c.lastAction = d.now
	return true
}

// raiseThrottle raises the most throttled attempt by one level, or lifts its throttle.
func (d *decision) raiseThrottle(vm string, c *vmControl) {
	attempts := slices.Collect(maps.Keys(c.throttles))
	chosen := slices.MinFunc(attempts, func(a, b jaygw.Attempt) int {
		return cmp.Or(cmp.Compare(c.throttles[a], c.throttles[b]), compareTasks(a.Task, b.Task))
	})
	if level := higherLevel(c.throttles[chosen]); level != 0 {
		c.throttles[chosen] = level
	} else {
		delete(c.throttles, chosen)
		c.lifted[chosen] = d.now
	}
	d.interference.TaskThrottled(vm, chosen.Task, cmp.Or(c.throttles[chosen], 100), d.now)
	c.lastAction = d.now
	c.normalIntervals = 0
	d.changedOrders[vm] = true
}
