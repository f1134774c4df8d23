package peer

import (
	"bufio"
	"encoding/gob"
	"fmt"
	"io"
	"net/rpc"
	"runtime/debug"
	"sync"

	"github.com/sirupsen/logrus"
)

// calls serves the calls that come on one connection, side by side, as rpc.ServeConn does.
// But a receiver that panics ends the connection only, and not the process. It implements
// rpc.ServerCodec with the messages of net/rpc's own codec.
//
// Each call has a goroutine. It reads the call and starts the next goroutine before it
// calls the receiver, so one of them reads at any time.
type calls struct {
	server  *Server
	conn    io.ReadWriteCloser
	reader  *messageReader
	decoder *gob.Decoder
	// running counts the goroutines.
	running sync.WaitGroup

	mu sync.Mutex
	// encoder and buffer write replies. Guarded by mu.
	encoder *gob.Encoder
	buffer  *bufio.Writer
}

func newCalls(server *Server, conn io.ReadWriteCloser) *calls {
	reader, buffer := &messageReader{reader: conn}, bufio.NewWriter(conn)
	return &calls{server: server, conn: conn, reader: reader, decoder: gob.NewDecoder(reader), encoder: gob.NewEncoder(buffer), buffer: buffer}
}

// serve serves calls until the connection ends and all calls have been replied to.
func (c *calls) serve() {
	c.startNext()
	c.running.Wait()
	_ = c.conn.Close()
}

// startNext starts a goroutine for the next call.
func (c *calls) startNext() {
	c.running.Go(func() {
		call := &call{calls: c}
		defer call.endOnPanic()
		// An error has been told to the peer, or the connection has ended.
		_ = c.server.rpc.ServeRequest(call)
	})
}

// call is one call, as rpc.ServeRequest reads it and replies to it.
type call struct {
	*calls
	method string
}

// endOnPanic ends the connection if the receiver has panicked: the peer gets no reply, and
// takes the outcome for unknown.
func (c *call) endOnPanic() {
	cause := recover()
	if cause == nil {
		return
	}
	_ = c.conn.Close()
	if c.server.Log != nil {
		fields := logrus.Fields{"method": c.method, "cause": fmt.Sprint(cause), "stack": string(debug.Stack())}
		c.server.Log.WithFields(fields).Error("a peer's call panicked, its connection was closed")
	}
}

// ReadRequestHeader implements rpc.ServerCodec.
func (c *call) ReadRequestHeader(request *rpc.Request) error {
	c.reader.beginMessage()
	err := c.decoder.Decode(request)
	c.method = request.ServiceMethod
	return err
}

// ReadRequestBody implements rpc.ServerCodec.
func (c *call) ReadRequestBody(body any) error {
	defer c.startNext()
	return c.decoder.Decode(body)
}

// WriteResponse implements rpc.ServerCodec. A reply that cannot be encoded ends the
// connection, since a part of it may be in the buffer.
func (c *call) WriteResponse(response *rpc.Response, body any) (err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	defer func() {
		if err != nil {
			_ = c.conn.Close()
		}
	}()
	if err := c.encoder.Encode(response); err != nil {
		return err
	}
	if err := c.encoder.Encode(body); err != nil {
		return err
	}
	return c.buffer.Flush()
}

// Close implements rpc.ServerCodec.
func (c *call) Close() error { return c.conn.Close() }
