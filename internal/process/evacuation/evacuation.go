// Package evacuation tracks which data centres are being evacuated, and paces the moves of runs out of them.
//
// It does no input or output: the caller supplies the requests, the numbers of runs and all times. A Tracker must be used by
// one goroutine at a time.
package evacuation

import (
	"cmp"
	"slices"
	"time"

	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

type (
	// Tracker holds the data centres being evacuated. The zero value holds none.
	Tracker struct {
		evacuations map[ids.DataCentreID]*evacuation
		// moves is the number of moves that are left in the bucket at movesAt.
		moves   float64
		movesAt time.Time
	}

	// Event reports a change of the evacuation of one data centre.
	Event struct {
		DataCentre ids.DataCentreID
		Phase      Phase
		// RunsLeft is the number of runs in the data centre by the latest call of Observe.
		RunsLeft int
		// After is the time since the request was first seen.
		After time.Duration
	}

	// Phase is a phase of an evacuation.
	Phase string

	// evacuation is the state of the evacuation of one data centre.
	evacuation struct {
		since    time.Time
		runsLeft int
		// emptied is set while no run is left.
		emptied bool
	}
)

// The phases of an evacuation.
const (
	Begun     Phase = "Begun"
	Emptied   Phase = "Emptied"
	Withdrawn Phase = "Withdrawn"
)

const (
	// moveInterval is the time for which one move uses the pace. A move occupies capacity twice for about half a second, the stop
	// and the restore, so that about five moves are under way at once.
	moveInterval = 100 * time.Millisecond
	// moveBurst is the number of moves that are made at once after a pause.
	moveBurst = 5
	// minRemaining is the expected remaining time up to which a run ends where it is. It is several times the duration of a stop,
	// after which a moved run waits for its restore.
	minRemaining = 2 * time.Second
	// minRestores is the remaining time in restores up to which a run ends where it is. A move then costs less than a tenth of
	// the work that it moves.
	minRestores = 10
)

// Set replaces the requested data centres and returns the requests that began or were withdrawn, ordered by data centre.
func (t *Tracker) Set(requested []ids.DataCentreID, now time.Time) []Event {
	var events []Event
	for id, e := range t.evacuations {
		if !slices.Contains(requested, id) {
			events = append(events, e.event(id, Withdrawn, now))
			delete(t.evacuations, id)
		}
	}
	for _, id := range requested {
		if t.Contains(id) {
			continue
		}
		if t.evacuations == nil {
			t.evacuations = make(map[ids.DataCentreID]*evacuation)
		}
		e := &evacuation{since: now}
		t.evacuations[id] = e
		events = append(events, e.event(id, Begun, now))
	}
	sortEvents(events)
	return events
}

// Contains reports whether a data centre is being evacuated.
func (t *Tracker) Contains(id ids.DataCentreID) bool { return t.evacuations[id] != nil }

// IsEmpty reports whether no data centre is being evacuated.
func (t *Tracker) IsEmpty() bool { return len(t.evacuations) == 0 }

// Requested returns the data centres being evacuated, in order.
func (t *Tracker) Requested() []ids.DataCentreID {
	list := make([]ids.DataCentreID, 0, len(t.evacuations))
	for id := range t.evacuations {
		list = append(list, id)
	}
	slices.Sort(list)
	return list
}

// Observe returns an Emptied event for each data centre whose last run has ended since the last call, ordered by data centre.
// A data centre without runs at the request is emptied at the first call, and one in which runs appear later is emptied again.
func (t *Tracker) Observe(runsLeft map[ids.DataCentreID]int, now time.Time) []Event {
	var events []Event
	for id, e := range t.evacuations {
		e.runsLeft = runsLeft[id]
		if e.runsLeft == 0 && !e.emptied {
			events = append(events, e.event(id, Emptied, now))
		}
		e.emptied = e.runsLeft == 0
	}
	sortEvents(events)
	return events
}

// MayMove decides whether a run with the given expected remaining time and restore time is moved now, and counts it against the
// pace. A run that is expected to end soon is not moved. The members of a gang move together and count as one.
func (t *Tracker) MayMove(remaining, restore time.Duration, now time.Time) bool {
	if remaining <= max(minRemaining, minRestores*restore) {
		return false
	}
	if t.movesAt.IsZero() {
		t.moves = moveBurst
	} else if elapsed := now.Sub(t.movesAt); elapsed > 0 {
		t.moves = min(moveBurst, t.moves+float64(elapsed)/float64(moveInterval))
	}
	t.movesAt = now
	if t.moves < 1 {
		return false
	}
	t.moves--
	return true
}

func (e *evacuation) event(id ids.DataCentreID, p Phase, now time.Time) Event {
	return Event{DataCentre: id, Phase: p, RunsLeft: e.runsLeft, After: now.Sub(e.since)}
}

func sortEvents(events []Event) {
	slices.SortFunc(events, func(a, b Event) int { return cmp.Compare(a.DataCentre, b.DataCentre) })
}
