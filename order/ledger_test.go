package order

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const secondMs = 1000

func newChange(action Action, claim string, attempt uint32) *Change {
	return &Change{Action: action, Key: &Key{Workspace: "w", Key: "k", Stage: "s"}, Attempt: attempt, Claim: claim, ValidMs: 4 * secondMs, Outcome: State_DONE, Answer: []byte("answer")}
}

func TestLedger(t *testing.T) {
	type step struct {
		at     int64
		change *Change
		state  State
		claim  string
	}
	for _, c := range []struct {
		name  string
		steps []step
	}{
		{"a resent claim gets the recorded answer", []step{
			{0, newChange(Action_CLAIM, "a", 1), State_CLAIMED, "a"},
			{1, newChange(Action_FINISH, "a", 1), State_DONE, "a"},
			{2, newChange(Action_CLAIM, "b", 1), State_DONE, "a"},
			{3, newChange(Action_CLAIM, "b", 2), State_DONE, "a"},
		}},
		{"one of two claims wins", []step{
			{0, newChange(Action_CLAIM, "a", 1), State_CLAIMED, "a"},
			{0, newChange(Action_CLAIM, "b", 1), State_CLAIMED, "a"},
			{1, newChange(Action_FINISH, "b", 1), State_CLAIMED, "a"},
			{1, newChange(Action_VOID, "b", 1), State_CLAIMED, "a"},
		}},
		{"a resent claim has no effect", []step{
			{0, newChange(Action_CLAIM, "a", 1), State_CLAIMED, "a"},
			{1, newChange(Action_CLAIM, "a", 1), State_CLAIMED, "a"},
		}},
		{"a late claim of a voided attempt is refused", []step{
			{0, newChange(Action_VOID, "a", 1), State_VOIDED, "a"},
			{1, newChange(Action_CLAIM, "a", 1), State_VOIDED, "a"},
			{2, newChange(Action_CLAIM, "b", 1), State_VOIDED, "a"},
			{3, newChange(Action_CLAIM, "c", 2), State_CLAIMED, "c"},
			{4, newChange(Action_CLAIM, "b", 1), State_CLAIMED, "c"},
		}},
		{"an owner can void its claim", []step{
			{0, newChange(Action_CLAIM, "a", 1), State_CLAIMED, "a"},
			{1, newChange(Action_VOID, "a", 1), State_VOIDED, "a"},
			{2, newChange(Action_FINISH, "a", 1), State_VOIDED, "a"},
		}},
		{"an expired claim makes the outcome unknown permanently", []step{
			{0, newChange(Action_CLAIM, "a", 1), State_CLAIMED, "a"},
			{4 * secondMs, newChange(Action_CLAIM, "b", 1), State_CLAIMED, "a"},
			{4*secondMs + 1, newChange(Action_CLAIM, "b", 1), State_UNKNOWN, "a"},
			{5 * secondMs, newChange(Action_FINISH, "a", 1), State_UNKNOWN, "a"},
			{6 * secondMs, newChange(Action_CLAIM, "c", 2), State_UNKNOWN, "a"},
		}},
		{"a record expires after its retention", []step{
			{0, newChange(Action_CLAIM, "a", 1), State_CLAIMED, "a"},
			{1, newChange(Action_FINISH, "a", 1), State_DONE, "a"},
			{1 + Retention.Milliseconds(), newChange(Action_CLAIM, "b", 1), State_DONE, "a"},
			{2 + Retention.Milliseconds(), newChange(Action_CLAIM, "b", 1), State_CLAIMED, "b"},
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			l := &Ledger{}
			for _, s := range c.steps {
				r := l.Apply(s.at, s.change)
				is.Equal(r.State, s.state)
				is.Equal(r.Claim, s.claim)
			}
		})
	}
}

// TestRandomLedger checks under random changes that a claimed call gets another owner only after it was voided, that
// final states and voided attempts never change, and that a restored ledger has the same record.
func TestRandomLedger(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		l := &Ledger{}
		now := int64(0)
		owners := make(map[string]bool)
		var last *Record
		for range 200 {
			now += rapid.Int64Range(0, 2*secondMs).Draw(r, "elapsed")
			claim := fmt.Sprintf("c%d", rapid.IntRange(0, 5).Draw(r, "claim"))
			c := newChange(Action(rapid.IntRange(0, 2).Draw(r, "action")), claim, uint32(rapid.IntRange(1, 3).Draw(r, "attempt")))
			got := l.Apply(now, c)
			if got == nil {
				continue
			}
			if got.State == State_CLAIMED && got.Claim == claim && c.Action == Action_CLAIM {
				for other := range owners {
					if other != claim && last.Claim == other && last.State == State_CLAIMED {
						r.Fatalf("%s owns the call while %s owns it too", claim, other)
					}
				}
				owners[claim] = true
			}
			if last != nil && (last.State == State_DONE || last.State == State_UNKNOWN) && got.State != last.State {
				r.Fatalf("a final state changed from %v to %v", last.State, got.State)
			}
			if last != nil && last.State == State_VOIDED && got.State != State_VOIDED && got.Attempt <= last.Attempt {
				r.Fatalf("voided attempt %d was claimed again", last.Attempt)
			}
			last = got
			restored := &Ledger{}
			restored.Restore(l.Records())
			if got := restored.Find(c.Key); got != last {
				r.Fatalf("a restored ledger has %v, not %v", got, last)
			}
		}
	})
}
