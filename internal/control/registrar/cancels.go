package registrar

import (
	"strings"

	"github.com/jaygw/jaygw"
)

// canceledKey identifies the workflow of an UnknownCancel.
type canceledKey struct{ host, path string }

func keyOfCancel(host, path string) canceledKey { return canceledKey{strings.ToLower(host), path} }

func (c UnknownCancel) key() canceledKey { return canceledKey{c.Host, c.Path} }

// retainCancel retains the cancel of an unknown workflow. It returns a refusal if the table is full: the caller
// must not be told that the workflow does not exist while its submission may still arrive. The catalog in force
// does not tell, since one with a queue for the path may be put in force before that.
func (r *Registrar) retainCancel(cancel jaygw.CancelWorkflow, now jaygw.Time) *jaygw.Result {
	r.removeOldCancels(now)
	key := keyOfCancel(cancel.Host, cancel.Path)
	if r.canceled[key] || cancel.Path == "" || strings.HasSuffix(cancel.Path, "/") {
		return nil // a path that ends with a slash names no workflow
	}
	if len(r.state.Canceled) >= r.limits.Canceled {
		full := jaygw.Refuse(jaygw.RefusedTableFull, "the table of canceled workflows holds its limit of %d", r.limits.Canceled)
		return &full
	}
	r.canceled[key] = true
	r.bytes += CancelBytes(key.host, key.path)
	r.state.Canceled = append(r.state.Canceled, UnknownCancel{Host: key.host, Path: key.path, At: now})
	return nil
}

// expiredCancels returns how many cancels of unknown workflows, from the oldest one, are older than the retention time.
func (r *Registrar) expiredCancels(now jaygw.Time) int {
	old := 0
	for old < len(r.state.Canceled) && r.state.Canceled[old].At.Add(retention) <= now {
		old++
	}
	return old
}

// removeOldCancels removes the cancels of unknown workflows that are older than the retention time.
func (r *Registrar) removeOldCancels(now jaygw.Time) {
	old := r.expiredCancels(now)
	for _, c := range r.state.Canceled[:old] {
		delete(r.canceled, c.key())
		r.bytes -= CancelBytes(c.Host, c.Path)
	}
	r.state.Canceled = r.state.Canceled[old:]
}
