package pool

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// A job that fits only with evacuated workers is refused with that cause and a time to come back, never as impossible, whatever guarantee
// covers it. Others are admitted by the remaining capacity.
func TestAdmissionDuringEvacuation(t *testing.T) {
	cases := map[string]struct {
		evacuated   []ids.DataCentreID
		job         *Job
		wantReason  string
		wantAfter   time.Duration
		impossible  bool
		isGuarantee bool
	}{
		"it fits elsewhere":             {evacuated: []ids.DataCentreID{"a"}, job: gangJob("j", 1, 2, 8, 10*time.Second)},
		"it needs both":                 {evacuated: []ids.DataCentreID{"a"}, job: gangJob("j", 1, 4, 8, 10*time.Second), wantReason: "being evacuated: a", wantAfter: maxRetryAfter},
		"it needs both, guaranteed":     {evacuated: []ids.DataCentreID{"a"}, job: gangJob("j", 0, 4, 8, 10*time.Second), wantReason: "being evacuated: a", wantAfter: maxRetryAfter},
		"all are evacuated":             {evacuated: []ids.DataCentreID{"b", "a", "nowhere"}, job: gangJob("j", 1, 1, 1, 10*time.Second), wantReason: "being evacuated: a, b", wantAfter: maxRetryAfter},
		"no worker names the requested": {evacuated: []ids.DataCentreID{"nowhere"}, job: gangJob("j", 1, 4, 8, 10*time.Second)},
		"it fits nowhere":               {evacuated: []ids.DataCentreID{"a"}, job: gangJob("j", 1, 5, 8, 10*time.Second), wantReason: "no set of workers could hold a step"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := twoCentres(4, 2, 2)
			s.SetAccounts(map[ids.AccountID]Account{"account": {Guaranteed: 32}})
			s.SetEvacuations(c.evacuated, testStart)
			refusal := s.Admit(c.job, testStart)
			if c.wantReason == "" {
				require.Nil(t, refusal)
				return
			}
			require.NotNil(t, refusal)
			require.Contains(t, refusal.Reason, c.wantReason)
			require.Equal(t, c.wantAfter, refusal.RetryAfter)
		})
	}
}

// An evacuation halves the pool. The expected wait and the guarantees count the remaining half at once, and the refusal names the cause.
func TestForecastUsesRemainingCapacity(t *testing.T) {
	s := twoCentres(4, 2, 2)
	s.SetAccounts(map[ids.AccountID]Account{"account": {Guaranteed: 24}, "other": {Guaranteed: 8}})
	require.EqualValues(t, 24, s.guaranteeOf("account"))
	s.SetEvacuations([]ids.DataCentreID{"a"}, testStart)
	require.EqualValues(t, 12, s.guaranteeOf("account"))
	require.EqualValues(t, 4, s.guaranteeOf("other"))
	s.accept(gangJob("first", 1, 2, 8, 30*time.Second), testStart)
	s.requireOutside(t, s.startAll(testStart), "a")
	j := gangJob("second", 1, 2, 8, 5*time.Second)
	refusal := s.Admit(j, testStart)
	require.NotNil(t, refusal)
	require.Contains(t, refusal.Reason, "it would wait 30s; its limit is 11s; being evacuated: a")
	s.SetEvacuations(nil, testStart)
	require.EqualValues(t, 24, s.guaranteeOf("account"))
	require.Nil(t, s.Admit(j, testStart))
}

// A job that waits for evacuated workers doesn't lengthen the forecast of others, since it takes no capacity before the evacuation ends.
func TestForecastIgnoresWorkThatCannotStart(t *testing.T) {
	s := twoCentres(4, 2, 2)
	wide := gangJob("wide", 1, 4, 8, time.Minute)
	s.accept(wide, testStart)
	s.SetEvacuations([]ids.DataCentreID{"a"}, testStart)
	require.Empty(t, s.startAll(testStart))
	require.Nil(t, s.Admit(gangJob("small", 1, 1, 8, 5*time.Second), testStart))
	s.SetEvacuations(nil, testStart)
	require.Len(t, s.startAll(testStart.Add(time.Second)), 4)
}

// All data centres are evacuated at once: nothing starts, running work ends, and what waits starts after the withdrawal.
func TestAllDataCentresEvacuated(t *testing.T) {
	s := twoCentres(4, 2, 2)
	running := gangJob("running", 1, 2, 8, 20*time.Second)
	running.Steps[0].Checkpoints = true
	s.accept(running, testStart)
	require.Len(t, s.startAll(testStart), 2)
	s.SetEvacuations([]ids.DataCentreID{"a", "b"}, testStart)
	waits := gangJob("waits", 0, 2, 8, 2*time.Second)
	s.accept(waits, testStart)
	for d := time.Duration(0); d < 5*time.Second; d += 100 * time.Millisecond {
		actions, _ := s.Decide(testStart.Add(d))
		require.Empty(t, actions)
	}
	require.Equal(t, Accepted, waits.State)
	s.SetEvacuations(nil, testStart.Add(5*time.Second))
	require.Len(t, s.startAll(testStart.Add(5*time.Second)), 2)
}
