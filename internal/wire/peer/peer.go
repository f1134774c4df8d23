// Package peer carries calls between entry VMs over net/rpc. It knows nothing
// of what the calls mean: each noun that speaks to its like on other VMs
// registers a receiver and declares its own typed messages.
package peer

import (
	"context"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"

	"github.com/joomcode/errorx"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/fault"
)

var (
	errorNamespace = errorx.NewNamespace("peer")
	// ErrUnreachable says that a call got no reply; whether it took effect at the
	// peer is unknown.
	ErrUnreachable = errorNamespace.NewType("unreachable")
)

// dialTimeout bounds the set-up of a connection to a peer.
const dialTimeout = 1 * clock.Second

// Server accepts calls from peers.
type Server struct {
	rpc   *rpc.Server
	bytes atomic.Int64

	mu sync.Mutex
	// conns holds the open connections, so that Close can end them. Guarded by mu.
	conns map[net.Conn]bool
	// listener is nil before Serve and after Close. Guarded by mu.
	listener net.Listener
}

// NewServer returns a Server without receivers.
func NewServer() *Server {
	return &Server{rpc: rpc.NewServer(), conns: map[net.Conn]bool{}}
}

// Register makes the exported methods of receiver callable as "name.Method".
func (s *Server) Register(name string, receiver any) (err error) {
	defer fault.Annotate(&err, "registering the receiver %s", name)
	return s.rpc.RegisterName(name, receiver)
}

// Serve accepts connections until Close. It returns nil after Close.
func (s *Server) Serve(listener net.Listener) error {
	s.mu.Lock()
	s.listener = listener
	s.mu.Unlock()
	for {
		conn, err := listener.Accept()
		if err != nil {
			if s.isClosed() {
				return nil
			}
			return err
		}
		go s.serveConn(conn)
	}
}

// Close stops Serve and ends every open connection.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener != nil {
		_ = s.listener.Close()
		s.listener = nil
	}
	for conn := range s.conns {
		_ = conn.Close()
	}
}

// Bytes returns how many bytes the server has read and written so far.
func (s *Server) Bytes() int64 { return s.bytes.Load() }

func (s *Server) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listener == nil
}

func (s *Server) serveConn(conn net.Conn) {
	s.mu.Lock()
	s.conns[conn] = true
	s.mu.Unlock()
	s.rpc.ServeConn(&CountingConn{Conn: conn, Bytes: &s.bytes})
	s.mu.Lock()
	delete(s.conns, conn)
	s.mu.Unlock()
}

// CountingConn adds what passes through a connection, both ways, to Bytes.
type CountingConn struct {
	net.Conn
	Bytes *atomic.Int64
}

// Read implements net.Conn.
func (c *CountingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.Bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *CountingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.Bytes.Add(int64(n))
	return n, err
}

// Client calls peers by address and keeps one connection to each. Its zero
// value is ready.
type Client struct {
	bytes atomic.Int64
	// Dial, when set, takes the place of a plain TCP dial.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	mu sync.Mutex
	// conns maps an address to its connection. Guarded by mu.
	conns map[string]*rpc.Client
}

// Call sends args to "receiver.Method" at address and waits for the reply or
// the end of ctx. A call that ends with ctx closes the connection, so that a
// frozen peer's late reply can never be taken for another's.
func (c *Client) Call(ctx context.Context, address, method string, args, reply any) (err error) {
	client, err := c.client(ctx, address)
	if err != nil {
		return ErrUnreachable.Wrap(err, "calling %s at %s", method, address)
	}
	call := client.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-ctx.Done():
		c.drop(address, client)
		return ErrUnreachable.Wrap(ctx.Err(), "calling %s at %s", method, address)
	case <-call.Done:
	}
	if call.Error == nil {
		return nil
	}
	if _, isServerError := call.Error.(rpc.ServerError); isServerError {
		return errorx.Decorate(call.Error, "calling %s at %s", method, address)
	}
	c.drop(address, client)
	return ErrUnreachable.Wrap(call.Error, "calling %s at %s", method, address)
}

// Bytes returns how many bytes the client has read and written so far.
func (c *Client) Bytes() int64 { return c.bytes.Load() }

// Close ends all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, client := range c.conns {
		_ = client.Close()
		delete(c.conns, address)
	}
}

func (c *Client) client(ctx context.Context, address string) (client *rpc.Client, err error) {
	c.mu.Lock()
	client = c.conns[address]
	c.mu.Unlock()
	if client != nil {
		return client, nil
	}
	dial := c.Dial
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout.Duration()}).DialContext
	}
	conn, err := dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	fresh := rpc.NewClient(&CountingConn{Conn: conn, Bytes: &c.bytes})
	c.mu.Lock()
	defer c.mu.Unlock()
	if client = c.conns[address]; client != nil {
		_ = fresh.Close()
		return client, nil
	}
	if c.conns == nil {
		c.conns = map[string]*rpc.Client{}
	}
	c.conns[address] = fresh
	return fresh, nil
}

func (c *Client) drop(address string, client *rpc.Client) {
	c.mu.Lock()
	if c.conns[address] == client {
		delete(c.conns, address)
	}
	c.mu.Unlock()
	_ = client.Close()
}
