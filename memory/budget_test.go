package memory

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against grants over the budget and against bytes that stay charged after aborts, in any order of operations.
func TestGrantsStayWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.Int64Range(1, 40<<20).Draw(t, "total")
		largest := rapid.Int64Range(1, total).Draw(t, "largest")
		b := NewBudget(total, largest)
		now := time.Unix(0, 0)
		var open []*Account
		granted := make(map[*Account]int64)
		yielded := make(map[*Account]int)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
			if len(open) == 0 || rapid.IntRange(0, 4).Draw(t, "open") == 0 {
				var a *Account
				a = b.Open(netip.AddrFrom4([4]byte{127, 0, 0, byte(rapid.IntRange(0, 2).Draw(t, "caller"))}), now, func() { yielded[a]++ })
				open = append(open, a)
				continue
			}
			i := rapid.IntRange(0, len(open)-1).Draw(t, "account")
			a, n := open[i], rapid.Int64Range(0, 6<<20).Draw(t, "bytes")
			switch rapid.IntRange(0, 5).Draw(t, "operation") {
			case 0, 1:
				if a.Grow(now, n) == nil {
					granted[a] += n
				}
			case 2:
				a.Shrink(n)
				granted[a] = max(0, granted[a]-n)
			case 3:
				a.Wait(now, rapid.Bool().Draw(t, "waiting"))
			case 4:
				a.ShrinkTo(n)
				granted[a] = min(granted[a], n)
			case 5:
				a.Close()
				delete(granted, a)
				open = append(open[:i], open[i+1:]...)
			}
			sum := int64(0)
			for _, g := range granted {
				sum += g
			}
			if sum > total || sum != b.Usage().Used {
				t.Fatalf("granted %d of %d, counted %d", sum, total, b.Usage().Used)
			}
		}
		for a, times := range yielded {
			if times > 1 || a.Grow(now, 1) == nil {
				t.Fatalf("an account yielded %d times or was granted more after that", times)
			}
		}
		for _, a := range open {
			a.Close()
			a.Close()
		}
		if u := b.Usage(); u.Used != 0 || len(b.callers) != 0 || len(b.accounts) != 0 {
			t.Fatalf("%d bytes are left after all connections were closed", u.Used)
		}
		if b.Open(netip.Addr{}, now, nil).Grow(now, largest) != nil {
			t.Fatal("a single request of legal size was refused")
		}
	})
}

// Guards against half-sent bodies that keep the memory from a request that makes progress, and from small requests.
func TestStalledYield(t *testing.T) {
	is := is.New(t)
	b := NewBudget(40<<20, 8<<20)
	now := time.Unix(0, 0)
	var stalled []*Account
	for i := range 40 {
		var a *Account
		a = b.Open(netip.AddrFrom4([4]byte{127, 0, 0, byte(i)}), now, func() { a.Close() })
		if a.Grow(now, 4<<20) == nil {
			a.Wait(now, true)
			stalled = append(stalled, a)
		}
	}
	is.Equal(len(stalled), 7) // three quarters of the budget
	ordinary := b.Open(netip.MustParseAddr("10.0.0.1"), now, nil)
	is.NoErr(ordinary.Grow(now, 55<<10))
	large := b.Open(netip.MustParseAddr("10.0.0.1"), now, nil)
	is.Equal(large.Grow(now.Add(StallTime/2), 4<<20), ErrFull)
	is.Equal(large.Grow(now.Add(StallTime), 4<<20), ErrFull) // makes the others yield
	is.NoErr(large.Grow(now.Add(StallTime), 4<<20))
}
