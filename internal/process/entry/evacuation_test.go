package entry_test

import (
	"context"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jujubegrade/jujubegrade/internal/connection/httpjson"
	"github.com/jujubegrade/jujubegrade/internal/connection/instancelist"
	"github.com/jujubegrade/jujubegrade/internal/process/entry"
	"github.com/jujubegrade/jujubegrade/internal/standin/platform"
	"github.com/jujubegrade/jujubegrade/internal/standin/workerservice"
	"github.com/jujubegrade/jujubegrade/internal/version/config"
	"github.com/jujubegrade/jujubegrade/pkg/caller"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
	"github.com/jujubegrade/jujubegrade/pkg/operator"
)

const twoCentresConfig = fleetConfig + `
[DataCentre "e"]
[DataCentre "nobody"]
[Guarantee "gang"]
Account = a
DataCentre = d
Shape = 2x8
`

// evacuateCentre sets or withdraws the evacuation of data centres by way of an operator's client.
func evacuateCentre(t *testing.T, c *operator.Client, dryRun bool, evacuate bool, list ...ids.DataCentreID) operator.Acceptance {
	current, err := c.Config(context.Background())
	require.NoError(t, err)
	text := current.Text
	for _, id := range list {
		text, err = config.EvacuateDataCentre(text, id, evacuate)
		require.NoError(t, err)
	}
	acceptance, err := c.Apply(context.Background(), operator.Change{Base: current.Version, Author: "test", Text: text, DryRun: dryRun})
	require.NoError(t, err)
	require.Equal(t, !dryRun, acceptance.Accepted)
	return acceptance
}

// TestEvacuation guards against an evacuation that is refused because of a guarantee that it makes unavailable, against jobs that
// are placed in the data centre or refused as impossible, and against refusals without the cause.
func TestEvacuation(t *testing.T) {
	p, entries := startFleet(t, 2, 4)
	for i := range 2 {
		p.AddWorker("e", 100+i, ids.Resources{Accelerators: 8, Cores: 64000, Memory: 250000})
	}
	operators := operator.NewClient(entries[0].Settings.Operators, platform.OperatorToken)
	current, err := operators.Config(context.Background())
	require.NoError(t, err)
	_, err = operators.Apply(context.Background(), operator.Change{Base: current.Version, Author: "test", Text: twoCentresConfig})
	require.NoError(t, err)
	awaitOwners(t, operators, 3, 6)
	submit := func(key string, id ids.DataCentreID) (caller.JobStatus, error) {
		job := caller.Job{Key: key, Shape: ids.Shape{Tasks: 1, Each: ids.Resources{Accelerators: 1}}, Idempotent: true, DataCentre: id}
		return caller.NewClient(entries[0].Settings.Callers, "secret-a").Submit(context.Background(), "", job)
	}
	status, err := submit("before", "")
	require.NoError(t, err)
	require.EqualValues(t, "d", status.DataCentre, "the account's guarantee is there")

	effects := evacuateCentre(t, operators, true, true, "d", "nobody").Effects
	require.Equal(t, []string{
		`DataCentre "d": evacuated; its 4 workers with 32 accelerators get no new work`,
		`DataCentre "nobody": evacuated, but no worker names it`,
		`Guarantee "gang": 1 times 2x8 for account a are not available while d is evacuated`,
	}, effects)
	after, err := operators.Config(context.Background())
	require.NoError(t, err)
	require.Equal(t, current.Version+1, after.Version, "a dry run changes nothing")

	require.Equal(t, effects, evacuateCentre(t, operators, false, true, "d", "nobody").Effects)
	awaitEvacuation(t, operators, "d", "nobody")
	status, err = submit("free", "")
	require.NoError(t, err)
	require.EqualValues(t, "e", status.DataCentre)
	status, err = submit("before", "")
	require.NoError(t, err, "the same key again")
	require.EqualValues(t, "d", status.DataCentre)
	var fault *httpjson.Fault
	_, err = submit("pinned", "d")
	require.ErrorAs(t, err, &fault)
	require.Equal(t, "Evacuated", fault.Code)
	require.Equal(t, 30.0, fault.RetryAfter)
	require.Contains(t, fault.Message, "data centre d: the data centre is being evacuated")

	effects = evacuateCentre(t, operators, false, true, "e").Effects
	require.Contains(t, effects, "all data centres are evacuated, so that no job is started")
	awaitEvacuation(t, operators, "d", "e", "nobody")
	_, err = submit("none", "")
	require.ErrorAs(t, err, &fault)
	require.Equal(t, "Evacuated", fault.Code)
	require.Equal(t, "all data centres are being evacuated", fault.Message)

	require.Empty(t, evacuateCentre(t, operators, false, false, "d", "e", "nobody").Effects)
	awaitEvacuation(t, operators)
	_, err = submit("pinned", "d")
	require.NoError(t, err)
}

// TestEvacuationSurvivesRestarts guards against an instance that forgets a request with its process, or that brings a withdrawn
// one back. All instances are lost at once, so that the store alone has the configuration.
func TestEvacuationSurvivesRestarts(t *testing.T) {
	p, entries := startFleet(t, 2, 4)
	operators := operator.NewClient(entries[0].Settings.Operators, platform.OperatorToken)
	for _, requested := range []bool{true, false} {
		evacuateCentre(t, operators, false, requested, "d")
		for _, e := range entries {
			e.Kill()
		}
		var err error
		entries, err = p.StartEntries(2, addTokens)
		require.NoError(t, err)
		t.Cleanup(func(started []*entry.Entry) func() {
			return func() {
				for _, e := range started {
					e.Kill()
				}
			}
		}(entries))
		operators = operator.NewClient(entries[0].Settings.Operators, platform.OperatorToken)
		awaitOwners(t, operators, 1, 4)
		if requested {
			awaitEvacuation(t, operators, "d")
		} else {
			awaitEvacuation(t, operators)
		}
		evacuated := 0
		for _, e := range entries {
			evacuated += len(e.Metrics().RunsLeft)
		}
		require.Equal(t, requested, evacuated == 1, "the owner's metrics")
	}
}

// awaitOwners waits until the owners of a number of data centres report a number of workers in all.
func awaitOwners(t *testing.T, c *operator.Client, count, workers int) {
	require.Eventually(t, func() bool {
		reports, err := c.Reports(context.Background())
		listed := 0
		for _, r := range reports.Reports {
			listed += len(r.Instances)
		}
		return err == nil && len(reports.Reports) == count && listed == workers
	}, 20*time.Second, 10*time.Millisecond)
}

// awaitEvacuation waits until the reports show exactly the given data centres as evacuated.
func awaitEvacuation(t *testing.T, c *operator.Client, want ...string) {
	var seen []string
	require.Eventually(t, func() bool {
		reports, err := c.Reports(context.Background())
		if err != nil || len(reports.Missing) > 0 {
			return false
		}
		seen = nil
		for _, r := range reports.Reports {
			if r.Evacuation != nil {
				seen = append(seen, string(r.DataCentre))
			}
		}
		return strings.Join(seen, " ") == strings.Join(want, " ")
	}, 10*time.Second, 10*time.Millisecond, "%v are evacuated, wanted %v", &seen, want)
}

// TestRemovedDataCentre guards against an owner that competes for a data centre, and starts jobs there, after it was removed from
// the configuration, and against running work that is lost by the removal. It also shows that jobs wait for its return.
func TestRemovedDataCentre(t *testing.T) {
	_, entries := startFleet(t, 2, 4)
	operators := operator.NewClient(entries[0].Settings.Operators, platform.OperatorToken)
	apply := func(text string) {
		current, err := operators.Config(context.Background())
		require.NoError(t, err)
		_, err = operators.Apply(context.Background(), operator.Change{Base: current.Version, Author: "test", Text: text})
		require.NoError(t, err)
	}
	callers := caller.NewClient(entries[0].Settings.Callers, "secret-a")
	submit := func(key string) ids.JobID {
		payload, err := json.Marshal(workerservice.Payload{RunTime: time.Second})
		require.NoError(t, err)
		job := caller.Job{Key: key, Shape: ids.Shape{Tasks: 4, Each: ids.Resources{Accelerators: 8}}, DataCentre: "d", Payload: payload}
		status, err := callers.Submit(context.Background(), "", job)
		require.NoError(t, err)
		return status.ID
	}
	awaitState := func(id ids.JobID, state caller.State) {
		require.Eventually(t, func() bool {
			status, err := callers.Status(context.Background(), id, "")
			return err == nil && status.State == state
		}, 20*time.Second, 10*time.Millisecond, "%s is not %s", id, state)
	}
	running, waiting := submit("running"), submit("waiting")
	awaitState(running, caller.Running)
	without := strings.Replace(fleetConfig, `[DataCentre "d"]`, `[DataCentre "e"]`, 1)
	apply(without)
	awaitState(running, caller.Done)
	require.Eventually(t, func() bool {
		for _, e := range entries {
			if _, owns := e.Metrics().Owned["d"]; owns {
				return false
			}
		}
		return true
	}, 20*time.Second, 10*time.Millisecond, "the removed data centre has an owner")
	time.Sleep(entries[0].Settings.OwnerLease)
	for _, e := range entries {
		require.NotContains(t, e.Metrics().Owned, ids.DataCentreID("d"))
	}
	apply(fleetConfig)
	awaitState(waiting, caller.Done)
}

// TestWorkerChangesDataCentre guards against an owner that keeps a worker after the worker moved to another data centre: it would
// count its capacity, and stop the runs of the other owner there as unknown ones. The worker's old data centre is being evacuated.
func TestWorkerChangesDataCentre(t *testing.T) {
	p, entries := startFleet(t, 2, 4)
	operators := operator.NewClient(entries[0].Settings.Operators, platform.OperatorToken)
	_, err := operators.Apply(context.Background(), operator.Change{Base: 1, Author: "test", Text: fleetConfig + "[DataCentre \"e\"]\n"})
	require.NoError(t, err)
	awaitOwners(t, operators, 2, 4)
	evacuateCentre(t, operators, false, true, "d")
	awaitEvacuation(t, operators, "d")
	const moved = ids.InstanceID("d-worker-000")
	p.VisitWorkers(func(id ids.InstanceID, w *workerservice.Service) {
		if id == moved {
			w.Crash() // it restarts in its new place
		}
	})
	p.Instances.Set(instancelist.Instance{
		ID: moved, Role: instancelist.Worker, Address: string(moved), DataCentre: "e", Rack: "e-rack", Total: ids.Resources{Accelerators: 8, Cores: 64000, Memory: 250000},
	})
	require.Eventually(t, func() bool {
		reports, err := operators.Reports(context.Background())
		return err == nil && len(reports.Reports) == 2 && len(reports.Reports[0].Instances) == 3 && len(reports.Reports[1].Instances) == 1
	}, 10*time.Second, 10*time.Millisecond, "the worker is counted twice or not at all")
	callers := caller.NewClient(entries[0].Settings.Callers, "secret-a")
	payload, err := json.Marshal(workerservice.Payload{RunTime: 2 * time.Second})
	require.NoError(t, err)
	job := caller.Job{Key: "once", Shape: ids.Shape{Tasks: 1, Each: ids.Resources{Accelerators: 8}}, Payload: payload}
	var status caller.JobStatus
	require.Eventually(t, func() bool {
		status, err = callers.Submit(context.Background(), "", job)
		return err == nil
	}, 10*time.Second, 100*time.Millisecond)
	require.EqualValues(t, "e", status.DataCentre)
	require.Eventually(t, func() bool {
		status, err = callers.Status(context.Background(), status.ID, "")
		return err == nil && status.State.IsTerminal()
	}, 20*time.Second, 10*time.Millisecond)
	require.Equal(t, caller.Done, status.State, status.Reason)
}
