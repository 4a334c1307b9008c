package poolowner

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/jujubegrade/jujubegrade/internal/connection/peer"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

type (
	// Validity limits when a call is carried out. The network may deliver a call long after its sender has given it up. All times are on the clock of the owner
	// that the call was sent to and count from its claim, so no other clock has to be right.
	Validity struct {
		// Epoch is that of the owner. No other owner carries out the call.
		Epoch ids.Epoch
		// Received is the earliest time at which an instance may have received the call from its client.
		Received time.Duration
		// Expires is the time after which the call is not carried out.
		Expires time.Duration
	}

	// OwnerClock is an owner's reading of its clock in an answer. Versions that don't know it carry out calls of any age.
	OwnerClock struct {
		Epoch ids.Epoch
		peer.ClockReading
	}

	// ownerClocks keeps the latest reading of the current owner's clock. The zero value has none.
	ownerClocks struct {
		mu sync.Mutex
		// reading is nil if the owner of that epoch has no clock.
		reading  *OwnerClock
		epoch    ids.Epoch
		answered timestamp
	}

	// supersededCalls holds the jobs of which callers were told that they don't exist or never run. Calls about them that were received earlier are not carried out
	// any more. The zero value is empty.
	supersededCalls struct {
		// answeredAt is when the latest such answer about a job was given, and order holds all such answers, oldest first.
		answeredAt map[ids.JobID]time.Duration
		order      []supersededCall
		// floor is the time before which calls of all jobs count as superseded.
		floor time.Duration
	}

	supersededCall struct {
		job ids.JobID
		at  time.Duration
	}
)

const (
	// maxCallAge is the time after its arrival from a client after which a call is not carried out, so that answers need not be kept longer.
	maxCallAge = 10 * time.Second
	// maxSupersededCalls limits the answers that are kept. Beyond it the oldest one holds for the calls of all jobs.
	maxSupersededCalls = 1 << 15
	// clockReadingAge is the age from which a reading of an owner's clock is replaced before a call that changes anything. What is known of the clock falls back by
	// a fortieth of it.
	clockReadingAge = 5 * time.Second
)

// set records what an owner's answer to a call shows of its clock.
func (k *ownerClocks) set(epoch ids.Epoch, c *OwnerClock, answered timestamp) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if c != nil && c.Epoch != epoch {
		return
	}
	k.reading, k.epoch, k.answered = c, epoch, answered
}

// of returns what is known of the clock of an epoch's owner, and whether the owner has one; known is false if that has to be asked.
func (k *ownerClocks) of(epoch ids.Epoch, since func(timestamp) time.Duration) (e peer.ClockEstimate, has, known bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.epoch != epoch || since(k.answered) > clockReadingAge {
		return e, false, false
	}
	if k.reading == nil {
		return e, false, true
	}
	return peer.ClockEstimate{Reading: k.reading.ClockReading, SinceAnswered: since(k.answered)}, true, true
}

// add records that a caller was told that a job doesn't exist or never runs.
func (s *supersededCalls) add(id ids.JobID, now time.Duration) {
	s.expire(now)
	if !isStorable(id) {
		// No call about it is ever carried out.
		return
	}
	// The id is the end of the call's path, which need not be kept.
	id = ids.JobID(strings.Clone(string(id)))
	if s.answeredAt == nil {
		s.answeredAt = make(map[ids.JobID]time.Duration)
	}
	s.answeredAt[id] = now
	s.order = append(s.order, supersededCall{job: id, at: now})
	if len(s.order) > maxSupersededCalls {
		s.removeOldest()
	}
}

// expire removes the answers that are older than any call that may still be carried out.
func (s *supersededCalls) expire(now time.Duration) {
	s.floor = max(s.floor, now-maxCallAge)
	for len(s.order) > 0 && s.order[0].at <= s.floor {
		s.removeOldest()
	}
}

func (s *supersededCalls) removeOldest() {
	oldest := s.order[0]
	s.order = s.order[1:]
	s.floor = max(s.floor, oldest.at)
	if s.answeredAt[oldest.job] == oldest.at {
		delete(s.answeredAt, oldest.job)
	}
}

// includes reports whether a call about a job that was received at a time must not be carried out.
func (s *supersededCalls) includes(id ids.JobID, received, now time.Duration) bool {
	s.expire(now)
	at, found := s.answeredAt[id]
	return received <= s.floor || found && received <= at
}

// clock returns the time since the claim.
func (t *term) clock() time.Duration { return t.owner.since(t.claim.committedAt) }

// reading returns a reading of this term's clock in the answer to a call that arrived at a time.
func (t *term) reading(arrived timestamp) *OwnerClock {
	held := t.owner.since(arrived)
	return &OwnerClock{Epoch: t.claim.Epoch, ClockReading: peer.ClockReading{Arrived: t.clock() - held, Held: held}}
}

// localValidity returns the validity of a call that this instance received itself.
func (t *term) localValidity(ctx context.Context, receivedAt timestamp) *Validity {
	now, valid := t.clock(), maxCallAge
	if deadline, limited := ctx.Deadline(); limited {
		valid = time.Until(deadline)
	}
	return &Validity{Epoch: t.claim.Epoch, Received: now - t.owner.since(receivedAt), Expires: now + valid}
}

// isExpired reports whether a call has come too late, or was sent to another owner. One of an instance that states no validity is never late.
func (t *term) isExpired(c Call) bool {
	return c.Validity != nil && (c.Validity.Epoch != t.claim.Epoch || t.clock() > c.Validity.Expires)
}

// isSuperseded reports whether a caller was told after the arrival of a call that its job doesn't exist or never runs.
func (t *term) isSuperseded(c Call) bool {
	return c.Validity != nil && t.superseded.includes(c.jobID(), c.Validity.Received, t.clock())
}
