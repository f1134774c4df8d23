package logging_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"reflect"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/logging"
	"baobabladder.example/baobabladder/internal/standin/fuzz"
)

func TestMain(m *testing.M) { os.Exit(fuzz.Main(m, fuzz.Config{Seed: 20261204, Checks: 200})) }

// stalledWriter is a writer that blocks until release is closed.
type stalledWriter struct{ release chan struct{} }

// Write implements io.Writer.
func (s stalledWriter) Write(text []byte) (int, error) {
	<-s.release
	return len(text), nil
}

func TestBlockedOutputDoesNotBlockLogging(t *testing.T) {
	g := NewWithT(t)
	out := stalledWriter{make(chan struct{})}
	writer := logging.NewWriter(out)
	log := logging.New(writer, logrus.InfoLevel)
	for range 10_000 {
		log.Info("test line")
	}
	g.Expect(writer.TakeDropped()).To(BeNumerically(">", 5000))
	close(out.release)
	writer.Close(clock.Second)
}

// Guards against a process that panics at its end because a request is still logged.
func TestLineAfterCloseDoesNotPanic(t *testing.T) {
	out := stalledWriter{make(chan struct{})}
	defer close(out.release)
	writer := logging.NewWriter(out)
	log := logging.New(writer, logrus.InfoLevel)
	log.Info("before")
	writer.Close(1)
	log.Info("after")
}

func TestLinesAreCompleteAndInOrder(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	writer := logging.NewWriter(&out)
	log := logging.New(writer, logrus.InfoLevel)
	for i := range 100 {
		log.WithField("number", i).WithField("request_id", "a\"\n\x00b").Info("line")
	}
	writer.Close(10 * clock.Second)
	decoder := json.NewDecoder(&out)
	for i := range 100 {
		var line map[string]any
		g.Expect(decoder.Decode(&line)).To(Succeed())
		g.Expect(line["number"]).To(BeNumerically("==", i))
		g.Expect(line["request_id"]).To(Equal("a\"\n\x00b"))
	}
}

// The formatter must write the same fields as logrus.JSONFormatter for any
// values.
func TestLinesEqualThoseOfTheLogrusFormatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fields := logrus.Fields{
			"text": rapid.String().Draw(t, "text"), "millis": clock.Millis(rapid.Int64().Draw(t, "millis")),
			"flag": rapid.Bool().Draw(t, "flag"), "number": rapid.Float64().Draw(t, "number"), "count": rapid.Uint32().Draw(t, "count"),
			"kind": logging.Kind(rapid.String().Draw(t, "kind")), "error": errors.New(rapid.String().Draw(t, "error")),
			"list": rapid.SliceOf(rapid.String()).Draw(t, "list"), "nothing": nil,
		}
		message := rapid.String().Draw(t, "message")
		var output, referenceOutput bytes.Buffer
		logger := logging.New(&output, logrus.InfoLevel)
		reference := logrus.New()
		reference.SetOutput(&referenceOutput)
		reference.SetFormatter(&logrus.JSONFormatter{})
		logger.WithFields(fields).Warn(message)
		reference.WithFields(fields).Warn(message)
		var got, want map[string]any
		if json.Unmarshal(output.Bytes(), &got) != nil || json.Unmarshal(referenceOutput.Bytes(), &want) != nil {
			t.Fatalf("not JSON: %q, %q", output.String(), referenceOutput.String())
		}
		delete(got, "time")
		delete(want, "time")
		if !reflect.DeepEqual(got, want) {
			t.Fatalf("formatter wrote %v, logrus.JSONFormatter wrote %v", got, want)
		}
	})
}

func TestLineWithAnUnencodableValueIsLogged(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	logging.New(&out, logrus.InfoLevel).WithField("request_id", "7").WithField("odd", math.Inf(1)).Info("line")
	var line map[string]any
	g.Expect(json.Unmarshal(out.Bytes(), &line)).To(Succeed())
	g.Expect(line["request_id"]).To(Equal("7"))
	g.Expect(line["odd"]).To(ContainSubstring("unreadable"))
}

func TestFrequentKindDoesNotSuppressOthers(t *testing.T) {
	g := NewWithT(t)
	manual := &clock.Manual{}
	budget := &logging.Budget{Clock: manual.Clock()}
	kept := 0
	for range 1000 {
		if budget.Allow(logging.KindRefused) {
			kept++
		}
	}
	g.Expect(kept).To(BeNumerically("<", 100))
	g.Expect(budget.Allow(logging.KindOutcomeUnknown)).To(BeTrue())
	manual.Advance(clock.Second)
	g.Expect(budget.Allow(logging.KindRefused)).To(BeTrue())
}

func TestSmallShareOfRequestsIsSampled(t *testing.T) {
	g := NewWithT(t)
	sampled := 0
	for i := range 10_000 {
		if logging.IsSampled(fmt.Sprintf("%016x", i*7919)) {
			sampled++
		}
	}
	g.Expect(sampled).To(And(BeNumerically(">", 20), BeNumerically("<", 1000)))
}

func BenchmarkKeptLine(b *testing.B) {
	writer := logging.NewWriter(io.Discard)
	defer writer.Close(clock.Second)
	log := logging.New(writer, logrus.InfoLevel)
	fields := logrus.Fields{"request_id": "9c41d07be2a35f68", "reason": "region_full", "after_ms": 12}
	b.ReportAllocs()
	for b.Loop() {
		log.WithFields(fields).Info("refused")
	}
}

func BenchmarkDroppedLine(b *testing.B) {
	budget := &logging.Budget{}
	b.ReportAllocs()
	for b.Loop() {
		budget.Allow(logging.KindRefused)
	}
}
