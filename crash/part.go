package crash

import (
	"encoding/hex"
	"hash/fnv"
	"slices"
	"unicode/utf8"
)

// cleanPart returns an ID of at most maxPartBytes bytes of valid UTF-8: the ID itself, or else a hash of it.
func cleanPart(id string) string {
	if len(id) <= maxPartBytes && utf8.ValidString(id) {
		return id
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	return "fnv64a:" + hex.EncodeToString(h.Sum(nil))
}

// cleanParts returns the clean, sorted and distinct IDs of the first maxParts parts.
func cleanParts(ids []string) []string {
	out := make([]string, 0, min(len(ids), maxParts))
	for _, id := range ids[:min(len(ids), maxParts)] {
		out = append(out, cleanPart(id))
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// containsAll reports whether a prompt has all of the clean IDs in wanted.
func containsAll(ids, wanted []string) bool {
	for _, w := range wanted {
		if !slices.ContainsFunc(ids, func(id string) bool { return cleanPart(id) == w }) {
			return false
		}
	}
	return true
}
