package control

import (
	"context"
	"net/netip"
	"slices"
)

// SetJoin replaces the joined addresses while the VM runs. Connections to discovered VMs stay.
func (c *Control) SetJoin(ctx context.Context, join []netip.AddrPort) error {
	return c.do(ctx, func() {
		c.Join = join
		for addr, p := range c.peers {
			p.joined = slices.Contains(join, addr)
		}
		for _, addr := range join {
			c.addPeer(c.runCtx, addr, true)
		}
	})
}
