package owner

import (
	"context"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jujubegrade/jujubegrade/internal/connection/store"
	"github.com/jujubegrade/jujubegrade/internal/connection/worker"
	"github.com/jujubegrade/jujubegrade/internal/process/placement"
	"github.com/jujubegrade/jujubegrade/pkg/caller"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// A malformed submission of a peer is refused as one that never runs.
func TestMalformedSubmission(t *testing.T) {
	for name, shape := range map[string]ids.Shape{
		"no tasks":       {Each: oneAccelerator.Each},
		"negative tasks": {Tasks: -1, Each: oneAccelerator.Each},
		"too many tasks": {Tasks: 1 << 40, Each: oneAccelerator.Each},
		"no resources":   {Tasks: 1},
	} {
		t.Run(name, func(t *testing.T) {
			require.NoError(t, simulate(t, safeguards{}, func(w *simulation) {
				_, err := w.awaitOwner().Submit(context.Background(), "borrower", caller.Job{Key: "a", Shape: shape})
				var infeasible *placement.InfeasibleError
				require.ErrorAs(t, err, &infeasible)
			}))
		})
	}
}

// A malformed record is refused by a new owner, which serves the other jobs.
func TestMalformedRecord(t *testing.T) {
	for name, shape := range map[string]ids.Shape{
		"no tasks":       {Each: oneAccelerator.Each},
		"negative tasks": {Tasks: -1, Each: oneAccelerator.Each},
		"too many tasks": {Tasks: 1 << 40, Each: oneAccelerator.Each},
	} {
		t.Run(name, func(t *testing.T) {
			require.NoError(t, simulate(t, safeguards{}, func(w *simulation) {
				w.awaitOwner()
				id := w.submit(caller.Job{Key: "a", Shape: oneAccelerator, Idempotent: true}, "borrower", 20*time.Second)
				time.Sleep(2 * time.Second)
				value, err := json.Marshal(Record{Format: RecordFormat, ID: "x", DataCentre: "d", State: caller.Running, Attempt: 1, Job: caller.Job{Key: "x", Shape: shape}})
				require.NoError(t, err)
				revision, err := w.store.Client().Put(context.Background(), store.Write{Key: RecordKey("x"), Value: value})
				require.NoError(t, err)
				// The simulation reads all records at its end.
				defer func() { require.NoError(t, w.store.Client().Delete(context.Background(), RecordKey("x"), revision)) }()
				w.kill(0)
				w.start(0)
				w.awaitOwner()
				require.Contains(t, w.timeline(""), "RecordRefused")
				require.Equal(t, 1, w.history.startCount(id))
			}))
		})
	}
}

// A worker's report of tasks that no job has does not end the process, and a panic ends the term alone.
func TestMalformedReportAndPanic(t *testing.T) {
	for name, do := range map[string]func(t *term, id ids.JobID){
		"a negative index": func(t *term, id ids.JobID) {
			j := t.state.Job(id)
			t.handleTaskReport(t.sessions["w0"], worker.TaskReport{TaskRef: worker.TaskRef{Job: id, Attempt: j.Attempt, Index: -1}, State: worker.Ended}, time.Now())
		},
		"a panic": func(*term, ids.JobID) { panic("test") },
	} {
		t.Run(name, func(t *testing.T) {
			require.NoError(t, simulate(t, safeguards{}, func(w *simulation) {
				owner := w.awaitOwner()
				id := w.submit(caller.Job{Key: "a", Shape: oneAccelerator, Idempotent: true}, "borrower", 20*time.Second)
				time.Sleep(2 * time.Second)
				term := owner.term.Load()
				term.doAsync(func() { do(term, id) })
				time.Sleep(10 * time.Second)
				w.awaitOwner()
				require.Equal(t, strings.Contains(name, "panic"), strings.Contains(w.timeline(""), "Panic"))
				require.Equal(t, 1, w.history.startCount(id))
			}))
		})
	}
}
