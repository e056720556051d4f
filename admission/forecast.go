package admission

import (
	"maps"
	"slices"
	"time"
)

// forecastHorizon is the time for which the demand is extrapolated: about the time of the stages before a later one.
const forecastHorizon = 500 * time.Millisecond

// Forecast is by how much a job is predicted to take longer at a service than a call with only that job, for VMs that
// decide whether to accept requests with later stages there.
type Forecast struct {
	// Waits is in ascending order of priority. The wait for a priority that it does not list is that of the next lower
	// value.
	Waits []PriorityWait
	// LateWait is the predicted wait of a job that has missed its objective; Never if no capacity is left over.
	LateWait time.Duration
}

// PriorityWait is the predicted wait of a job of a priority that arrives now.
type PriorityWait struct {
	Priority int
	Wait     time.Duration
}

// Forecast returns the predicted waits with queued claims, in any order.
func (p *Policy) Forecast(room *Room, queued func(yield func(*Claim) bool)) Forecast {
	if room == nil || room.PiecesPerSecond <= 0 {
		return Forecast{}
	}
	var always, total load
	byPriority := make(map[int]*load)
	for c := range queued {
		total.add(c)
		switch {
		case c.class() == startedClass || (c.class() == inTimeClass && c.Starved):
			always.add(c)
		case c.class() == inTimeClass:
			if byPriority[c.Priority] == nil {
				byPriority[c.Priority] = &load{}
			}
			byPriority[c.Priority].add(c)
		}
	}
	out := Forecast{LateWait: room.lateWait(total, &Claim{})}
	asked := make(map[int]float64)
	for priority := range byPriority {
		asked[priority] = 0
	}
	for k, share := range room.Shares {
		asked[k.Priority] += share.Asked / room.ShareWindow.Seconds()
	}
	ahead, demand := always, 0.0
	for i, priority := range slices.Sorted(maps.Keys(asked)) {
		if i == 0 {
			// Priorities above those that arrived lately are behind the started jobs only.
			out.Waits = append(out.Waits, PriorityWait{priority - 1, room.delay(priority-1, ahead, 0)})
		}
		if l := byPriority[priority]; l != nil {
			ahead.pieces += l.pieces
			ahead.bytes += l.bytes
		}
		demand += asked[priority]
		out.Waits = append(out.Waits, PriorityWait{priority, room.delay(priority, ahead, demand)})
	}
	if len(out.Waits) == 0 {
		out.Waits = []PriorityWait{{0, room.delay(0, ahead, 0)}}
	}
	return out
}

// delay returns by how much a job is predicted to take longer than a call with only that job, with work and a demand of
// pieces per second ahead of it.
func (r *Room) delay(priority int, ahead load, demand float64) time.Duration {
	if growth := max(0, demand-r.rate(ahead)) * forecastHorizon.Seconds(); growth > 0 {
		if ahead.pieces > 0 {
			ahead.bytes += int64(growth * float64(ahead.bytes) / float64(ahead.pieces))
		}
		ahead.pieces += int(growth)
	}
	wait := r.wait(ahead, &Claim{Priority: priority})
	if wait == Never {
		return Never
	}
	sharing := max(ahead.pieces, int(r.Demand/r.PiecesPerSecond*float64(r.MaxPieces)))
	return wait + r.SlowTime + time.Duration(min(r.MaxPieces, sharing))*r.PieceTime
}

// Wait returns the predicted wait of a job of a priority that arrives now.
func (f Forecast) Wait(priority int) time.Duration {
	if len(f.Waits) == 0 {
		return 0
	}
	i, found := slices.BinarySearchFunc(f.Waits, priority, func(w PriorityWait, priority int) int { return w.Priority - priority })
	if !found {
		i = max(0, i-1)
	}
	return f.Waits[i].Wait
}
