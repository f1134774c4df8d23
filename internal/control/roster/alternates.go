package roster

import (
	"math/rand/v2"

	"baobabladder.example/baobabladder/internal/world/vm"
)

// Alternates holds the VMs that take requests which this VM forwards. It is immutable. The
// zero value holds none.
type Alternates struct {
	// groups holds the VMs of this VM's data centre, those of its region, and the others.
	groups [3][]vm.VM
}

// NewAlternates returns the alternates of a VM among the members.
func NewAlternates(members []Member, self vm.VM) *Alternates {
	h := &Alternates{}
	for i := range members {
		member := &members[i]
		if member.ID.Name == self.Name || member.VM.ForwardAddress == "" || !member.IsServing() {
			continue
		}
		distance := 2
		switch {
		case member.VM.DataCentre == self.DataCentre:
			distance = 0
		case member.VM.Region == self.Region:
			distance = 1
		}
		h.groups[distance] = append(h.groups[distance], member.VM)
	}
	return h
}

// Pick returns up to count alternates in regions that isAllowed, nearest first. Of VMs at the
// same distance it begins with a random one.
func (h *Alternates) Pick(count int, isAllowed func(region string) bool) (picked []vm.VM) {
	for _, group := range h.groups {
		if len(group) == 0 {
			continue
		}
		first := rand.IntN(len(group))
		for i := range group {
			alternate := group[(first+i)%len(group)]
			if len(picked) == count {
				return picked
			}
			if isAllowed(alternate.Region) {
				picked = append(picked, alternate)
			}
		}
	}
	return picked
}
