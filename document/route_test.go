package document

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"godwitplank/fault"
)

// documentWithRoutes returns a valid document with two routes and two services.
func documentWithRoutes() *Document {
	return &Document{
		Version: 1,
		Routes: []Route{
			{Host: "a.example", PathPrefix: "/x/", Kind: Once, TimeoutMS: 1000, Services: []WeightedService{{"s", 1}}},
			{Host: "a.example", PathPrefix: "/x/y/", Kind: Stream, Resume: true, TimeoutMS: 1000, Services: []WeightedService{{"s", 90}, {"t", 10}}},
		},
		Services:   []Service{{Name: "s"}, {Name: "t", Batch: &Batch{Pieces: 4}}},
		Workspaces: []Workspace{{Name: "w", Unlimited: true, KeysSHA256: []string{SHA256([]byte("k1")), SHA256([]byte("k2"))}}},
	}
}

func TestFindRoute(t *testing.T) {
	is := is.New(t)
	d := documentWithRoutes()
	is.NoErr(d.Check())
	for _, c := range []struct{ host, path, prefix string }{
		{"a.example", "/x/1", "/x/"},
		{"A.EXAMPLE", "/x/1", "/x/"},
		{"a.example", "/x/y/1", "/x/y/"},
		{"a.example", "/x/yz", "/x/"},
		{"a.example", "/x", ""},
		{"b.example", "/x/1", ""},
	} {
		got := ""
		if r := d.FindRoute(c.host, c.path); r != nil {
			got = r.PathPrefix
		}
		is.Equal(got, c.prefix) // the longest matching prefix among the host's routes
	}
	is.Equal(d.WorkspaceByKey("k2").Name, "w")
	is.Equal(d.WorkspaceByKey("k3"), nil)
	is.True(!d.Routes[0].Retryable())
	is.True(d.Routes[1].Retryable())
}

func TestPickService(t *testing.T) {
	is := is.New(t)
	r := &documentWithRoutes().Routes[1]
	is.Equal(r.PickService(0), "s")
	is.Equal(r.PickService(0.89), "s")
	is.Equal(r.PickService(0.91), "t")
	route := &Route{Services: []WeightedService{{"s", 0}, {"t", 1}}}
	is.Equal(route.PickService(0), "t") // a service of weight 0 is never picked
}

// A document with an invalid route or service is refused, and the error names the invalid field.
func TestInvalidRoutes(t *testing.T) {
	for name, c := range map[string]struct {
		change func(d *Document)
		path   string
	}{
		"unknown service":       {func(d *Document) { d.Routes[0].Services[0].Service = "u" }, "routes[0].services[0]"},
		"no services":           {func(d *Document) { d.Routes[0].Services = nil }, "routes[0].services"},
		"weights of 0":          {func(d *Document) { d.Routes[0].Services[0].Weight = 0 }, "routes[0].services"},
		"same host and prefix":  {func(d *Document) { d.Routes[1].PathPrefix = "/x/" }, "routes[1].path_prefix"},
		"prefix without slash":  {func(d *Document) { d.Routes[0].PathPrefix = "/x" }, "routes[0].path_prefix"},
		"no timeout":            {func(d *Document) { d.Routes[0].TimeoutMS = 0 }, "routes[0].timeout_ms"},
		"no kind":               {func(d *Document) { d.Routes[0].Kind = "" }, "routes[0].kind"},
		"unknown stage service": {func(d *Document) { d.Routes[0].Stages = []RouteStage{{Service: "u"}} }, "routes[0].stages[0].service"},
		"stage after itself":    {func(d *Document) { d.Routes[0].Stages = []RouteStage{{Service: "t", After: []int{0}}} }, "routes[0].stages[0].after"},
		"batch without pieces":  {func(d *Document) { d.Services[1].Batch.Pieces = 0 }, "services[1].batch.pieces"},
		"key of two workspaces": {func(d *Document) {
			d.Workspaces = append(d.Workspaces, Workspace{Name: "v", Unlimited: true, KeysSHA256: d.Workspaces[0].KeysSHA256[:1]})
		}, "workspaces[1].keys_sha256[0]"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := documentWithRoutes()
			c.change(d)
			err := fault.As(d.Check())
			is.Equal(err.Kind, fault.InvalidDocument)
			found := false
			for _, f := range err.FieldErrors {
				found = found || strings.HasPrefix(f.Path, c.path)
			}
			is.True(found)
		})
	}
	is.New(t).NoErr(documentWithRoutes().Check())
}

// Deployments without a tight objective, or without the setting, must be served as before.
func TestTightServices(t *testing.T) {
	is := is.New(t)
	d := documentWithRoutes()
	d.Routes[0].TargetLatencyMS, d.Routes[1].TargetLatencyMS = 700, 2000
	d.Routes[0].Stages = []RouteStage{{Service: "t"}}
	tight := TightServices{Limit: time.Second}
	is.True(tight.Contains(d, "s"))
	is.True(tight.Contains(d, "t"))
	is.True(!tight.Contains(d, "unknown"))
	is.True(!tight.Contains(nil, "s"))
	looser := documentWithRoutes()
	looser.Routes[0].TargetLatencyMS = 1001
	is.True(!tight.Contains(looser, "s")) // a new document replaces the set
	is.True(!(&TightServices{}).Contains(d, "s"))
	is.True(!(*TightServices)(nil).Contains(d, "s"))
}
