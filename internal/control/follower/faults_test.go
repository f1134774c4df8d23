package follower_test

import (
	"context"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/wire/store"
	"baobabladder.example/baobabladder/internal/world/key"
)

// maxWithdrawalDelay is the time after which a withdrawal must be in force at every
// VM that serves requests with keys.
const maxWithdrawalDelay = 5 * clock.Second

type faultModel struct {
	*fleet
	keys []key.Key
	// onlyInStoreAt holds, by key, the last time at which no VM knew of the key's
	// withdrawal and no VM reached the store.
	onlyInStoreAt map[string]clock.Millis
}

// isOnlyInUnreachableStore reports whether no VM knows of a key's withdrawal and no
// VM reaches the store: the VM that accepted the withdrawal failed before it reached
// any other. The design note explains why such a key is accepted until a VM reaches
// the store again; the command line reports it to operators by exit code 5.
func (m *faultModel) isOnlyInUnreachableStore(k key.Key) bool {
	for _, r := range m.runs {
		if r.reachesStore() || r.replica.Snapshot().Keys[k.Digest].Withdrawn {
			return false
		}
	}
	return true
}

// checkStart fails if a run that has just become ready serves an older revision than
// its VM's last run, although a peer that it reaches has a newer one.
func (m *faultModel) checkStart(t *rapid.T, r *run) {
	ready, _ := r.follower.Ready()
	if !ready || r.wasReady {
		return
	}
	r.wasReady = true
	highest := int64(0)
	for name, other := range m.runs {
		if other != r && !m.cut[pair(r.name, name)] {
			highest = max(highest, other.revisionInForce())
		}
	}
	if want := min(m.lastRevision[r.name], highest); r.revisionInForce() < want {
		t.Fatalf("%s serves revision %d after a restart, want at least %d, which its peers have", r.name, r.revisionInForce(), want)
	}
}

func (m *faultModel) check(t *rapid.T) {
	for _, name := range m.names {
		r := m.runs[name]
		if r == nil {
			continue
		}
		if now := r.revisionInForce(); now < r.inForce {
			t.Fatalf("revision at %s decreased from %d to %d", name, r.inForce, now)
		}
		r.inForce = r.revisionInForce()
		m.checkStart(t, r)
		for _, k := range m.keys {
			at, withdrawn := m.withdrawnAt[k.ID]
			if withdrawn && m.isOnlyInUnreachableStore(k) {
				m.onlyInStoreAt[k.ID] = m.manual.Clock().Now()
			}
			at = max(at, m.onlyInStoreAt[k.ID])
			if withdrawn && m.manual.Clock().Now()-at > maxWithdrawalDelay && r.canServe(k) {
				t.Fatalf("key %s is accepted at %s %d ms after its withdrawal", k.ID, name, m.manual.Clock().Now()-at)
			}
		}
	}
}

func TestAcceptedChangesHoldUnderFaults(t *testing.T) {
	checkAcceptedChanges(t, newFleet)
}

// With more peers than a VM sends heartbeats to in a round, their content is known
// through relayed ages.
func TestAcceptedChangesHoldUnderFaultsWithRelayedAges(t *testing.T) {
	checkAcceptedChanges(t, func() *fleet { return newFleetOf(largeFleetNames[:6], 2) })
}

func checkAcceptedChanges(t *testing.T, start func() *fleet) {
	rapid.Check(t, func(t *rapid.T) {
		m := &faultModel{fleet: start(), onlyInStoreAt: map[string]clock.Millis{}}
		names := m.names
		m.rounds(3)
		anyName := rapid.SampledFrom(names)
		alive := func(t *rapid.T) *run { return m.runs[anyName.Draw(t, "vm")] }
		// accepting returns a VM that can accept an operator's change.
		accepting := func(t *rapid.T) *run {
			r := alive(t)
			if r == nil || !r.reachesStore() {
				t.Skip("no store")
			}
			if ready, _ := r.follower.Ready(); !ready {
				t.Skip("not ready")
			}
			return r
		}
		push := func(r *run, object store.Object) {
			_, _ = r.replica.Merge(store.Listing{Objects: []store.Object{object}})
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			_, _ = r.follower.PushAll(ctx, []store.Object{object})
		}
		pick := func(t *rapid.T) key.Key {
			if len(m.keys) == 0 {
				t.Skip("no key")
			}
			return rapid.SampledFrom(m.keys).Draw(t, "key")
		}
		withdraw := func(r *run, k key.Key, pushed bool) {
			r.replica.WithdrawKeys(k.ID)
			k.Withdrawn = true
			object := m.put("keys/"+k.ID, k)
			if pushed {
				push(r, object)
			}
			if _, done := m.withdrawnAt[k.ID]; !done {
				m.withdrawnAt[k.ID] = m.manual.Clock().Now()
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"accept": func(t *rapid.T) {
				r := accepting(t)
				push(r, m.accept())
			},
			"issue": func(t *rapid.T) {
				r := accepting(t)
				if len(m.keys) > 4 {
					t.Skip("enough keys")
				}
				k := key.Key{ID: fmt.Sprint(len(m.keys)), Digest: key.Digest(fmt.Sprint(len(m.keys))), Workspace: "w"}
				m.keys = append(m.keys, k)
				push(r, m.put("keys/"+k.ID, k))
			},
			"withdraw": func(t *rapid.T) { withdraw(accepting(t), pick(t), rapid.Bool().Draw(t, "pushed")) },
			"outage":   func(t *rapid.T) { m.isStoreDown = rapid.Bool().Draw(t, "down") },
			"noStore":  func(t *rapid.T) { m.withoutStore[anyName.Draw(t, "vm")] = rapid.Bool().Draw(t, "no store") },
			"cut": func(t *rapid.T) {
				m.cut[pair(anyName.Draw(t, "a"), anyName.Draw(t, "b"))] = rapid.Bool().Draw(t, "cut")
			},
			"region": func(t *rapid.T) {
				cut := rapid.Bool().Draw(t, "cut")
				for _, a := range names {
					for _, b := range names {
						if a[0] < b[0] {
							m.cut[pair(a, b)] = cut
						}
					}
				}
			},
			"kill": func(t *rapid.T) {
				name := anyName.Draw(t, "vm")
				r := m.runs[name]
				if r == nil {
					t.Skip("dead")
				}
				m.lastRevision[name] = r.revisionInForce()
				delete(m.runs, name)
			},
			"planned stop": func(t *rapid.T) {
				if r := alive(t); r != nil {
					r.heartbeat.Leave(context.Background())
					m.lastRevision[r.name] = r.revisionInForce()
					delete(m.runs, r.name)
				}
			},
			"start": func(t *rapid.T) {
				if name := anyName.Draw(t, "vm"); m.runs[name] == nil {
					m.start(name)
				}
			},
			"delay": func(t *rapid.T) {
				if r := alive(t); r != nil {
					r.replyDelay = clock.Millis(rapid.IntRange(0, 8000).Draw(t, "delay"))
				}
			},
			"withdraw during a delay": func(t *rapid.T) {
				r, other, k := alive(t), accepting(t), pick(t)
				if r == nil || r == other {
					t.Skip("one VM")
				}
				r.replyDelay = clock.Millis(rapid.IntRange(0, 8000).Draw(t, "delay"))
				r.duringDelay = func() { withdraw(other, k, false) }
			},
			"fail fetch": func(t *rapid.T) {
				if r := alive(t); r != nil {
					r.isNextFetchFailing = true
				}
			},
			"only one with the store": func(t *rapid.T) {
				only := anyName.Draw(t, "vm")
				for _, name := range names {
					m.withoutStore[name] = name != only
					m.cut[pair(only, name)] = true
				}
			},
			"isolate": func(t *rapid.T) {
				name, cut := anyName.Draw(t, "vm"), rapid.Bool().Draw(t, "cut")
				for _, other := range names {
					m.cut[pair(name, other)] = cut
				}
			},
			"ask": func(t *rapid.T) {
				if r := alive(t); r != nil {
					r.heartbeat.Refresh()
					_ = r.heartbeat.Ask(context.Background(), anyName.Draw(t, "peer"))
				}
			},
			"reorder": func(t *rapid.T) {
				r := alive(t)
				if r != nil && r.staleListing != nil {
					r.staleListing = nil
					return
				}
				if r != nil && r.reachesStore() {
					listing, _ := r.Watch(context.Background(), nil, r.replica.Summary().Revision, 0)
					r.staleListing = &listing
				}
			},
			"frozen": func(t *rapid.T) { m.manual.Advance(clock.Millis(rapid.IntRange(0, 30000).Draw(t, "for"))) },
			"round": func(t *rapid.T) {
				if r := alive(t); r != nil {
					r.round()
				}
			},
			"rounds": func(t *rapid.T) { m.rounds(rapid.IntRange(1, 6).Draw(t, "rounds")) },
			"":       m.check,
		})
	})
}
