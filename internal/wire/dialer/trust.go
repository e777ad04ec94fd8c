package dialer

import (
	"context"
	"sync"
	"time"

	"storj.io/drpc"
)

type (
	// Conn is a connection to an address. A call on it that gets no response until its context ends makes the
	// dialer drop all idle connections to the address: connections may go silent for good, without a
	// reset, while new ones work, and one that is silent tells nothing about the others.
	Conn struct {
		drpc.Conn
		dialer *Dialer
		key    poolKey
	}

	// poolKey identifies the connections to an address that were opened between two distrusts.
	poolKey struct {
		address    string
		generation uint64
	}

	// generations holds the present generation of the connections to each address.
	generations struct {
		mu        sync.Mutex
		byAddress map[string]uint64
	}
)

// silentTime is the time without a response from which a call that ends with its context makes a connection
// suspect. Calls that are canceled earlier tell nothing about it.
const silentTime = 300 * time.Millisecond

func (g *generations) key(address string) poolKey {
	g.mu.Lock()
	defer g.mu.Unlock()
	return poolKey{address, g.byAddress[address]}
}

// end ends a generation and reports whether it was the present one.
func (g *generations) end(key poolKey) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.byAddress[key.address] != key.generation {
		return false
	}
	if g.byAddress == nil {
		g.byAddress = map[string]uint64{}
	}
	g.byAddress[key.address]++
	return true
}

// Invoke sends a request and waits for the response.
func (c *Conn) Invoke(ctx context.Context, rpc string, encoding drpc.Encoding, in, out drpc.Message) error {
	started := time.Now()
	err := c.Conn.Invoke(ctx, rpc, encoding, in, out)
	if err != nil && ctx.Err() != nil && time.Since(started) >= silentTime {
		c.Distrust()
	}
	if c.dialer.generations.key(c.key.address) != c.key {
		c.dialer.closeIdleConns(c.key) // this one has just become idle
	}
	return err
}

// Distrust closes the idle connections to the address, unless they were opened after this one.
func (c *Conn) Distrust() {
	if c.dialer.generations.end(c.key) {
		c.dialer.closeIdleConns(c.key)
	}
}

// closeIdleConns closes the connections of a generation that nobody uses.
func (d *Dialer) closeIdleConns(key poolKey) {
	for {
		idle, ok := d.pool.Take(key)
		if !ok {
			return
		}
		_ = idle.Close() // its error tells nothing new, as the connection is suspect
	}
}
