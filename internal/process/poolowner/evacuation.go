package poolowner

import (
	"time"

	"go.uber.org/zap"

	"github.com/jujubegrade/jujubegrade/internal/connection/store"
	"github.com/jujubegrade/jujubegrade/internal/process/evacuation"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// setEvacuations applies the requests to evacuate data centres as they were when a call was sent, or newer. The presence of a key is the
// request; its value is not read.
func (t *term) setEvacuations(entries []store.Entry, sent timestamp) {
	t.evacuationsConfirmedAt.Store(&sent)
	if t.owner.EvacuatedDataCentre == nil {
		return
	}
	var requested []ids.DataCentreID
	for _, e := range entries {
		if id, found := t.owner.EvacuatedDataCentre(e.Key); found {
			requested = append(requested, id)
		}
	}
	now := time.Now()
	t.state.SetEvacuations(requested, now)
	t.observeEvacuations(now)
}

// observeEvacuations logs the changes of evacuations and updates their metrics. Before the workers have reported, the runs left are not
// known.
func (t *term) observeEvacuations(now time.Time) {
	if !t.isServing() {
		return
	}
	for _, e := range t.state.EvacuationEvents(now) {
		workers := t.state.WorkersIn(e.DataCentre)
		t.log.Info("evacuation: "+evacuationMessages[e.Phase], zap.String("dataCentre", string(e.DataCentre)), zap.Int("runsLeft", e.RunsLeft), zap.Int("workers", workers),
			zap.Duration("after", e.After), zap.Duration("viewAge", t.evacuationAge()))
		switch {
		case e.Phase == evacuation.Withdrawn:
			delete(t.unknownDataCentres, e.DataCentre)
		case e.Phase == evacuation.Begun && workers == 0 && !t.unknownDataCentres[e.DataCentre]:
			t.unknownDataCentres[e.DataCentre] = true
			t.log.Warn("evacuation: no worker is in the data centre", zap.String("dataCentre", string(e.DataCentre)))
		}
	}
	t.owner.metrics.setRunsLeft(t.state.RunsLeft())
}

// evacuationMessages are the log lines of the phases.
var evacuationMessages = map[evacuation.Phase]string{
	evacuation.Begun: "begun", evacuation.Emptied: "emptied", evacuation.Withdrawn: "withdrawn",
}

// evacuationAge returns the age of the view of the evacuations.
func (t *term) evacuationAge() time.Duration {
	at := t.evacuationsConfirmedAt.Load()
	if at == nil {
		return t.owner.since(timestamp{})
	}
	return t.owner.since(*at)
}

// currentEvacuationState returns the state of the view of the evacuations.
func (t *term) currentEvacuationState() listState {
	return t.viewState(t.evacuationAge(), t.owner.Times.MaxEvacuationAge)
}

// updateEvacuationState logs the changes of the state of the view of the evacuations.
func (t *term) updateEvacuationState() {
	s := t.currentEvacuationState()
	if s == t.evacuationState {
		return
	}
	age := zap.Duration("viewAge", t.evacuationAge())
	switch s {
	case listCurrent:
		t.log.Info("evacuation: the view is current again", age)
	case listOutdated:
		t.owner.metrics.EvacuationHolds.Add(1)
		t.log.Warn("evacuation: the view is outdated; no runs are started", age)
	case listUnavailable:
		t.log.Warn("evacuation: the view is outdated and the store does not answer; runs are still started", age)
	}
	t.evacuationState = s
}
