package endpoint

import (
	"testing"

	"github.com/matryer/is"

	"godwitplank"
)

// The id and the address of an endpoint go into the heads of calls. Guards against ones that a head cannot hold, or that its reader
// would get changed so that it turns the call away, and against the refusal of valid ones.
func TestCheckHeadTexts(t *testing.T) {
	for _, c := range []struct {
		id, address string
		valid       bool
	}{
		{"e-1", "10.0.0.1:80", true},
		{"e 1/ü,(x)", "[fe80::1]:80", true},
		{"e\u00a0", "[::ffff:10.0.0.1]:80", true},
		{" e", "10.0.0.1:80", false},
		{"e ", "10.0.0.1:80", false},
		{"e\r\nA: b", "10.0.0.1:80", false},
		{"e\xff", "10.0.0.1:80", false},
		{"e-1", "[fe80::1%eth0]:80", false},
		{"e-1", "[fe80::1%a\r\nA: b]:80", false},
	} {
		t.Run(c.id+" "+c.address, func(t *testing.T) {
			is := is.New(t)
			_, err := Check(&godwitplank.Announcement{EndpointID: c.id, Address: c.address, Pool: "p"})
			is.Equal(err == nil, c.valid)
		})
	}
}
