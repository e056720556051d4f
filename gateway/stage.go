package gateway

import (
	"context"
	"errors"
	"sync"

	"godwitplank/document"
	"godwitplank/event"
	"godwitplank/piece"
)

// stagePlan is the state of the stages of one request.
type stagePlan struct {
	handles [][]string
	done    []chan struct{}
}

// makeStages has the stages made, each as soon as those that it needs are done. Results that another stage has taken
// are given back at once, the others after the request.
func (g *Gateway) makeStages(ctx context.Context, x *exchange) error {
	stages := x.route.Stages
	if len(stages) == 0 {
		return nil
	}
	begun := g.Clock.Now()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	plan := &stagePlan{handles: make([][]string, len(stages)), done: make([]chan struct{}, len(stages))}
	for i := range stages {
		plan.done[i] = make(chan struct{})
	}
	var group sync.WaitGroup
	for i := range stages {
		group.Go(func() {
			defer close(plan.done[i])
			if err := g.makeStage(ctx, x, plan, i); err != nil {
				cancel(err)
			}
		})
	}
	group.Wait()
	x.stages += g.Clock.Now().Sub(begun)
	if err := context.Cause(ctx); err != nil {
		g.freeAll(x, plan)
		return err
	}
	x.inputs = nil
	for i, last := range finals(stages) {
		if last {
			x.inputs = append(x.inputs, plan.handles[i]...)
		} else {
			g.Pieces.Free(stages[i].Service, plan.handles[i])
		}
	}
	return nil
}

func (g *Gateway) makeStage(ctx context.Context, x *exchange, plan *stagePlan, i int) error {
	s := &x.route.Stages[i]
	var inputs []string
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
		Due: x.due, Deadline: x.deadline, Priority: x.priority, DataCentre: g.DataCentre,
	}
	if len(s.After) == 0 {
		job.Key = x.PieceKey
	}
	begun := g.Clock.Now()
	handles, err := g.Pieces.Run(ctx, job)
	plan.handles[i] = handles
	text := ""
	if err != nil {
		text = err.Error()
	}
	g.Log.Log(event.StageDone, "request_id", x.ID, "stage", i, "service", s.Service, "pieces", x.Pieces[i],
		"took_ms", g.Clock.Now().Sub(begun).Milliseconds(), "error", text)
	return err
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
		if len(handles) > 0 {
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

// remake makes the stages again after a result was lost, once.
func (g *Gateway) remake(ctx context.Context, x *exchange, err error) bool {
	if !errors.Is(err, errInputsGone) {
		return false
	}
	g.freeInputs(x)
	return g.makeStages(ctx, x) == nil
}
