package scenario

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/google/uuid"
	"github.com/rogpeppe/go-internal/testscript"
)

// tearCommand adds half a record to a log, as a crash in the middle of a write leaves it.
func tearCommand(ts *testscript.TestScript, _ bool, args []string) {
	file, err := os.OpenFile(ts.MkAbs(args[0]), os.O_APPEND|os.O_WRONLY, 0)
	ts.Check(err)
	_, err = file.Write([]byte{0xd7, 'g', 'w', 0x0a, 200, 0, 0, 0, 1, 2})
	ts.Check(errors.Join(err, file.Close()))
}

// spoilCommand changes a byte in the first record of a log.
func spoilCommand(ts *testscript.TestScript, _ bool, args []string) {
	path := ts.MkAbs(args[0])
	data, err := os.ReadFile(path)
	ts.Check(err)
	data[14]++
	ts.Check(os.WriteFile(path, data, 0o640))
}

// launchCommand starts a VM that is expected to end by itself with a failure.
func launchCommand(ts *testscript.TestScript, neg bool, args []string) {
	s := systemOf(ts)
	ts.Check(s.launch(args[0]))
	<-s.vms[args[0]].exited
	expect(ts, neg, s.vms[args[0]].err)
}

// inflightCommand sends a slow request, has the next version accepted meanwhile, and checks which version the
// request ran under: inflight VM VERSION NEXT
func inflightCommand(ts *testscript.TestScript, _ bool, args []string) {
	s := systemOf(ts)
	var old, next uint64
	_, err := fmt.Sscan(args[1]+" "+args[2], &old, &next)
	ts.Check(err)
	replies := make(chan reply, 1)
	l := startLoad(s, "inflight")
	l.group.Go(func() { replies <- post(s.vms[args[0]].addr("callers_addr"), "supply_notice", `"slow"`, "", 0) })
	l.sent.Add(1)
	time.Sleep(2 * pollPause)
	ts.Check(s.insist(args[0], version(ts, next, 7), uuid.NewString()))
	inforceCommand(ts, false, []string{args[2], "12s", args[0]})
	stopLoad(ts, "inflight")
	got := <-replies
	if !got.own(`"slow"`) || got.version != old {
		ts.Fatalf("the request in flight was answered with %+v", got)
	}
	if got := post(s.vms[args[0]].addr("callers_addr"), "supply_notice", `"next"`, "", 0); got.version != next {
		ts.Fatalf("the next request was answered with %+v", got)
	}
}

// planCommand submits planned stops: plan VERSION AFTER endpoint NAME vm NAME
func planCommand(ts *testscript.TestScript, _ bool, args []string) {
	s := systemOf(ts)
	var n uint64
	_, err := fmt.Sscan(args[0], &n)
	ts.Check(err)
	after, err := time.ParseDuration(args[1])
	ts.Check(err)
	at := time.Now().Add(after).UTC().Format(time.RFC3339)
	text := string(version(ts, n, 7)) + "planned_stops:\n"
	for i := 2; i+1 < len(args); i += 2 {
		text += fmt.Sprintf("  - {%s: %s, at: %s}\n", args[i], args[i+1], at)
	}
	ts.Check(s.insist(s.names[0], []byte(text), uuid.NewString()))
}

// havoc does random faults to a system.
type havoc struct {
	ts     *testscript.TestScript
	s      *system
	random *rand.Rand
	down   []string
	frozen []string
	done   []string
}

// havocCommand does random faults for a time, one or two at once, then mends all: havoc SEED LENGTH. A disk is lost
// only while the group is reported repaired. GODWITPLANK_HAVOC_SEED sets another seed.
func havocCommand(ts *testscript.TestScript, _ bool, args []string) {
	seed, err := parseSeed(args[0])
	ts.Check(err)
	length, err := time.ParseDuration(args[1])
	ts.Check(err)
	h := &havoc{ts: ts, s: systemOf(ts), random: rand.New(rand.NewPCG(seed, 3))}
	for end := time.Now().Add(length); time.Now().Before(end); {
		for range 1 + h.random.IntN(2) {
			h.fault()
		}
		time.Sleep(time.Duration(300+h.random.IntN(1500)) * time.Millisecond)
		if h.random.IntN(3) > 0 {
			h.mend()
		}
	}
	h.mend()
	ts.Logf("seed %d: %s", seed, strings.Join(h.done, ", "))
}

func parseSeed(text string) (seed uint64, err error) {
	if env := os.Getenv("GODWITPLANK_HAVOC_SEED"); env != "" {
		text = env
	}
	_, err = fmt.Sscan(text, &seed)
	return seed, err
}

func (h *havoc) note(format string, args ...any) {
	h.done = append(h.done, fmt.Sprintf(format, args...))
}

func (h *havoc) fault() {
	vm := h.s.names[h.random.IntN(len(h.s.names))]
	other := h.s.names[h.random.IntN(len(h.s.names))]
	if slices.Contains(h.down, vm) || slices.Contains(h.frozen, vm) {
		return
	}
	var disks []string
	for _, n := range h.s.names {
		if h.s.vms[n].dataDir != "" {
			disks = append(disks, n)
		}
	}
	switch h.random.IntN(6) {
	case 0:
		h.crash(vm)
	case 1:
		h.note("freeze %s", vm)
		h.ts.Check(h.s.vms[vm].signal(syscall.SIGSTOP))
		h.frozen = append(h.frozen, vm)
	case 2:
		h.note("isolate %s", vm)
		h.s.cut([]string{vm}, h.s.others([]string{vm}), true, true)
	case 3:
		h.note("cut %s from %s one way", vm, other)
		h.s.cut([]string{vm}, []string{other}, false, true)
	case 4:
		h.loseDisk(disks[h.random.IntN(len(disks))])
	case 5:
		dataCentre := h.s.vms[vm].dataCentre
		var inside []string
		for _, n := range h.s.names {
			if h.s.vms[n].dataCentre == dataCentre {
				inside = append(inside, n)
			}
		}
		h.note("cut %s", dataCentre)
		h.s.cut(inside, h.s.others(inside), true, true)
	}
}

func (h *havoc) crash(vm string) {
	h.note("crash %s", vm)
	h.ts.Check(h.s.vms[vm].kill())
	h.down = append(h.down, vm)
}

// loseDisk loses a disk if no other is lost or in doubt: nothing else is wrong and the repair is reported finished.
func (h *havoc) loseDisk(vm string) {
	if h.s.vms[vm].dataDir == "" || len(h.down)+len(h.frozen) > 0 {
		return
	}
	status, err := h.s.status(vm)
	if err != nil || status.Group == nil || !status.Group.Repaired {
		return
	}
	leader, err := h.s.status(status.Group.LeaderVM)
	if err != nil || leader.Group.LeaderVM != status.Group.LeaderVM || leader.Group.Term != status.Group.Term || !leader.Group.Repaired {
		return
	}
	h.crash(vm)
	h.note("wipe %s", vm)
	h.ts.Check(os.RemoveAll(h.s.vms[vm].dataDir))
}

func (h *havoc) mend() {
	h.note("mend")
	h.s.cut(h.s.names, h.s.names, true, false)
	for _, vm := range h.frozen {
		h.ts.Check(h.s.vms[vm].signal(syscall.SIGCONT))
	}
	for _, vm := range h.down {
		h.ts.Check(h.s.restart(vm))
	}
	h.frozen, h.down = nil, nil
}

// changing submits versions all the time and notes those that were accepted: changing start VM..., changing stop
func changingCommand(ts *testscript.TestScript, _ bool, args []string) {
	s := systemOf(ts)
	if args[0] == "start" {
		l := startLoad(s, "changing")
		text := version(ts, 1, 1)
		for i, vm := range args[1:] {
			l.group.Go(func() { l.change(s, vm, i, string(text)) })
		}
		return
	}
	l := stopLoad(ts, "changing")
	newest := uint64(0)
	accepted := make(map[uint64]string)
	for id, replies := range l.told {
		n := replies[0].version
		if other, ok := accepted[n]; ok {
			ts.Fatalf("version %d was accepted for changes %s and %s", n, other, id)
		}
		accepted[n] = id
		newest = max(newest, n)
	}
	ts.Logf("%d changes were accepted, the newest is version %d", len(accepted), newest)
	for _, name := range s.names {
		ts.Check(eventually(patience, func() error {
			status, err := s.status(name)
			if err == nil && status.DocumentVersion < newest {
				err = fmt.Errorf("%s has version %d, and version %d was accepted", name, status.DocumentVersion, newest)
			}
			return err
		}))
	}
}

// change follows the newest version at a VM and tries to replace it; a change without an answer is sent again.
func (l *traffic) change(s *system, vm string, mark int, text string) {
	for !l.stopped() {
		status, err := s.status(vm)
		if err != nil {
			time.Sleep(pollPause)
			continue
		}
		next := status.DocumentVersion + 1
		document := strings.Replace(text, "version: 1\n", fmt.Sprintf("version: %d\n", next), 1)
		document = strings.Replace(document, "priority: 1", fmt.Sprintf("priority: %d", mark), 1)
		id := uuid.NewString()
		err = s.insist(vm, []byte(document), id)
		l.sent.Add(1)
		if err == nil {
			l.mu.Lock()
			l.told[id] = append(l.told[id], reply{version: next})
			l.mu.Unlock()
		}
		time.Sleep(2 * pollPause)
	}
}
