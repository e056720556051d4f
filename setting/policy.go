package setting

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"godwitplank/route"
)

func setPolicy(s *Settings, value string) error {
	if route.Policies[value] == nil {
		names := slices.Sorted(maps.Keys(route.Policies))
		return fmt.Errorf("%q is not a policy; use one of %s", value, strings.Join(names, ", "))
	}
	s.Policy = value
	return nil
}
