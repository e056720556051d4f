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

// tearCommand appends an incomplete record to a log, as a crash during a write leaves it.
//
// Usage: tear LOG
func tearCommand(ts *testscript.TestScript, _ bool, args []string) {
	file, err := os.OpenFile(ts.MkAbs(args[0]), os.O_APPEND|os.O_WRONLY, 0)
	ts.Check(err)
	_, err = file.Write([]byte{0xd7, 'g', 'w', 0x0a, 200, 0, 0, 0, 1, 2})
	ts.Check(errors.Join(err, file.Close()))
}

// spoilCommand corrupts the first record of a log by changing one byte.
//
// Usage: spoil LOG
func spoilCommand(ts *testscript.TestScript, _ bool, args []string) {
	path := ts.MkAbs(args[0])
	data, err := os.ReadFile(path)
	ts.Check(err)
	data[14]++
	ts.Check(os.WriteFile(path, data, 0o640))
}

// launchCommand starts a VM and waits until its process exits. Negated, it expects a failure.
//
// Usage: [!] launch VM
func launchCommand(ts *testscript.TestScript, neg bool, args []string) {
	s := systemOf(ts)
	ts.Check(s.launch(args[0]))
	<-s.vms[args[0]].exited
	checkOutcome(ts, neg, s.vms[args[0]].exitErr)
}

// inflightCommand sends a slow request, submits the next document version while it is in flight, and checks that the
// request runs under the old version and a later request under the next one.
//
// Usage: inflight VM VERSION NEXT
func inflightCommand(ts *testscript.TestScript, _ bool, args []string) {
	s := systemOf(ts)
	var currentVersion, nextVersion uint64
	_, err := fmt.Sscan(args[1]+" "+args[2], &currentVersion, &nextVersion)
	ts.Check(err)
	result := make(chan reply, 1)
	l := startLoad(s, "inflight")
	l.wg.Go(func() { result <- sendRequest(s.vms[args[0]].addr("callers_addr"), "supply_notice", `"slow"`, "", 0) })
	l.sent.Add(1)
	time.Sleep(2 * pollInterval)
	ts.Check(s.submitUntilDecided(args[0], documentVersion(ts, nextVersion, 7), uuid.NewString()))
	inforceCommand(ts, false, []string{args[2], "12s", args[0]})
	stopLoad(ts, "inflight")
	got := <-result
	if !got.isDoneFor(`"slow"`) || got.version != currentVersion {
		ts.Fatalf("unexpected reply to the request in flight: %+v", got)
	}
	if got := sendRequest(s.vms[args[0]].addr("callers_addr"), "supply_notice", `"next"`, "", 0); got.version != nextVersion {
		ts.Fatalf("unexpected reply to the next request: %+v", got)
	}
}

// planCommand submits a document version with planned stops of endpoints or VMs, due after the given duration.
//
// Usage: plan VERSION AFTER (endpoint|vm NAME)...
func planCommand(ts *testscript.TestScript, _ bool, args []string) {
	s := systemOf(ts)
	var version uint64
	_, err := fmt.Sscan(args[0], &version)
	ts.Check(err)
	after, err := time.ParseDuration(args[1])
	ts.Check(err)
	at := time.Now().Add(after).UTC().Format(time.RFC3339)
	document := string(documentVersion(ts, version, 7)) + "planned_stops:\n"
	for i := 2; i+1 < len(args); i += 2 {
		document += fmt.Sprintf("  - {%s: %s, at: %s}\n", args[i], args[i+1], at)
	}
	ts.Check(s.submitUntilDecided(s.names[0], []byte(document), uuid.NewString()))
}

// faultInjector injects random faults into a system and recovers from them.
type faultInjector struct {
	ts      *testscript.TestScript
	s       *system
	rng     *rand.Rand
	crashed []string
	frozen  []string
	actions []string
}

// havocCommand injects random faults for a duration, one or two at once, and then recovers from all of them. It wipes a
// disk only while the group reports itself as repaired. GODWITPLANK_HAVOC_SEED overrides the seed.
//
// Usage: havoc SEED DURATION
func havocCommand(ts *testscript.TestScript, _ bool, args []string) {
	seed, err := parseSeed(args[0])
	ts.Check(err)
	duration, err := time.ParseDuration(args[1])
	ts.Check(err)
	injector := &faultInjector{ts: ts, s: systemOf(ts), rng: rand.New(rand.NewPCG(seed, 3))}
	for end := time.Now().Add(duration); time.Now().Before(end); {
		for range 1 + injector.rng.IntN(2) {
			injector.injectRandom()
		}
		time.Sleep(time.Duration(300+injector.rng.IntN(1500)) * time.Millisecond)
		if injector.rng.IntN(3) > 0 {
			injector.recoverAll()
		}
	}
	injector.recoverAll()
	ts.Logf("seed %d: %s", seed, strings.Join(injector.actions, ", "))
}

func parseSeed(text string) (seed uint64, err error) {
	if env := os.Getenv("GODWITPLANK_HAVOC_SEED"); env != "" {
		text = env
	}
	_, err = fmt.Sscan(text, &seed)
	return seed, err
}

func (f *faultInjector) record(format string, args ...any) {
	f.actions = append(f.actions, fmt.Sprintf(format, args...))
}

func (f *faultInjector) injectRandom() {
	vm := f.s.names[f.rng.IntN(len(f.s.names))]
	other := f.s.names[f.rng.IntN(len(f.s.names))]
	if slices.Contains(f.crashed, vm) || slices.Contains(f.frozen, vm) {
		return
	}
	var vmsWithDisk []string
	for _, n := range f.s.names {
		if f.s.vms[n].dataDir != "" {
			vmsWithDisk = append(vmsWithDisk, n)
		}
	}
	switch f.rng.IntN(6) {
	case 0:
		f.crash(vm)
	case 1:
		f.record("freeze %s", vm)
		f.ts.Check(f.s.vms[vm].signal(syscall.SIGSTOP))
		f.frozen = append(f.frozen, vm)
	case 2:
		f.record("isolate %s", vm)
		f.s.setCut([]string{vm}, f.s.otherVMs([]string{vm}), true, true)
	case 3:
		f.record("cut %s from %s one way", vm, other)
		f.s.setCut([]string{vm}, []string{other}, false, true)
	case 4:
		f.loseDisk(vmsWithDisk[f.rng.IntN(len(vmsWithDisk))])
	case 5:
		dataCentre := f.s.vms[vm].dataCentre
		var members []string
		for _, n := range f.s.names {
			if f.s.vms[n].dataCentre == dataCentre {
				members = append(members, n)
			}
		}
		f.record("cut %s", dataCentre)
		f.s.setCut(members, f.s.otherVMs(members), true, true)
	}
}

func (f *faultInjector) crash(vm string) {
	f.record("crash %s", vm)
	f.ts.Check(f.s.vms[vm].kill())
	f.crashed = append(f.crashed, vm)
}

// loseDisk kills a VM and wipes its disk. It does so only if no VM is down or frozen, and the VM and the leader report the
// group as repaired in the same term: otherwise another disk may still be missing, and committed data could be lost.
func (f *faultInjector) loseDisk(vm string) {
	if f.s.vms[vm].dataDir == "" || len(f.crashed)+len(f.frozen) > 0 {
		return
	}
	status, err := f.s.status(vm)
	if err != nil || status.Group == nil || !status.Group.Repaired {
		return
	}
	leaderStatus, err := f.s.status(status.Group.LeaderVM)
	if err != nil || leaderStatus.Group.LeaderVM != status.Group.LeaderVM || leaderStatus.Group.Term != status.Group.Term || !leaderStatus.Group.Repaired {
		return
	}
	f.crash(vm)
	f.record("wipe %s", vm)
	f.ts.Check(os.RemoveAll(f.s.vms[vm].dataDir))
}

func (f *faultInjector) recoverAll() {
	f.record("recover")
	f.s.setCut(f.s.names, f.s.names, true, false)
	for _, vm := range f.frozen {
		f.ts.Check(f.s.vms[vm].signal(syscall.SIGCONT))
	}
	for _, vm := range f.crashed {
		f.ts.Check(f.s.launchAndWait(vm))
	}
	f.frozen, f.crashed = nil, nil
}

// changingCommand submits document versions continuously through each VM and records the accepted ones. On stop it checks
// that no version was accepted twice and that every VM reaches the newest accepted version.
//
// Usage: changing start VM..., changing stop
func changingCommand(ts *testscript.TestScript, _ bool, args []string) {
	s := systemOf(ts)
	if args[0] == "start" {
		l := startLoad(s, "changing")
		template := documentVersion(ts, 1, 1)
		for i, vm := range args[1:] {
			l.wg.Go(func() { l.submitChanges(s, vm, i, string(template)) })
		}
		return
	}
	l := stopLoad(ts, "changing")
	newestVersion := uint64(0)
	accepted := make(map[uint64]string)
	for id, replies := range l.replies {
		acceptedVersion := replies[0].version
		if otherID, ok := accepted[acceptedVersion]; ok {
			ts.Fatalf("version %d was accepted for changes %s and %s", acceptedVersion, otherID, id)
		}
		accepted[acceptedVersion] = id
		newestVersion = max(newestVersion, acceptedVersion)
	}
	ts.Logf("%d changes were accepted, the newest as version %d", len(accepted), newestVersion)
	for _, name := range s.names {
		ts.Check(eventually(defaultTimeout, func() error {
			status, err := s.status(name)
			if err == nil && status.DocumentVersion < newestVersion {
				err = fmt.Errorf("%s has document version %d, but version %d was accepted", name, status.DocumentVersion, newestVersion)
			}
			return err
		}))
	}
}

// submitChanges repeatedly submits the version after the one that a VM has, each until it is accepted or conflicts.
func (l *backgroundLoad) submitChanges(s *system, vm string, priority int, template string) {
	for !l.stopped() {
		status, err := s.status(vm)
		if err != nil {
			time.Sleep(pollInterval)
			continue
		}
		nextVersion := status.DocumentVersion + 1
		document := strings.Replace(template, "version: 1\n", fmt.Sprintf("version: %d\n", nextVersion), 1)
		document = strings.Replace(document, "priority: 1", fmt.Sprintf("priority: %d", priority), 1)
		id := uuid.NewString()
		err = s.submitUntilDecided(vm, []byte(document), id)
		l.sent.Add(1)
		if err == nil {
			l.mu.Lock()
			l.replies[id] = append(l.replies[id], reply{version: nextVersion})
			l.mu.Unlock()
		}
		time.Sleep(2 * pollInterval)
	}
}
