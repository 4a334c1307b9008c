package entry

import (
	"fmt"
	"maps"
	"sort"

	"github.com/jujubegrade/jujubegrade/internal/process/placement"
	"github.com/jujubegrade/jujubegrade/internal/version/config"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
	"github.com/jujubegrade/jujubegrade/pkg/operator"
)

// checkFeasibility describes the guarantees of a configuration that don't fit the matching instances, even if all of those are
// free, and the effects of the requested evacuations. An evacuation makes no guarantee infeasible: it is expected to be withdrawn.
func (e *Entry) checkFeasibility(c *config.Config) (infeasible, effects []string) {
	usual := *c
	usual.DataCentres = maps.Clone(c.DataCentres)
	evacuated := 0
	for id, planned := range c.DataCentres {
		nodes, known := e.directory.nodes(id, c)
		if planned.Evacuate {
			evacuated++
			effects = append(effects, evacuationEffects(c, id, nodes, known)...)
			planned.Evacuate = false
			usual.DataCentres[id] = planned
		}
		if !known || len(nodes) == 0 {
			continue
		}
		infeasible = append(infeasible, infeasibleGuarantees(&usual, id, nodes)...)
	}
	sort.Strings(infeasible)
	sort.Strings(effects)
	if evacuated > 0 && evacuated == len(c.DataCentres) {
		effects = append(effects, "all data centres are evacuated, so that no job is started")
	}
	return infeasible, effects
}

func infeasibleGuarantees(c *config.Config, id ids.DataCentreID, nodes []placement.Node) []string {
	state := &placement.State{DataCentre: id, OnViolation: func(error) {}}
	state.SetNodes(nodes)
	state.Configure(c)
	var problems []string
	for _, g := range state.Report().Guarantees {
		if !g.Held {
			problems = append(problems, infeasibleMessage(g))
		}
	}
	return problems
}

func infeasibleMessage(g operator.GuaranteeStatus) string {
	return fmt.Sprintf("Guarantee %q: shape %d of %s does not fit the instances of %s that account %s may use, in addition to the other guarantees: %s",
		g.Guarantee, g.Number+1, g.Shape, g.DataCentre, g.Account, g.Missing)
}

// evacuationEffects describes what the evacuation of a data centre takes from new work.
func evacuationEffects(c *config.Config, id ids.DataCentreID, nodes []placement.Node, known bool) []string {
	if !known {
		return []string{fmt.Sprintf("DataCentre %q: evacuated; its workers are not known yet, since the instance list has not been read", id)}
	}
	if len(nodes) == 0 {
		return []string{fmt.Sprintf("DataCentre %q: evacuated, but no worker names it", id)}
	}
	accelerators := ids.Accelerators(0)
	for _, n := range nodes {
		accelerators += n.Total.Accelerators
	}
	effects := []string{fmt.Sprintf("DataCentre %q: evacuated; its %d workers with %d accelerators get no new work", id, len(nodes), accelerators)}
	for _, g := range c.Guarantees {
		if g.DataCentre == id {
			effects = append(effects, fmt.Sprintf("Guarantee %q: %d times %s for account %s are not available while %s is evacuated", g.Name, g.Count, g.Shape, g.Account, id))
		}
	}
	return effects
}
