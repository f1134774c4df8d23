package usage

import "maps"

// Sum is the counts of one window over some VMs.
type Sum struct {
	// VMs is the number of VMs whose counts are included, Open the number of those that
	// may still change theirs.
	VMs, Open int
	Counts    Counts
}

// isFuller reports whether s is to be used rather than other, which is about the same VMs: it
// has more VMs that have ended their counts, or more requests, or awaits fewer VMs.
func (s *Sum) isFuller(other *Sum) bool {
	if final, others := s.VMs-s.Open, other.VMs-other.Open; final != others {
		return final > others
	}
	if total, others := s.Counts.total(), other.Counts.total(); total != others {
		return total > others
	}
	return s.Open < other.Open
}

// authorCounts holds the counts that one author has stated. Changes are numbered, so that
// only those that a peer does not have are sent.
type authorCounts struct {
	// version is the number of the last change. complete is the number up to which all changes
	// were received; it is not used for this VM's own counts.
	version, complete int64
	windows           map[Window]*windowCounts
}

// windowCounts holds what an author has stated about one window.
type windowCounts struct {
	vms, open int
	// version is the number of the window's last change.
	version int64
	counts  map[string]versionedCount
}

// versionedCount is a count and the number of the change that set it.
type versionedCount struct{ count, version int64 }

// window returns the counts of a window, which it creates if there are none.
func (a *authorCounts) window(window Window) *windowCounts {
	if a.windows == nil {
		a.windows = map[Window]*windowCounts{}
	}
	if a.windows[window] == nil {
		a.windows[window] = &windowCounts{counts: map[string]versionedCount{}}
	}
	return a.windows[window]
}

// set replaces the sum of a window. It does nothing if nothing has changed.
func (a *authorCounts) set(window Window, sum *Sum) {
	next := a.version + 1
	w := a.window(window)
	hasChanged := w.vms != sum.VMs || w.open != sum.Open
	for workspace, known := range w.counts {
		if _, found := sum.Counts[workspace]; !found && known.count != 0 {
			w.counts[workspace], hasChanged = versionedCount{0, next}, true
		}
	}
	for workspace, count := range sum.Counts {
		if w.counts[workspace].count != count {
			w.counts[workspace], hasChanged = versionedCount{count, next}, true
		}
	}
	if hasChanged {
		w.vms, w.open, w.version, a.version = sum.VMs, sum.Open, next, next
	}
}

// sum returns the sum of a window; found is false if the author has not stated the window.
func (a *authorCounts) sum(window Window) (sum Sum, found bool) {
	w := a.windows[window]
	if w == nil {
		return Sum{}, false
	}
	counts := make(Counts, len(w.counts))
	for workspace, known := range w.counts {
		if known.count != 0 {
			counts[workspace] = known.count
		}
	}
	return Sum{VMs: w.vms, Open: w.open, Counts: counts}, true
}

// since returns what has changed after a version in the windows from first on.
func (a *authorCounts) since(version int64, first Window) (changes []WindowStatement) {
	for window, w := range a.windows {
		if window < first || w.version <= version {
			continue
		}
		change := WindowStatement{Window: window, VMs: w.vms, Open: w.open, Counts: Counts{}}
		for workspace, known := range w.counts {
			if known.version > version {
				change.Counts[workspace] = known.count
			}
		}
		changes = append(changes, change)
	}
	return changes
}

// merge applies the changes after base up to version. An older statement that comes late
// changes nothing that a newer one has set.
func (a *authorCounts) merge(base, version int64, changes []WindowStatement) {
	if base <= a.complete {
		a.complete = max(a.complete, version)
	}
	for i := range changes {
		w := a.window(changes[i].Window)
		for workspace, count := range changes[i].Counts {
			if w.counts[workspace].version < version {
				w.counts[workspace] = versionedCount{count, version}
			}
		}
		if w.version < version {
			w.vms, w.open, w.version = changes[i].VMs, changes[i].Open, version
		}
	}
	a.version = max(a.version, version)
}

// forget removes the windows before first.
func (a *authorCounts) forget(first Window) {
	maps.DeleteFunc(a.windows, func(window Window, _ *windowCounts) bool { return window < first })
}
