package explain_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"baobabladder.example/baobabladder/internal/entry/explain"
)

// writeLog writes log lines to a file and returns its path.
func writeLog(t *testing.T, name string, lines ...string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	NewWithT(t).Expect(os.WriteFile(path, []byte(strings.Join(lines, "\n")+"\n"), 0o600)).To(Succeed())
	return path
}

func TestReadFindsARequestInTheLogsOfSeveralVMs(t *testing.T) {
	g := NewWithT(t)
	one := writeLog(t, "vm-1",
		`{"time":"2026-12-04T10:00:02.000Z","request_id":"id-1","msg":"try","endpoint":"e-2","try":1}`,
		`{"time":"2026-12-04T10:00:02.100Z","request_id":"id-2","msg":"try"}`,
		`{"time":"2026-12-04T10:00:03.000Z","request_id":"id-1","msg":"cut`,
		strings.Repeat("x", 300<<10))
	other := writeLog(t, "vm-2", `some prefix {"time":"2026-12-04T10:00:01.000Z","request_id":"id-1","msg":"refused","reason":"region_full"}`)
	trace, err := explain.Read("id-1", []string{one, other})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(trace.Lines).To(HaveLen(2))
	g.Expect(trace.Lines[0].Fields["reason"]).To(Equal("region_full"))
	g.Expect(trace.Unreadable).To(BeNumerically(">=", 2), "one truncated line, and at least one part of a line that is too long")
	var printed bytes.Buffer
	g.Expect(trace.Print(&printed)).To(Succeed())
	g.Expect(printed.String()).To(MatchRegexp(`(?s)refused reason=region_full.*try endpoint=e-2 try=1.*2 lines about request id-1`))
}

func TestReadReportsAMissingFile(t *testing.T) {
	_, err := explain.Read("id-1", []string{"/nowhere"})
	NewWithT(t).Expect(err).To(MatchError(ContainSubstring("/nowhere")))
}
