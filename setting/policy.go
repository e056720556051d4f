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

// overloadPolicies are the names of the policies for overload, those of piece.OverloadPolicy.
var overloadPolicies = []string{"defer", "refuse_late", "least_cost"}

func setOverloadPolicy(s *Settings, value string) error {
	if !slices.Contains(overloadPolicies, value) {
		return fmt.Errorf("%q is not a policy for overload; use one of %s", value, strings.Join(overloadPolicies, ", "))
	}
	s.OverloadPolicy = value
	return nil
}
