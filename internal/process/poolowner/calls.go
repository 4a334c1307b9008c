package poolowner

import (
	"context"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/jujubegrade/jujubegrade/internal/process/pool"
	"github.com/jujubegrade/jujubegrade/internal/version/catalog"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

type (
	// CallKind is what a caller asks for.
	CallKind string

	// Call is one call of a caller, as any instance takes it and the owner answers it.
	Call struct {
		Kind CallKind
		// Host and Path name the queue; what the path has beyond the queue's prefix is the job.
		Host, Path string
		Key        string
		Payload    string      `json:",omitempty"`
		Steps      []pool.Step `json:",omitempty"`
		// Schedule lets the steps run at several times.
		Schedule pool.Schedule `json:",omitzero"`
		// Unsupported names a feature that the job asks for and this version doesn't offer; empty has none.
		Unsupported string `json:",omitempty"`
	}

	// Answer is the answer to a call.
	Answer struct {
		Result Result
		// State tells of a job, and Begun whether a task of it was started.
		State pool.JobState `json:",omitempty"`
		Begun bool          `json:",omitempty"`
		// Pending is the number of a queue's jobs that have not begun.
		Pending int `json:",omitempty"`
		// Reason says why a job was refused, and RetryAfter when it may come again.
		Reason     string        `json:",omitempty"`
		RetryAfter time.Duration `json:",omitempty"`
	}

	// Result says how a call went.
	Result string

	// waiter is a call that waits for the store to keep a job's version.
	waiter struct {
		key    string
		cancel bool
		answer chan Answer
		// timeout bounds the wait; zero sets no bound.
		timeout time.Duration
	}
)

// What callers ask for.
const (
	Submit CallKind = "Submit"
	// Read asks for a job's state, or for the number of jobs that have not begun if the path names a queue.
	Read   CallKind = "Read"
	Cancel CallKind = "Cancel"
)

// How calls go.
const (
	OK Result = "OK"
	// Refused jobs were not accepted and never run.
	Refused Result = "Refused"
	// NoKey calls carry no key that the configuration has.
	NoKey Result = "NoKey"
	// NoQueue calls name a queue that the configuration doesn't have.
	NoQueue Result = "NoQueue"
	// NoJob calls name a job that doesn't exist.
	NoJob   Result = "NoJob"
	Invalid Result = "Invalid"
	// timedOut calls outlasted their queue's bound, and their outcome is not known.
	timedOut Result = "TimedOut"
	// NotNow calls can't be answered at this moment; nothing was done, and nothing is known of the job.
	NotNow Result = "NotNow"
)

const (
	// notNowAfter is when a caller may come again while the store is out or the owner changes.
	notNowAfter = time.Second
	// neverAfter is when a job may come again that no set of workers could hold: workers may be added.
	neverAfter = 10 * time.Second
	// storeOut is the time without an answer to a write after which nothing more is accepted.
	storeOut = 600 * time.Millisecond
)

// Handle answers a call as the owner. ErrNotOwner tells that nothing was done, ErrUnknown that the outcome is not known.
func (o *Owner) Handle(ctx context.Context, c Call) (Answer, error) {
	t := o.term.Load()
	if t == nil {
		return Answer{}, ErrNotOwner
	}
	o.metrics.Calls.Add(1)
	var answer Answer
	var w *waiter
	var failed error
	if err := t.do(ctx, func() { answer, w, failed = t.handle(c) }); err != nil {
		return Answer{}, err
	}
	if failed != nil {
		return Answer{}, failed
	}
	if w == nil {
		return answer, nil
	}
	var timeout <-chan time.Time
	if w.timeout > 0 {
		timeout = time.After(w.timeout)
	}
	select {
	case answer = <-w.answer:
		return answer, nil
	case <-timeout:
		return Answer{Result: timedOut}, nil
	case <-t.ctx.Done():
		return Answer{}, ErrUnknown
	case <-ctx.Done():
		return Answer{}, ErrUnknown
	}
}

// handle answers a call, or returns a waiter for its answer.
func (t *term) handle(c Call) (Answer, *waiter, error) {
	now := time.Now()
	if c.Kind == Submit && t.state.Job(c.job()) == nil && !t.isNewest() {
		// Another instance may own the pool by now, and know the job: a refusal would say that it never runs.
		return Answer{}, nil, ErrUnknown
	}
	if age := t.owner.since(t.configSeen); age > t.owner.Times.Revoke || t.catalog == nil {
		if c.Kind == Submit && t.state.Job(c.job()) != nil {
			return Answer{}, nil, ErrUnknown
		}
		return t.refuse(c, NotNow, "the configuration was not confirmed for "+age.Round(time.Millisecond).String(), notNowAfter), nil, nil
	}
	q, rest := t.catalog.Resolve(c.Host, c.Path)
	if q == nil {
		return t.refuse(c, NoQueue, "no queue is configured there", 0), nil, nil
	}
	account, known := t.catalog.Keys[c.Key]
	if !known && !q.Public {
		return t.refuse(c, NoKey, "the key is not configured", 0), nil, nil
	}
	if c.Kind == Read && rest == "" {
		return Answer{Result: OK, Pending: t.state.Pending(q.ID)}, nil, nil
	}
	j := t.state.Job(ids.JobID(rest))
	if j != nil && (j.Account != account || j.Queue != q.ID) {
		j = nil
	}
	if j == nil && c.Kind != Submit && !t.isNewest() {
		// Another instance may own the pool by now, and know the job.
		return t.refuse(c, NotNow, "ownership is not confirmed", notNowAfter), nil, nil
	}
	var answer Answer
	var w *waiter
	switch c.Kind {
	case Submit:
		answer, w = t.submit(c, q, account, ids.JobID(rest), j, now)
	case Cancel:
		answer, w = t.cancelJob(c, j, now)
	default:
		answer = Answer{Result: NoJob}
		if j != nil {
			answer = Answer{Result: OK, State: t.shown(j), Begun: j.Begun()}
		}
	}
	if w != nil {
		w.timeout = q.Timeout
	}
	return answer, w, nil
}

// job returns the job that a call's path ends with.
func (c Call) job() ids.JobID {
	return ids.JobID(c.Path[strings.LastIndexByte(c.Path, '/')+1:])
}

// shown returns the state of a job that callers may rely on: an end only once the store keeps it.
func (t *term) shown(j *pool.Job) pool.JobState {
	if j.State != pool.Accepted && !t.state.Kept(j) {
		return pool.Accepted
	}
	return j.State
}

func (t *term) refuse(c Call, result Result, reason string, after time.Duration) Answer {
	t.log.Info("call: refused", zap.String("kind", string(c.Kind)), zap.String("host", c.Host), zap.String("path", c.Path), zap.String("result", string(result)), zap.String("cause", reason),
		zap.Duration("retryAfter", after))
	t.owner.metrics.Refused.Add(1)
	return Answer{Result: result, Reason: reason, RetryAfter: after}
}

func (t *term) submit(c Call, q *catalog.Queue, account ids.AccountID, id ids.JobID, j *pool.Job, now time.Time) (Answer, *waiter) {
	if j != nil {
		if j.IsStored() {
			return Answer{Result: OK}, nil
		}
		return Answer{}, t.wait(j.ID, c.Key, false)
	}
	if id == "" || t.state.Job(id) != nil {
		return t.refuse(c, Invalid, "the path names no job of this queue and account", 0), nil
	}
	if c.Unsupported == "" {
		c.Unsupported = q.Unsupported
	}
	if c.Unsupported != "" {
		return t.refuse(c, Refused, c.Unsupported+" is not offered", neverAfter), nil
	}
	if !t.storeFailing.IsZero() && now.Sub(t.storeFailing) > storeOut {
		return t.refuse(c, Refused, "the store does not answer", notNowAfter), nil
	}
	j = &pool.Job{
		ID: id, Queue: q.ID, Service: q.Service, Account: account, Priority: q.Priority, Payload: c.Payload, Steps: c.Steps, Schedule: c.Schedule,
		Submitted: now, MaxAttempts: q.MaxAttempts, Stretch: q.Stretch, Target: q.Target,
	}
	if refusal := t.state.Admit(j, now); refusal != nil {
		after := refusal.After
		if after == 0 {
			after = neverAfter
		}
		return t.refuse(c, Refused, refusal.Reason, after), nil
	}
	t.log.Info("call: admitted", zap.String("job", string(id)), zap.String("queue", string(q.ID)), zap.String("account", string(account)),
		zap.Int("priority", q.Priority), zap.Int("steps", len(c.Steps)), zap.Uint64("version", uint64(t.catalog.Version)))
	t.state.Offer(j)
	return Answer{}, t.wait(id, c.Key, false)
}

// cancelJob ends a job for its caller, who is answered once the store keeps that.
func (t *term) cancelJob(c Call, j *pool.Job, now time.Time) (Answer, *waiter) {
	if j == nil {
		return Answer{Result: NoJob}, nil
	}
	t.log.Info("call: cancel", zap.String("job", string(j.ID)), zap.String("state", string(j.State)))
	t.state.Cancel(j.ID, now)
	if t.state.Kept(j) {
		return Answer{Result: OK}, nil
	}
	return Answer{}, t.wait(j.ID, c.Key, true)
}

func (t *term) wait(id ids.JobID, key string, cancel bool) *waiter {
	w := &waiter{key: key, cancel: cancel, answer: make(chan Answer, 1)}
	t.waiters[id] = append(t.waiters[id], w)
	return w
}

// answerWaiters answers the calls that waited for what the store now keeps.
func (t *term) answerWaiters(id ids.JobID) {
	j := t.state.Job(id)
	if j == nil {
		return
	}
	var left []*waiter
	for _, w := range t.waiters[id] {
		if w.cancel && !t.state.Kept(j) {
			left = append(left, w)
			continue
		}
		w.answer <- Answer{Result: OK}
	}
	if len(left) == 0 {
		delete(t.waiters, id)
		return
	}
	t.waiters[id] = left
}

// judgeWaiting withdraws the jobs whose queue or key the newest configuration no longer has, before they are stored. The
// record of one that is under way is written only if the configuration has not changed, and is judged after that.
func (t *term) judgeWaiting() {
	for id, list := range t.waiters {
		j := t.state.Job(id)
		if j == nil || j.IsStored() || t.inFlight.has(id) {
			continue
		}
		result := OK
		if t.catalog.Queue(j.Queue) == nil {
			result = NoQueue
		} else if account, known := t.catalog.Keys[list[0].key]; known && account != j.Account || !known && j.Account != "" {
			result = NoKey
		}
		if result == OK {
			continue
		}
		t.state.Withdraw(id)
		t.log.Info("call: withdrawn", zap.String("job", string(id)), zap.String("result", string(result)), zap.Uint64("version", uint64(t.catalog.Version)))
		for _, w := range list {
			w.answer <- Answer{Result: result}
		}
		delete(t.waiters, id)
	}
}

// refuseWaiting refuses the jobs whose acceptance waits behind a write that the store doesn't answer. They are in no
// transaction, so the refusal is true.
func (t *term) refuseWaiting(now time.Time) {
	if t.storeFailing.IsZero() || now.Sub(t.storeFailing) < storeOut {
		return
	}
	for id, list := range t.waiters {
		j := t.state.Job(id)
		if j == nil || j.IsStored() || t.inFlight.has(id) {
			continue
		}
		t.state.Withdraw(id)
		t.log.Info("call: withdrawn", zap.String("job", string(id)), zap.String("result", string(Refused)), zap.String("cause", "the store does not answer"))
		for _, w := range list {
			w.answer <- Answer{Result: Refused, Reason: "the store does not answer", RetryAfter: notNowAfter}
		}
		delete(t.waiters, id)
	}
}
