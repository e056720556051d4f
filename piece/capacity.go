package piece

import (
	"math"
	"time"

	"godwitplank/admission"
	"godwitplank/document"
)

// rateWindow is the time constant of the rates that predict a service's capacity.
const rateWindow = 2 * time.Second

// rate is a sum that decays exponentially with rateWindow. Its zero value is an empty sum.
type rate struct {
	sum float64
	at  time.Time
}

func (r *rate) add(now time.Time, n float64) {
	r.sum, r.at = r.value(now)+n, now
}

func (r *rate) value(now time.Time) float64 {
	if r.sum == 0 {
		return 0
	}
	return r.sum * math.Exp(-now.Sub(r.at).Seconds()/rateWindow.Seconds())
}

func (r *rate) perSecond(now time.Time) float64 {
	return r.value(now) / rateWindow.Seconds()
}

// endpointRoom is the capacity of one usable endpoint.
type endpointRoom struct {
	idle bool
	// callEnds is when the last call to a busy endpoint is predicted to end.
	callEnds time.Time
	slowdown float64
	// heldBytes is the memory of its results, freedPerSecond what became free recently.
	heldBytes      int64
	freedPerSecond float64
}

// newRoom returns the capacity that the usable endpoints of a service have together. The demand and the shares come from
// the queue.
func newRoom(now time.Time, s *document.Service, endpoints []endpointRoom) *admission.Room {
	r := &admission.Room{
		CallTime: time.Duration(s.Batch.CallMS * float64(time.Millisecond)), PieceTime: time.Duration(s.Batch.PieceMS * float64(time.Millisecond)),
		MaxPieces: s.Batch.Pieces, NextFree: time.Hour,
	}
	usable := int64(usableMemoryShare * float64(s.Batch.ResultBytes))
	fullCall := PredictCallTime(s, s.Batch.Pieces).Seconds()
	slowdown := 0.0
	for _, e := range endpoints {
		if fullCall > 0 {
			r.PiecesPerSecond += float64(max(1, s.Batch.Slots)*s.Batch.Pieces) / (fullCall * e.slowdown)
		}
		slowdown += e.slowdown / float64(len(endpoints))
		if e.idle {
			r.FreePieces += s.Batch.Pieces
			r.NextFree = 0
		}
		r.NextFree = min(r.NextFree, max(0, e.callEnds.Sub(now)))
		r.TotalBytes += usable
		r.FreeBytes += max(0, usable-e.heldBytes)
		r.FreedPerSecond += e.freedPerSecond
	}
	if slowdown > 0 {
		r.SlowTime = max(0, time.Duration(float64(r.CallTime)*(slowdown-1)))
		r.CallTime = time.Duration(float64(r.CallTime) * slowdown)
		r.PieceTime = time.Duration(float64(r.PieceTime) * slowdown)
	}
	if keep := s.Batch.Keep(); keep > 0 {
		// Results that nobody frees expire, so that memory becomes free at this rate at least.
		r.FreedPerSecond = max(r.FreedPerSecond, float64(r.TotalBytes-r.FreeBytes)/keep.Seconds())
	}
	return r
}

// room returns the capacity of an endpoint.
func (e *endpointState) room(now time.Time, s *document.Service) endpointRoom {
	return endpointRoom{
		idle: e.inFlight < max(1, s.Batch.Slots), callEnds: e.callEnds, slowdown: e.slowdown, heldBytes: e.heldBytes,
		freedPerSecond: e.freed.perSecond(now),
	}
}

// release counts memory of results as free.
func (e *endpointState) release(now time.Time, bytes int64) {
	e.heldBytes -= bytes
	e.freed.add(now, float64(bytes))
}
