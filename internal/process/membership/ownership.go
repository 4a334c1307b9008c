package membership

import (
	"sort"
	"time"

	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

type (
	// Ownership decides whether this instance should own one data centre. Its zero value has no history.
	Ownership struct {
		Membership *Membership
		DataCentre ids.DataCentreID
		// Owns reports whether this instance owns the data centre now.
		Owns func() bool
		// Lease is how long an ownership lasts without renewal.
		Lease time.Duration

		ownerless time.Time
	}

	// Owner is the instance that owns a data centre, as far as it is known.
	Owner struct {
		Instance ids.InstanceID
		Epoch    ids.Epoch
		// Caller makes calls to the owner; nil for this instance.
		Caller Caller
	}
)

// stableFor is how long a preferred instance must have been live before the ownership moves to it.
const stableFor = 15 * time.Second

// Wanted reports whether this instance should own the data centre: it does if it ranks first, keeps what it owns
// until the first one is stable, and steps in, later with each rank, while nobody owns the data centre.
func (o *Ownership) Wanted() bool {
	self := o.Membership.Beat()
	if self.Leaving || !o.Membership.Settled() {
		return false
	}
	ranked := o.candidates()
	if len(ranked) > 0 && ranked[0] == self.Instance {
		return true
	}
	if o.Owns() {
		return !o.stable(ranked[0])
	}
	if _, found := o.Membership.OwnerOf(o.DataCentre); found {
		o.ownerless = time.Time{}
		return false
	}
	if o.ownerless.IsZero() {
		o.ownerless = time.Now()
	}
	for i, id := range ranked {
		if id == self.Instance {
			return time.Since(o.ownerless) > time.Duration(i+1)*o.Lease
		}
	}
	return false
}

// candidates returns the serving instances in rank order, those of the data centre itself before all others.
func (o *Ownership) candidates() []ids.InstanceID {
	local := make(map[ids.InstanceID]bool)
	if self := o.Membership.Beat(); self.DataCentre == o.DataCentre {
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

func (o *Ownership) stable(id ids.InstanceID) bool {
	for _, member := range o.Membership.Live() {
		if member.Instance == id {
			return time.Since(member.Since) > stableFor
		}
	}
	return false
}

// OwnerOf returns the live instance with the newest epoch of a data centre.
func (m *Membership) OwnerOf(id ids.DataCentreID) (Owner, bool) {
	var newest Owner
	found := false
	see := func(instance ids.InstanceID, c Caller, epoch ids.Epoch) {
		if !found || epoch > newest.Epoch {
			newest, found = Owner{Instance: instance, Epoch: epoch, Caller: c}, true
		}
	}
	self := m.Beat()
	for _, owned := range self.Owned {
		if owned.DataCentre == id {
			see(self.Instance, nil, owned.Epoch)
		}
	}
	for _, member := range m.Live() {
		for _, owned := range member.Owned {
			if owned.DataCentre == id && member.Caller != nil {
				see(member.Instance, member.Caller, owned.Epoch)
			}
		}
	}
	return newest, found
}
