package control

import (
	"context"
	"net/netip"
	"slices"
)

// SetJoin replaces the joined addresses while the VM runs. Links to VMs that were found by other ways stay.
func (c *Control) SetJoin(ctx context.Context, join []netip.AddrPort) error {
	return c.do(ctx, func() {
		c.Join = join
		for addr, p := range c.peers {
			p.joined = slices.Contains(join, addr)
		}
		for _, addr := range join {
			c.addPeer(c.running, addr, true)
		}
	})
}
