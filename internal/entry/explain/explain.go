// Package explain finds one request's way in the logs of several VMs.
package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"

	"baobabladder.example/baobabladder/internal/base/fault"
)

// maxLine bounds the lines that are read; longer ones count as unreadable.
const maxLine = 256 << 10

// Line is one log line about the request.
type Line struct {
	// Time is as the line has it, which sorts as text.
	Time string
	File string
	// Fields holds all of the line's fields.
	Fields map[string]any
}

// Trace is what the logs say of one request.
type Trace struct {
	RequestID string
	// Lines is in order of time.
	Lines []Line
	// Unreadable counts lines that name the request but are not whole JSON.
	Unreadable int
}

// Read looks through the files for a request's lines.
func Read(requestID string, files []string) (way *Trace, err error) {
	way = &Trace{RequestID: requestID}
	for _, name := range files {
		if err := way.readFile(name); err != nil {
			return nil, err
		}
	}
	slices.SortStableFunc(way.Lines, func(a, b Line) int { return strings.Compare(a.Time, b.Time) })
	return way, nil
}

func (w *Trace) readFile(name string) (err error) {
	defer fault.Annotate(&err, "reading the log %s", name)
	file, err := os.Open(name)
	if err != nil {
		return err
	}
	defer file.Close()
	reader := bufio.NewReaderSize(file, maxLine)
	for {
		line, isPrefix, err := reader.ReadLine()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		// The part of a line longer than maxLine is no JSON of its own.
		if isPrefix || bytes.Contains(line, []byte(w.RequestID)) {
			w.take(name, line)
		}
	}
}

func (w *Trace) take(file string, text []byte) {
	if at := bytes.IndexByte(text, '{'); at > 0 {
		text = text[at:]
	}
	fields := map[string]any{}
	if err := json.Unmarshal(text, &fields); err != nil {
		w.Unreadable++
		return
	}
	if id, _ := fields["request_id"].(string); id != w.RequestID {
		return
	}
	at, _ := fields["time"].(string)
	w.Lines = append(w.Lines, Line{Time: at, File: file, Fields: fields})
}

// Print writes the way, one line for each log line, its fields sorted.
func (w *Trace) Print(out io.Writer) (err error) {
	defer fault.Annotate(&err, "printing the way of request %s", w.RequestID)
	for _, line := range w.Lines {
		fields := maps.Clone(line.Fields)
		message := fields["msg"]
		for _, name := range []string{"msg", "time", "level", "request_id"} {
			delete(fields, name)
		}
		var text strings.Builder
		for _, name := range slices.Sorted(maps.Keys(fields)) {
			fmt.Fprintf(&text, " %s=%v", name, fields[name])
		}
		if _, err := fmt.Fprintf(out, "%s %s: %v%s\n", line.Time, line.File, message, text.String()); err != nil {
			return err
		}
	}
	_, err = fmt.Fprintf(out, "%d lines about request %s, %d lines unreadable\n", len(w.Lines), w.RequestID, w.Unreadable)
	return err
}
