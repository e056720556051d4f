// Package memory accounts for the bytes that a VM holds for its callers. It allocates nothing itself and does no I/O.
package memory

import (
	"errors"
	"net/netip"
	"slices"
	"sync"
	"time"
)

// Refusals of Account.Grow.
var (
	// ErrFull says that the memory for callers is in use.
	ErrFull = errors.New("the memory for callers is in use")
	// ErrShare says that the caller's address or connection has its share in use.
	ErrShare = errors.New("the caller's address has its share of the memory in use")
	// ErrClosed says that the account's connection has been closed or has to yield.
	ErrClosed = errors.New("the connection has been closed")
)

const (
	// SmallBytes is the size up to which an account may use the reserve and is exempt from the share of its address.
	// Ordinary requests have bodies of up to 55 KB; while the buffer doubles and with the response they take up to 200 KB.
	SmallBytes = 256 << 10
	// reserveDivisor gives the part of the budget that only accounts of up to SmallBytes use, so that ordinary requests are
	// served beside large ones.
	reserveDivisor = 4
	// shareNumerator / shareDivisor is the part of the budget that large requests of one address may use. It is more than
	// half, since a load balancer may be the address of all callers.
	shareNumerator, shareDivisor = 3, 4
	// StallTime is the time without progress after which an account yields to one that needs memory.
	StallTime = time.Second
)

// Budget is the memory of a VM for all its callers. A nil Budget limits nothing.
type Budget struct {
	total, reserve, share int64

	mu       sync.Mutex
	used     int64
	callers  map[netip.Addr]int64
	accounts map[*Account]struct{}
	freed    chan struct{}
	refused  map[error]int64
	yielded  int64
}

// NewBudget returns a budget of total bytes. largest is the memory that one request of legal size takes; the share of an
// address is never less.
func NewBudget(total, largest int64) *Budget {
	return &Budget{
		total: total, reserve: max(0, min(total/reserveDivisor, total-largest)), share: max(largest, total*shareNumerator/shareDivisor),
		callers: make(map[netip.Addr]int64), accounts: make(map[*Account]struct{}), freed: make(chan struct{}), refused: make(map[error]int64),
	}
}

// Account is what is held for one connection. A nil Account limits nothing.
type Account struct {
	budget *Budget
	caller netip.Addr
	yield  func()

	// The budget's mutex guards the rest.
	held     int64
	waiting  bool
	progress time.Time
	closed   bool
}

// Open opens an account for a connection. yield is called at most once, without locks, when the account has to give up its
// memory; it must lead to Close.
func (b *Budget) Open(caller netip.Addr, now time.Time, yield func()) *Account {
	if b == nil {
		return nil
	}
	a := &Account{budget: b, caller: caller, yield: yield, progress: now}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.accounts[a] = struct{}{}
	return a
}

// Grow charges n bytes, which the caller may allocate only if the error is nil. If they do not fit, accounts that wait for
// their callers without progress are made to yield; their memory is free when they are closed.
func (a *Account) Grow(now time.Time, n int64) error {
	if a == nil {
		return nil
	}
	b := a.budget
	b.mu.Lock()
	if a.closed {
		b.mu.Unlock()
		return ErrClosed
	}
	limit, err := b.total, error(nil)
	if a.held+n > SmallBytes {
		limit -= b.reserve
		if b.callers[a.caller]+n > b.share {
			err = ErrShare
		}
	}
	missing := b.used + n - limit
	if missing > 0 && err == nil {
		err = ErrFull
	}
	var yielding []*Account
	if err == nil {
		b.add(a, n)
	} else {
		b.refused[err]++
		yielding = b.chooseYielding(a, now, max(missing, n), err)
	}
	b.mu.Unlock()
	for _, y := range yielding {
		y.yield()
	}
	return err
}

// chooseYielding closes accounts without progress for new charges, the largest first, until they hold the missing bytes, and
// returns them. Only accounts of the same address help against ErrShare.
func (b *Budget) chooseYielding(asking *Account, now time.Time, missing int64, cause error) []*Account {
	var out []*Account
	for a := range b.accounts {
		stalled := a.waiting && now.Sub(a.progress) >= StallTime
		if a != asking && !a.closed && stalled && (cause == ErrFull || a.caller == asking.caller) {
			out = append(out, a)
		}
	}
	slices.SortFunc(out, func(x, y *Account) int { return int(y.held - x.held) })
	for i, a := range out {
		if missing <= 0 {
			return out[:i]
		}
		a.closed = true
		b.yielded++
		missing -= a.held
	}
	return out
}

func (b *Budget) add(a *Account, n int64) {
	a.held += n
	b.used += n
	if b.callers[a.caller] += n; b.callers[a.caller] == 0 {
		delete(b.callers, a.caller)
	}
	if n < 0 {
		close(b.freed)
		b.freed = make(chan struct{})
	}
}

// Shrink returns n bytes that are no longer referenced.
func (a *Account) Shrink(n int64) {
	if a == nil || n == 0 {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.budget.add(a, -min(n, a.held))
}

// ShrinkTo returns all but n bytes.
func (a *Account) ShrinkTo(n int64) {
	if a == nil {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	if a.held > n {
		a.budget.add(a, n-a.held)
	}
}

// Wait sets whether the account waits for its caller, so that it has to make progress, and counts as progress itself.
func (a *Account) Wait(now time.Time, waiting bool) {
	if a == nil {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.waiting, a.progress = waiting, now
}

// Close returns all bytes. It may be called more than once.
func (a *Account) Close() {
	if a == nil {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.closed = true
	if a.held > 0 {
		a.budget.add(a, -a.held)
	}
	delete(a.budget.accounts, a)
}

// Freed returns a channel that is closed when bytes are returned after this call; nil for a nil Account.
func (a *Account) Freed() <-chan struct{} {
	if a == nil {
		return nil
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	return a.budget.freed
}

// Usage is the state of a budget.
type Usage struct {
	Total, Used int64
	// Full and Share count the refusals by cause, Yielded the accounts that had to yield.
	Full, Share, Yielded int64
}

// Usage returns the state of the budget.
func (b *Budget) Usage() Usage {
	if b == nil {
		return Usage{}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return Usage{Total: b.total, Used: b.used, Full: b.refused[ErrFull], Share: b.refused[ErrShare], Yielded: b.yielded}
}

// Largest returns the most that one account may hold.
func (b *Budget) Largest() int64 {
	return min(b.total-b.reserve, b.share)
}

const (
	bytesPerMB = 1 << 20
	// ownBytes is what a process needs for itself: 25 to 60 MB in the target deployment.
	ownBytes = 48 * bytesPerMB
	// heapShare is the part of memory_mb that is Go's soft limit; the rest is the program itself and what the collector has
	// not yet returned.
	heapShare = 0.7
	// callersShare is the part of the rest for callers; the other part is garbage between two collections.
	callersShare = 0.6
	// minShare is the least part of memory_mb for callers.
	minShare = 0.1
)

// ForProcess returns the budget of a process that may use mb MB, or nil for 0. largest is as in NewBudget.
func ForProcess(mb int, largest int64) *Budget {
	if mb <= 0 {
		return nil
	}
	total := float64(mb) * bytesPerMB
	return NewBudget(int64(max(minShare*total, callersShare*(heapShare*total-ownBytes), float64(largest))), largest)
}
