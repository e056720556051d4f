package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The load of the case piece-counts: clients that ask for many pieces, each one request after the other, beside ordinary consumers.
const (
	countClients  = 300
	countOrdinary = 4
	countDuration = 75 * time.Second
	countDeadline = 8 * time.Second
	// manyPieces and fewPieces are the number of pieces of each stage that the clients ask for, with and without the disruption.
	manyPieces, fewPieces = 10_000, 1
	countPause            = 500 * time.Millisecond
	// memoryMb is Limits.MemoryMb of an entry machine, above which the platform kills a process.
	memoryMb = 284
	// restartDelay is the short delay after which the platform starts a process again.
	restartDelay = 500 * time.Millisecond
	watchPause   = 20 * time.Millisecond
	// The rule is broken if processes of a tenth of the machines, two at least, end by themselves three times.
	endsOfMachine, endingMachines = 3, 2
)

// playPieceCounts plays clients that ask for many pieces, and a platform that keeps processes to their memory.
func playPieceCounts(s *script) error {
	d, err := newDeployment(s, 3, 2)
	if err != nil {
		return err
	}
	defer d.stopAll()
	if err := d.startAll(); err != nil {
		return err
	}
	if err := d.addCountRunners(); err != nil {
		return err
	}
	if err := d.awaitReady(); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	stop := make(chan struct{})
	var watching sync.WaitGroup
	for _, m := range d.entries {
		watching.Go(func() { d.watchMemory(m, stop) })
	}
	err = d.sendCounts()
	close(stop)
	watching.Wait()
	ending := 0
	for _, m := range d.entries {
		s.summary("%s: at most %d MB of %d; its processes ended by themselves %d times", m.name, m.peakMb, memoryMb, m.ends)
		if m.ends >= endsOfMachine {
			ending++
		}
	}
	if ending >= endingMachines {
		s.breakRule("Fault", "processes of %d machines ended by themselves %d times or more", ending, endsOfMachine)
	}
	return err
}

// addCountRunners adds runners of the stage, of the model and of the plain service.
func (d *deployment) addCountRunners() error {
	made := newResults()
	for i := range 4 {
		stage := &stageRunner{results: made}
		var err error
		if stage.runner, err = d.addRunner(fmt.Sprintf("i-stage%d", i+1), "kafi81c", 1, func(*runner) handler { return stage.serve }); err != nil {
			return err
		}
	}
	for i := range 4 {
		service := []string{"huvo11a", "wuno96b"}[i%2]
		if _, err := d.addRunner(fmt.Sprintf("i-%s-%d", service, i+1), service, 128, func(r *runner) handler { return r.answerPlainly }); err != nil {
			return err
		}
	}
	return nil
}

// answerPlainly answers a request with a few bytes.
func (r *runner) answerPlainly(c *channel, request *http.Request, _ []byte) bool {
	id := request.Header.Get(names.RequestID)
	time.Sleep(20 * time.Millisecond)
	c.send(response(http.StatusOK, http.Header{names.RequestID: {id}, names.Seal: {r.id + "." + id}}, []byte("answer to "+id)))
	return true
}

// sendCounts sends the load until its end.
func (d *deployment) sendCounts() error {
	var group sync.WaitGroup
	var mu sync.Mutex
	statuses := map[string]map[int]int{"clients": {}, "ordinary consumers": {}}
	count := func(who string, a *answer) {
		mu.Lock()
		defer mu.Unlock()
		statuses[who][a.status]++
	}
	end := time.Now().Add(countDuration)
	pieces := fewPieces
	if d.script.trouble {
		pieces = manyPieces
	}
	for i := range countClients {
		client := newConsumer(d.script, d.entries[i%len(d.entries)], "jepu9.example")
		group.Go(func() {
			for time.Now().Before(end) {
				count("clients", client.send(newID(), http.MethodPost, "/cufi501/2f", countDeadline, map[string]string{
					"Model": "m", names.Tokens: "300,9", names.Prefix: newID() + ":300", names.Pieces: fmt.Sprintf("%d,%d", pieces, pieces), names.PieceKey: newID()[:12],
				}, []byte("prompt")))
				time.Sleep(countPause)
			}
		})
	}
	for i := range countOrdinary {
		ordinary := newConsumer(d.script, d.entries[i%len(d.entries)], "pule25.example")
		group.Go(func() {
			for time.Now().Before(end) {
				count("ordinary consumers", ordinary.send(newID(), http.MethodGet, "/wuhu344/2f", 3*time.Second, nil, nil))
				time.Sleep(countPause)
			}
		})
	}
	group.Wait()
	d.script.summary("answers by status, 0 for none: %v", statuses)
	if statuses["ordinary consumers"][http.StatusOK] == 0 {
		return fmt.Errorf("no ordinary consumer was served")
	}
	return nil
}

// watchMemory is the platform's part: a process that uses more than its memory is killed, and starts again after a short delay.
func (d *deployment) watchMemory(m *machine, stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(watchPause):
		}
		used := residentMb(m)
		m.peakMb = max(m.peakMb, used)
		if m.alive() && used <= memoryMb {
			continue
		}
		m.ends++
		d.script.note("%s uses %d MB of %d, so that the platform kills its process; end %d", m.name, used, memoryMb, m.ends)
		_ = m.command.Process.Signal(syscall.SIGKILL)
		<-m.ended
		time.Sleep(restartDelay)
		if err := d.start(m); err != nil {
			d.script.note("%s: %v", m.name, err)
			return
		}
	}
}

// residentMb returns the resident memory of a process, 0 if it has ended.
func residentMb(m *machine) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", m.command.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		var kb int
		if _, err := fmt.Sscanf(line, "VmRSS: %d kB", &kb); err == nil {
			return kb / 1024
		}
	}
	return 0
}
