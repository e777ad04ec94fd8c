package launcher

import (
	"cmp"
	"sync/atomic"

	"github.com/jaygw/jaygw/internal/control/server"
	"github.com/jaygw/jaygw/internal/wire/dialer"
	"github.com/jaygw/jaygw/internal/wire/messenger"
	"storj.io/drpc"
	"storj.io/drpc/drpcmux"
)

// groupHandler serves the calls of other processes with a handler that can be replaced.
type groupHandler struct{ current atomic.Pointer[drpc.Handler] }

func (h *groupHandler) replace(handler drpc.Handler) { h.current.Store(&handler) }

// HandleRPC serves one call with the current handler.
func (h *groupHandler) HandleRPC(stream drpc.Stream, rpc string) error {
	return (*h.current.Load()).HandleRPC(stream, rpc)
}

// serveGuide serves the calls of other processes as one without a replica does, until the handler is
// replaced by that of the replica.
func (n *Node) serveGuide(address string) (*groupHandler, error) {
	mux := drpcmux.New()
	if err := messenger.DRPCRegisterGroup(mux, server.NewGuide(n.settings.Group, n.client.Locator())); err != nil {
		return nil, err
	}
	listener, err := n.listen(cmp.Or(n.settings.Listen.Processes, address))
	if err != nil {
		return nil, err
	}
	handler := &groupHandler{}
	handler.replace(mux)
	n.group.Go(func() error { return dialer.Serve(n.workCtx, listener, handler) })
	return handler, nil
}

// announce serves operators and announces this process to others.
func (n *Node) announce() error {
	n.group.Go(func() error { return n.client.Announce(n.workCtx) })
	return n.serveOperators()
}
