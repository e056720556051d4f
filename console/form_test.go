package console

import (
	"net/url"
	"testing"

	"github.com/matryer/is"

	"godwitplank/document"
)

// A form that is submitted without an edit changes nothing, also where the form shows only a part: it once dropped routes,
// services, limits and the further keys of workspaces.
func TestFormKeepsWhatItDoesNotShow(t *testing.T) {
	is := is.New(t)
	digest := document.SHA256([]byte("key"))
	d := &document.Document{
		Version:       3,
		Workspaces:    []document.Workspace{{Name: "crews", KeysSHA256: []string{digest}, Unlimited: true, RanksRequests: true, Priority: 2}},
		Routes:        []document.Route{{Name: "r", Host: "h", PathPrefix: "/", Kind: document.Once, TimeoutMS: 100, Services: []document.WeightedService{{Service: "s", Weight: 1}}}},
		Services:      []document.Service{{Name: "s"}},
		RequestLimits: document.RequestLimits{MaxBodyBytes: 9},
	}
	is.NoErr(d.Check())
	f, messages := newForm(d, nil)
	is.Equal(len(messages), 0)
	values := url.Values{"version": {"3"}}
	for _, workspace := range f.Workspaces {
		for _, input := range workspace {
			values.Set(input.Name, input.Value)
		}
	}
	parsed, faults := parseForm(values, d)
	is.Equal(len(faults), 0)
	before, _ := d.Canonical()
	after, _ := parsed.Canonical()
	is.Equal(string(after), string(before))
}
