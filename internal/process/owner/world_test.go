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

const worldConfig = `
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
	// world is a store, workers and competing owners in one bubble of virtual time.
	world struct {
		t       *testing.T
		store   storeservice.Service
		workers map[ids.InstanceID]*workerservice.Service
		nodes   []placement.Node
		config  *config.Config
		owners  []*contender
		ledger  ledger
		jobs    map[ids.JobID]caller.Job
		calls   sync.WaitGroup
		without mechanisms
		// adjust changes an owner before it runs; nil leaves it.
		adjust func(o *Owner)

		mu       sync.Mutex
		events   []operator.Event
		broken   error
		accepted map[ids.JobID]bool
		refused  map[ids.JobID]string
	}

	// contender is one entry instance's competitor, which can be killed, paused and cut off.
	contender struct {
		*Owner
		wanted  atomic.Bool
		cancel  context.CancelFunc
		done    chan struct{}
		blocked chan struct{} // calls wait until it is closed
		mu      sync.Mutex
	}
)

func newWorld(t *testing.T, contenders int, without mechanisms) *world {
	w := &world{
		t: t, without: without, workers: make(map[ids.InstanceID]*workerservice.Service), accepted: make(map[ids.JobID]bool),
		refused: make(map[ids.JobID]string), jobs: make(map[ids.JobID]caller.Job),
	}
	w.ledger.world = w
	c, err := config.Parse("world", []byte(worldConfig))
	require.NoError(t, err)
	w.config = c
	total := ids.Resources{Accelerators: 8, Cores: 64000, Memory: 256000}
	for i := range 8 {
		n := placement.Node{ID: ids.InstanceID(fmt.Sprintf("w%d", i)), Rack: ids.RackID(fmt.Sprintf("r%d", i/4)), Total: total}
		w.nodes = append(w.nodes, n)
		w.workers[n.ID] = &workerservice.Service{Total: total, Observe: w.ledger.observe}
	}
	for range contenders {
		w.owners = append(w.owners, &contender{})
	}
	for i := range contenders {
		w.start(i)
	}
	return w
}

// start runs a contender as a new process does.
func (w *world) start(i int) {
	c := w.owners[i]
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel, c.done = cancel, make(chan struct{})
	c.Owner = &Owner{
		Instance: ids.InstanceID(fmt.Sprintf("entry-%d", i)), DataCentre: "d", Store: c.gateStore(w.store.Client()),
		Wanted: func() bool { return w.wanted(i) },
		Config: func() *config.Config { return w.config },
		Nodes:  func() ([]placement.Node, bool) { return w.nodes, true },
		Worker: func(id ids.InstanceID) worker.Client { return c.gateWorker(w.workers[id].Client()) },
		Event:  w.event, Jitter: func(d time.Duration) time.Duration { return d },
		Violated: func(err error) { w.fail(err) },
		without:  w.without,
		Times:    Times{WorkerLease: 6 * time.Second, WorkerRenew: time.Second},
	}
	if w.adjust != nil {
		w.adjust(c.Owner)
	}
	go func() {
		c.Run(ctx)
		close(c.done)
	}()
}

// wanted lets the first of the contenders that may own the data centre do so.
func (w *world) wanted(i int) bool {
	for k := range i {
		if w.owners[k].wanted.Load() {
			return false
		}
	}
	return w.owners[i].wanted.Load()
}

func (w *world) event(e operator.Event) {
	w.mu.Lock()
	defer w.mu.Unlock()
	e.Time = time.Now()
	w.events = append(w.events, e)
}

func (w *world) fail(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.broken == nil {
		w.broken = err
	}
}

// kill ends a contender without any farewell.
func (w *world) kill(i int) {
	c := w.owners[i]
	c.Abandon()
	c.cancel()
	c.resume()
	<-c.done
}

// pause makes the calls of a contender wait, as a process does that is stopped: they go out late.
func (c *contender) pause() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.blocked == nil {
		c.blocked = make(chan struct{})
	}
}

func (c *contender) resume() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.blocked != nil {
		close(c.blocked)
		c.blocked = nil
	}
}

func (c *contender) wait() {
	c.mu.Lock()
	blocked := c.blocked
	c.mu.Unlock()
	if blocked != nil {
		<-blocked
	}
}

func (c *contender) gateStore(s store.Client) store.Client {
	return store.Client{
		Get:    func(ctx context.Context, key string) (store.Entry, error) { c.wait(); return s.Get(ctx, key) },
		List:   func(ctx context.Context, p store.Page) ([]store.Entry, error) { c.wait(); return s.List(ctx, p) },
		Put:    func(ctx context.Context, p store.Write) (store.Revision, error) { c.wait(); return s.Put(ctx, p) },
		Delete: func(ctx context.Context, key string, r store.Revision) error { c.wait(); return s.Delete(ctx, key, r) },
		Watch:  s.Watch,
	}
}

func (c *contender) gateWorker(s worker.Client) worker.Client {
	return worker.Client{
		Hold:  func(ctx context.Context, h worker.Hold) error { c.wait(); return s.Hold(ctx, h) },
		Start: func(ctx context.Context, h worker.Start) error { c.wait(); return s.Start(ctx, h) },
		Stop:  func(ctx context.Context, h worker.Stop) (worker.Stopping, error) { c.wait(); return s.Stop(ctx, h) },
		Renew: func(ctx context.Context, h worker.Renew) (worker.Report, error) { c.wait(); return s.Renew(ctx, h) },
	}
}

// owner returns the contender that owns the data centre by its own word, or nil.
func (w *world) owner() *contender {
	for _, c := range w.owners {
		if _, owns := c.Owns(); owns {
			return c
		}
	}
	return nil
}

func (w *world) awaitOwner() *contender {
	for range 600 {
		if c := w.owner(); c != nil {
			return c
		}
		time.Sleep(100 * time.Millisecond)
	}
	w.t.Fatalf("nobody owns the data centre\n%s", w.story(""))
	return nil
}

// submit hands a job to whoever owns the data centre and keeps what it was told.
func (w *world) submit(job caller.Job, account ids.AccountID, run time.Duration) ids.JobID {
	id := ids.Job(account, job.Key)
	job.Payload, _ = json.Marshal(workerservice.Payload{RunTime: run})
	w.ledger.mu.Lock()
	w.jobs[id] = job
	w.ledger.mu.Unlock()
	c := w.owner()
	if c == nil {
		w.told(id, ErrNotOwner)
		return id
	}
	o := c.Owner
	// The call runs beside the script, since a paused owner doesn't answer.
	w.calls.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		_, err := o.Submit(ctx, account, job)
		w.told(id, err)
	})
	return id
}

// told keeps what the caller of a submission was told.
func (w *world) told(id ids.JobID, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var never *placement.Never
	switch {
	case err == nil:
		w.accepted[id] = true
	case errors.Is(err, ErrOutcomeUnknown):
	case errors.Is(err, ErrNotOwner), errors.Is(err, ErrStore), errors.Is(err, placement.ErrQueueFull), errors.As(err, &never):
		w.refused[id] = err.Error()
	}
}

// refusal returns why a submission was refused.
func (w *world) refusal(id ids.JobID) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.refused[id]
}

// forget drops an accepted job whose record is gone by intent.
func (w *world) forget(id ids.JobID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.accepted, id)
}

// story is the time line of a job, or of everything.
func (w *world) story(id ids.JobID) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var b strings.Builder
	if id != "" {
		fmt.Fprintf(&b, "job %+v\n", w.jobs[id].Shape)
		for _, line := range w.ledger.log[id] {
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

// heal ends all faults.
func (w *world) heal() {
	w.store.SetFaults(storeservice.Faults{})
	for _, s := range w.workers {
		s.SetFaults(workerservice.Faults{})
	}
	for _, c := range w.owners {
		c.resume()
	}
	w.owners[0].wanted.Store(true)
}

// finish heals everything, waits until all accepted jobs are over, checks the promises and ends the bubble.
func (w *world) finish() {
	w.heal()
	w.calls.Wait()
	open := func() (left []string) {
		entries, err := w.store.Client().ListAll(context.Background(), RecordPrefix)
		require.NoError(w.t, err)
		for _, e := range entries {
			r, err := DecodeRecord(e.Value)
			require.NoError(w.t, err)
			if !r.State.Over() {
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
		w.fail(errors.Newf("accepted jobs did not end: %v\n%s", left, w.story(ids.JobID(id))))
	}
	w.ledger.sweep(time.Now())
	w.checkRecords()
	w.stopAll()
}

func (w *world) stopAll() {
	for _, c := range w.owners {
		c.Abandon()
		c.cancel()
		c.resume()
		<-c.done
	}
	time.Sleep(time.Minute) // lets every lease of the stand-ins lapse
	synctest.Wait()
}

// checkRecords holds what the records say against what the workers saw.
func (w *world) checkRecords() {
	for id, reason := range w.refused {
		if n := w.ledger.runs(id); n > 0 {
			w.fail(errors.Newf("job %s was refused as not run (%s), but %d tasks ran\n%s", id, reason, n, w.story(id)))
		}
	}
	for id := range w.accepted {
		if _, _, err := ReadRecord(context.Background(), w.store.Client(), id); err != nil {
			w.fail(errors.Newf("job %s was accepted, but its record is gone: %v\n%s", id, err, w.story(id)))
		}
	}
	entries, err := w.store.Client().ListAll(context.Background(), RecordPrefix)
	require.NoError(w.t, err)
	for _, e := range entries {
		r, err := DecodeRecord(e.Value)
		require.NoError(w.t, err)
		runs := w.ledger.runs(r.ID)
		switch {
		case r.State == caller.Done && !w.ledger.whole(r.ID, r.Job.Shape.Tasks):
			w.fail(errors.Newf("job %s is told as done, but no attempt ended whole\n%s", r.ID, w.story(r.ID)))
		case r.State == caller.Cancelled && strings.Contains(r.Reason, "not run") && runs > 0:
			w.fail(errors.Newf("job %s is told as not run, but %d tasks ran\n%s", r.ID, runs, w.story(r.ID)))
		}
	}
}
