package gateway

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"godwitplank/document"
	"godwitplank/event"
	"godwitplank/piece"
	"godwitplank/route"
)

// stageRun is the state of one run of a request's stages, indexed by stage.
type stageRun struct {
	handles [][]string
	done    []chan struct{} // closed when the stage ended, with or without an error
	freed   []atomic.Bool   // set when the results were freed before the end of the run
}

// runStages runs the stages of the request in dependency order, independent ones concurrently. If a result that a later
// stage needs no longer exists, all stages run a second time. An intermediate result is freed when its only consumer is
// done, one with several consumers at the end of the run. The results that are input of the request are kept for it.
func (g *Gateway) runStages(ctx context.Context, x *exchange) error {
	err := g.runStagesOnce(ctx, x)
	if errors.Is(err, piece.ErrInputsGone) {
		err = g.runStagesOnce(ctx, x)
	}
	return err
}

func (g *Gateway) runStagesOnce(ctx context.Context, x *exchange) error {
	stages := x.route.Stages
	if len(stages) == 0 {
		return nil
	}
	started := g.Clock.Now()
	x.targetDataCentre = g.chooseTargetDataCentre(x)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	run := &stageRun{handles: make([][]string, len(stages)), done: make([]chan struct{}, len(stages)), freed: make([]atomic.Bool, len(stages))}
	for i := range stages {
		run.done[i] = make(chan struct{})
	}
	var group sync.WaitGroup
	for i := range stages {
		group.Go(func() {
			defer close(run.done[i])
			if err := g.runStage(ctx, x, run, i); err != nil {
				cancel(err)
				return
			}
			g.freeConsumedInputs(x, run, i)
		})
	}
	group.Wait()
	x.stagesDoneAt = g.Clock.Now()
	x.stagesDuration += x.stagesDoneAt.Sub(started)
	if err := context.Cause(ctx); err != nil {
		g.freeAll(x, run)
		return err
	}
	x.inputs, x.inputBytes = nil, make(map[string]int64)
	for i, terminal := range terminalStages(stages) {
		if !terminal && !run.freed[i].Load() {
			g.Pieces.Free(stages[i].Service, run.handles[i])
		}
		if terminal {
			x.inputs = append(x.inputs, run.handles[i]...)
			g.addResultBytes(x, i, run.handles[i], 1, x.inputBytes)
		}
	}
	return nil
}

func (g *Gateway) runStage(ctx context.Context, x *exchange, run *stageRun, i int) error {
	s := &x.route.Stages[i]
	var inputs []string
	if err := run.delayLargeStage(ctx, x, i); err != nil {
		return err
	}
	for _, dependency := range s.After {
		select {
		case <-run.done[dependency]:
			inputs = append(inputs, run.handles[dependency]...)
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
	if i >= len(x.Pieces) || x.Pieces[i] == 0 || ctx.Err() != nil {
		return context.Cause(ctx)
	}
	job := &piece.Job{
		Service: s.Service, RequestID: x.ID, Stage: i, Pieces: x.Pieces[i], Inputs: inputs,
		Due: x.due.Add(-g.remainingDuration(x, i)), Deadline: x.deadline, Priority: x.priority,
		DataCentre: g.stageDataCentre(x, run, i), ResultBytes: s.ResultBytes, InputsHoldMemory: inputsAreLarge(x, s),
		Returned: x.returned,
	}
	if len(s.After) == 0 {
		job.Key = x.PieceKey
	}
	started := g.Clock.Now()
	handles, err := g.Pieces.Run(ctx, job)
	run.handles[i] = handles
	if finished := g.Clock.Now(); err == nil && (job.InputsHoldMemory || finished.Before(job.Due)) {
		// A job that missed its due time may have been deferred behind others, so its duration is not representative.
		g.delays.observe(s.Service, finished.Sub(started)-g.predictedDuration(x, i))
	}
	errorText := ""
	if err != nil {
		errorText = err.Error()
	}
	g.Log.Log(event.StageFinished, "request_id", x.ID, "stage", i, "service", s.Service, "pieces", x.Pieces[i],
		"took_ms", g.Clock.Now().Sub(started).Milliseconds(), "error", errorText)
	return err
}

// freeConsumedInputs frees the inputs of a finished stage that no other stage takes as input.
func (g *Gateway) freeConsumedInputs(x *exchange, run *stageRun, consumer int) {
	for _, dependency := range x.route.Stages[consumer].After {
		if consumerCount(x.route.Stages, dependency) == 1 && len(run.handles[dependency]) > 0 {
			g.Pieces.Free(x.route.Stages[dependency].Service, run.handles[dependency])
			run.freed[dependency].Store(true)
		}
	}
}

// consumerCount returns the number of stages that use the results of stage i as input.
func consumerCount(stages []document.RouteStage, i int) int {
	count := 0
	for _, s := range stages {
		if slices.Contains(s.After, i) {
			count++
		}
	}
	return count
}

// idleTimeToFirstByte approximates the time from the end of the stages to the first event of an idle engine.
const idleTimeToFirstByte = 250 * time.Millisecond

// largeInputFraction is the fraction of an endpoint's result memory above which the inputs of a stage count as large.
const largeInputFraction = 0.02

// inputsAreLarge reports whether the inputs of a stage occupy more than largeInputFraction of the result memory of one
// endpoint that produces them. Such a stage is not deferred, because its inputs stay in that memory until it is done.
func inputsAreLarge(x *exchange, s *document.RouteStage) bool {
	for _, dependency := range s.After {
		producer := &x.route.Stages[dependency]
		service := x.view.Document.Service(producer.Service)
		if dependency >= len(x.Pieces) || service == nil || service.Batch == nil || service.Batch.ResultBytes == 0 {
			continue
		}
		if float64(producer.ResultBytes)*float64(x.Pieces[dependency]) > largeInputFraction*float64(service.Batch.ResultBytes) {
			return true
		}
	}
	return false
}

// predictedDuration returns the duration of stage i as predicted from the batch settings of its service.
func (g *Gateway) predictedDuration(x *exchange, i int) time.Duration {
	return piece.PredictCallTime(x.view.Document.Service(x.route.Stages[i].Service), x.Pieces[i])
}

// remainingDuration returns the expected time from the end of stage i to the first byte of the response, along the
// longest chain of dependent stages. It adds the estimated delays to the predicted durations.
func (g *Gateway) remainingDuration(x *exchange, i int) time.Duration {
	longest := time.Duration(0)
	for j, s := range x.route.Stages {
		if slices.Contains(s.After, i) && j < len(x.Pieces) && x.Pieces[j] > 0 {
			longest = max(longest, g.predictedDuration(x, j)+g.stageDelay(x, s.Service)+g.remainingDuration(x, j))
		}
	}
	if longest > 0 {
		return longest
	}
	return idleTimeToFirstByte + g.delays.estimate(x.route.Name)
}

// expectedStages returns the expected time from the start of the stages to the first byte of the response, 0 for a request
// without stages.
func (g *Gateway) expectedStages(x *exchange) time.Duration {
	longest := time.Duration(0)
	for i, s := range x.route.Stages {
		if len(s.After) == 0 && i < len(x.Pieces) && x.Pieces[i] > 0 {
			longest = max(longest, g.predictedDuration(x, i)+g.delays.estimate(s.Service)+g.remainingDuration(x, i))
		}
	}
	return longest
}

// largeResultBytes is the size from which results should stay in one data centre.
const largeResultBytes = 1 << 20

// chooseTargetDataCentre returns the data centre of the endpoint with the earliest predicted time to process the
// prompt, or this VM's data centre for a service without an engine.
func (g *Gateway) chooseTargetDataCentre(x *exchange) string {
	candidates := g.Views.View().Pools[x.service.Name]
	if x.service.Engine == nil {
		return g.DataCentre
	}
	chosen, _ := g.Prefixes.Choose(route.Query{Now: g.Clock.Now(), DataCentre: g.DataCentre, Model: x.Model, Reach: g.Reach}, candidates, x.Prefix)
	if chosen < 0 {
		return g.DataCentre
	}
	return candidates[chosen].DataCentre
}

// stageDataCentre returns the preferred data centre of a stage: that of its inputs if they are large, the request's
// target data centre if the stage is terminal and its results are large, else "".
func (g *Gateway) stageDataCentre(x *exchange, run *stageRun, i int) string {
	s := &x.route.Stages[i]
	sizes := make(map[string]int64)
	for _, dependency := range s.After {
		g.addResultBytes(x, dependency, run.handles[dependency], x.Pieces[i], sizes)
	}
	if largest := largestDataCentre(sizes); largest != "" {
		return largest
	}
	if terminalStages(x.route.Stages)[i] && s.ResultBytes*int64(x.Pieces[i]) >= largeResultBytes {
		return x.targetDataCentre
	}
	return ""
}

// addResultBytes adds the bytes that are transferred if each result is fetched the given number of times, by the data
// centre that stores it.
func (g *Gateway) addResultBytes(x *exchange, stage int, handles []string, fetches int, sizes map[string]int64) {
	s := &x.route.Stages[stage]
	for _, h := range handles {
		addr, err := g.ResultAddr(h)
		if err != nil {
			continue // a handle of unknown format gives no location
		}
		for _, c := range g.Views.View().Pools[s.Service] {
			if c.Addr == addr {
				sizes[c.DataCentre] += s.ResultBytes * int64(fetches)
			}
		}
	}
}

// largestDataCentre returns the data centre with the most bytes, or "" if none has largeResultBytes.
func largestDataCentre(sizes map[string]int64) string {
	largest, largestBytes := "", int64(largeResultBytes)
	for dataCentre, n := range sizes {
		if n >= largestBytes {
			largest, largestBytes = dataCentre, n
		}
	}
	return largest
}

// delayLargeStage blocks a terminal stage with large results until the inputs of the last stage of the longest
// dependency chain are ready, so that the large results occupy endpoint memory only briefly. It returns the cause of an
// ended ctx.
func (run *stageRun) delayLargeStage(ctx context.Context, x *exchange, i int) error {
	stages := x.route.Stages
	if !terminalStages(stages)[i] || i >= len(x.Pieces) || stages[i].ResultBytes*int64(x.Pieces[i]) < largeResultBytes {
		return nil
	}
	deepest, maxDepth := i, depth(stages, i)
	for j := range stages {
		if d := depth(stages, j); d > maxDepth && j < len(x.Pieces) && x.Pieces[j] > 0 {
			deepest, maxDepth = j, d
		}
	}
	if deepest == i {
		return nil
	}
	for _, dependency := range stages[deepest].After {
		select {
		case <-run.done[dependency]:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
	return nil
}

// depth returns the number of stages in the longest dependency chain that ends at stage i.
func depth(stages []document.RouteStage, i int) int {
	d := 0
	for _, dependency := range stages[i].After {
		d = max(d, depth(stages, dependency))
	}
	return d + 1
}

// terminalStages reports for each stage whether its results are input of the request rather than of another stage.
func terminalStages(stages []document.RouteStage) []bool {
	out := make([]bool, len(stages))
	for i := range stages {
		out[i] = true
	}
	for _, s := range stages {
		for _, dependency := range s.After {
			out[dependency] = false
		}
	}
	return out
}

func (g *Gateway) freeAll(x *exchange, run *stageRun) {
	for i, handles := range run.handles {
		if len(handles) > 0 && !run.freed[i].Load() {
			g.Pieces.Free(x.route.Stages[i].Service, handles)
		}
	}
}

// freeInputs frees the stage results that were input of the request.
func (g *Gateway) freeInputs(x *exchange) {
	if len(x.inputs) == 0 {
		return
	}
	offset := 0
	for i, terminal := range terminalStages(x.route.Stages) {
		if !terminal || i >= len(x.Pieces) || x.Pieces[i] == 0 {
			continue
		}
		g.Pieces.Free(x.route.Stages[i].Service, x.inputs[offset:offset+x.Pieces[i]])
		offset += x.Pieces[i]
	}
	x.inputs = nil
}

// releaseInputs frees the inputs once a response has started: the endpoint has read them, and until they are freed they
// occupy the memory that the next requests' results need. A resume at another endpoint runs the stages again.
func (g *Gateway) releaseInputs(x *exchange) {
	x.inputsReleased = len(x.inputs) > 0
	g.freeInputs(x)
}
