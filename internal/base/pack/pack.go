// Package pack encodes values compactly with gob and flate. It is meant for
// messages that are sent to many peers and hold many similar endpoint names and
// entries, which compress well.
package pack

import (
	"bytes"
	"compress/flate"
	"encoding/gob"
	"io"
	"sync"

	"baobabladder.example/baobabladder/internal/base/fault"
)

// maxUnpacked is the maximum size of unpacked data, in bytes.
const maxUnpacked = 64 << 20

// writers pools flate writers, because a new one allocates large tables.
var writers = sync.Pool{New: func() any {
	// NewWriter fails only for invalid compression levels.
	writer, _ := flate.NewWriter(io.Discard, flate.BestSpeed)
	return writer
}}

// Encode encodes and compresses a value.
func Encode(value any) (packed []byte, err error) {
	defer fault.Annotate(&err, "packing a %T", value)
	var buffer bytes.Buffer
	writer := writers.Get().(*flate.Writer)
	defer writers.Put(writer)
	writer.Reset(&buffer)
	if err := gob.NewEncoder(writer).Encode(value); err != nil {
		return nil, err
	}
	if err := writer.Close(); err != nil {
		return nil, err
	}
	return buffer.Bytes(), nil
}

// Decode decompresses and decodes packed into the value that into points to. It
// returns an error if packed is truncated, is not valid or exceeds maxUnpacked
// when unpacked.
func Decode(packed []byte, into any) (err error) {
	defer fault.Annotate(&err, "unpacking %d bytes into a %T", len(packed), into)
	reader := flate.NewReader(bytes.NewReader(packed))
	if err := gob.NewDecoder(io.LimitReader(reader, maxUnpacked)).Decode(into); err != nil {
		return err
	}
	return reader.Close()
}
