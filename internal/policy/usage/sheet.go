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

// sheet is what one author has stated. Changes are numbered, so that only those that a peer
// does not have are sent.
type sheet struct {
	// version is the number of the last change. complete is the number up to which all changes
	// were received; an author's own sheet does not use it.
	version, complete int64
	pages             map[Window]*page
}

// page is one window of a sheet.
type page struct {
	vms, open int
	// version is the number of the page's last change.
	version int64
	cells   map[string]cell
}

// cell is a count, and the number of the change that set it.
type cell struct{ count, version int64 }

// page returns the page of a window, which it creates if there is none.
func (s *sheet) page(window Window) *page {
	if s.pages == nil {
		s.pages = map[Window]*page{}
	}
	if s.pages[window] == nil {
		s.pages[window] = &page{cells: map[string]cell{}}
	}
	return s.pages[window]
}

// set replaces the sum of a window. It does nothing if nothing has changed.
func (s *sheet) set(window Window, sum *Sum) {
	next := s.version + 1
	p := s.page(window)
	hasChanged := p.vms != sum.VMs || p.open != sum.Open
	for workspace, known := range p.cells {
		if _, found := sum.Counts[workspace]; !found && known.count != 0 {
			p.cells[workspace], hasChanged = cell{0, next}, true
		}
	}
	for workspace, count := range sum.Counts {
		if p.cells[workspace].count != count {
			p.cells[workspace], hasChanged = cell{count, next}, true
		}
	}
	if hasChanged {
		p.vms, p.open, p.version, s.version = sum.VMs, sum.Open, next, next
	}
}

// sum returns the sum of a window; found is false if the author has not stated the window.
func (s *sheet) sum(window Window) (sum Sum, found bool) {
	p := s.pages[window]
	if p == nil {
		return Sum{}, false
	}
	counts := make(Counts, len(p.cells))
	for workspace, known := range p.cells {
		if known.count != 0 {
			counts[workspace] = known.count
		}
	}
	return Sum{VMs: p.vms, Open: p.open, Counts: counts}, true
}

// since returns what has changed after a version in the windows from first on.
func (s *sheet) since(version int64, first Window) (changes []WindowStatement) {
	for window, p := range s.pages {
		if window < first || p.version <= version {
			continue
		}
		change := WindowStatement{Window: window, VMs: p.vms, Open: p.open, Counts: Counts{}}
		for workspace, known := range p.cells {
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
func (s *sheet) merge(base, version int64, changes []WindowStatement) {
	if base <= s.complete {
		s.complete = max(s.complete, version)
	}
	for i := range changes {
		p := s.page(changes[i].Window)
		for workspace, count := range changes[i].Counts {
			if p.cells[workspace].version < version {
				p.cells[workspace] = cell{count, version}
			}
		}
		if p.version < version {
			p.vms, p.open, p.version = changes[i].VMs, changes[i].Open, version
		}
	}
	s.version = max(s.version, version)
}

// forget removes the windows before first.
func (s *sheet) forget(first Window) {
	maps.DeleteFunc(s.pages, func(window Window, _ *page) bool { return window < first })
}
