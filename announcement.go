// Package godwitplank defines the JSON messages that callers and endpoints exchange with the VMs.
package godwitplank

import "time"

// LeaseDuration is the length of an endpoint's lease. Without another announcement, the endpoint gets no new requests
// after it.
const LeaseDuration = 3 * time.Second

// Announcement is the heartbeat that an endpoint sends every second to register and to renew its lease.
type Announcement struct {
	EndpointID string `json:"endpoint_id"`
	// Incarnation increases with every start of the endpoint, Sequence with every announcement of an incarnation.
	Incarnation uint64   `json:"incarnation"`
	Sequence    uint64   `json:"sequence"`
	Address     string   `json:"address"`
	DataCentre  string   `json:"data_centre"`
	Pool        string   `json:"pool"`
	Models      []string `json:"models"`
	Slots       int      `json:"slots"`
	Load        Load     `json:"load"`
	// Leaving is true once the endpoint is draining. It stays true until the next incarnation.
	Leaving bool `json:"leaving"`
	// ColdMS is how long the endpoint stays cold: it tolerates few requests, as its service's configuration says. Nil if the
	// endpoint does not state it.
	ColdMS *int64 `json:"cold_ms,omitempty"`
}

// Load is the number of running and queued requests at an endpoint.
type Load struct {
	Running int `json:"running"`
	Queued  int `json:"queued"`
}

// Lease is the response to an Announcement. LeaseMS is the length of the lease in milliseconds. An endpoint gets
// requests only if it is admitted.
type Lease struct {
	LeaseMS  int64 `json:"lease_ms"`
	Admitted bool  `json:"admitted"`
}
