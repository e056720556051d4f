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

// stagePlan is the state of the stages of one request.
type stagePlan struct {
	handles [][]string
	done    []chan struct{}
	freed   []atomic.Bool
}

// makeStages has the stages made, each as soon as those that it needs are done. Results that another stage has taken
// are given back at once, the others after the request.
func (g *Gateway) makeStages(ctx context.Context, x *exchange) error {
	err := g.makeOnce(ctx, x)
	if errors.Is(err, piece.ErrInputsGone) {
		err = g.makeOnce(ctx, x)
	}
	return err
}

func (g *Gateway) makeOnce(ctx context.Context, x *exchange) error {
	stages := x.route.Stages
	if len(stages) == 0 {
		return nil
	}
	begun := g.Clock.Now()
	x.home = g.homeOf(x)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	plan := &stagePlan{handles: make([][]string, len(stages)), done: make([]chan struct{}, len(stages)), freed: make([]atomic.Bool, len(stages))}
	for i := range stages {
		plan.done[i] = make(chan struct{})
	}
	var group sync.WaitGroup
	for i := range stages {
		group.Go(func() {
			defer close(plan.done[i])
			if err := g.makeStage(ctx, x, plan, i); err != nil {
				cancel(err)
				return
			}
			g.freeBefore(x, plan, i)
		})
	}
	group.Wait()
	x.staged = g.Clock.Now()
	x.stages += x.staged.Sub(begun)
	if err := context.Cause(ctx); err != nil {
		g.freeAll(x, plan)
		return err
	}
	x.inputs, x.inputBytes = nil, make(map[string]int64)
	for i, last := range finals(stages) {
		if !last && !plan.freed[i].Load() {
			g.Pieces.Free(stages[i].Service, plan.handles[i])
		}
		if last {
			x.inputs = append(x.inputs, plan.handles[i]...)
			g.countBytes(x, i, plan.handles[i], 1, x.inputBytes)
		}
	}
	return nil
}

func (g *Gateway) makeStage(ctx context.Context, x *exchange, plan *stagePlan, i int) error {
	s := &x.route.Stages[i]
	var inputs []string
	if err := plan.await(ctx, x, i); err != nil {
		return err
	}
	for _, before := range s.After {
		select {
		case <-plan.done[before]:
			inputs = append(inputs, plan.handles[before]...)
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
	if i >= len(x.Pieces) || x.Pieces[i] == 0 || ctx.Err() != nil {
		return context.Cause(ctx)
	}
	job := &piece.Job{
		Service: s.Service, RequestID: x.ID, Stage: i, Pieces: x.Pieces[i], Inputs: inputs,
		Due: x.due.Add(-g.remaining(x, i)), Deadline: x.deadline, Priority: x.priority,
		DataCentre: g.place(x, plan, i), ResultBytes: s.Bytes, Holding: holding(x, s),
	}
	if len(s.After) == 0 {
		job.Key = x.PieceKey
	}
	begun := g.Clock.Now()
	handles, err := g.Pieces.Run(ctx, job)
	plan.handles[i] = handles
	if ended := g.Clock.Now(); err == nil && (job.Holding || ended.Before(job.Due)) {
		// A job that was put off tells nothing of those that are not.
		g.delays.learn(s.Service, ended.Sub(begun)-g.described(x, i))
	}
	text := ""
	if err != nil {
		text = err.Error()
	}
	g.Log.Log(event.StageDone, "request_id", x.ID, "stage", i, "service", s.Service, "pieces", x.Pieces[i],
		"took_ms", g.Clock.Now().Sub(begun).Milliseconds(), "error", text)
	return err
}

// freeBefore gives back the results that only a stage that is done has taken.
func (g *Gateway) freeBefore(x *exchange, plan *stagePlan, done int) {
	for _, before := range x.route.Stages[done].After {
		if users(x.route.Stages, before) == 1 && len(plan.handles[before]) > 0 {
			g.Pieces.Free(x.route.Stages[before].Service, plan.handles[before])
			plan.freed[before].Store(true)
		}
	}
}

// users returns how many stages take the results of one.
func users(stages []document.RouteStage, i int) int {
	n := 0
	for _, s := range stages {
		if slices.Contains(s.After, i) {
			n++
		}
	}
	return n
}

// usualAnswer is about the time from the end of the stages to the first event of an engine that is not busy.
const usualAnswer = 250 * time.Millisecond

// holdingShare is the part of an endpoint's memory for results from which inputs count as holding it.
const holdingShare = 0.02

// holding reports whether the inputs of a stage take a noticeable part of the memory of the endpoints that made them.
func holding(x *exchange, s *document.RouteStage) bool {
	for _, before := range s.After {
		made := &x.route.Stages[before]
		service := x.view.Document.Service(made.Service)
		if before >= len(x.Pieces) || service == nil || service.Batch == nil || service.Batch.ResultBytes == 0 {
			continue
		}
		if float64(made.Bytes)*float64(x.Pieces[before]) > holdingShare*float64(service.Batch.ResultBytes) {
			return true
		}
	}
	return false
}

// described returns the described time of a stage.
func (g *Gateway) described(x *exchange, i int) time.Duration {
	return piece.Predict(x.view.Document.Service(x.route.Stages[i].Service), x.Pieces[i])
}

// remaining returns the time from the end of a stage to the first byte of the answer: as described, and as it took lately.
func (g *Gateway) remaining(x *exchange, i int) time.Duration {
	longest := time.Duration(0)
	for j, s := range x.route.Stages {
		if slices.Contains(s.After, i) && j < len(x.Pieces) && x.Pieces[j] > 0 {
			longest = max(longest, g.described(x, j)+g.delays.of(s.Service)+g.remaining(x, j))
		}
	}
	if longest > 0 {
		return longest
	}
	return usualAnswer + g.delays.of(x.route.Name)
}

// heavyBytes is the size from which results should not cross data centres.
const heavyBytes = 1 << 20

// homeOf returns the data centre of the endpoint that is predicted to answer first.
func (g *Gateway) homeOf(x *exchange) string {
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

// place returns the data centre in which a stage should be made: that of its inputs if they are large, that of the
// request's endpoint if its results are large, else none.
func (g *Gateway) place(x *exchange, plan *stagePlan, i int) string {
	s := &x.route.Stages[i]
	sizes := make(map[string]int64)
	for _, before := range s.After {
		g.countBytes(x, before, plan.handles[before], x.Pieces[i], sizes)
	}
	if largest := largestOf(sizes); largest != "" {
		return largest
	}
	if finals(x.route.Stages)[i] && s.Bytes*int64(x.Pieces[i]) >= heavyBytes {
		return x.home
	}
	return ""
}

// countBytes adds the size of results that are fetched a number of times to the data centres that hold them.
func (g *Gateway) countBytes(x *exchange, stage int, handles []string, times int, sizes map[string]int64) {
	s := &x.route.Stages[stage]
	for _, h := range handles {
		addr, err := g.Holder(h)
		if err != nil {
			continue // a handle of unknown form has no place to prefer
		}
		for _, c := range g.Views.View().Pools[s.Service] {
			if c.Addr == addr {
				sizes[c.DataCentre] += s.Bytes * int64(times)
			}
		}
	}
}

// largestOf returns the data centre that holds most, if that is heavy.
func largestOf(sizes map[string]int64) string {
	largest, most := "", int64(heavyBytes)
	for dataCentre, n := range sizes {
		if n >= most {
			largest, most = dataCentre, n
		}
	}
	return largest
}

// await holds a stage with large results back until the longest chain of stages is nearly done, so that they take
// memory for a short time only.
func (p *stagePlan) await(ctx context.Context, x *exchange, i int) error {
	stages := x.route.Stages
	if !finals(stages)[i] || i >= len(x.Pieces) || stages[i].Bytes*int64(x.Pieces[i]) < heavyBytes {
		return nil
	}
	deepest, most := i, depth(stages, i)
	for j := range stages {
		if d := depth(stages, j); d > most && j < len(x.Pieces) && x.Pieces[j] > 0 {
			deepest, most = j, d
		}
	}
	if deepest == i {
		return nil
	}
	for _, before := range stages[deepest].After {
		select {
		case <-p.done[before]:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
	return nil
}

// depth returns the number of stages in the longest chain up to a stage.
func depth(stages []document.RouteStage, i int) int {
	d := 0
	for _, before := range stages[i].After {
		d = max(d, depth(stages, before))
	}
	return d + 1
}

// finals reports for each stage whether no other stage takes its results.
func finals(stages []document.RouteStage) []bool {
	out := make([]bool, len(stages))
	for i := range stages {
		out[i] = true
	}
	for _, s := range stages {
		for _, before := range s.After {
			out[before] = false
		}
	}
	return out
}

func (g *Gateway) freeAll(x *exchange, plan *stagePlan) {
	for i, handles := range plan.handles {
		if len(handles) > 0 && !plan.freed[i].Load() {
			g.Pieces.Free(x.route.Stages[i].Service, handles)
		}
	}
}

// freeInputs gives back the results that the request took.
func (g *Gateway) freeInputs(x *exchange) {
	if len(x.inputs) == 0 {
		return
	}
	at := 0
	for i, last := range finals(x.route.Stages) {
		if !last || i >= len(x.Pieces) || x.Pieces[i] == 0 {
			continue
		}
		g.Pieces.Free(x.route.Stages[i].Service, x.inputs[at:at+x.Pieces[i]])
		at += x.Pieces[i]
	}
	x.inputs = nil
}

// releaseInputs gives the results back early where no other endpoint can need them.
func (g *Gateway) releaseInputs(x *exchange) {
	if !x.route.Resume {
		g.freeInputs(x)
	}
}
