// Package pack makes values that many peers are sent small: names of endpoints and
// their entries are much alike. It encodes by gob and compresses by flate.
package pack

import (
	"bytes"
	"compress/flate"
	"encoding/gob"
	"io"
	"sync"

	"baobabladder.example/baobabladder/internal/base/fault"
)

// maxUnpacked bounds what is unpacked, in bytes.
const maxUnpacked = 64 << 20

// writers holds writers for further use: a new one needs large tables.
var writers = sync.Pool{New: func() any {
	// It fails for unknown levels only.
	writer, _ := flate.NewWriter(io.Discard, flate.BestSpeed)
	return writer
}}

// Encode packs a value.
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

// Decode unpacks into the value that into points to. What is cut off, or would be
// larger than the bound, is an error.
func Decode(packed []byte, into any) (err error) {
	defer fault.Annotate(&err, "unpacking %d bytes into a %T", len(packed), into)
	reader := flate.NewReader(bytes.NewReader(packed))
	if err := gob.NewDecoder(io.LimitReader(reader, maxUnpacked)).Decode(into); err != nil {
		return err
	}
	return reader.Close()
}
