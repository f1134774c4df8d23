// Package link simulates the network between a firm's regions. Its Dial hooks apply the
// round-trip time and bandwidth of each pair of regions to connections over loopback and
// count the traffic. On request it partitions pairs of regions or isolates single VMs.
//
// A partition or an isolation loses no data: data, closes and dials are held back until
// it ends, as TCP does on a network that loses every packet.
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

// Location is where a process runs. The zero Location adds no delay.
type Location struct {
	VM         string
	Region     string
	DataCentre string
	// IsClient is true for a caller outside the data centres.
	IsClient bool
	// SourceIP, if valid, is the IP address from which the process dials.
	SourceIP netip.Addr
}

// Network simulates the links between locations. The zero value adds no delay and no
// limit. Set the exported fields before the first connection.
type Network struct {
	Clock clock.Clock
	// Fleet holds the round-trip time and bandwidth of each pair of regions. If it is
	// nil, there is no delay or limit between regions.
	Fleet *document.Fleet
	// DataCentreRoundTripMicros is the round-trip time between two data centres of a
	// region, ClientRoundTripMicros that between a client and its nearest region.
	DataCentreRoundTripMicros int64
	ClientRoundTripMicros     int64

	mu sync.Mutex
	// locations maps listening addresses to the location of their process. Guarded by mu.
	locations map[string]Location
	// directedLinks holds each direction between two regions. Guarded by mu.
	directedLinks map[regionPair]*directedLink
	// partitionedPairs holds the pairs of regions, and isolatedVMs the VMs, whose
	// traffic is held back. Each pair is sorted by name. Guarded by mu.
	partitionedPairs map[regionPair]bool
	isolatedVMs      map[string]bool
	// connections holds the open connections. Guarded by mu.
	connections map[*connection]bool
	// reachabilityChanged is closed and replaced at each change of partitionedPairs or
	// isolatedVMs, to wake waiting goroutines; it may be nil before the first wait.
	// Guarded by mu.
	reachabilityChanged chan struct{}
}

// regionPair is an ordered pair of regions.
type regionPair struct{ from, to string }

// Traffic is the traffic from one region to another.
type Traffic struct {
	From  string `json:"from"`
	To    string `json:"to"`
	Bytes int64  `json:"bytes"`
	// MaxBytesPerSecond is the highest traffic of any one second.
	MaxBytesPerSecond int64 `json:"worst_second"`
}

// SetLocation sets the location of the process that listens at address.
func (n *Network) SetLocation(address string, location Location) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.locations == nil {
		n.locations = map[string]Location{}
	}
	n.locations[address] = location
}

// PartitionRegions starts or ends a partition between two regions.
func (n *Network) PartitionRegions(a, b string, isPartitioned bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.partitionedPairs == nil {
		n.partitionedPairs = map[regionPair]bool{}
	}
	n.partitionedPairs[sortedPair(a, b)] = isPartitioned
	n.notifyWaiters()
}

// IsolateVM starts or ends the isolation of a VM from all others.
func (n *Network) IsolateVM(name string, isIsolated bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.isolatedVMs == nil {
		n.isolatedVMs = map[string]bool{}
	}
	n.isolatedVMs[name] = isIsolated
	n.notifyWaiters()
}

// KillVM isolates a VM and closes its end of the connections that it accepted, like a
// loss of power: the other ends do not see the close until the isolation ends.
func (n *Network) KillVM(name string) {
	n.IsolateVM(name, true)
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.connections {
		if c.to.VM == name {
			_ = c.ends[0].Close()
		}
	}
}

// HealAll ends all partitions and isolations.
func (n *Network) HealAll() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitionedPairs, n.isolatedVMs = nil, nil
	n.notifyWaiters()
}

func (n *Network) trackConnection(c *connection) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.connections == nil {
		n.connections = map[*connection]bool{}
	}
	n.connections[c] = true
}

func (n *Network) untrackConnection(c *connection) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.connections, c)
}

// Traffic returns the traffic between different regions, sorted by From and To.
func (n *Network) Traffic() []Traffic {
	n.mu.Lock()
	defer n.mu.Unlock()
	list := make([]Traffic, 0, len(n.directedLinks))
	for pair, link := range n.directedLinks {
		if pair.from != pair.to {
			list = append(list, Traffic{pair.from, pair.to, link.bytes, link.maxBytesPerSecond})
		}
	}
	sort.Slice(list, func(i, j int) bool {
		return list[i].From+" "+list[i].To < list[j].From+" "+list[j].To
	})
	return list
}

// Dialer returns a Dial hook for a process at from. Dialling waits until the two
// locations are reachable and then takes one round trip.
func (n *Network) Dialer(from Location) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (conn net.Conn, err error) {
		defer fault.Annotate(&err, "dialling %s from %s", address, from.VM)
		to := n.locationOf(address)
		if err := n.awaitReachable(ctx.Done(), from, to); err != nil {
			return nil, err
		}
		roundTripMicros := n.roundTripMicros(from, to)
		if err := sleepMicros(ctx.Done(), roundTripMicros); err != nil {
			return nil, err
		}
		raw, err := from.dialer().DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return n.connect(raw, from, to, roundTripMicros), nil
	}
}

func (l Location) dialer() *net.Dialer {
	if !l.SourceIP.IsValid() {
		return &net.Dialer{}
	}
	return &net.Dialer{LocalAddr: net.TCPAddrFromAddrPort(netip.AddrPortFrom(l.SourceIP, 0))}
}

func (n *Network) locationOf(address string) Location {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.locations[address]
}

// roundTripMicros returns the round-trip time between two locations.
func (n *Network) roundTripMicros(a, b Location) (micros int64) {
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

// directedLink returns the link from one location's region to another's, and creates it if
// needed.
func (n *Network) directedLink(from, to Location) *directedLink {
	n.mu.Lock()
	defer n.mu.Unlock()
	pair := regionPair{from.Region, to.Region}
	if found := n.directedLinks[pair]; found != nil {
		return found
	}
	if n.directedLinks == nil {
		n.directedLinks = map[regionPair]*directedLink{}
	}
	made := &directedLink{}
	if n.Fleet != nil && from.Region != to.Region {
		if link := n.Fleet.Link(from.Region, to.Region); link != nil {
			made.bytesPerSecond = int64(link.Mbit) * bytesPerMbit
		}
	}
	n.directedLinks[pair] = made
	return made
}

// reserve queues size bytes on a link and returns the time at which they have been sent,
// in microseconds of the network's clock.
func (n *Network) reserve(l *directedLink, size int) int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return l.reserve(n.Clock.Micros(), int64(size))
}

// awaitReachable waits until no partition or isolation separates two locations. It
// returns errAborted if done is closed first.
func (n *Network) awaitReachable(done <-chan struct{}, from, to Location) error {
	for {
		n.mu.Lock()
		if n.reachabilityChanged == nil {
			n.reachabilityChanged = make(chan struct{})
		}
		reachabilityChanged := n.reachabilityChanged
		isUnreachable := n.isolatedVMs[from.VM] || n.isolatedVMs[to.VM] || n.partitionedPairs[sortedPair(from.Region, to.Region)]
		n.mu.Unlock()
		if !isUnreachable {
			return nil
		}
		select {
		case <-reachabilityChanged:
		case <-done:
			return errAborted
		}
	}
}

// notifyWaiters wakes the goroutines in awaitReachable. The caller must hold mu.
func (n *Network) notifyWaiters() {
	if n.reachabilityChanged != nil {
		close(n.reachabilityChanged)
	}
	n.reachabilityChanged = make(chan struct{})
}

func sortedPair(a, b string) regionPair {
	if a > b {
		a, b = b, a
	}
	return regionPair{a, b}
}

// sleepMicros waits for a time in microseconds. It returns errAborted if done is closed
// first.
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
		return errAborted
	}
}
