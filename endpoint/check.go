package endpoint

import (
	"fmt"
	"net/netip"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"

	"godwitplank"
	"godwitplank/head"
)

// Limits on an announcement, which is relayed to all VMs.
const (
	// MaxAnnouncementBytes limits the encoded announcement.
	MaxAnnouncementBytes = 64 << 10
	maxNameBytes         = 256
	maxModels            = 256
	maxSlots             = 1 << 20
	// maxCounter limits sequences and incarnations: an announcement with the largest number would make all later ones stale.
	maxCounter = 1 << 62
	// MaxCold limits the cold time that an announcement states. A longer one is shortened, since it would keep the endpoint from
	// requests until its next start.
	MaxCold = time.Hour
)

// Check returns the address of an announcement, or an error that names what is wrong with it.
func Check(a *godwitplank.Announcement) (netip.AddrPort, error) {
	addr, err := netip.ParseAddrPort(a.Address)
	switch {
	case err != nil:
		return addr, fmt.Errorf("address %.50q is not an ip:port", a.Address)
	case addr.Addr().Zone() != "":
		return addr, fmt.Errorf("address %.50q has a zone, which only its own machine knows", a.Address)
	case addr.Port() == 0 || addr.Addr().IsUnspecified() || addr.Addr().IsMulticast():
		return addr, fmt.Errorf("nothing can listen on address %s", addr)
	case a.Sequence > maxCounter || a.Incarnation > maxCounter:
		return addr, fmt.Errorf("sequence %d or incarnation %d is above %d", a.Sequence, a.Incarnation, uint64(maxCounter))
	case a.Slots < 0 || a.Slots > maxSlots:
		return addr, fmt.Errorf("%d slots are not between 0 and %d", a.Slots, maxSlots)
	case len(a.Models) > maxModels:
		return addr, fmt.Errorf("%d models are more than %d", len(a.Models), maxModels)
	case a.EndpointID == "" || a.Pool == "":
		return addr, fmt.Errorf("endpoint %.50q of pool or service %.50q has no name", a.EndpointID, a.Pool)
	}
	for _, name := range append([]string{a.EndpointID, a.Pool, a.DataCentre}, a.Models...) {
		if err := CheckName(name); err != nil {
			return addr, err
		}
	}
	// Calls name the endpoint in their head.
	return addr, head.CheckValue("the endpoint id", a.EndpointID)
}

// CheckName returns an error for a name that is too long, or that cannot be sent in a header or to another VM.
func CheckName(name string) error {
	if len(name) > maxNameBytes {
		return fmt.Errorf("name %.50q... has more than %d bytes", name, maxNameBytes)
	}
	if !utf8.ValidString(name) || strings.ContainsFunc(name, unicode.IsControl) {
		return fmt.Errorf("name %.50q has control characters or is not UTF-8", name)
	}
	return nil
}
