package pool

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// shareLoad is the load of ten accounts, three of them large, that submit urgent gangs for 40 s. For 8 s one account asks for burst
// times as much as usual.
type shareLoad struct {
	// load is the demand as a fraction of the capacity.
	load, burst float64
	account     int
	refusals    []string
}

func (l *shareLoad) weight(account int) float64 {
	if account < 3 {
		return 3
	}
	return 1
}

// play returns the work by account that ended in time.
func (l *shareLoad) play(seed uint64) map[ids.AccountID]float64 {
	const accounts, workers = 10, 48
	random := rand.New(rand.NewPCG(seed, 5))
	all := make(map[ids.AccountID]Account)
	var list []submission
	// The mean job has 3.5 tasks of 4 accelerators for 2.5 s.
	perSecond := l.load * 8 * workers / (3.5 * 4 * 2.5)
	for a := range accounts {
		id := ids.AccountID(fmt.Sprintf("account%d", a))
		all[id] = Account{Guaranteed: ids.Accelerators(0.3 * 8 * workers * l.weight(a) / 16)}
		rate := perSecond * l.weight(a) / 16
		for at, i := time.Duration(0), 0; at < 40*time.Second; i++ {
			at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
			list = append(list, l.job(random, fmt.Sprintf("%s-%03d", id, i), id, at))
		}
	}
	// The burst is drawn last, so that the other submissions are the same with and without it.
	if l.burst > 1 {
		id := ids.AccountID(fmt.Sprintf("account%d", l.account))
		rate := (l.burst - 1) * perSecond * l.weight(l.account) / 16
		for at, i := 12*time.Second, 0; at < 20*time.Second; i++ {
			at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
			list = append(list, l.job(random, fmt.Sprintf("%s-b%03d", id, i), id, at))
		}
	}
	s := newSim(workers, workersPerRack, seed)
	s.SetAccounts(all)
	slices.SortFunc(list, func(a, b submission) int { return int(a.submitAt - b.submitAt) })
	for _, o := range list {
		s.at(o.submitAt, func() {
			if refusal := s.Admit(o.job, s.now); refusal != nil {
				l.refusals = append(l.refusals, refusal.Reason)
				s.at(refusal.RetryAfter, func() { s.submit(o, 0) })
				return
			}
			s.submit(o, 0)
		})
	}
	s.playFor(80 * time.Second)
	served := make(map[ids.AccountID]float64)
	for _, o := range list {
		if end := s.finishedAt[o.job.ID]; !end.IsZero() && end.Sub(testStart.Add(o.submitAt)) <= o.objective() {
			served[o.job.Account] += o.work()
		}
	}
	return served
}

func (l *shareLoad) job(random *rand.Rand, id string, account ids.AccountID, at time.Duration) submission {
	actual := 2*time.Second + time.Duration(random.Float64()*float64(time.Second))
	j := gangJob(id, 0, 1+random.IntN(6), []int{1, 2, 4, 8, 5}[random.IntN(5)], actual)
	j.Account, j.Stretch, j.Target = account, 1.5, 250*time.Millisecond
	return submission{submitAt: at, job: j, runTime: actual}
}

// Ten accounts, three of them large, ask for 1.5 times the capacity in urgent gangs, and one of them for four times its usual share
// for 8 s. The served work of the others falls by at most a twentieth. Without shares it fell by 9% beside
// a large account.
func TestPatternBurstOfOneAccount(t *testing.T) {
	const seeds = 20
	sum := func(l shareLoad) map[ids.AccountID]float64 {
		all := make(map[ids.AccountID]float64)
		for seed := range uint64(seeds) {
			for id, work := range l.play(seed) {
				all[id] += work
			}
		}
		return all
	}
	usual := sum(shareLoad{load: 1.5})
	for name, account := range map[string]int{"a large account": 0, "a small account": 9} {
		t.Run(name, func(t *testing.T) {
			before, after := 0.0, 0.0
			for id, work := range sum(shareLoad{load: 1.5, burst: 4, account: account}) {
				if id != ids.AccountID(fmt.Sprintf("account%d", account)) {
					before += usual[id]
					after += work
				}
			}
			t.Logf("the others are served %.3f of what they are without the burst", after/before)
			require.GreaterOrEqual(t, after, 0.95*before)
		})
	}
}

// Accounts that ask for no more than the capacity are not held to their shares.
func TestSharesWithoutScarcity(t *testing.T) {
	l := shareLoad{load: 0.7}
	l.play(1)
	for _, reason := range l.refusals {
		require.NotContains(t, reason, "share")
	}
}

// The usage outlives the owner and decays by the time between two owners, so that a burst does not start anew with each takeover.
func TestUsageSurvivesTakeover(t *testing.T) {
	s := testState(4, 4)
	j := gangJob("job", 0, 4, 8, 3*time.Second)
	j.Submitted = testStart
	s.Offer(j)
	u := s.Usage(testStart)
	require.Equal(t, map[ids.AccountID]float64{"account": 3}, u.Seconds)
	next := testState(4, 4)
	next.SetUsage(u)
	require.Equal(t, map[ids.AccountID]float64{"account": 1.5}, next.Usage(testStart.Add(usageHalfLife)).Seconds)
}
