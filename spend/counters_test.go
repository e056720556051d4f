package spend

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestMergeConverges exchanges the counters of restarting VMs between three replicas in random order, repeatedly and
// late, and compares the totals with the actual usage.
func TestMergeConverges(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		replicas := []*Counters{{}, {}, {}}
		tallies := []*Tally{{}, {}, {}}
		incarnations := []uint64{1, 1, 1}
		previousLines := [][]Line{nil, nil, nil}
		var want Amount
		for range 100 {
			i := rapid.IntRange(0, 2).Draw(r, "vm")
			j := rapid.IntRange(0, 2).Draw(r, "other")
			vm := string(rune('a' + i))
			switch rapid.IntRange(0, 4).Draw(r, "action") {
			case 0, 1:
				tallies[i].Add("w", "s", time.Second)
				want = Amount{want.Calls + 1, want.Held + time.Second}
			case 2: // a planned restart: the other VMs have received the last counters
				for _, c := range replicas {
					mergeAll(c, tallies[i].Lines(vm, incarnations[i]))
				}
				previousLines[i] = append(previousLines[i], tallies[i].Lines(vm, incarnations[i])...)
				tallies[i] = &Tally{}
				incarnations[i]++
				replicas[i] = &Counters{}
				mergeAll(replicas[i], linesOnly(replicas[(i+1)%3].ChangedSince(0)))
			case 3:
				mergeAll(replicas[j], tallies[i].Lines(vm, incarnations[i]))
				mergeAll(replicas[j], linesOnly(replicas[i].ChangedSince(0)))
			case 4: // late and repeated delivery
				mergeAll(replicas[j], previousLines[i])
			}
		}
		for i := range tallies {
			mergeAll(replicas[0], tallies[i].Lines(string(rune('a'+i)), incarnations[i]))
		}
		var got Amount
		for _, total := range replicas[0].Totals() {
			got = Amount{got.Calls + total.Calls, got.Held + time.Duration(total.HeldMS)*time.Millisecond}
		}
		if got != want {
			r.Fatalf("the totals are %v, want %v", got, want)
		}
	})
}

func mergeAll(c *Counters, lines []Line) {
	for _, l := range lines {
		c.Merge(l)
	}
}

func linesOnly(lines []Line, _ uint64) []Line {
	return lines
}

func TestChangedSince(t *testing.T) {
	is := is.New(t)
	c := &Counters{}
	c.Merge(Line{Key{"a", 1, "w", "s"}, Amount{1, time.Second}})
	lines, revision := c.ChangedSince(0)
	is.Equal(len(lines), 1)
	is.True(!c.Merge(lines[0])) // already known
	lines, _ = c.ChangedSince(revision)
	is.Equal(len(lines), 0)
	c.Merge(Line{Key{"a", 1, "w", "t"}, Amount{1, time.Second}})
	lines, _ = c.ChangedSince(revision)
	is.Equal(len(lines), 1)
}
