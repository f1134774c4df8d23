package move

import "baobabladder.example/baobabladder/internal/base/clock"

// serviceMove is the state of one service's move on this VM. The mu of its Guard guards
// it.
type serviceMove struct {
	// state is nil until the stored state of the move is known.
	state *State
	// suspension is the first suspension in the attempt, or nil.
	suspension *Suspension
	// shiftCap is the service's shift cap in thousandths per second.
	shiftCap int64
	// share is the new version's share at shareUpdatedAt, in thousandths. It
	// rises to the share in state at no more than shiftCap. During a rollback it
	// falls at that rate, and FullShare minus share is the part of the traffic
	// that the old version may get.
	share          int64
	shareUpdatedAt clock.Millis
	routes         map[string]*routeState
	peers          map[string]peerEvidence
}

// isOutdated reports whether the guard must ignore a stored state: that of an
// older attempt, or one that would resume an attempt that has ended.
func (m *serviceMove) isOutdated(state *State) bool {
	if m.state == nil {
		return false
	}
	if state.Attempt != m.state.Attempt {
		return state.Attempt < m.state.Attempt
	}
	switch m.state.Stage {
	case RolledBack:
		return state.Stage != RolledBack
	case Done:
		return !state.IsFinal()
	default:
		return false
	}
}

// startAttempt starts an attempt. If the VM starts during a move, it begins with
// the current share of the move, because the other VMs send that share already.
func (m *serviceMove) startAttempt(state *State, now clock.Millis) {
	switch {
	case m.state == nil || m.state.isReversed(state.From, state.To) && m.isStopped():
		m.share = int64(state.Share)
	case m.state.isReversed(state.From, state.To) && m.state.Stage != Done:
		m.share = FullShare - m.share
	default:
		m.share = 0
	}
	m.shareUpdatedAt = now
	m.state = state
	m.routes = map[string]*routeState{}
	m.peers = map[string]peerEvidence{}
	if m.suspension != nil && m.suspension.Attempt != state.Attempt {
		m.suspension = nil
	}
}

// clearStage starts the counts of a new stage.
func (m *serviceMove) clearStage() {
	for _, route := range m.routes {
		route.stage.Clear()
	}
}

// targetShare returns the share that the new version may reach, in thousandths.
func (m *serviceMove) targetShare() int64 {
	if m.state == nil || m.isStopped() {
		return 0
	}
	return int64(m.state.Share)
}

// isStopped reports whether the new version may get no requests because of a fault.
func (m *serviceMove) isStopped() bool {
	return m.state.Stage == RolledBack || m.suspension != nil && m.suspension.Attempt >= m.state.Attempt
}

// updateShare moves share towards the target at no more than shiftCap.
func (m *serviceMove) updateShare(now clock.Millis) {
	target := m.targetShare()
	if m.shiftCap == 0 || m.shiftCap >= FullShare || m.share == target {
		m.share = target
		m.shareUpdatedAt = now
		return
	}
	maxChange := m.shiftCap * int64(now-m.shareUpdatedAt) / int64(clock.Second)
	// Advance only by the time to which maxChange corresponds, so that the fraction
	// that was rounded off counts later.
	m.shareUpdatedAt += clock.Millis(maxChange) * clock.Second / clock.Millis(m.shiftCap)
	if m.share < target {
		m.share = min(m.share+maxChange, target)
	} else {
		m.share = max(m.share-maxChange, target)
	}
}

// choose returns which versions of the move may run the next request on a route. The
// share must be up to date.
func (m *serviceMove) choose(prefix string) Choice {
	choice := Choice{To: m.state.To, From: m.state.From, attempt: m.state.Attempt}
	r := m.route(prefix)
	switch {
	case m.isStopped():
		choice.IsRefused = !r.takeOldCredit(m.share)
	case m.state.Stage == Done && m.share >= FullShare:
		choice.IsNew, choice.IsNewOnly = true, true
	default:
		choice.IsNew = r.takeNewCredit(m.share, m.state.Stage)
		choice.isCounted = choice.IsNew
	}
	return choice
}

// choiceWithoutMove returns the choice if the document contains no move. A version
// whose move was cancelled or rolled back gets no requests until a document names
// it again.
func (m *serviceMove) choiceWithoutMove() Choice {
	if m == nil || m.state == nil || m.state.Stage == Done {
		return Choice{}
	}
	return Choice{To: m.state.To}
}

// route returns the state of a route, creating it on first use.
func (m *serviceMove) route(prefix string) *routeState {
	r := m.routes[prefix]
	if r == nil {
		r = &routeState{
			minute:     countsWindow{Span: clock.Minute / windowSpans, Count: windowSpans},
			tenMinutes: countsWindow{Span: 10 * clock.Minute / windowSpans, Count: windowSpans},
		}
		m.routes[prefix] = r
	}
	return r
}
