package owner

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jujubegrade/jujubegrade/internal/connection/store"
	"github.com/jujubegrade/jujubegrade/internal/process/placement"
	"github.com/jujubegrade/jujubegrade/internal/testrun"
	"github.com/jujubegrade/jujubegrade/internal/version/config"
	"github.com/jujubegrade/jujubegrade/pkg/caller"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
	"github.com/jujubegrade/jujubegrade/pkg/operator"
)

// testTerm returns a term without workers that has read some records.
func testTerm(t *testing.T, epoch ids.Epoch, records ...*Record) *term {
	term := &term{
		owner: &Owner{OnEvent: func(operator.Event) {}}, lease: &lease{epoch: epoch}, state: &placement.State{}, executions: make(map[ids.JobID]*execution),
		config: &config.Config{Policy: config.Policy{Retention: time.Hour}},
	}
	var entries []store.Entry
	for _, r := range records {
		r.Format, r.Job.Shape = RecordFormat, ids.Shape{Tasks: 1, Each: ids.Resources{Accelerators: 1}}
		value, err := json.Marshal(r)
		require.NoError(t, err)
		entries = append(entries, store.Entry{Key: RecordKey(r.ID), Value: value})
	}
	for _, r := range term.decodeRecords(entries) {
		term.restoreJob(r, &workerReports{}, time.Now())
	}
	return term
}

// Guards against cancelled jobs that stay in their queue, and start, after a takeover while the time of day jumps.
func TestQueuesWhenTheTimeOfDayJumps(t *testing.T) {
	const jobs = 30
	start := time.Now()
	for order := range 100 {
		random := rand.New(rand.NewPCG(uint64(order), 0))
		var records []*Record
		var all []ids.JobID
		for i, at := range testrun.StepTimes(t, start, jobs, random.IntN(jobs), 40*time.Second) {
			all = append(all, ids.JobID(fmt.Sprintf("a%02d", i)))
			records = append(records, &Record{ID: all[i], Account: "account", State: caller.Queued, Submitted: at})
		}
		term := testTerm(t, 2, records...)
		for i, at := range testrun.StepTimes(t, start.Add(jobs*time.Second), jobs, 10, 30*time.Second) {
			j := &placement.Job{ID: ids.JobID(fmt.Sprintf("b%02d", i)), Account: "account", Submitted: at}
			j.Shape = ids.Shape{Tasks: 1, Each: ids.Resources{Accelerators: 1}}
			term.state.Restore(j)
			all = append(all, j.ID)
		}
		random.Shuffle(len(all), func(i, k int) { all[i], all[k] = all[k], all[i] })
		for i, id := range all {
			term.state.Cancel(id, start)
			require.Equal(t, len(all)-i-1, term.state.Queued())
		}
	}
}

// Guards against ages that are the difference of two owners' times of day: each counts the time in which there was an owner.
func TestTimesOverOwners(t *testing.T) {
	for name, jump := range map[string]time.Duration{"forwards": time.Hour, "backwards": -time.Hour} {
		t.Run(name, func(t *testing.T) {
			day := time.Now().Add(-jump)
			first := testTerm(t, 1)
			first.clock.Resume(0, time.Now().Add(-20*time.Second))
			j := &placement.Job{ID: "a", Account: "account", Submitted: time.Now().Add(-15 * time.Second), Started: time.Now().Add(-10 * time.Second)}
			r := first.recordOf(j)
			r.Submitted, r.Started, r.State, r.Attempt, r.Place = day, day, caller.Running, 1, []ids.InstanceID{"w"}
			ended := first.recordOf(&placement.Job{ID: "b", Account: "account", Submitted: time.Now().Add(-15 * time.Second), Finished: time.Now().Add(-10 * time.Second)})
			ended.Finished, ended.State = day, caller.Done
			term := testTerm(t, 2, r, ended)
			now := time.Now()
			found := term.state.Job("a")
			require.InDelta(t, 15, now.Sub(found.AcceptanceTime()).Seconds(), 1)
			require.InDelta(t, 10, now.Sub(found.Started).Seconds(), 1)
			require.Len(t, term.retired, 1)
			require.InDelta(t, 10, time.Duration(term.clock.Moment(now)-term.retired[0].ended).Seconds(), 1)
		})
	}
}

// Jobs of an earlier version go in the order of their submission and count from the takeover. It reads the records of this version but for their stamps.
func TestTimesOfEarlierVersion(t *testing.T) {
	day := time.Now()
	term := testTerm(t, 2,
		&Record{ID: "a", Account: "account", State: caller.Queued, Submitted: day.Add(time.Hour)},
		&Record{ID: "b", Account: "account", State: caller.Queued, Submitted: day},
		&Record{ID: "c", Account: "account", State: caller.Done, Finished: day.Add(-2 * time.Hour)},
	)
	a, b := term.state.Job("a"), term.state.Job("b")
	require.True(t, b.AcceptanceTime().Before(a.AcceptanceTime()))
	require.InDelta(t, 0, time.Since(b.AcceptanceTime()).Seconds(), 1)
	require.InDelta(t, 0, time.Duration(term.clock.Moment(time.Now())-term.retired[0].ended).Seconds(), 1)
	value, err := json.Marshal(term.recordOf(a))
	require.NoError(t, err)
	var fields map[string]any
	require.NoError(t, json.Unmarshal(value, &fields))
	delete(fields, "Stamp")
	value, err = json.Marshal(fields)
	require.NoError(t, err)
	earlier, err := DecodeRecord(value)
	require.NoError(t, err)
	require.True(t, earlier.Submitted.Equal(a.Submitted))
}
