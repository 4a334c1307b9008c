package jobtime

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

type (
	// Group is the jobs of one priority that ended in time or late.
	Group struct {
		Priority int
		Late     bool
		Jobs     int
		// MeanAge is the mean of the ages, and Parts the mean time spent by cause, the largest first.
		MeanAge time.Duration
		Parts   []Part
	}

	// Part is the mean time that the jobs of a group spent on a cause, and the number of jobs that spent any.
	Part struct {
		Cause Cause
		Mean  time.Duration
		Jobs  int
	}
)

// Summarize groups accounts by priority and lateness.
func Summarize(accounts []Account) []Group {
	type key struct {
		priority int
		late     bool
	}
	groups := make(map[key][]Account)
	for _, a := range accounts {
		k := key{a.Priority, a.Late}
		groups[k] = append(groups[k], a)
	}
	var list []Group
	for k, members := range groups {
		g := Group{Priority: k.priority, Late: k.late, Jobs: len(members)}
		parts := make(map[Cause]*Part)
		for _, a := range members {
			g.MeanAge += a.Age
			for cause, d := range a.Spent {
				if parts[cause] == nil {
					parts[cause] = &Part{Cause: cause}
				}
				parts[cause].Mean += d
				parts[cause].Jobs++
			}
		}
		g.MeanAge /= time.Duration(g.Jobs)
		for _, p := range slices.Collect(maps.Values(parts)) {
			p.Mean /= time.Duration(g.Jobs)
			g.Parts = append(g.Parts, *p)
		}
		slices.SortFunc(g.Parts, func(a, b Part) int { return cmp.Or(cmp.Compare(b.Mean, a.Mean), cmp.Compare(a.Cause, b.Cause)) })
		list = append(list, g)
	}
	slices.SortFunc(list, func(a, b Group) int {
		if a.Priority != b.Priority {
			return cmp.Compare(a.Priority, b.Priority)
		}
		if a.Late {
			return -1
		}
		return 1
	})
	return list
}
