// Package peer implements calls between entry VMs over net/rpc. It does not define any
// calls: each package that calls its counterpart on other VMs registers a receiver and
// declares its own message types.
package peer

import (
	"context"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"

	"github.com/joomcode/errorx"
	"github.com/sirupsen/logrus"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/fault"
)

var (
	errorNamespace = errorx.NewNamespace("peer")
	// ErrUnreachable is the error of a call without a reply. The call may have taken
	// effect at the peer.
	ErrUnreachable = errorNamespace.NewType("unreachable")
)

// dialTimeout bounds the set-up of a connection to a peer.
const dialTimeout = 1 * clock.Second

// Server serves calls from peers.
type Server struct {
	// Log is optional.
	Log logrus.FieldLogger

	rpc   *rpc.Server
	bytes atomic.Int64

	mu sync.Mutex
	// conns holds the open connections, which Close closes. Guarded by mu.
	conns map[net.Conn]bool
	// listener is nil before Serve and after Close. Guarded by mu.
	listener net.Listener
}

// NewServer returns a Server without receivers.
func NewServer() *Server {
	return &Server{rpc: rpc.NewServer(), conns: map[net.Conn]bool{}}
}

// Register makes the RPC methods of receiver callable as "name.Method".
func (s *Server) Register(name string, receiver any) (err error) {
	defer fault.Annotate(&err, "registering the receiver %s", name)
	return s.rpc.RegisterName(name, receiver)
}

// Serve accepts connections on listener until Close, and then returns nil. It returns
// any other error of the listener.
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

// Close ends Serve and closes all open connections.
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

// Bytes returns the number of bytes that the server has read and written.
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
	newCalls(s, &CountingConn{Conn: conn, Bytes: &s.bytes}).serve()
	s.mu.Lock()
	delete(s.conns, conn)
	s.mu.Unlock()
}

// CountingConn is a connection that adds the bytes read and written to Bytes.
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

// Client calls peers by address over one connection to each of them. Its zero value is
// ready to use.
type Client struct {
	bytes atomic.Int64
	// Dial opens connections; if nil, a net.Dialer with a timeout of 1 s is used.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	mu sync.Mutex
	// conns maps an address to its connection. Guarded by mu.
	conns map[string]*rpc.Client
}

// Call calls method, as "receiver.Method", of the peer at address with args and waits
// for the reply or the end of ctx. The error is an ErrUnreachable or the error that the
// method returned. If ctx ends first, Call closes the connection, so that the late
// reply of a peer that was paused cannot be taken for the reply to another call.
func (c *Client) Call(ctx context.Context, address, method string, args, reply any) (err error) {
	client, err := c.clientFor(ctx, address)
	if err != nil {
		return ErrUnreachable.Wrap(err, "calling %s at %s", method, address)
	}
	call := client.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-ctx.Done():
		c.closeClient(address, client)
		return ErrUnreachable.Wrap(ctx.Err(), "calling %s at %s", method, address)
	case <-call.Done:
	}
	if call.Error == nil {
		return nil
	}
	if _, isServerError := call.Error.(rpc.ServerError); isServerError {
		return errorx.Decorate(call.Error, "calling %s at %s", method, address)
	}
	c.closeClient(address, client)
	return ErrUnreachable.Wrap(call.Error, "calling %s at %s", method, address)
}

// Bytes returns the number of bytes that the client has read and written.
func (c *Client) Bytes() int64 { return c.bytes.Load() }

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, client := range c.conns {
		_ = client.Close()
		delete(c.conns, address)
	}
}

// clientFor returns the client of the connection to address and opens the connection if
// there is none.
func (c *Client) clientFor(ctx context.Context, address string) (client *rpc.Client, err error) {
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
	opened := rpc.NewClientWithCodec(newClientCodec(&CountingConn{Conn: conn, Bytes: &c.bytes}))
	c.mu.Lock()
	defer c.mu.Unlock()
	if client = c.conns[address]; client != nil {
		_ = opened.Close()
		return client, nil
	}
	if c.conns == nil {
		c.conns = map[string]*rpc.Client{}
	}
	c.conns[address] = opened
	return opened, nil
}

// closeClient closes client and removes it from conns if it is the current one of
// address.
func (c *Client) closeClient(address string, client *rpc.Client) {
	c.mu.Lock()
	if c.conns[address] == client {
		delete(c.conns, address)
	}
	c.mu.Unlock()
	_ = client.Close()
}
