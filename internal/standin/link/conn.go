package link

import (
	"errors"
	"net"
	"sync"
)

const (
	chunkBytes = 16 << 10
	// chunksUnderWay bounds what one connection has under way in one direction.
	chunksUnderWay = 64
)

var errGaveUp = errors.New("the connection was given up")

// chunk is bytes under way.
type chunk struct {
	data []byte
	// arrivesAt is in microseconds of the network's clock.
	arrivesAt int64
}

// connection joins the dialler's end of a pipe to the raw connection through
// the network.
type connection struct {
	network  *Network
	from, to Location
	// oneWay is the latency in each direction, in microseconds.
	oneWay int64

	closeOnce sync.Once
	// closed ends everything that is under way.
	closed chan struct{}
	ends   []net.Conn
}

// connect returns the dialler's end of a connection through the network.
func (n *Network) connect(raw net.Conn, from, to Location, roundTrip int64) net.Conn {
	near, inner := net.Pipe()
	c := &connection{network: n, from: from, to: to, oneWay: roundTrip / 2, closed: make(chan struct{}), ends: []net.Conn{raw, inner}}
	n.keep(c)
	go c.carry(inner, raw, n.lane(from, to))
	go c.carry(raw, inner, n.lane(to, from))
	return near
}

// carry moves bytes one way until either end closes. What was read before the
// end still arrives.
func (c *connection) carry(source, target net.Conn, lane *lane) {
	underWay := make(chan chunk, chunksUnderWay)
	go c.deliver(underWay, target)
	defer close(underWay)
	buffer := make([]byte, chunkBytes)
	for {
		size, err := source.Read(buffer)
		if size > 0 {
			data := append([]byte(nil), buffer[:size]...)
			passed := chunk{data, c.network.pass(lane, size) + c.oneWay}
			select {
			case underWay <- passed:
			case <-c.closed:
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// deliver writes chunks when they arrive, and closes the connection after the
// last one. The end of a connection does not pass a cut either.
func (c *connection) deliver(underWay <-chan chunk, target net.Conn) {
	defer func() {
		_ = c.network.awaitOpen(c.closed, c.from, c.to)
		c.close()
	}()
	for next := range underWay {
		if sleepMicros(c.closed, next.arrivesAt-c.network.Clock.Micros()) != nil {
			return
		}
		if c.network.awaitOpen(c.closed, c.from, c.to) != nil {
			return
		}
		if _, err := target.Write(next.data); err != nil {
			return
		}
	}
}

func (c *connection) close() {
	c.closeOnce.Do(func() {
		c.network.forget(c)
		close(c.closed)
		for _, end := range c.ends {
			_ = end.Close()
		}
	})
}
