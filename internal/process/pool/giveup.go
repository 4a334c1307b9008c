package pool

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// crashCount returns the largest number of crashes under any one of the unit's tasks.
func (u *unit) crashCount() int {
	return mostOfOneTask(u.crashes.list, Crash.counts)
}

// crashesInRow returns the largest number of crashes that were seen under any one of the unit's tasks since a run outlived its trial.
func (u *unit) crashesInRow() int {
	return mostOfOneTask(u.crashes.list[u.crashes.survived:], func(c Crash) bool { return c.counts() && !c.Unseen })
}

// counts reports whether a crash is evidence against the unit. A worker that did not confirm the start had probably crashed before if others crashed since it was
// last heard of.
func (c Crash) counts() bool { return !c.Unconfirmed || !c.Coincident && !c.awaitsJudgement() }

func (c Crash) awaitsJudgement() bool { return !c.at.IsZero() && !c.judged }

// crashesTooOften reports whether so many workers have crashed under the unit that it is the cause.
func (u *unit) crashesTooOften() bool {
	row := u.crashes.list[u.crashes.survived:]
	prompt := mostOfOneTask(row, Crash.isPrompt)
	conclusive := mostOfOneTask(row, func(c Crash) bool { return c.Conclusive })
	promptAndConclusive := mostOfOneTask(row, func(c Crash) bool { return c.Conclusive && c.isPrompt() })
	forgotten := 0
	if u.job.recovered {
		forgotten = forgottenCrashes
	}
	return prompt >= maxPromptCrashes ||
		u.crashesInRow() >= minCrashes && (promptAndConclusive >= promptConclusive || conclusive >= lateConclusive) ||
		u.crashesInRow() >= maxCrashes-forgotten && mostOfOneTask(row, Crash.isLikelyCaused) >= minCrashes ||
		mostOfOneTask(u.crashes.list, Crash.isYoung) >= maxCrashes-forgotten && u.seenCrashes() > 0
}

// mustStoreStart reports whether the unit's crashes and its next start must be stored before that start is ordered. A run that was older when its worker fell silent
// has probably not crashed it, and is replaced while the store is out.
func (u *unit) mustStoreStart() bool {
	row := u.crashes.list[u.crashes.survived:]
	return u.isTriedToItsEnd() || len(row) > 1 || len(row) == 1 && (!row[0].Unseen || row[0].Age <= youngRun)
}

// seenCrashes returns the largest number of crashes that were seen under any one of the unit's tasks.
func (u *unit) seenCrashes() int {
	return mostOfOneTask(u.crashes.list, func(c Crash) bool { return c.counts() && !c.Unseen })
}

// isYoung reports whether a crash hit a run that had just been started, as far as is known.
func (c Crash) isYoung() bool { return c.counts() && (c.Unseen || c.Age <= youngRun) }

// isLikelyCaused reports whether a crash hit a young run or one that was tried alone, while no other worker crashed without a cause.
func (c Crash) isLikelyCaused() bool {
	return !c.Coincident && !c.awaitsJudgement() && (c.isYoung() || c.Trial && c.counts())
}

func (c Crash) isPrompt() bool { return c.counts() && !c.Unseen && c.Age <= promptCrash }

// mostOfOneTask returns the largest number of matching crashes under one task: a gang's members are on different workers.
func mostOfOneTask(list []Crash, matches func(Crash) bool) int {
	most, byTask := 0, make(map[int]int)
	for _, c := range list {
		if !matches(c) {
			continue
		}
		for _, task := range c.Tasks {
			byTask[task]++
			most = max(most, byTask[task])
		}
	}
	return most
}

// judgeCrashes judges the latest crashes, finally once all that happened at the same time must be known, and gives up the jobs of units that crash whatever
// starts them.
func (s *State) judgeCrashes(now time.Time) {
	if len(s.undecided) == 0 {
		return
	}
	unexplained := slices.DeleteFunc(slices.Clone(s.crashes), poolCrash.isExplained)
	s.undecided = slices.DeleteFunc(s.undecided, func(u *unit) bool {
		if u.job.ended() || u.phase == done {
			return true
		}
		decided := true
		for i := range u.crashes.list {
			c := &u.crashes.list[i]
			if c.at.IsZero() {
				continue
			}
			verdictAt := c.at.Add(coincidence)
			s.judge(u, c, unexplained, !now.Before(verdictAt))
			if now.Before(verdictAt) {
				s.retryBy(verdictAt)
				decided = false
			}
		}
		if decided {
			s.requestPass()
			s.giveUpIfCrashing(u, now)
		}
		return decided
	})
}

// judge decides whether a crash under a unit coincided with another one, and finally whether it is conclusive. It is called again after further crashes, since a
// run that explained a crash may have proved to be sound meanwhile.
func (s *State) judge(u *unit, c *Crash, unexplained []poolCrash, final bool) {
	coincident, recent := false, false
	for _, other := range unexplained {
		before := c.at.Sub(other.at)
		if before < -coincidence || slices.Contains(other.units, u) {
			continue
		}
		recent = recent || before <= crashRecency
		if coincident = before <= coincidence || c.Unconfirmed && !other.at.Before(c.aliveAt.Add(-coincidence)); coincident {
			break
		}
	}
	conclusive := final && c.alone && !recent
	if coincident != c.Coincident || conclusive != c.Conclusive {
		c.Coincident, c.Conclusive = coincident, conclusive
		s.markDirty(u.job)
	}
	c.judged = c.judged || final
}

// isExplained reports whether a unit that had just been started on the worker may have crashed it, as far as is known.
func (c poolCrash) isExplained() bool {
	return slices.ContainsFunc(c.suspects, func(u *unit) bool { return u.isSuspected() || u.job.State == Failed })
}

// awaitsVerdict reports whether a unit must not be started yet: its last crash is not stored, or may be the last one before it is given up.
func (u *unit) awaitsVerdict() bool {
	if len(u.crashes.list) == 0 {
		return false
	}
	if u.job.crashVersion > u.job.storedVersion {
		return true
	}
	row := u.crashes.list[u.crashes.survived:]
	return slices.ContainsFunc(row, Crash.awaitsJudgement) &&
		mostOfOneTask(row, func(c Crash) bool { return !c.Unseen && (c.counts() || c.awaitsJudgement()) }) >= minCrashes
}

// giveUpIfCrashing fails the job of a unit under which too many workers have crashed.
func (s *State) giveUpIfCrashing(u *unit, now time.Time) {
	if u.job.ended() || !u.crashesTooOften() {
		return
	}
	var workers []string
	for _, c := range u.crashes.list {
		workers = append(workers, c.String())
	}
	cause := fmt.Sprintf("workers crash under it: %d in a row, %d in all: %s", u.crashesInRow(), u.crashCount(), strings.Join(workers, " "))
	s.notice(Notice{Kind: "GivenUp", Job: u.job.ID, Step: u.step, Task: u.first, Tasks: u.count, Number: u.number, Cause: cause, After: u.job.age(now)})
	s.end(u.job, Failed, cause, now)
}
