package main

// configuration is the operator's configuration, with the fields that the scripts use.
type configuration struct {
	Version  uint64
	Routes   []routeEntry
	Services []serviceEntry
	Limits   limits
	Tenants  []tenant
}

type routeEntry struct {
	Name, Host, PathPrefix, RouteType string
	TimeoutMs, TargetLatencyMs        int
	Priority                          int
	Service                           string
	MaxAttempts                       int
	Stages                            []stageEntry `json:",omitempty"`
	Public                            bool
	SessionAffinity                   bool
	StreamResume                      bool
	TargetGapMs                       int `json:",omitempty"`
}

type stageEntry struct {
	Service string
	After   []int
	Bytes   int
}

type serviceEntry struct {
	Name, HealthPath string
	MaxConnections   int
	Protocol         string
	Engine           *engine `json:",omitempty"`
	Pieces           *pieces `json:",omitempty"`
}

type engine struct {
	Slots            int
	KvCapacityTokens int
}

type pieces struct {
	Slots, Queue, Batch int
	CallMs, ItemMs      float64
	HeadroomMb, HandleS float64
	LinkMbps            int
}

type limits struct {
	MaxHeaderBytes, MaxBodyBytes, HeaderTimeoutMs, IdleTimeoutMs int
}

type tenant struct {
	Name     string
	APIKeys  []string `json:"ApiKeys"`
	Priority int
}

// consumerKey is the key of all consumers.
const consumerKey = "9dnn2ctnfzs989anu6ws"

// baseConfiguration has the limits and a tenant as on the pages.
func baseConfiguration() *configuration {
	return &configuration{
		Version: 7,
		Limits:  limits{MaxHeaderBytes: 16384, MaxBodyBytes: 4194304, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000},
		Tenants: []tenant{{Name: "bozi300", APIKeys: []string{consumerKey}, Priority: 1}},
	}
}
