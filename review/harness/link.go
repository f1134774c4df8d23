package main

import (
	"io"
	"net"
	"time"
)

// link is a proxy between a gateway and the store that delays all bytes, as the way between
// two regions does.
type link struct {
	target string
	delay  time.Duration
}

// linkChunk is a number of bytes that arrive together.
type linkChunk struct {
	content []byte
	due     time.Time
}

// serve opens the link and returns its address.
func (l *link) serve() (address string, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go l.connect(conn)
		}
	}()
	return listener.Addr().String(), nil
}

// connect joins an accepted connection to a new one to the target.
func (l *link) connect(near net.Conn) {
	far, err := net.Dial("tcp", l.target)
	if err != nil {
		_ = near.Close()
		return
	}
	go l.copy(far, near)
	l.copy(near, far)
}

// copy copies one direction until its end, and then closes both connections.
func (l *link) copy(to, from net.Conn) {
	chunks := make(chan linkChunk, 1024)
	go func() {
		defer close(chunks)
		for {
			buffer := make([]byte, 32<<10)
			n, err := from.Read(buffer)
			if n > 0 {
				chunks <- linkChunk{buffer[:n], time.Now().Add(l.delay)}
			}
			if err != nil {
				return
			}
		}
	}()
	for chunk := range chunks {
		time.Sleep(time.Until(chunk.due))
		if _, err := to.Write(chunk.content); err != nil {
			break
		}
	}
	_ = to.Close()
	_ = from.Close()
	_, _ = io.Copy(io.Discard, from)
	for range chunks {
		continue
	}
}
