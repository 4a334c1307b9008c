package pool

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// patterns holds the workloads by name.
var patterns = map[string]pattern{
	"twice the capacity in bulk gangs": {submissions: func(random *rand.Rand) []submission {
		return mixedLoad(random, 290, 207*time.Millisecond, 0.15, func(d time.Duration) time.Duration { return d })
	}},
	"an urgent burst onto full racks": {submissions: func(random *rand.Rand) []submission {
		list := mixedLoad(random, 160, 207*time.Millisecond, 0, func(d time.Duration) time.Duration { return d })
		for i := range 25 {
			list = append(list, urgentSubmission(random, fmt.Sprintf("burst%02d", i), 12*time.Second+time.Duration(i)*80*time.Millisecond))
		}
		return list
	}},
	"a third of the workers slower": {
		submissions: func(random *rand.Rand) []submission {
			return mixedLoad(random, 290, 150*time.Millisecond, 0.5, func(d time.Duration) time.Duration { return d })
		},
		slowdown: func(worker int) float64 { return []float64{1, 1, 1.3}[worker%3] },
	},
	"a tenth of the workers six times slower": {
		submissions: func(random *rand.Rand) []submission {
			return mixedLoad(random, 200, 207*time.Millisecond, 0.15, func(d time.Duration) time.Duration { return d })
		},
		slowdown: func(worker int) float64 {
			if worker%10 == 9 {
				return 6
			}
			return 1
		},
	},
	"estimates off tenfold both ways": {submissions: func(random *rand.Rand) []submission {
		return mixedLoad(random, 220, 207*time.Millisecond, 0.2, func(d time.Duration) time.Duration {
			if random.IntN(2) == 0 {
				return d / 10
			}
			return d * 10
		})
	}},
	"one account at four times its share": {
		submissions: func(random *rand.Rand) []submission {
			list := mixedLoad(random, 180, 280*time.Millisecond, 0, func(d time.Duration) time.Duration { return d })
			for i := range list {
				list[i].job.Account, list[i].job.Priority = "greedy", 1
				if i%7 < 3 {
					list[i].job.Account = ids.AccountID(fmt.Sprintf("modest%d", i%7))
				}
			}
			return list
		},
		accounts:    []ids.AccountID{"greedy", "modest0", "modest1", "modest2"},
		withinShare: []ids.AccountID{"modest0", "modest1", "modest2"},
	},
	"cancels within a second": {submissions: func(random *rand.Rand) []submission {
		list := mixedLoad(random, 290, 207*time.Millisecond, 0.15, func(d time.Duration) time.Duration { return d })
		for i := range list {
			if random.Float64() < 0.3 {
				list[i].cancelAfter = time.Duration(1+random.IntN(1000)) * time.Millisecond
			}
		}
		return list
	}},
	"poison jobs": {submissions: func(random *rand.Rand) []submission {
		list := mixedLoad(random, 220, 207*time.Millisecond, 0.15, func(d time.Duration) time.Duration { return d })
		for i := range list {
			list[i].poison = random.Float64() < 0.1
		}
		return list
	}},
	"a restart of everything with a full queue": {
		submissions: func(random *rand.Rand) []submission {
			return mixedLoad(random, 290, 207*time.Millisecond, 0.15, func(d time.Duration) time.Duration { return d })
		},
		restart: 20 * time.Second,
	},
	"twice the capacity in a data centre of the size aimed at": {
		submissions: func(random *rand.Rand) []submission {
			return mixedLoad(random, 4*290, 207*time.Millisecond/4, 0.15, func(d time.Duration) time.Duration { return d })
		},
		workers: 4 * defaultWorkers,
	},
	"wide jobs among small ones": {submissions: func(random *rand.Rand) []submission {
		var list []submission
		for i := range 240 {
			tasks := 1
			if i%16 == 8 {
				tasks = workersPerRack
			}
			actual := time.Duration(4000+random.IntN(2000)) * time.Millisecond
			list = append(list, submission{submitAt: time.Duration(i) * 70 * time.Millisecond, runTime: actual, job: gangJob(fmt.Sprintf("job%03d", i), 1+i%2, tasks, 8, actual)})
		}
		return list
	}},
}

// mixedLoad returns bulk jobs of two priorities and a share of urgent ones. estimate computes declared from real run times.
func mixedLoad(random *rand.Rand, count int, every time.Duration, urgent float64, estimate func(time.Duration) time.Duration) []submission {
	var list []submission
	for i := range count {
		at := time.Duration(i) * every
		if random.Float64() < urgent {
			list = append(list, urgentSubmission(random, fmt.Sprintf("urgent%03d", i), at))
			continue
		}
		actual := time.Duration(5000+random.IntN(7000)) * time.Millisecond
		j := gangJob(fmt.Sprintf("bulk%03d", i), 1+i%2, 2+random.IntN(7), 1<<random.IntN(4), estimate(actual))
		j.Steps[0].Checkpoints = j.Priority == 2
		list = append(list, submission{submitAt: at, job: j, runTime: actual})
	}
	return list
}

func urgentSubmission(random *rand.Rand, id string, at time.Duration) submission {
	actual := time.Duration(1000+random.IntN(3000)) * time.Millisecond
	j := gangJob(id, 0, 1+random.IntN(3), 1<<random.IntN(3), actual)
	j.Stretch, j.Target = 1.5, 250*time.Millisecond
	return submission{submitAt: at, job: j, runTime: actual}
}
