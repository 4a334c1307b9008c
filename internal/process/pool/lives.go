package pool

import (
	"time"

	"github.com/jujubegrade/jujubegrade/internal/connection/worker"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

type (
	// Tokens is the range of the fencing tokens that only this owner uses. The zero value means that calls carry none.
	Tokens struct{ First, Last ids.Epoch }

	// life is what is known of the latest process of a worker. It is kept as long as the owner serves, also while the worker is not listed: an order without an answer
	// may be carried out seconds later, in whatever process has the worker's id by then.
	life struct {
		incarnation uint64
		// entry is the latest incarnation for which the worker's entry has raised the token.
		entry uint64
		// isUnfenced is set if no token was left for this process. Nothing is started there.
		isUnfenced bool
		// token is that of all calls to the worker from now on. A process that has carried out a call with it does nothing for the calls to the processes before.
		token ids.Epoch
		// lateUntil is until when an order without an answer is expected to be carried out; zero if there is none.
		lateUntil time.Time
	}
)

// lateOrderTime is how long after the last order without an answer a worker without runs is asked for reports, so that a new process is seen even while its entry can't be
// read. The platform sets no limit for late orders, so that nothing else relies on this time.
const lateOrderTime = 15 * time.Second

func (s *State) lifeOf(id ids.InstanceID) *life {
	l := s.lives[id]
	if l == nil {
		l = &life{token: s.Tokens.First}
		s.lives[id] = l
	}
	return l
}

// Token returns the fencing token of calls to a worker.
func (s *State) Token(id ids.InstanceID) ids.Epoch {
	if l := s.lives[id]; l != nil {
		return l.token
	}
	return s.Tokens.First
}

// followLife records the process that a report is from, and reports whether that process does nothing for the orders to the ones before. If it does not, orders may have
// started runs there since the report, or may still do so, until the next report: a new process has seen no token.
func (s *State) followLife(n *node, report worker.RunReport) bool {
	if s.Tokens == (Tokens{}) {
		return true
	}
	s.seeIncarnation(n.ID, report.Incarnation)
	l := s.lives[n.ID]
	return !l.isUnfenced && report.Token >= l.token
}

// seeEntry raises the token of a worker whose entry names a new process, so that already the first call to that process has the new token. Each incarnation counts once:
// an entry may be wrong, and is listed again and again.
func (s *State) seeEntry(id ids.InstanceID, incarnation uint64) {
	if l := s.lifeOf(id); l.entry != incarnation {
		l.entry = incarnation
		s.seeIncarnation(id, incarnation)
	}
}

// seeIncarnation raises the token of a worker if its process is not the latest one that is known.
func (s *State) seeIncarnation(id ids.InstanceID, incarnation uint64) {
	l := s.lifeOf(id)
	if incarnation == 0 || incarnation == l.incarnation {
		return
	}
	if l.isUnfenced = l.incarnation != 0 && l.token == s.Tokens.Last; l.isUnfenced {
		s.notice(Notice{Kind: "TokensUsedUp", Worker: id, Cause: "this owner has seen too many processes of the worker; the next owner has tokens for it"})
	} else if l.incarnation != 0 {
		l.token++
	}
	l.incarnation = incarnation
}

// expectLateOrder records that an order to a worker got no answer.
func (s *State) expectLateOrder(id ids.InstanceID, now time.Time) {
	s.init()
	s.lifeOf(id).lateUntil = now.Add(lateOrderTime)
	s.lateOrders[id] = true
	s.changed[id] = true
}

// expireLateOrders ends the time in which late orders are expected.
func (s *State) expireLateOrders(now time.Time) {
	for id := range s.lateOrders {
		if now.After(s.lives[id].lateUntil) {
			delete(s.lateOrders, id)
			s.changed[id] = true
		}
	}
}
