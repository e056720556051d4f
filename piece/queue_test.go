package piece

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func always(*unit) bool { return true }

// job returns a pending job that is due after some milliseconds.
func job(id string, pieces, rank int, due int) *pending {
	return newPending(&Job{
		RequestID: id, Pieces: pieces, Priority: rank, Due: start.Add(time.Duration(due) * time.Millisecond),
		Deadline: start.Add(10 * time.Second), ResultBytes: 10,
	}, start, 100*time.Millisecond)
}

// later returns a job of a stage that takes results of another.
func later(j *pending, holding bool) *pending {
	j.Key, j.Inputs, j.Holding = "", []string{"h"}, holding
	return j
}

func order(units []*unit) []string {
	var out []string
	for _, u := range units {
		if len(out) == 0 || out[len(out)-1] != u.job.RequestID {
			out = append(out, u.job.RequestID)
		}
	}
	return out
}

func TestOrder(t *testing.T) {
	for _, c := range []struct {
		name string
		jobs []*pending
		want []string
	}{
		{"by objective", []*pending{job("b", 1, 0, 900), job("a", 1, 0, 800)}, []string{"a", "b"}},
		{"by rank", []*pending{job("b", 1, 1, 800), job("a", 1, 0, 900)}, []string{"a", "b"}},
		{"late ones last", []*pending{job("b", 1, 0, 50), job("a", 1, 1, 900)}, []string{"a", "b"}},
		{"late ones last though they have inputs", []*pending{later(job("b", 1, 0, 50), false), job("a", 1, 1, 900)}, []string{"a", "b"}},
		{"late ones that hold memory in their place", []*pending{job("a", 1, 1, 900), later(job("b", 1, 0, 50), true)}, []string{"b", "a"}},
		{"begun ones first", []*pending{job("b", 1, 0, 800), {Job: job("a", 1, 2, 50).Job, begun: true}}, []string{"a", "b"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			q := &queue{}
			for _, j := range c.jobs {
				q.add(start, j.units()...)
			}
			is.Equal(order(q.waiting), c.want)
		})
	}
}

func TestTake(t *testing.T) {
	near := map[string]bool{"dc-a": true, "dc-b": true}
	placed := func(j *pending, dataCentre string) *pending { j.DataCentre = dataCentre; return j }
	for _, c := range []struct {
		name  string
		offer offer
		jobs  []*pending
		taken int
	}{
		{"whole jobs up to the share", offer{share: 1, most: 10, room: -1}, []*pending{job("a", 3, 0, 900), job("b", 3, 0, 950)}, 3},
		{"no more than fits in a call", offer{share: 10, most: 4, room: -1}, []*pending{job("a", 3, 0, 900), job("b", 3, 0, 950)}, 4},
		{"a job of another data centre waits", offer{share: 10, most: 10, room: -1}, []*pending{placed(job("a", 3, 0, 900), "dc-b")}, 0},
		{"one goes where no endpoint is near", offer{share: 10, most: 10, room: -1}, []*pending{placed(job("a", 3, 0, 900), "dc-c")}, 3},
		{"one goes far rather than miss its objective", offer{now: start.Add(500 * time.Millisecond), share: 10, most: 10, room: -1}, []*pending{placed(job("a", 3, 0, 900), "dc-b")}, 3},
		{"a job is begun only where it fits", offer{share: 10, most: 10, room: 25}, []*pending{job("a", 3, 0, 900), job("b", 2, 0, 950)}, 2},
		{"a job larger than the memory is begun at an empty endpoint", offer{share: 10, most: 10, room: 25, empty: true}, []*pending{job("a", 3, 0, 900)}, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			q := &queue{}
			for _, j := range c.jobs {
				q.add(start, j.units()...)
			}
			c.offer.dataCentre, c.offer.near, c.offer.may = "dc-a", near, always
			if c.offer.now.IsZero() {
				c.offer.now = start
			}
			is.Equal(len(q.take(c.offer)), c.taken)
		})
	}
}

func TestExpire(t *testing.T) {
	is := is.New(t)
	q := &queue{}
	a := job("a", 2, 0, 900)
	q.add(start, a.units()...)
	q.expire(start.Add(9 * time.Second))
	is.Equal(len(q.waiting), 2)
	q.expire(start.Add(10 * time.Second))
	is.Equal(len(q.waiting), 0)
	is.Equal(<-a.done, ErrLate)
}

// Every unit is taken once, whatever is offered, and an offer is never exceeded.
func TestTakeLosesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q, total := &queue{}, 0
		for i := range rapid.IntRange(1, 8).Draw(t, "jobs") {
			j := job(string(rune('a'+i)), rapid.IntRange(1, 9).Draw(t, "pieces"), rapid.IntRange(0, 2).Draw(t, "rank"), rapid.IntRange(0, 900).Draw(t, "due"))
			total += j.Pieces
			q.add(start, j.units()...)
		}
		seen := make(map[*unit]bool)
		for len(q.waiting) > 0 {
			most := rapid.IntRange(1, 12).Draw(t, "most")
			units := q.take(offer{now: start, share: rapid.IntRange(1, 12).Draw(t, "share"), most: most, room: -1, may: always})
			if len(units) == 0 || len(units) > most {
				t.Fatalf("%d units were taken of an offer of %d", len(units), most)
			}
			for _, u := range units {
				if seen[u] {
					t.Fatal("a unit was taken twice")
				}
				seen[u] = true
			}
		}
		if len(seen) != total {
			t.Fatalf("%d of %d units were taken", len(seen), total)
		}
	})
}
