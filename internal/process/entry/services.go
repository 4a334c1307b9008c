package entry

import (
	"fmt"
	"sort"

	"github.com/jujubegrade/jujubegrade/internal/process/placement"
	"github.com/jujubegrade/jujubegrade/internal/request/service"
	"github.com/jujubegrade/jujubegrade/internal/version/config"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
	"github.com/jujubegrade/jujubegrade/pkg/operator"
)

func (e *Entry) currentConfig() *config.Config {
	if c := e.config.Current(); c != nil {
		return c.Config
	}
	return nil
}

// updateRunners passes the listed runners to their services, and adds services when they are first listed.
func (e *Entry) updateRunners() {
	e.servicesLock.Lock()
	defer e.servicesLock.Unlock()
	next := make(map[ids.ServiceID]*service.Service)
	if known := e.services.Load(); known != nil {
		for id, s := range *known {
			next[id] = s
		}
	}
	found := e.directory.runners(e.currentConfig())
	instances := max(1, len(e.members.Serving()))
	for id, list := range found {
		if next[id] == nil {
			next[id] = &service.Service{ID: id}
		}
		next[id].SetRunners(list, instances)
	}
	for id, s := range next {
		if _, listed := found[id]; !listed {
			s.SetRunners(nil, instances)
		}
	}
	e.services.Store(&next)
}

func (e *Entry) service(id ids.ServiceID) *service.Service {
	if known := e.services.Load(); known != nil {
		return (*known)[id]
	}
	return nil
}

// infeasibleGuarantees describes the guarantees of a configuration that don't fit the matching instances, even if all of
// those are free.
func (e *Entry) infeasibleGuarantees(c *config.Config) []string {
	var problems []string
	for id := range c.DataCentres {
		nodes, known := e.directory.nodes(id, c)
		if !known || len(nodes) == 0 {
			continue
		}
		state := &placement.State{DataCentre: id, OnViolation: func(error) {}}
		state.SetNodes(nodes)
		state.Configure(c)
		for _, g := range state.Report().Guarantees {
			if !g.Held {
				problems = append(problems, infeasibleMessage(g))
			}
		}
	}
	sort.Strings(problems)
	return problems
}

func infeasibleMessage(g operator.GuaranteeStatus) string {
	return fmt.Sprintf("Guarantee %q: shape %d of %s does not fit the instances of %s that account %s may use, in addition to the other guarantees: %s",
		g.Guarantee, g.Number+1, g.Shape, g.DataCentre, g.Account, g.Missing)
}
