// Package evacuation implements the set of evacuated data centres, whose endpoints get no new work.
package evacuation

import (
	"cmp"
	"slices"
	"strings"
	"time"
	"unicode/utf8"
)

const (
	// MaxActive limits the number of data centres that are evacuated at once, since the set is sent to every VM and
	// callers of the control address may choose the names.
	MaxActive = 256
	// EndRetention is how long the end of an evacuation is kept: longer than any endpoint stays cold after it.
	EndRetention = time.Hour
	// maxNameBytes limits the length of a data centre's name, which every VM stores.
	maxNameBytes = 100
)

// Change is the last change of a data centre's evacuation.
type Change struct {
	DataCentre string
	Active     bool
	// TimeMS is the time of the replicated log in Unix milliseconds.
	TimeMS int64
}

// State is a set of evacuations. The zero value is empty. It is immutable: its methods return changed copies, so that
// copies of a State may be shared.
type State struct {
	// Version increases with each effective change.
	Version uint64
	// Changes holds the last change of each data centre, sorted by data centre.
	Changes []Change
}

// ValidName reports whether a data centre's name has a valid form: that of the setting data_centre.
func ValidName(name string) bool {
	return name != "" && len(name) <= maxNameBytes && utf8.ValidString(name) && !strings.ContainsFunc(name, func(r rune) bool {
		return r <= ' ' || r == ',' || r == '/' || r == 0x7f
	})
}

// Find returns the last change of a data centre, and false if there is none.
func (s State) Find(dataCentre string) (Change, bool) {
	i, found := s.search(dataCentre)
	if !found {
		return Change{}, false
	}
	return s.Changes[i], true
}

// Active reports whether a data centre is evacuated.
func (s State) Active(dataCentre string) bool {
	c, _ := s.Find(dataCentre)
	return c.Active
}

// DataCentres returns the evacuated data centres, sorted.
func (s State) DataCentres() []string {
	var out []string
	for _, c := range s.Changes {
		if c.Active {
			out = append(out, c.DataCentre)
		}
	}
	return out
}

// Apply returns the set after a change. It returns the same set if the change has no effect, and false if the change
// would exceed MaxActive. It also drops the ends that are older than EndRetention. The new version is at least the time
// of the change, so that the versions of a group that replaces a lost one are above those of the lost one.
func (s State) Apply(c Change) (State, bool) {
	if s.Active(c.DataCentre) == c.Active {
		return s, true
	}
	if c.Active && len(s.DataCentres()) >= MaxActive {
		return s, false
	}
	next := State{Version: max(s.Version+1, uint64(max(0, c.TimeMS))), Changes: make([]Change, 0, len(s.Changes)+1)}
	for _, old := range s.Changes {
		if old.DataCentre != c.DataCentre && (old.Active || c.TimeMS-old.TimeMS <= EndRetention.Milliseconds()) {
			next.Changes = append(next.Changes, old)
		}
	}
	i, _ := next.search(c.DataCentre)
	next.Changes = slices.Insert(next.Changes, i, c)
	return next, true
}

// Merge returns the one of two sets with the higher version.
func (s State) Merge(other State) State {
	if other.Version > s.Version {
		return other
	}
	return s
}

func (s State) search(dataCentre string) (int, bool) {
	return slices.BinarySearchFunc(s.Changes, dataCentre, func(c Change, name string) int {
		return cmp.Compare(c.DataCentre, name)
	})
}
