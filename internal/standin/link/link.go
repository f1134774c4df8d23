// Package link stands in for the network between the firm's regions: its Dial
// hooks add each pair's round trip and bandwidth to connections over loopback,
// count what passes, and cut pairs of regions or single VMs on command.
package link

import (
	"context"
	"net"
	"net/netip"
	"sort"
	"sync"
	"time"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/document"
	"baobabladder.example/baobabladder/internal/base/fault"
)

// Location is where a process runs. The zero Place is next to everything.
type Location struct {
	VM         string
	Region     string
	DataCentre string
	// Client says that the process is a caller outside the data centres.
	IsClient bool
	// Source, if valid, is the IP number from which the process dials.
	SourceIP netip.Addr
}

// Network is the links between places. Its zero value adds nothing; set its
// fields before the first connection.
type Network struct {
	Clock clock.Clock
	// Fleet gives each pair of regions its round trip and bandwidth; nil is a
	// network without delay or limit.
	Fleet *document.Fleet
	// BetweenDataCentres is the round trip within a region, ToClients that
	// between a client and its nearest region, both in microseconds.
	DataCentreRoundTripMicros int64
	ClientRoundTripMicros     int64

	mu sync.Mutex
	// places maps a listening address to where it is. Guarded by mu.
	places map[string]Location
	// lanes holds each direction between two regions. Guarded by mu.
	lanes map[direction]*lane
	// cutPairs and cutVMs are what no byte passes. Pairs stand sorted. Guarded by mu.
	cutPairs map[direction]bool
	cutVMs   map[string]bool
	// open holds the connections that have not ended. Guarded by mu.
	open map[*connection]bool
	// changed is closed and replaced at each change of the cuts; nil before the
	// first wait. Guarded by mu.
	changed chan struct{}
}

// direction is an ordered pair of regions.
type direction struct{ from, to string }

// Traffic is what passed from one region to another.
type Traffic struct {
	From  string `json:"from"`
	To    string `json:"to"`
	Bytes int64  `json:"bytes"`
	// WorstSecond is the most bytes in any one second.
	MaxBytesPerSecond int64 `json:"worst_second"`
}

// SetLocation says where the process that listens at address is.
func (n *Network) SetLocation(address string, place Location) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.places == nil {
		n.places = map[string]Location{}
	}
	n.places[address] = place
}

// PartitionRegions cuts or heals the link between two regions. Bytes under way wait until
// it heals, as over a network that loses every packet.
func (n *Network) PartitionRegions(a, b string, isCut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cutPairs == nil {
		n.cutPairs = map[direction]bool{}
	}
	n.cutPairs[sorted(a, b)] = isCut
	n.announce()
}

// IsolateVM cuts a VM off from everything, or heals it.
func (n *Network) IsolateVM(name string, isCut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cutVMs == nil {
		n.cutVMs = map[string]bool{}
	}
	n.cutVMs[name] = isCut
	n.announce()
}

// KillVM cuts a VM off and ends its side of the connections that it accepted, as
// a loss of power does: the other sides hear nothing of it until the cut heals.
func (n *Network) KillVM(name string) {
	n.IsolateVM(name, true)
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.open {
		if c.to.VM == name {
			_ = c.ends[0].Close()
		}
	}
}

// HealAll ends all cuts.
func (n *Network) HealAll() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cutPairs, n.cutVMs = nil, nil
	n.announce()
}

func (n *Network) keep(c *connection) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.open == nil {
		n.open = map[*connection]bool{}
	}
	n.open[c] = true
}

func (n *Network) forget(c *connection) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.open, c)
}

// Traffic returns what passed between regions, sorted by direction.
func (n *Network) Traffic() []Traffic {
	n.mu.Lock()
	defer n.mu.Unlock()
	list := make([]Traffic, 0, len(n.lanes))
	for between, lane := range n.lanes {
		if between.from != between.to {
			list = append(list, Traffic{between.from, between.to, lane.bytes, lane.worst})
		}
	}
	sort.Slice(list, func(i, j int) bool {
		return list[i].From+" "+list[i].To < list[j].From+" "+list[j].To
	})
	return list
}

// Dialer returns a Dial hook for a process at from.
func (n *Network) Dialer(from Location) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (conn net.Conn, err error) {
		defer fault.Annotate(&err, "dialling %s from %s", address, from.VM)
		to := n.place(address)
		if err := n.awaitOpen(ctx.Done(), from, to); err != nil {
			return nil, err
		}
		trip := n.roundTrip(from, to)
		if err := sleepMicros(ctx.Done(), trip); err != nil {
			return nil, err
		}
		raw, err := from.dialer().DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return n.connect(raw, from, to, trip), nil
	}
}

func (p Location) dialer() *net.Dialer {
	if !p.SourceIP.IsValid() {
		return &net.Dialer{}
	}
	return &net.Dialer{LocalAddr: net.TCPAddrFromAddrPort(netip.AddrPortFrom(p.SourceIP, 0))}
}

func (n *Network) place(address string) Location {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.places[address]
}

// roundTrip returns the round trip between two places in microseconds.
func (n *Network) roundTrip(a, b Location) (micros int64) {
	if a.IsClient || b.IsClient {
		micros += n.ClientRoundTripMicros
	}
	switch {
	case a.Region == "" || b.Region == "":
	case a.Region != b.Region && n.Fleet != nil:
		if link := n.Fleet.Link(a.Region, b.Region); link != nil {
			micros += int64(link.Latency) * 1000
		}
	case a.DataCentre != b.DataCentre && !a.IsClient && !b.IsClient:
		micros += n.DataCentreRoundTripMicros
	}
	return micros
}

// lane returns the lane from one region to another.
func (n *Network) lane(from, to Location) *lane {
	n.mu.Lock()
	defer n.mu.Unlock()
	between := direction{from.Region, to.Region}
	if found := n.lanes[between]; found != nil {
		return found
	}
	if n.lanes == nil {
		n.lanes = map[direction]*lane{}
	}
	made := &lane{}
	if n.Fleet != nil && from.Region != to.Region {
		if link := n.Fleet.Link(from.Region, to.Region); link != nil {
			made.bytesPerSecond = int64(link.Mbit) * bytesPerMbit
		}
	}
	n.lanes[between] = made
	return made
}

// pass books size bytes on a lane and returns when they have passed, in
// microseconds of the network's clock.
func (n *Network) pass(l *lane, size int) int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return l.book(n.Clock.Micros(), int64(size))
}

// awaitOpen waits until no cut lies between two places, or until done closes.
func (n *Network) awaitOpen(done <-chan struct{}, from, to Location) error {
	for {
		n.mu.Lock()
		if n.changed == nil {
			n.changed = make(chan struct{})
		}
		changed := n.changed
		isCut := n.cutVMs[from.VM] || n.cutVMs[to.VM] || n.cutPairs[sorted(from.Region, to.Region)]
		n.mu.Unlock()
		if !isCut {
			return nil
		}
		select {
		case <-changed:
		case <-done:
			return errGaveUp
		}
	}
}

// announce wakes those who wait for a cut to heal. Callers hold mu.
func (n *Network) announce() {
	if n.changed != nil {
		close(n.changed)
	}
	n.changed = make(chan struct{})
}

func sorted(a, b string) direction {
	if a > b {
		a, b = b, a
	}
	return direction{a, b}
}

func sleepMicros(done <-chan struct{}, micros int64) error {
	if micros <= 0 {
		return nil
	}
	timer := time.NewTimer(time.Duration(micros) * time.Microsecond)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-done:
		return errGaveUp
	}
}
