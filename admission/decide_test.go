package admission

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var now = time.Unix(1000, 0)

// room is a service that completes 100 pieces a second, with all endpoints busy.
func room() *Room {
	return &Room{PiecesPerSecond: 100, NextFree: 100 * time.Millisecond, CallTime: 150 * time.Millisecond, PieceTime: 5 * time.Millisecond, MaxPieces: 20, ShareWindow: time.Second, Demand: 200}
}

func claim(priority, pieces int, due time.Duration) *Claim {
	return &Claim{Priority: priority, Pieces: pieces, Due: now.Add(due), Deadline: now.Add(6 * time.Second), Predicted: 200 * time.Millisecond, Kind: KindOf(priority, pieces)}
}

// Jobs beyond what the service can do in time are refused at once, with a time to return within a third of what is left.
// Those whose work has begun never are. It guards against holding jobs that are lost.
func TestRefusesWhatCannotBeInTime(t *testing.T) {
	is := is.New(t)
	var p Policy
	var queued []*Claim
	verdicts := make(map[Verdict]int)
	for range 40 {
		c := claim(0, 10, time.Second)
		d := p.Arrive(now, room(), slices.Values(queued), c)
		verdicts[d.Verdict]++
		if d.Verdict == Refuse {
			is.True(d.RetryAfter >= minRetry && d.RetryAfter <= 2*time.Second)
			continue
		}
		queued = append(queued, c)
	}
	is.Equal(verdicts[Wait], 7) // 100 pieces a second, less the time of a call
	begun := claim(0, 10, time.Second)
	begun.HasInputs = true
	is.Equal(p.Arrive(now, room(), slices.Values(queued), begun).Verdict, Wait)
	urgent := claim(-1, 10, time.Second)
	is.Equal(p.Arrive(now, room(), slices.Values(queued), urgent).Verdict, Wait)
	is.Equal(p.Arrive(now, &Room{}, slices.Values(queued), claim(0, 10, time.Second)).Verdict, Start) // nothing is known
}

// A kind that gets less than minShare of what the others get goes first.
func TestStarvedKindGoesFirst(t *testing.T) {
	is := is.New(t)
	var p Policy
	r := room()
	high, low := claim(0, 10, time.Second), claim(5, 2, time.Second)
	r.Shares = map[Kind]Share{high.Kind: {Asked: 100, Got: 90}, low.Kind: {Asked: 100, Got: 10}}
	is.Equal(p.Decide(now, r, []*Claim{high, low}).Order, []int{1, 0})
	r.Shares[low.Kind] = Share{Asked: 100, Got: 50}
	is.Equal(p.Decide(now, r, []*Claim{high, low}).Order, []int{0, 1})
}

// For any claims, Decide orders each once and refuses none whose work has begun; callers return within a third of the time
// that they have left, or after minRetry.
func TestDecide(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := Policy{Order: Order(rapid.IntRange(0, 3).Draw(t, "order"))}
		var claims []*Claim
		for range rapid.IntRange(0, 30).Draw(t, "claims") {
			c := claim(rapid.IntRange(0, 3).Draw(t, "priority"), rapid.IntRange(0, 60).Draw(t, "pieces"), time.Duration(rapid.IntRange(-500, 3000).Draw(t, "due"))*time.Millisecond)
			c.Started, c.HasInputs, c.Returned = rapid.Bool().Draw(t, "started"), rapid.Bool().Draw(t, "inputs"), rapid.Bool().Draw(t, "returned")
			claims = append(claims, c)
		}
		plan := p.Decide(now, room(), claims)
		seen := slices.Clone(plan.Order)
		slices.Sort(seen)
		for i, k := range seen {
			if k != i {
				t.Fatalf("the order %v is not a permutation", plan.Order)
			}
		}
		for i, d := range plan.Decisions {
			if d.Verdict == Refuse && (claims[i].Started || claims[i].HasInputs) {
				t.Fatalf("a job whose work has begun is refused")
			}
			if d.Verdict == Refuse && d.RetryAfter > max(minRetry, claims[i].Deadline.Sub(now)/3) {
				t.Fatalf("the caller of a refused job returns after %v", d.RetryAfter)
			}
		}
	})
}

// BenchmarkArrive measures the cost of a job that arrives at a queue of 500: at a fleet's size a service gets up to a
// thousand a second.
func BenchmarkArrive(b *testing.B) {
	var p Policy
	r := room()
	r.PiecesPerSecond = 10000
	r.Shares = map[Kind]Share{KindOf(0, 5): {Asked: 100, Got: 100}, KindOf(1, 5): {Asked: 100, Got: 90}, KindOf(2, 5): {Asked: 100, Got: 80}}
	var queued []*Claim
	for i := range 500 {
		queued = append(queued, claim(i%3, 5, time.Duration(i)*5*time.Millisecond))
	}
	slices.SortFunc(queued, p.Compare)
	for b.Loop() {
		p.Arrive(now, r, slices.Values(queued), claim(1, 5, time.Second))
	}
}
