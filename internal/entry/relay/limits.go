package relay

import (
	"context"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/sirupsen/logrus"
)

// WatchLimits reports the limits of the catalog in force, at first and after each change, until the context
// ends. It asks the group for them once a response has named a newer catalog.
func (r *Relay) WatchLimits(ctx context.Context, report func(jaygw.CatalogLimits)) error {
	ticker := time.NewTicker(pingInterval)
	defer ticker.Stop()
	for known := uint64(0); ; {
		if newest := r.order.newestCatalog(); newest > known {
			bounded, cancel := context.WithTimeout(ctx, pingTimeout)
			result, err := r.queryOnce(bounded, jaygw.WorkflowQuery{Limits: true})
			cancel()
			if err == nil && result.Limits != nil && result.Number >= newest { // otherwise asked again
				known = result.Number
				report(*result.Limits)
				r.log.WithFields(logrus.Fields{"number": known, "limits": *result.Limits}).Info("clerk: limits of the catalog in force")
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}
