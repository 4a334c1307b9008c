package owner

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/jujubegrade/jujubegrade/internal/connection/store"
	"github.com/jujubegrade/jujubegrade/internal/connection/worker"
	"github.com/jujubegrade/jujubegrade/internal/process/placement"
	"github.com/jujubegrade/jujubegrade/internal/standin/storeservice"
	"github.com/jujubegrade/jujubegrade/internal/standin/workerservice"
	"github.com/jujubegrade/jujubegrade/internal/version/config"
	"github.com/jujubegrade/jujubegrade/pkg/caller"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
	"github.com/jujubegrade/jujubegrade/pkg/operator"
)

const simulationConfig = `
[Policy]
CheckpointGrace = 500ms
QuarantineTime = 1m
JobAttempts = 50
Retention = 30m
[DataCentre "d"]
[ClientAccount "owed"]
[ClientAccount "borrower"]
[Guarantee "gang"]
Account = owed
DataCentre = d
Shape = 3x8/Rack
`

type (
	// simulation is a store, workers and competing owners in one synctest bubble.
	simulation struct {
		t       *testing.T
		store   storeservice.Service
		workers map[ids.InstanceID]*workerservice.Service
		nodes   []placement.Node
		config  *config.Config
		// current is the configuration in force: config, with or without an evacuation.
		current    atomic.Pointer[config.Config]
		candidates []*candidate
		history    taskHistory
		jobs       map[ids.JobID]caller.Job
		calls      sync.WaitGroup
		disabled   safeguards
		// configure changes an owner before it runs; nil changes nothing.
		configure func(o *Owner)

		mu        sync.Mutex
		events    []operator.Event
		violation error
		accepted  map[ids.JobID]bool
		refused   map[ids.JobID]string
	}

	// candidate is an entry instance that competes for ownership and can be killed and paused.
	candidate struct {
		*Owner
		eligible atomic.Bool
		cancel   context.CancelFunc
		done     chan struct{}
		resumed  chan struct{} // non-nil while paused; closed by resume
		mu       sync.Mutex
	}
)

func newSimulation(t *testing.T, candidates int, disabled safeguards) *simulation {
	w := &simulation{
		t: t, disabled: disabled, workers: make(map[ids.InstanceID]*workerservice.Service), accepted: make(map[ids.JobID]bool),
		refused: make(map[ids.JobID]string), jobs: make(map[ids.JobID]caller.Job),
	}
	w.history.simulation = w
	c, err := config.Parse("simulation", []byte(simulationConfig))
	require.NoError(t, err)
	w.config = c
	w.current.Store(c)
	total := ids.Resources{Accelerators: 8, Cores: 64000, Memory: 256000}
	for i := range 8 {
		n := placement.Node{ID: ids.InstanceID(fmt.Sprintf("w%d", i)), Rack: ids.RackID(fmt.Sprintf("r%d", i/4)), Total: total}
		w.nodes = append(w.nodes, n)
		w.workers[n.ID] = &workerservice.Service{Total: total, Observe: w.history.observe}
	}
	for range candidates {
		w.candidates = append(w.candidates, &candidate{})
	}
	for i := range candidates {
		w.start(i)
	}
	return w
}

// start runs a candidate like a new process.
func (w *simulation) start(i int) {
	c := w.candidates[i]
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel, c.done = cancel, make(chan struct{})
	c.Owner = &Owner{
		Instance: ids.InstanceID(fmt.Sprintf("entry-%d", i)), DataCentre: "d", Store: c.pausableStore(w.store.Client()),
		ShouldOwn: func() bool { return w.shouldOwn(i) },
		Config:    func() *config.Config { return w.current.Load() },
		Nodes:     func() ([]placement.Node, bool) { return w.nodes, true },
		Worker:    func(id ids.InstanceID) worker.Client { return c.pausableWorker(w.workers[id].Client()) },
		OnEvent:   w.event, Jitter: func(d time.Duration) time.Duration { return d },
		OnViolation: func(err error) { w.recordViolation(err) },
		disabled:    w.disabled,
		Times:       Times{WorkerLease: 6 * time.Second, WorkerRenewInterval: time.Second},
	}
	if w.configure != nil {
		w.configure(c.Owner)
	}
	go func() {
		c.Run(ctx)
		close(c.done)
	}()
}

// shouldOwn reports whether a candidate is the first of the eligible ones.
func (w *simulation) shouldOwn(i int) bool {
	for k := range i {
		if w.candidates[k].eligible.Load() {
			return false
		}
	}
	return w.candidates[i].eligible.Load()
}

func (w *simulation) event(e operator.Event) {
	w.mu.Lock()
	defer w.mu.Unlock()
	e.Time = time.Now()
	w.events = append(w.events, e)
}

func (w *simulation) recordViolation(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.violation == nil {
		w.violation = err
	}
}

// kill ends a candidate without releasing its lease.
func (w *simulation) kill(i int) {
	c := w.candidates[i]
	c.Abandon()
	c.cancel()
	c.resume()
	<-c.done
}

// pause delays all calls of a candidate until it resumes, as a stopped process does.
func (c *candidate) pause() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.resumed == nil {
		c.resumed = make(chan struct{})
	}
}

func (c *candidate) resume() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.resumed != nil {
		close(c.resumed)
		c.resumed = nil
	}
}

func (c *candidate) block() {
	c.mu.Lock()
	resumed := c.resumed
	c.mu.Unlock()
	if resumed != nil {
		<-resumed
	}
}

func (c *candidate) pausableStore(s store.Client) store.Client {
	return store.Client{
		Get:    func(ctx context.Context, key string) (store.Entry, error) { c.block(); return s.Get(ctx, key) },
		List:   func(ctx context.Context, p store.Page) ([]store.Entry, error) { c.block(); return s.List(ctx, p) },
		Put:    func(ctx context.Context, p store.Write) (store.Revision, error) { c.block(); return s.Put(ctx, p) },
		Delete: func(ctx context.Context, key string, r store.Revision) error { c.block(); return s.Delete(ctx, key, r) },
		Watch:  s.Watch,
	}
}

func (c *candidate) pausableWorker(s worker.Client) worker.Client {
	return worker.Client{
		Hold:  func(ctx context.Context, h worker.Hold) error { c.block(); return s.Hold(ctx, h) },
		Start: func(ctx context.Context, h worker.Start) error { c.block(); return s.Start(ctx, h) },
		Stop:  func(ctx context.Context, h worker.Stop) (worker.Stopping, error) { c.block(); return s.Stop(ctx, h) },
		Renew: func(ctx context.Context, h worker.Renew) (worker.Report, error) { c.block(); return s.Renew(ctx, h) },
	}
}

// owner returns the candidate that considers itself the owner, or nil.
func (w *simulation) owner() *candidate {
	for _, c := range w.candidates {
		if _, owns := c.Owns(); owns {
			return c
		}
	}
	return nil
}

func (w *simulation) awaitOwner() *candidate {
	for range 600 {
		if c := w.owner(); c != nil {
			return c
		}
		time.Sleep(100 * time.Millisecond)
	}
	w.t.Fatalf("nobody owns the data centre\n%s", w.timeline(""))
	return nil
}

// submit submits a job to the owner and records the result.
func (w *simulation) submit(job caller.Job, account ids.AccountID, run time.Duration) ids.JobID {
	id := ids.JobIDFor(account, job.Key)
	job.Payload, _ = json.Marshal(workerservice.Payload{RunTime: run})
	w.history.mu.Lock()
	w.jobs[id] = job
	w.history.mu.Unlock()
	c := w.owner()
	if c == nil {
		w.recordAnswer(id, ErrNotOwner)
		return id
	}
	o := c.Owner
	// The call runs concurrently with the script, since a paused owner doesn't answer.
	w.calls.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		_, err := o.Submit(ctx, account, job)
		w.recordAnswer(id, err)
	})
	return id
}

// recordAnswer records the result of a submission.
func (w *simulation) recordAnswer(id ids.JobID, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var infeasible *placement.InfeasibleError
	switch {
	case err == nil:
		w.accepted[id] = true
	case errors.Is(err, ErrOutcomeUnknown):
	case errors.Is(err, ErrNotOwner), errors.Is(err, ErrStoreUnavailable), errors.Is(err, placement.ErrQueueFull),
		errors.Is(err, placement.ErrEvacuated),
		errors.As(err, &infeasible):
		w.refused[id] = err.Error()
	}
}

// refusal returns why a submission was refused.
func (w *simulation) refusal(id ids.JobID) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.refused[id]
}

// dropAccepted removes an accepted job whose record was deleted on purpose.
func (w *simulation) dropAccepted(id ids.JobID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.accepted, id)
}

// timeline returns the events and task states of a job, or all events.
func (w *simulation) timeline(id ids.JobID) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var b strings.Builder
	if id != "" {
		fmt.Fprintf(&b, "job %+v\n", w.jobs[id].Shape)
		for _, line := range w.history.logOf(id) {
			b.WriteString(line)
		}
	}
	for _, e := range w.events {
		if id == "" || e.Job == id || e.Job == "" {
			fmt.Fprintf(&b, "%s %s epoch %d job %s target %s: %s\n", e.Time.Format("04:05.000"), e.Kind, e.Epoch, e.Job, e.Target, e.Cause)
		}
	}
	return b.String()
}

// clearFaults ends all faults and the evacuation, and makes the first candidate eligible.
func (w *simulation) clearFaults() {
	w.evacuate(false)
	w.store.SetFaults(storeservice.Faults{})
	for _, s := range w.workers {
		s.SetFaults(workerservice.Faults{})
	}
	for _, c := range w.candidates {
		c.resume()
	}
	w.candidates[0].eligible.Store(true)
}

// finish ends all faults, waits until all accepted jobs have ended, checks the guarantees and stops the candidates.
func (w *simulation) finish() {
	w.clearFaults()
	w.calls.Wait()
	open := func() (left []string) {
		entries, err := w.store.Client().ListAll(context.Background(), RecordPrefix)
		require.NoError(w.t, err)
		for _, e := range entries {
			r, err := DecodeRecord(e.Value)
			require.NoError(w.t, err)
			if !r.State.IsTerminal() {
				left = append(left, string(r.ID)+" "+string(r.State))
			}
		}
		return left
	}
	for range 900 {
		if len(open()) == 0 {
			break
		}
		time.Sleep(time.Second)
	}
	left := open()
	if len(left) > 0 {
		id, _, _ := strings.Cut(left[0], " ")
		w.recordViolation(errors.Newf("accepted jobs did not end: %v\n%s", left, w.timeline(ids.JobID(id))))
	}
	w.history.checkAllPartial(time.Now())
	w.checkRecords()
	w.stopAll()
}

func (w *simulation) stopAll() {
	for _, c := range w.candidates {
		c.Abandon()
		c.cancel()
		c.resume()
		<-c.done
	}
	time.Sleep(time.Minute) // lets every lease of the stand-ins expire
	synctest.Wait()
}

// checkRecords compares the records and answers with what the workers observed.
func (w *simulation) checkRecords() {
	for id, reason := range w.refused {
		if n := w.history.startCount(id); n > 0 {
			w.recordViolation(errors.Newf("job %s was refused as not run (%s), but %d tasks ran\n%s", id, reason, n, w.timeline(id)))
		}
	}
	for id := range w.accepted {
		if _, _, err := ReadRecord(context.Background(), w.store.Client(), id); err != nil {
			w.recordViolation(errors.Newf("job %s was accepted, but its record is gone: %v\n%s", id, err, w.timeline(id)))
		}
	}
	entries, err := w.store.Client().ListAll(context.Background(), RecordPrefix)
	require.NoError(w.t, err)
	for _, e := range entries {
		r, err := DecodeRecord(e.Value)
		require.NoError(w.t, err)
		runs := w.history.startCount(r.ID)
		switch {
		case r.State == caller.Done && !w.history.completed(r.ID, r.Job.Shape.Tasks):
			w.recordViolation(errors.Newf("job %s is recorded as done, but no attempt completed\n%s", r.ID, w.timeline(r.ID)))
		case r.State == caller.Cancelled && strings.Contains(r.Reason, "not run") && runs > 0:
			w.recordViolation(errors.Newf("job %s is recorded as not run, but %d tasks ran\n%s", r.ID, runs, w.timeline(r.ID)))
		}
	}
}
