package roster

import (
	"sort"

	"baobabladder.example/baobabladder/internal/world/vm"
)

// Members returns all registered or known VMs, this one included, sorted by name. VMs
// known only through reports have a State without counts, demand and evidence. VMs
// that are registered but not known have a State with only their name and VM.
func (r *Roster) Members() []Member {
	self := r.currentState()
	r.mu.Lock()
	defer r.mu.Unlock()
	members := []Member{{State: self, Reachable: true, Known: true}}
	known := r.currentView(&self).vms
	for name, status := range known {
		state := r.peerStates[name].state
		if state.ID.Name == "" {
			listed, isListed := r.registered[name]
			if !isListed {
				continue
			}
			state.VM = listed
		}
		state.ID, state.Ready, state.Stopping = status.ID, status.Ready, status.Stopping
		state.Contact, state.CutOff = status.Contact, status.CutOff
		members = append(members, Member{State: state, Reachable: status.Heard, Known: true})
	}
	for name, listed := range r.registered {
		if _, found := known[name]; !found && name != r.Self.Name {
			members = append(members, Member{State: State{ID: vm.ID{Name: name}, VM: listed}})
		}
	}
	sort.Slice(members, func(i, j int) bool { return members[i].ID.Name < members[j].ID.Name })
	return members
}

// Running returns the number of requests that other VMs have in flight on each
// endpoint: all other VMs in a full mesh, the other VMs of the region in a larger
// fleet. It returns nil if the last counts from a relay are too old.
func (r *Roster) Running() map[string]int {
	self := r.currentState()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.usesRelays() && !r.isRelay(r.Self.Name, &self) {
		if r.Clock.Now()-r.regionRunningAt > r.lostAfter() {
			return nil
		}
		return r.regionRunning
	}
	running := map[string]int{}
	now := r.Clock.Now()
	for _, peer := range r.peerStates {
		if now-peer.receivedAt > r.lostAfter() {
			continue
		}
		for id, count := range peer.state.Running {
			running[id] += count
		}
	}
	return running
}
