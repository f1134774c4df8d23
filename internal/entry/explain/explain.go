// Package explain collects the log lines about one request from the log files of
// several VMs.
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

// maxLineBytes limits the length of a log line. Longer lines count as unreadable.
const maxLineBytes = 256 << 10

// Line is one log line about the request.
type Line struct {
	// Time is the line's "time" field. Times sort as text.
	Time string
	File string
	// Fields holds all fields of the line's JSON object.
	Fields map[string]any
}

// Trace holds the log lines about one request.
type Trace struct {
	RequestID string
	// Lines is sorted by time.
	Lines []Line
	// Unreadable counts lines that contain the request's id but are not valid JSON, and
	// the parts of lines longer than maxLineBytes.
	Unreadable int
}

// Read collects a request's lines from the files. Text before the JSON object of a line
// is ignored.
func Read(requestID string, files []string) (trace *Trace, err error) {
	trace = &Trace{RequestID: requestID}
	for _, name := range files {
		if err := trace.readFile(name); err != nil {
			return nil, err
		}
	}
	slices.SortStableFunc(trace.Lines, func(a, b Line) int { return strings.Compare(a.Time, b.Time) })
	return trace, nil
}

func (t *Trace) readFile(name string) (err error) {
	defer fault.Annotate(&err, "reading log file %s", name)
	file, err := os.Open(name)
	if err != nil {
		return err
	}
	defer file.Close()
	reader := bufio.NewReaderSize(file, maxLineBytes)
	for {
		line, isPrefix, err := reader.ReadLine()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		// isPrefix is true for the first parts of a line longer than maxLineBytes. Such a
		// part is not valid JSON, so parseLine counts it as unreadable.
		if isPrefix || bytes.Contains(line, []byte(t.RequestID)) {
			t.parseLine(name, line)
		}
	}
}

func (t *Trace) parseLine(fileName string, text []byte) {
	if at := bytes.IndexByte(text, '{'); at > 0 {
		text = text[at:]
	}
	fields := map[string]any{}
	if err := json.Unmarshal(text, &fields); err != nil {
		t.Unreadable++
		return
	}
	if id, _ := fields["request_id"].(string); id != t.RequestID {
		return
	}
	at, _ := fields["time"].(string)
	t.Lines = append(t.Lines, Line{Time: at, File: fileName, Fields: fields})
}

// Print writes one line of text for each log line, with its fields sorted by name, and
// the counts of lines found and unreadable.
func (t *Trace) Print(out io.Writer) (err error) {
	defer fault.Annotate(&err, "printing the log lines about request %s", t.RequestID)
	for _, line := range t.Lines {
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
	_, err = fmt.Fprintf(out, "%d lines about request %s, %d lines unreadable\n", len(t.Lines), t.RequestID, t.Unreadable)
	return err
}
