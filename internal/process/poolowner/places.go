package poolowner

import (
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/jujubegrade/jujubegrade/internal/connection/peer"
	"github.com/jujubegrade/jujubegrade/internal/process/pause"
	"github.com/jujubegrade/jujubegrade/internal/process/pool"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

type (
	// placeLedger is what an owner does so that its successor knows on which workers each task may run. From the promise on, it sends no start whose place is neither
	// stored nor kept by a majority of the witnesses that the record of its term names. It is used by the term's goroutine.
	placeLedger struct {
		// members are the processes that offer to be witnesses.
		members map[ids.InstanceID]Witness
		// failing are those that did not answer lately, and since when.
		failing map[Witness]time.Time
		// sets are the sets of witnesses that the stored record may name: the last one, and one that is being written.
		sets [][]Witness
		// preparing is set while starts wait for their places to be stored, so that a record with other witnesses can be written.
		preparing bool
		// isPromised is set once a record with the promise may have been written, and isConfirmed if the store has confirmed the latest one.
		isPromised, isConfirmed bool
		// isCollecting is set until the witnesses of the predecessor have been asked once. The record of the term waits for it: it may then have the promise.
		isCollecting bool
		// unstored holds the starts that were sent before their places were stored, with the number of the call that told the witnesses.
		unstored []unstoredStart
		// number is that of the last call to the witnesses.
		number uint64
	}

	unstoredStart struct {
		action pool.Action
		number uint64
	}
)

const (
	// maxMembers limits the processes that offer to be witnesses, and maxMemberBytes the length of the name and address of one.
	maxMembers     = 1024
	maxMemberBytes = 512
	// maxWitnesses limits the witnesses of an owner. Two of five may be lost.
	maxWitnesses = 5
	// witnessTimeout limits a call to witnesses.
	witnessTimeout = 400 * time.Millisecond
	// witnessDelay is how long a start waits for the store before the witnesses are told.
	witnessDelay = 10 * time.Millisecond
	// witnessRetryDelay is the delay before witnesses are told again.
	witnessRetryDelay = 100 * time.Millisecond
	// failingWitnessTime is how long a witness is not chosen after a call without an answer.
	failingWitnessTime = 10 * time.Second
	// collectRetryDelay is the delay before witnesses are asked again for what they keep.
	collectRetryDelay = 200 * time.Millisecond
)

// join adds a process to those that may be witnesses.
func (t *term) join(w Witness) {
	if _, known := t.places.members[w.Instance]; len(w.Instance)+len(w.Address) > maxMemberBytes || !known && len(t.places.members) >= maxMembers {
		// Starts go without it. Instances of a deployment are far fewer, so that somebody else has called.
		return
	}
	if t.places.members == nil {
		t.places.members = make(map[ids.InstanceID]Witness)
	}
	t.places.members[w.Instance] = w
}

// chooseWitnesses returns the witnesses to name in the record of the term: those that it names, as long as they answer, and others in place of those that don't.
func (l *placeLedger) chooseWitnesses(now time.Time) []Witness {
	isUsable := func(w Witness) bool {
		return l.members[w.Instance] == w && (l.failing[w].IsZero() || now.Sub(l.failing[w]) > failingWitnessTime)
	}
	var chosen []Witness
	if len(l.sets) > 0 {
		chosen = slices.DeleteFunc(slices.Clone(l.sets[len(l.sets)-1]), func(w Witness) bool { return !isUsable(w) })
	}
	for _, id := range slices.Sorted(maps.Keys(l.members)) {
		if w := l.members[id]; len(chosen) < maxWitnesses && isUsable(w) && !slices.Contains(chosen, w) {
			chosen = append(chosen, w)
		}
	}
	return chosen
}

// updateWitnesses prepares a record of the term with other witnesses, if there are any to name.
func (t *term) updateWitnesses(now time.Time) {
	l := &t.places
	chosen := l.chooseWitnesses(now)
	isSame := l.isConfirmed && len(l.sets) == 1 && len(chosen) == len(l.sets[0]) && !slices.ContainsFunc(chosen, func(w Witness) bool { return !slices.Contains(l.sets[0], w) })
	isWritten := l.isPromised && !l.isConfirmed
	if prepares := len(chosen) > 0 && !isSame && !isWritten && t.storeFailingSince.IsZero() && t.state.ArePlacesKnown(); prepares != l.preparing {
		l.preparing = prepares
		t.releaseStarts(now)
	}
}

// promisePlaces returns the witnesses to name in a record of the term that is about to be written, and whether the record promises that all places are known.
func (t *term) promisePlaces(now time.Time) (witnesses []Witness, promises bool) {
	l := &t.places
	if !l.isPromised {
		t.updateWitnesses(now)
	}
	if t.arePlacesDue() {
		l.sets = append(l.sets, l.chooseWitnesses(now))
		l.isPromised, l.isConfirmed, l.preparing = true, false, false
		for i := range t.heldStarts {
			// The other witnesses must be told as well.
			t.heldStarts[i].number, t.heldStarts[i].isKept = 0, false
		}
	}
	if !l.isPromised {
		return nil, false
	}
	return l.sets[len(l.sets)-1], true
}

// arePlacesDue reports whether a record with other witnesses can be written now.
func (t *term) arePlacesDue() bool {
	return t.places.preparing && len(t.places.unstored) == 0 && t.state.ArePlacesKnown() && t.state.ArePlacesStored()
}

// confirmPlaces records that the store holds a record of the term.
func (t *term) confirmPlaces(r *TermRecord) {
	l := &t.places
	if r.ArePlacesKnown && len(l.sets) > 0 {
		l.sets = l.sets[len(l.sets)-1:]
		l.isConfirmed = true
	}
}

// maySend reports whether a start may be sent: a successor will know its place, or knows that it does not know all places.
func (t *term) maySend(h heldStart) bool {
	if h.isKept || t.state.IsPlaceStored(h.action) {
		return true
	}
	return !t.places.isPromised && !t.places.preparing
}

// rememberUnstored remembers a start that is being sent until its place is stored.
func (t *term) rememberUnstored(h heldStart) {
	if !t.state.IsPlaceStored(h.action) {
		t.places.unstored = append(t.places.unstored, unstoredStart{h.action, h.number})
	}
}

// forgetStored removes the starts whose places are stored.
func (t *term) forgetStored() {
	t.places.unstored = slices.DeleteFunc(t.places.unstored, func(u unstoredStart) bool { return t.state.IsPlaceStored(u.action) })
}

// tellWitnesses tells the witnesses of the starts that wait for the store.
func (t *term) tellWitnesses() {
	l := &t.places
	if !l.isPromised || l.preparing || len(l.sets) == 0 {
		return
	}
	c := PlacesCall{Epoch: t.claim.Epoch, Number: l.number + 1, Stored: l.number + 1}
	for i := range t.heldStarts {
		h := &t.heldStarts[i]
		if h.number == 0 && t.isAccountedFor(h.action.Worker) && !t.state.IsPlaceStored(h.action) {
			h.number = c.Number
			c.Starts = append(c.Starts, pool.PlacedStart{Task: h.action.Run.Task, Worker: h.action.Worker})
		}
	}
	if len(c.Starts) == 0 {
		return
	}
	l.number++
	for _, u := range l.unstored {
		if u.number > 0 {
			c.Stored = min(c.Stored, u.number)
		}
	}
	for _, h := range t.heldStarts {
		if h.number > 0 {
			c.Stored = min(c.Stored, h.number)
		}
	}
	sets := slices.Clone(l.sets)
	t.owner.metrics.WitnessCalls.Add(1)
	t.spawn("a call to witnesses", func() {
		_, _, err := t.owner.callMajority(t.ctx, sets, c, func(w Witness) { t.post(func() { t.witnessFailed(w) }) })
		t.post(func() { t.witnessesTold(c.Number, err) })
	})
}

// witnessFailed records that a witness did not answer.
func (t *term) witnessFailed(w Witness) {
	if t.places.failing == nil {
		t.places.failing = make(map[Witness]time.Time)
	}
	t.places.failing[w] = time.Now()
}

// witnessesTold sends the starts that the witnesses keep, or makes them be told again.
func (t *term) witnessesTold(number uint64, err error) {
	for i := range t.heldStarts {
		h := &t.heldStarts[i]
		switch {
		case h.number != number:
		case err == nil:
			h.isKept = true
		default:
			h.number = 0
		}
	}
	if err != nil {
		t.owner.metrics.WitnessCallsFailed.Add(1)
		t.log.Warn("witness: starts wait for the store", zap.String("cause", err.Error()))
		time.AfterFunc(witnessRetryDelay, func() { t.post(t.tellWitnesses) })
		return
	}
	t.releaseStarts(time.Now())
}

// collectPlaces asks the witnesses of earlier owners for the starts that they keep, until a majority has answered or no worker is waited for.
func (t *term) collectPlaces(witnesses []Witness) {
	for t.ctx.Err() == nil {
		starts, answered, err := t.owner.callMajority(t.ctx, [][]Witness{witnesses}, PlacesCall{Epoch: t.claim.Epoch, Collect: true}, nil)
		if err == nil {
			t.post(func() {
				t.places.isCollecting = false
				t.log.Info("owner: the places of all tasks are known", zap.Int("kept", len(starts)), zap.Int("witnesses", len(witnesses)))
				t.state.TrustPlaces(starts, time.Now())
				for w := range answered {
					if w.Instance != t.owner.Instance {
						t.join(w)
					}
				}
			})
			return
		}
		isDone := false
		if err := t.do(t.ctx, func() {
			t.places.isCollecting = false
			isDone = t.isServing() && !t.state.HasUnknown()
		}); err != nil || isDone {
			return
		}
		pause.For(t.ctx, jitter(collectRetryDelay))
	}
}

// witnessClient returns the connection to a witness.
func (o *Owner) witnessClient(address string) *peer.Client {
	o.witnessLock.Lock()
	defer o.witnessLock.Unlock()
	if o.witnessClients == nil {
		o.witnessClients = make(map[string]*peer.Client)
	}
	c := o.witnessClients[address]
	if c == nil {
		c = &peer.Client{Address: address}
		o.witnessClients[address] = c
	}
	return c
}

// closeWitnesses closes the connections to witnesses at the end of a term.
func (o *Owner) closeWitnesses() {
	o.witnessLock.Lock()
	defer o.witnessLock.Unlock()
	for _, c := range o.witnessClients {
		c.Close()
	}
	o.witnessClients = nil
}
