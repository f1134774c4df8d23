package peer

import (
	"bufio"
	"encoding/gob"
	"io"
	"net/rpc"
)

// maxMessageBytes is the size in bytes of the largest message, with its header, that is read
// from a peer.
const maxMessageBytes = 32 << 20

// ErrMessageTooLong is the error of a connection on which a message has more than
// maxMessageBytes. The connection is of no use afterwards.
var ErrMessageTooLong = errorNamespace.NewType("message_too_long")

// messageReader reads messages of at most maxMessageBytes each. Without it a message may
// announce, and send, a billion bytes.
type messageReader struct {
	reader io.Reader
	// left is how many bytes the message may still have.
	left int
}

// beginMessage allows a whole message from here on.
func (m *messageReader) beginMessage() { m.left = maxMessageBytes }

// Read implements io.Reader.
func (m *messageReader) Read(p []byte) (n int, err error) {
	if m.left <= 0 {
		return 0, ErrMessageTooLong.New("a peer's message has more than the %d bytes that are allowed", maxMessageBytes)
	}
	n, err = m.reader.Read(p[:min(len(p), m.left)])
	m.left -= n
	return n, err
}

// clientCodec implements rpc.ClientCodec with the messages of net/rpc's own codec, and reads
// bounded ones only.
type clientCodec struct {
	conn    io.ReadWriteCloser
	reader  *messageReader
	decoder *gob.Decoder
	encoder *gob.Encoder
	buffer  *bufio.Writer
}

func newClientCodec(conn io.ReadWriteCloser) *clientCodec {
	reader, buffer := &messageReader{reader: conn}, bufio.NewWriter(conn)
	return &clientCodec{conn: conn, reader: reader, decoder: gob.NewDecoder(reader), encoder: gob.NewEncoder(buffer), buffer: buffer}
}

// WriteRequest implements rpc.ClientCodec.
func (c *clientCodec) WriteRequest(request *rpc.Request, body any) error {
	if err := c.encoder.Encode(request); err != nil {
		return err
	}
	if err := c.encoder.Encode(body); err != nil {
		return err
	}
	return c.buffer.Flush()
}

// ReadResponseHeader implements rpc.ClientCodec.
func (c *clientCodec) ReadResponseHeader(response *rpc.Response) error {
	c.reader.beginMessage()
	return c.decoder.Decode(response)
}

// ReadResponseBody implements rpc.ClientCodec.
func (c *clientCodec) ReadResponseBody(body any) error { return c.decoder.Decode(body) }

// Close implements rpc.ClientCodec.
func (c *clientCodec) Close() error { return c.conn.Close() }
