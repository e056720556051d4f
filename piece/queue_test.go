package piece

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func allowAll(*unit) bool { return true }

// job returns a job that is due dueMS milliseconds after start.
func job(id string, pieces, priority int, dueMS int) *pendingJob {
	return newPendingJob(&Job{
		RequestID: id, Pieces: pieces, Priority: priority, Due: start.Add(time.Duration(dueMS) * time.Millisecond),
		Deadline: start.Add(10 * time.Second), ResultBytes: 10,
	}, start, 100*time.Millisecond)
}

// withInputs turns j into a job of a stage that takes results of another stage.
func withInputs(j *pendingJob, holding bool) *pendingJob {
	j.Key, j.Inputs, j.InputsHoldMemory = "", []string{"h"}, holding
	return j
}

func requestOrder(units []*unit) []string {
	var out []string
	for _, u := range units {
		if len(out) == 0 || out[len(out)-1] != u.job.RequestID {
			out = append(out, u.job.RequestID)
		}
	}
	return out
}

// waiting returns the waiting units in order of urgency.
func (q *queue) waiting() []*unit {
	var out []*unit
	for _, j := range q.jobs {
		out = append(out, j.waiting...)
	}
	return out
}

func TestOrder(t *testing.T) {
	for _, c := range []struct {
		name string
		jobs []*pendingJob
		want []string
	}{
		{"newest objective first", []*pendingJob{job("b", 1, 0, 800), job("a", 1, 0, 900)}, []string{"a", "b"}},
		{"by priority", []*pendingJob{job("b", 1, 1, 800), job("a", 1, 0, 900)}, []string{"a", "b"}},
		{"jobs that miss their objective last", []*pendingJob{job("b", 1, 0, 50), job("a", 1, 1, 900)}, []string{"a", "b"}},
		{"jobs with inputs that miss their objective last", []*pendingJob{withInputs(job("b", 1, 0, 50), false), job("a", 1, 1, 900)}, []string{"a", "b"}},
		{"jobs whose inputs hold memory keep their place", []*pendingJob{job("a", 1, 1, 900), withInputs(job("b", 1, 0, 50), true)}, []string{"b", "a"}},
		{"started jobs first", []*pendingJob{job("b", 1, 0, 800), {Job: job("a", 1, 2, 50).Job, started: true}}, []string{"a", "b"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			q := &queue{}
			for _, j := range c.jobs {
				q.insert(start, j.units()...)
			}
			is.Equal(requestOrder(q.waiting()), c.want)
		})
	}
}

func TestTake(t *testing.T) {
	servedDCs := map[string]bool{"dc-a": true, "dc-b": true}
	inDataCentre := func(j *pendingJob, dataCentre string) *pendingJob { j.DataCentre = dataCentre; return j }
	for _, c := range []struct {
		name  string
		offer offer
		jobs  []*pendingJob
		taken int
	}{
		{"whole jobs up to the share", offer{share: 1, maxPieces: 10, freeBytes: -1}, []*pendingJob{job("a", 3, 0, 900), job("b", 3, 0, 950)}, 3},
		{"at most the limit of a call", offer{share: 10, maxPieces: 4, freeBytes: -1}, []*pendingJob{job("a", 3, 0, 900), job("b", 3, 0, 950)}, 4},
		{"a job of another data centre waits", offer{share: 10, maxPieces: 10, freeBytes: -1}, []*pendingJob{inDataCentre(job("a", 3, 0, 900), "dc-b")}, 0},
		{"a job runs elsewhere if its data centre has no endpoints", offer{share: 10, maxPieces: 10, freeBytes: -1}, []*pendingJob{inDataCentre(job("a", 3, 0, 900), "dc-c")}, 3},
		{"a job runs in another data centre after spillShare", offer{now: start.Add(500 * time.Millisecond), share: 10, maxPieces: 10, freeBytes: -1}, []*pendingJob{inDataCentre(job("a", 3, 0, 900), "dc-b")}, 3},
		{"a job starts only where it fits", offer{share: 10, maxPieces: 10, freeBytes: 25}, []*pendingJob{job("a", 3, 0, 900), job("b", 2, 0, 950)}, 2},
		{"a job larger than the memory starts at an empty endpoint", offer{share: 10, maxPieces: 10, freeBytes: 25, empty: true}, []*pendingJob{job("a", 3, 0, 900)}, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			q := &queue{}
			for _, j := range c.jobs {
				q.insert(start, j.units()...)
			}
			c.offer.dataCentre, c.offer.servedDCs, c.offer.allowed = "dc-a", servedDCs, allowAll
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
	q.insert(start, a.units()...)
	q.expire(start.Add(9 * time.Second))
	is.Equal(q.units, 2)
	q.expire(start.Add(10 * time.Second))
	is.Equal(q.units, 0)
	is.Equal(<-a.done, ErrDeadline)
}

// For any sequence of offers, every unit is taken exactly once and no offer is exceeded.
func TestTakeReturnsEveryUnitOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q, total := &queue{}, 0
		for i := range rapid.IntRange(1, 8).Draw(t, "jobs") {
			j := job(string(rune('a'+i)), rapid.IntRange(1, 9).Draw(t, "pieces"), rapid.IntRange(0, 2).Draw(t, "priority"), rapid.IntRange(0, 900).Draw(t, "due"))
			total += j.Pieces
			q.insert(start, j.units()...)
		}
		taken := make(map[*unit]bool)
		for q.units > 0 {
			maxPieces := rapid.IntRange(1, 12).Draw(t, "maxPieces")
			units := q.take(offer{now: start, share: rapid.IntRange(1, 12).Draw(t, "share"), maxPieces: maxPieces, freeBytes: -1, allowed: allowAll})
			if len(units) == 0 || len(units) > maxPieces {
				t.Fatalf("took %d units for an offer of %d", len(units), maxPieces)
			}
			for _, u := range units {
				if taken[u] {
					t.Fatal("a unit was taken twice")
				}
				taken[u] = true
			}
		}
		if len(taken) != total {
			t.Fatalf("%d of %d units were taken", len(taken), total)
		}
	})
}
