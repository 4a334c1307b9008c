package poolowner

import (
	"context"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/jujubegrade/jujubegrade/internal/process/pool"
	"github.com/jujubegrade/jujubegrade/internal/version/catalog"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

type (
	// CallKind is the operation that a caller requests.
	CallKind string

	// Call is one call of a caller. Any instance may receive it; the owner answers it.
	Call struct {
		Kind CallKind
		// Host and Path name the queue; the part of the path after the queue's prefix is the job's id.
		Host, Path string
		Key        string
		Payload    string      `json:",omitempty"`
		Steps      []pool.Step `json:",omitempty"`
		// Schedule makes the steps run at several times.
		Schedule pool.Schedule `json:",omitzero"`
		// Unsupported names a feature that the job requires and this version doesn't support; empty means none.
		Unsupported string `json:",omitempty"`
		// Witness is the process that offers to be a witness.
		Witness *Witness `json:",omitempty"`
		// Validity limits when a call that another instance forwards is carried out. Nil means no limit: the instance's version states none.
		Validity *Validity `json:",omitempty"`

		// receivedAt is when this instance received the call from its client; zero if another one did.
		receivedAt timestamp
	}

	// Answer is the answer to a call.
	Answer struct {
		Result Result
		// State is the state of a job, and Begun reports whether any of its tasks was started.
		State pool.JobState `json:",omitempty"`
		Begun bool          `json:",omitempty"`
		// Pending is the number of a queue's jobs that have not begun.
		Pending int `json:",omitempty"`
		// Reason is the cause of a refusal, and RetryAfter the delay after which the caller may retry.
		Reason     string        `json:",omitempty"`
		RetryAfter time.Duration `json:",omitempty"`
		// Clock is the owner's reading of its clock.
		Clock *OwnerClock `json:",omitempty"`
	}

	// Result is the outcome of a call.
	Result string

	// waiter is a call that waits until a version of a job is stored.
	waiter struct {
		key    string
		cancel bool
		answer chan Answer
		// timeout limits the wait; zero means no limit.
		timeout time.Duration
	}
)

// The operations that callers request.
const (
	Submit CallKind = "Submit"
	// Read requests a job's state, or the number of jobs that have not begun if the path names a queue.
	Read   CallKind = "Read"
	Cancel CallKind = "Cancel"
	// readClock requests only the owner's reading of its clock. Versions that don't know it answer that there is no such queue.
	readClock CallKind = "ReadClock"
	// join offers a process to the owner as a witness. Versions that don't know it answer that there is no such queue.
	join CallKind = "Join"
)

// The outcomes of calls.
const (
	OK Result = "OK"
	// Refused means that the job was not accepted and never runs.
	Refused Result = "Refused"
	// NoKey means that the configuration has no such key.
	NoKey Result = "NoKey"
	// NoQueue means that the configuration has no such queue.
	NoQueue Result = "NoQueue"
	// NoJob means that the job doesn't exist.
	NoJob   Result = "NoJob"
	Invalid Result = "Invalid"
	// timedOut means that the call exceeded its queue's timeout and its outcome is not known.
	timedOut Result = "TimedOut"
	// superseded means that nothing was done, since a later call about the job was answered before. The job may exist.
	superseded Result = "Superseded"
	// NotNow means that the call can't be answered at the moment; nothing was done, and nothing is known of the job.
	NotNow Result = "NotNow"
)

const (
	// notNowRetryAfter is the retry delay for callers while the store is unavailable or the owner changes.
	notNowRetryAfter = time.Second
	// infeasibleRetryAfter is the retry delay for a job that can't run in the pool as it is: it needs more resources than its
	// workers have, or a feature that this version lacks. Workers or a newer version may come later.
	infeasibleRetryAfter = 10 * time.Second
	// maxKeyBytes is the length of the longest key of the platform's store.
	maxKeyBytes = 200
	// storeOutageThreshold is the time without an answer to a write after which no more jobs are accepted.
	storeOutageThreshold = 600 * time.Millisecond
)

// Handle answers a call as the owner. ErrNotOwner means that nothing was done, ErrUnknown that the outcome is not known.
func (o *Owner) Handle(ctx context.Context, c Call) (Answer, error) {
	t := o.term.Load()
	if t == nil {
		return Answer{}, ErrNotOwner
	}
	arrived := o.now()
	if c.Kind == readClock {
		return Answer{Result: OK, Clock: t.reading(arrived)}, nil
	}
	if c.Kind == join && c.Witness != nil {
		err := t.do(ctx, func() { t.join(*c.Witness) })
		return Answer{Result: OK, Clock: t.reading(arrived)}, err
	}
	o.metrics.Calls.Add(1)
	if !c.receivedAt.at.IsZero() {
		c.Validity = t.localValidity(ctx, c.receivedAt)
	}
	answer, err := t.answer(ctx, c)
	answer.Clock = t.reading(arrived)
	return answer, err
}

// answer answers a call.
func (t *term) answer(ctx context.Context, c Call) (Answer, error) {
	var answer Answer
	var w *waiter
	var handleErr error
	if err := t.do(ctx, func() { answer, w, handleErr = t.handle(c) }); err != nil {
		return Answer{}, err
	}
	if handleErr != nil {
		return Answer{}, handleErr
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
	if c.Kind != Read && t.isExpired(c) && (c.Kind != Submit || t.state.Job(c.jobID()) == nil) {
		t.owner.metrics.CallsExpired.Add(1)
		t.log.Info("call: expired", append(t.fieldsOf(c), zap.Uint64("sentTo", uint64(c.Validity.Epoch)), zap.Duration("late", t.clock()-c.Validity.Expires))...)
		return Answer{}, nil, errExpired
	}
	if c.Kind == Submit && t.state.Job(c.jobID()) == nil && !t.isStillOwner() {
		// Another instance may own the pool by now and know the job: a refusal would claim that it never runs.
		return Answer{}, nil, ErrUnknown
	}
	if age := t.owner.since(t.configConfirmedAt); age > t.owner.Times.MaxConfigAge || t.catalog == nil {
		if c.Kind == Submit && t.state.Job(c.jobID()) != nil {
			return Answer{}, nil, ErrUnknown
		}
		return t.refuse(c, NotNow, "the configuration was not confirmed for "+age.Round(time.Millisecond).String(), notNowRetryAfter), nil, nil
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
		return Answer{Result: OK, Pending: t.state.Pending(func(j *pool.Job) bool { return isOf(j, q) })}, nil, nil
	}
	j := t.state.Job(ids.JobID(rest))
	if j != nil && !(isOf(j, q) && mayCall(j, q, account)) {
		j = nil
	}
	if j == nil && c.Kind != Submit && !t.isStillOwner() {
		// Another instance may own the pool by now and know the job.
		return t.refuse(c, NotNow, "ownership is not confirmed", notNowRetryAfter), nil, nil
	}
	if (c.Kind == Cancel || c.Kind == Submit && t.state.Job(ids.JobID(rest)) == nil) && t.isSuperseded(c) {
		t.owner.metrics.CallsSuperseded.Add(1)
		t.log.Info("call: superseded", t.fieldsOf(c)...)
		return Answer{Result: superseded}, nil, nil
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
			answer = Answer{Result: OK, State: t.visibleState(j), Begun: j.Begun()}
		}
	}
	if w != nil {
		w.timeout = q.Timeout
	}
	return answer, w, nil
}

// isOf reports whether a call to a queue may name a job: the queue is the job's, or has taken its place at the same host and prefix.
func isOf(j *pool.Job, q *catalog.Queue) bool {
	return j.Queue == q.ID || j.Prefix != "" && j.Prefix == q.Prefix && j.Host == q.Host
}

// mayCall reports whether a caller with an account's key may call for a job. A public queue requires no key, and a job that was submitted without one belongs to no account.
func mayCall(j *pool.Job, q *catalog.Queue, account ids.AccountID) bool {
	return q.Public || j.Account == account || j.Account == ""
}

// jobID returns the job id at the end of a call's path.
func (c Call) jobID() ids.JobID {
	return ids.JobID(c.Path[strings.LastIndexByte(c.Path, '/')+1:])
}

// visibleState returns the state of a job that callers may rely on: an end only once it is stored.
func (t *term) visibleState(j *pool.Job) pool.JobState {
	if j.State != pool.Accepted && !t.state.IsCurrentVersionStored(j) {
		return pool.Accepted
	}
	return j.State
}

// refuse answers that a call was not carried out. A submission of the same job that arrived earlier at any instance is not carried out any more.
func (t *term) refuse(c Call, result Result, reason string, after time.Duration) Answer {
	if c.Kind == Submit {
		t.superseded.add(c.jobID(), t.clock())
	}
	fields := append(t.fieldsOf(c), zap.String("result", string(result)), zap.String("cause", reason), zap.Duration("retryAfter", after))
	if t.catalog != nil {
		if q, _ := t.catalog.Resolve(c.Host, c.Path); q != nil {
			fields = append(fields, zap.String("queue", string(q.ID)), zap.String("account", string(t.catalog.Keys[c.Key])), zap.Int("priority", q.Priority))
		}
	}
	t.log.Info("call: refused", fields...)
	t.owner.metrics.Refused.Add(1)
	return Answer{Result: result, Reason: reason, RetryAfter: after}
}

// fieldsOf returns the log fields of a call. Its age is the longest time since an instance received it; zero if it states none.
func (t *term) fieldsOf(c Call) []zap.Field {
	fields := []zap.Field{zap.String("kind", string(c.Kind)), zap.String("host", c.Host), zap.String("path", c.Path)}
	if c.Validity != nil {
		fields = append(fields, zap.Duration("age", t.clock()-c.Validity.Received))
	}
	return fields
}

func (t *term) submit(c Call, q *catalog.Queue, account ids.AccountID, id ids.JobID, j *pool.Job, now time.Time) (Answer, *waiter) {
	if j != nil {
		if j.IsStored() {
			return Answer{Result: OK}, nil
		}
		return Answer{}, t.addWaiter(j.ID, c.Key, false)
	}
	if id == "" || t.state.Job(id) != nil {
		return t.refuse(c, Invalid, "the path names no job of this queue and account", 0), nil
	}
	if c.Unsupported == "" {
		c.Unsupported = q.Unsupported
	}
	if c.Unsupported != "" {
		return t.refuse(c, Refused, c.Unsupported+" is not offered", infeasibleRetryAfter), nil
	}
	if err := pool.Validate(c.Steps, c.Schedule); err != nil {
		// Instances check clients' jobs, but another instance's call may be malformed.
		return t.refuse(c, Invalid, err.Error(), 0), nil
	}
	if !t.storeFailingSince.IsZero() && now.Sub(t.storeFailingSince) > storeOutageThreshold {
		return t.refuse(c, Refused, "the store does not answer", notNowRetryAfter), nil
	}
	j = &pool.Job{
		ID: id, Queue: q.ID, Host: q.Host, Prefix: q.Prefix, Service: q.Service, Account: account, Priority: q.Priority, Payload: c.Payload, Steps: c.Steps,
		Schedule: c.Schedule, Submitted: now, MaxAttempts: q.MaxAttempts, Stretch: q.Stretch, Target: q.Target,
	}
	if cause := t.storable(j); cause != "" {
		return t.refuse(c, Invalid, cause, 0), nil
	}
	if refusal := t.state.Admit(j, now); refusal != nil {
		after := refusal.RetryAfter
		if after == 0 {
			after = infeasibleRetryAfter
		}
		return t.refuse(c, Refused, refusal.Reason, after), nil
	}
	expectedWait, _ := j.ExpectedWait()
	t.log.Info("call: admitted", zap.String("job", string(id)), zap.String("queue", string(q.ID)), zap.String("account", string(account)),
		zap.Int("priority", q.Priority), zap.Duration("expectedWait", expectedWait), zap.Duration("objective", t.state.Objective(j)), zap.Int("steps", len(c.Steps)), zap.Uint64("version", uint64(t.catalog.Version)))
	t.state.Offer(j)
	return Answer{}, t.addWaiter(id, c.Key, false)
}

// isStorable reports whether the store has keys for a job's id. A job with a longer id is never accepted.
func isStorable(id ids.JobID) bool { return len(prefixJobs)+len(id) <= maxKeyBytes }

// storable returns why a job's record can't be stored, or may outgrow a value of the store; empty if it can.
func (t *term) storable(j *pool.Job) string {
	if !isStorable(j.ID) {
		return "the job's id is too long"
	}
	bound, err := j.RecordBound()
	switch limit := t.owner.MaxValueBytes; {
	case err != nil:
		return "the job can't be stored: " + err.Error()
	case limit > 0 && bound > limit:
		return "the job's record may take " + strconv.Itoa(bound) + " bytes, and a value of the store at most " + strconv.Itoa(limit)
	}
	return ""
}

// cancelJob cancels a job. The caller is answered once the cancellation is stored.
func (t *term) cancelJob(c Call, j *pool.Job, now time.Time) (Answer, *waiter) {
	if j == nil {
		t.superseded.add(c.jobID(), t.clock())
		return Answer{Result: NoJob}, nil
	}
	t.log.Info("call: cancel requested", zap.String("job", string(j.ID)), zap.String("state", string(j.State)))
	t.state.Cancel(j.ID, now)
	if t.state.IsCurrentVersionStored(j) {
		return Answer{Result: OK}, nil
	}
	return Answer{}, t.addWaiter(j.ID, c.Key, true)
}

func (t *term) addWaiter(id ids.JobID, key string, cancel bool) *waiter {
	w := &waiter{key: key, cancel: cancel, answer: make(chan Answer, 1)}
	t.waiters[id] = append(t.waiters[id], w)
	return w
}

// answerWaiters answers the calls that waited for the version of a job that is now stored.
func (t *term) answerWaiters(id ids.JobID) {
	j := t.state.Job(id)
	if j == nil {
		return
	}
	var remaining []*waiter
	for _, w := range t.waiters[id] {
		if w.cancel && !t.state.IsCurrentVersionStored(j) {
			remaining = append(remaining, w)
			continue
		}
		w.answer <- Answer{Result: OK}
	}
	if len(remaining) == 0 {
		delete(t.waiters, id)
		return
	}
	t.waiters[id] = remaining
}

// revalidateWaiting withdraws the jobs that are not stored yet and whose queue or key the newest configuration no longer
// has. It skips jobs whose record is in flight: the record is written only if the configuration is unchanged, and
// otherwise the job is revalidated afterwards.
func (t *term) revalidateWaiting() {
	for id, list := range t.waiters {
		j := t.state.Job(id)
		if j == nil || j.IsStored() || t.inFlight.contains(id) {
			continue
		}
		answer := Answer{Result: OK}
		if t.catalog.Queue(j.Queue) == nil {
			answer.Result = NoQueue
			if q, _ := t.catalog.Resolve(j.Host, j.Prefix); q != nil {
				answer = Answer{Result: Refused, Reason: "its queue was replaced", RetryAfter: notNowRetryAfter}
			}
		} else if account, known := t.catalog.Keys[list[0].key]; known && account != j.Account || !known && j.Account != "" {
			answer.Result = NoKey
		}
		if answer.Result == OK {
			continue
		}
		t.log.Info("call: withdrawn", zap.String("job", string(id)), zap.String("result", string(answer.Result)), zap.Uint64("version", uint64(t.catalog.Version)))
		t.withdraw(id, answer)
	}
}

// refuseWaiting refuses the jobs that wait for acceptance behind a write that the store doesn't answer. No transaction
// includes them, so it is certain that they never run.
func (t *term) refuseWaiting(now time.Time) {
	if t.storeFailingSince.IsZero() || now.Sub(t.storeFailingSince) < storeOutageThreshold {
		return
	}
	for id := range t.waiters {
		j := t.state.Job(id)
		if j == nil || j.IsStored() || t.inFlight.contains(id) {
			continue
		}
		t.log.Info("call: withdrawn", zap.String("job", string(id)), zap.String("result", string(Refused)), zap.String("cause", "the store does not answer"),
			zap.String("queue", string(j.Queue)), zap.String("account", string(j.Account)), zap.Int("priority", j.Priority))
		t.withdraw(id, Answer{Result: Refused, Reason: "the store does not answer", RetryAfter: notNowRetryAfter})
	}
}

// withdraw removes a job that no transaction includes, and answers the calls that wait for it.
func (t *term) withdraw(id ids.JobID, answer Answer) {
	t.state.Withdraw(id)
	t.superseded.add(Call{Path: string(id)}.jobID(), t.clock())
	for _, w := range t.waiters[id] {
		w.answer <- answer
	}
	delete(t.waiters, id)
}
