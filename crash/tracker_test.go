package crash

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1_700_000_000, 0)

// scene feeds a tracker with runs on a clock of its own.
type scene struct {
	tracker Tracker
	now     time.Time
	crashes int
}

// crash ends a run of each prompt at a new endpoint, and moves the clock by a second.
func (s *scene) crash(prompts ...[]string) {
	s.crashes++
	e := Endpoint{ID: fmt.Sprint("e-", s.crashes), Incarnation: 1}
	for _, p := range prompts {
		s.tracker.RecordCrash(Run{At: s.now, Endpoint: e, Prompt: HashPrompt(append([]string{fmt.Sprint("own-", s.crashes)}, p...)), Parts: p})
	}
	s.pass(time.Second)
}

func (s *scene) pass(d time.Duration) {
	s.now = s.now.Add(d)
}

func (s *scene) survive(parts ...string) {
	s.tracker.RecordSurvival(s.now, parts)
	s.pass(time.Second)
}

func (s *scene) excluded(parts ...string) bool {
	return s.tracker.Find(s.now, parts) != nil
}

// Under each crash, prompts without the deadly part end too. Only the deadly part is excluded.
func TestDeadlyPartIsExcluded(t *testing.T) {
	is := is.New(t)
	s := &scene{now: start}
	for i := range minCrashes {
		is.True(!s.excluded("first", "dead"))
		s.crash([]string{"first", "dead"}, []string{"first", fmt.Sprint("victim-", i)})
		s.survive("first", "other")
	}
	is.True(s.excluded("first", "dead"))
	is.True(s.excluded("elsewhere", "dead"))
	is.True(!s.excluded("first", "other"))
	is.True(!s.excluded("first", "victim-0"))
	is.True(!s.excluded("first"))
	is.Equal(s.tracker.Quarantines(s.now)[0].Parts, []string{"dead"})
}

// Two parts that only ever crash together are excluded together: prompts with one of them still run, and a completed one
// clears its part.
func TestInseparablePartsAreExcludedTogether(t *testing.T) {
	is := is.New(t)
	s := &scene{now: start}
	for range minCrashes {
		s.crash([]string{"first", "subject", "dead"})
		s.survive("first")
	}
	is.True(s.excluded("first", "subject", "dead"))
	is.True(!s.excluded("first", "subject"))
	is.True(!s.excluded("first", "dead"))
	s.survive("first", "subject")
	is.True(s.excluded("first", "other", "dead"))
	is.True(!s.excluded("first", "subject"))
	is.Equal(len(s.tracker.Quarantines(s.now)), 1)
}

// All prompts with the deadly part are about one subject, and a sound one about that subject stood beside one of them.
func TestSubjectOfDeadlyPromptsIsNotExcluded(t *testing.T) {
	is := is.New(t)
	s := &scene{now: start}
	for range minCrashes {
		s.crash([]string{"first", "subject", "dead"}, []string{"first", "subject"})
		s.survive("first")
	}
	is.True(s.excluded("first", "subject", "dead"))
	is.True(!s.excluded("first", "subject"))
}

func TestSoundPartsAreNotExcluded(t *testing.T) {
	for name, play := range map[string]func(s *scene){
		"completed in between": func(s *scene) {
			for range 5 * minCrashes {
				s.crash([]string{"p"})
				s.survive("p")
			}
		},
		"fewer crashes": func(s *scene) {
			for range minCrashes - 1 {
				s.crash([]string{"p"})
			}
		},
		"one prompt sent again and again": func(s *scene) {
			for i := range 5 * minCrashes {
				s.tracker.RecordCrash(Run{At: s.now, Endpoint: Endpoint{ID: fmt.Sprint(i)}, Prompt: 1, Parts: []string{"p"}})
				s.pass(time.Second)
			}
		},
		"one endpoint": func(s *scene) {
			for i := range 5 * minCrashes {
				s.tracker.RecordCrash(Run{At: s.now, Endpoint: Endpoint{ID: "e"}, Prompt: uint64(i), Parts: []string{"p"}})
				s.pass(time.Second)
			}
		},
		"all endpoints at the same moment": func(s *scene) {
			for range 5 * minCrashes {
				s.crash([]string{"p"})
				s.pass(-time.Second + time.Millisecond)
			}
		},
		"long ago": func(s *scene) {
			for range 3 * minCrashes {
				s.crash([]string{"p"})
				s.pass(runRetention)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := &scene{now: start}
			play(s)
			s.pass(time.Second)
			is.True(!s.excluded("p"))
		})
	}
}

// A part that stood beside the deadly one in other runs is excluded no longer than the evidence is the same, and crashes that
// are explained count for no other part.
func TestExplainedCrashesCountOnce(t *testing.T) {
	is := is.New(t)
	s := &scene{now: start}
	for range minCrashes {
		s.crash([]string{"dead"})
	}
	is.True(s.excluded("dead"))
	for range 2 * minCrashes {
		s.crash([]string{"dead"}, []string{"beside"}) // runs that were at endpoints already
	}
	is.True(!s.excluded("beside"))
}

// After its quarantine, one more crash excludes a part again for twice as long; a completed run ends the probation.
func TestRepeatedQuarantine(t *testing.T) {
	is := is.New(t)
	s := &scene{now: start}
	for range minCrashes {
		s.crash([]string{"dead"})
	}
	is.True(s.excluded("dead"))
	s.pass(firstDuration)
	is.True(!s.excluded("dead"))
	s.crash([]string{"dead"})
	is.True(s.excluded("dead"))
	s.pass(2*firstDuration - 2*time.Second)
	is.True(s.excluded("dead"))
	s.pass(2 * time.Second)
	is.True(!s.excluded("dead"))
	s.survive("dead")
	s.crash([]string{"dead"})
	is.True(!s.excluded("dead"))
}

// Three VMs that saw one crash each know the deadly part once their evidence is joined, and the part that other VMs have
// completed stays out.
func TestEvidenceOfSeveralVMs(t *testing.T) {
	is := is.New(t)
	hub := &scene{now: start}
	for i := range minCrashes {
		vm := &scene{now: hub.now, crashes: i}
		vm.crash([]string{"first", "dead"})
		is.True(!vm.excluded("first", "dead"))
		hub.tracker.Merge(hub.now, vm.tracker.LocalRunsSince(time.Time{}), nil)
		hub.pass(time.Second)
		vm.now = hub.now
		vm.survive("first")
		vm.tracker.Watch(vm.now, hub.tracker.Suspects(hub.now))
		hub.tracker.Merge(hub.now, nil, vm.tracker.WatchedSurvivals(vm.now))
		is.True(!vm.excluded("first", "dead"))
		if i == minCrashes-1 {
			vm.tracker.Adopt(vm.now, hub.tracker.Quarantines(hub.now))
			is.True(vm.excluded("first", "dead"))
			is.True(!vm.excluded("first"))
		}
	}
	is.Equal(len(hub.tracker.LocalRunsSince(time.Time{})), 0)
}

// Hostile IDs and floods stay within the limits.
func TestBounds(t *testing.T) {
	is := is.New(t)
	s := &scene{now: start}
	long := make([]byte, 1<<10)
	for i := range 2 * maxRuns {
		s.crash([]string{string(long), "\xff", fmt.Sprint("p-", i)})
		s.tracker.RecordSurvival(s.now, []string{fmt.Sprint("q-", i), fmt.Sprint("r-", i), fmt.Sprint("s-", i)})
		s.pass(-time.Second)
	}
	is.True(len(s.tracker.runs) <= maxRuns)
	is.True(len(s.tracker.survivals) <= maxSurvivals)
	is.True(len(s.tracker.Suspects(s.now)) <= maxSuspects)
	for _, part := range s.tracker.Suspects(s.now) {
		is.True(len(part) <= maxPartBytes)
	}
	for i := range 2 * maxQuarantines {
		s.tracker.Adopt(s.now, []Quarantine{{Parts: []string{fmt.Sprint(i)}, Until: s.now.Add(24 * time.Hour)}})
	}
	quarantines := s.tracker.Quarantines(s.now)
	is.Equal(len(quarantines), maxQuarantines)
	is.True(!quarantines[0].Until.After(s.now.Add(maxDuration)))
}

// Endpoints crash in quick succession, and other VMs report only later that they have completed runs with a popular part that
// stood beside the cause each time.
func TestPopularPartBesideTheCause(t *testing.T) {
	is := is.New(t)
	s := &scene{now: start}
	for range minCrashes {
		s.crash([]string{"first", "dead"}, []string{"popular", "other"})
		s.pass(-500 * time.Millisecond)
	}
	s.pass(-200 * time.Millisecond)
	is.True(!s.excluded("popular", "other"))
	s.tracker.Merge(s.now, nil, map[string]time.Time{"popular": s.now, "other": s.now, "first": s.now})
	s.pass(time.Second)
	is.True(s.excluded("dead"))
	is.True(!s.excluded("popular", "other"))
	is.True(!s.excluded("first"))
}

// A popular part whose long runs end at each crash is suspected before the deadly part is, which has more crashes.
func TestWaitsForTheStrongestSuspect(t *testing.T) {
	is := is.New(t)
	s := &scene{now: start}
	at := func(ms time.Duration, prompts ...[]string) {
		s.now = start.Add(ms * time.Millisecond)
		s.crash(prompts...)
	}
	dead, long := []string{"dead"}, []string{"long"}
	at(0, long)
	at(500, dead, long)
	at(800, dead)
	at(1000, dead, long)
	at(1300, dead)
	at(1550, dead)
	s.now = start.Add(1600 * time.Millisecond)
	is.True(!s.excluded("long"))
	s.now = start.Add(2100 * time.Millisecond)
	is.True(s.excluded("dead"))
	is.True(!s.excluded("long"))
}

// Several endpoints fail at the same moment, again and again, and one prompt part is at one of them each time.
func TestCommonFailureIsNotAPrompt(t *testing.T) {
	is := is.New(t)
	s := &scene{now: start}
	for range 2 * minCrashes {
		for i := range 3 {
			s.crash([]string{fmt.Sprint("other-", s.crashes)}, []string{"rare"}[:max(0, 1-i)])
			s.pass(-time.Second + 5*time.Millisecond)
		}
		s.pass(time.Second)
	}
	is.True(!s.excluded("rare"))
}

// A VM that does not know under which prompts of other VMs the endpoints crashed decides nothing: all of its own runs may have
// stood beside the cause.
func TestFollowerDoesNotDecide(t *testing.T) {
	is := is.New(t)
	hub, follower := &scene{now: start}, &scene{now: start}
	follower.tracker.Follower = true
	for range minCrashes {
		hub.crash([]string{"dead"})
		follower.crash([]string{"victim"})
		hub.tracker.Merge(hub.now, follower.tracker.LocalRunsSince(time.Time{}), nil)
	}
	is.True(!follower.excluded("victim"))
	follower.tracker.Adopt(follower.now, hub.tracker.Quarantines(hub.now))
	is.True(follower.excluded("dead"))
}
