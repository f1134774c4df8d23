package link

import (
	"errors"
	"net"
	"sync"
)

const (
	// chunkBytes is the maximum size of a chunk.
	chunkBytes = 16 << 10
	// maxChunksInFlight limits the chunks in flight in one direction of a connection.
	maxChunksInFlight = 64
)

var errAborted = errors.New("connection closed or dial cancelled")

// chunk is a piece of data in flight.
type chunk struct {
	data []byte
	// arrivesAtMicros is the time of arrival, in microseconds of the network's clock.
	arrivesAtMicros int64
}

// connection forwards data between a pipe, whose other end the dialler holds, and a raw
// loopback connection to the listener. It applies the network's delays, bandwidth and
// partitions.
type connection struct {
	network  *Network
	from, to Location
	// oneWayMicros is the latency in each direction.
	oneWayMicros int64

	closeOnce sync.Once
	// closed is closed when the connection is closed; data in flight is then dropped.
	closed chan struct{}
	// ends holds the connection to the listener and the network's end of the pipe.
	ends []net.Conn
}

// connect starts forwarding over raw, the connection to the listener, and returns the
// dialler's end of the pipe.
func (n *Network) connect(raw net.Conn, from, to Location, roundTripMicros int64) net.Conn {
	dialerEnd, networkEnd := net.Pipe()
	c := &connection{network: n, from: from, to: to, oneWayMicros: roundTripMicros / 2, closed: make(chan struct{}), ends: []net.Conn{raw, networkEnd}}
	n.trackConnection(c)
	go c.forward(networkEnd, raw, n.directedLink(from, to))
	go c.forward(raw, networkEnd, n.directedLink(to, from))
	return dialerEnd
}

// forward reads from source until either end closes, and delivers the data to target
// after its delay. Data that was read before source ended is still delivered.
func (c *connection) forward(source, target net.Conn, link *directedLink) {
	inFlight := make(chan chunk, maxChunksInFlight)
	go c.deliver(inFlight, target)
	defer close(inFlight)
	buffer := make([]byte, chunkBytes)
	for {
		size, err := source.Read(buffer)
		if size > 0 {
			data := append([]byte(nil), buffer[:size]...)
			next := chunk{data, c.network.reserve(link, size) + c.oneWayMicros}
			select {
			case inFlight <- next:
			case <-c.closed:
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// deliver writes each chunk to target at its time of arrival, and closes the connection
// after the last one. The close, like data, is held back while the two locations cannot
// reach each other.
func (c *connection) deliver(inFlight <-chan chunk, target net.Conn) {
	defer func() {
		_ = c.network.awaitReachable(c.closed, c.from, c.to)
		c.close()
	}()
	for next := range inFlight {
		if sleepMicros(c.closed, next.arrivesAtMicros-c.network.Clock.Micros()) != nil {
			return
		}
		if c.network.awaitReachable(c.closed, c.from, c.to) != nil {
			return
		}
		if _, err := target.Write(next.data); err != nil {
			return
		}
	}
}

func (c *connection) close() {
	c.closeOnce.Do(func() {
		c.network.untrackConnection(c)
		close(c.closed)
		for _, end := range c.ends {
			_ = end.Close()
		}
	})
}
