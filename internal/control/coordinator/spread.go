package coordinator

import (
	"slices"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/control/replicator"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
)

// Names of the metrics of the voters' spread over the failure domains.
const (
	criticalDomainsMetric  = "control.critical-domains"  // domains whose loss leaves no majority
	spreadImpossibleMetric = "control.spread-impossible" // 1 if no set of voters withstands the loss of each domain
)

// WithRegistry sets the registry of the metrics. The default is a new registry.
func WithRegistry(registry metrics.Registry) Option {
	return func(r *Replica) { r.registry = registry }
}

// updateSpread determines the voters' spread after a change of members and updates its metrics. The leader logs
// whether a sufficient spread is possible once it leads, and when that changes, so the lines are bounded by the
// changes of members and leaders.
func (r *Replica) updateSpread(members []jaygw.Member) {
	if !slices.Equal(members, r.spreadMembers) {
		r.spread, r.spreadMembers = replicator.Spread(members), members
		metrics.GetOrRegisterGauge(criticalDomainsMetric, r.registry).Update(int64(len(r.spread.Critical)))
		metrics.GetOrRegisterGauge(spreadImpossibleMetric, r.registry).Update(r.impossibleSpread())
	}
	if !r.leadership.Leads {
		r.spreadReported = false
		return
	}
	isReplaced := slices.ContainsFunc(members, func(m jaygw.Member) bool { return m.Voter && m.Replaces != 0 })
	if reported := r.impossibleSpread() == 1; reported != r.spreadReported && !isReplaced {
		r.spreadReported = reported
		line := r.log.WithFields(logrus.Fields{"critical-domains": r.spread.Critical, "members": memberAddresses(members)})
		if reported {
			line.Warn("control: no set of voters withstands the loss of any one failure domain")
		} else {
			line.Info("control: a set of voters withstands the loss of any one failure domain")
		}
	}
}

// impossibleSpread returns 1 if the loss of a failure domain ends the group and no other set of voters withstands it.
func (r *Replica) impossibleSpread() int64 {
	if len(r.spread.Critical) > 0 && !r.spread.Possible {
		return 1
	}
	return 0
}
