package dispatcher

import "github.com/jaygw/jaygw"

const (
	// maxPermitBytes bounds the permits of one response, of which it carries at least one; the next response
	// has the others. A response of 4 MiB (dialer.MaxMessageBytes) would never arrive.
	maxPermitBytes = 1 << 20

	// permitOverheadBytes is more than what a permit takes beside its texts.
	permitOverheadBytes = 160
)

// permitBytes returns more than the size of a permit in a response.
func permitBytes(p jaygw.Permit) int {
	return permitOverheadBytes + len(p.Attempt.Task) + len(p.Service) + len(p.Payload) + len(p.Checkpoint.Token)
}
