package roster

import (
	"sort"

	"baobabladder.example/baobabladder/internal/world/vm"
)

// Members returns all VMs, this one included, sorted by name. Those that only
// relays told of come without what they do.
func (r *Roster) Members() []Member {
	self := r.self()
	r.mu.Lock()
	defer r.mu.Unlock()
	members := []Member{{State: self, Reachable: true, Known: true}}
	known := r.view(&self).vms
	for name, brief := range known {
		state := r.heard[name].state
		if state.ID.Name == "" {
			listed, isListed := r.listed[name]
			if !isListed {
				continue
			}
			state.VM = listed
		}
		state.ID, state.Ready, state.Stopping, state.Contact = brief.ID, brief.Ready, brief.Stopping, brief.Contact
		members = append(members, Member{State: state, Reachable: brief.Heard, Known: true})
	}
	for name, listed := range r.listed {
		if _, found := known[name]; !found && name != r.Self.Name {
			members = append(members, Member{State: State{ID: vm.ID{Name: name}, VM: listed}})
		}
	}
	sort.Slice(members, func(i, j int) bool { return members[i].ID.Name < members[j].ID.Name })
	return members
}

// Running returns how many requests of other VMs run on each endpoint: of all VMs in
// a small fleet, of those of the region in a large one.
func (r *Roster) Running() map[string]int {
	self := r.self()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isLarge() && !r.isRelay(r.Self.Name, &self) {
		if r.Clock.Now()-r.regionRunningAt > r.lostAfter() {
			return nil
		}
		return r.regionRunning
	}
	running := map[string]int{}
	now := r.Clock.Now()
	for _, h := range r.heard {
		if now-h.at > r.lostAfter() {
			continue
		}
		for id, count := range h.state.Running {
			running[id] += count
		}
	}
	return running
}
