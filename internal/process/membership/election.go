package membership

import (
	"sort"
	"time"

	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

type (
	// Election decides whether this instance should own one data centre. All exported fields are required.
	Election struct {
		Membership *Membership
		DataCentre ids.DataCentreID
		// Owns reports whether this instance owns the data centre now.
		Owns func() bool
		// Lease is the TTL of the ownership lease.
		Lease time.Duration

		ownerlessSince time.Time
	}

	// Owner is the known owner of a data centre.
	Owner struct {
		Instance ids.InstanceID
		Epoch    ids.Epoch
		// Caller makes calls to the owner; it is nil if this instance is the owner.
		Caller Caller
	}
)

// stableAfter is how long a preferred instance must have been live before ownership moves to it.
const stableAfter = 15 * time.Second

// ShouldOwn reports whether this instance should own the data centre: if it ranks first, or if it is the owner and the
// first-ranked instance is not yet stable. While there is no owner, the other instances take over after a delay that
// grows with their rank.
func (o *Election) ShouldOwn() bool {
	self := o.Membership.NewHeartbeat()
	if self.Leaving || !o.Membership.Converged() {
		return false
	}
	ranked := o.candidates()
	owns := o.Owns()
	_, found := o.Membership.OwnerOf(o.DataCentre)
	if owns || found {
		o.ownerlessSince = time.Time{}
	}
	switch {
	case len(ranked) > 0 && ranked[0] == self.Instance:
		return true
	case owns:
		return !o.stable(ranked[0])
	case found:
		return false
	}
	if o.ownerlessSince.IsZero() {
		o.ownerlessSince = time.Now()
	}
	for i, id := range ranked {
		if id == self.Instance {
			return time.Since(o.ownerlessSince) > time.Duration(i+1)*o.Lease
		}
	}
	return false
}

// candidates returns the serving instances in rank order, with those located in the data centre before all others.
func (o *Election) candidates() []ids.InstanceID {
	local := make(map[ids.InstanceID]bool)
	if self := o.Membership.NewHeartbeat(); self.DataCentre == o.DataCentre {
		local[self.Instance] = true
	}
	for _, member := range o.Membership.Live() {
		if member.DataCentre == o.DataCentre {
			local[member.Instance] = true
		}
	}
	ranked := Rank(string(o.DataCentre), o.Membership.Serving())
	sort.SliceStable(ranked, func(i, j int) bool { return local[ranked[i]] && !local[ranked[j]] })
	return ranked
}

func (o *Election) stable(id ids.InstanceID) bool {
	for _, member := range o.Membership.Live() {
		if member.Instance == id {
			return time.Since(member.LiveSince) > stableAfter
		}
	}
	return false
}

// OwnerOf returns the live instance with the newest epoch of a data centre.
func (m *Membership) OwnerOf(id ids.DataCentreID) (Owner, bool) {
	var newest Owner
	found := false
	consider := func(instance ids.InstanceID, c Caller, epoch ids.Epoch) {
		if !found || epoch > newest.Epoch {
			newest, found = Owner{Instance: instance, Epoch: epoch, Caller: c}, true
		}
	}
	self := m.NewHeartbeat()
	for _, owned := range self.Owned {
		if owned.DataCentre == id {
			consider(self.Instance, nil, owned.Epoch)
		}
	}
	for _, member := range m.Live() {
		for _, owned := range member.Owned {
			if owned.DataCentre == id && member.Caller != nil {
				consider(member.Instance, member.Caller, owned.Epoch)
			}
		}
	}
	return newest, found
}
