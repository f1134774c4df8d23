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

// write puts log lines into a file and returns its name.
func write(t *testing.T, name string, lines ...string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	NewWithT(t).Expect(os.WriteFile(path, []byte(strings.Join(lines, "\n")+"\n"), 0o600)).To(Succeed())
	return path
}

func TestARequestsWayIsFoundInTheLogsOfSeveralVMs(t *testing.T) {
	g := NewWithT(t)
	one := write(t, "vm-1",
		`{"time":"2026-12-04T10:00:02.000Z","request_id":"id-1","msg":"try","endpoint":"e-2","try":1}`,
		`{"time":"2026-12-04T10:00:02.100Z","request_id":"id-2","msg":"try"}`,
		`{"time":"2026-12-04T10:00:03.000Z","request_id":"id-1","msg":"cut`,
		strings.Repeat("x", 300<<10))
	other := write(t, "vm-2", `some prefix {"time":"2026-12-04T10:00:01.000Z","request_id":"id-1","msg":"refused","reason":"region_full"}`)
	way, err := explain.Read("id-1", []string{one, other})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(way.Lines).To(HaveLen(2))
	g.Expect(way.Lines[0].Fields["reason"]).To(Equal("region_full"))
	g.Expect(way.Unreadable).To(BeNumerically(">=", 2), "a cut line, and one that is too long")
	var printed bytes.Buffer
	g.Expect(way.Print(&printed)).To(Succeed())
	g.Expect(printed.String()).To(MatchRegexp(`(?s)refused reason=region_full.*try endpoint=e-2 try=1.*2 lines about request id-1`))
}

func TestAFileThatIsNotThereIsAnError(t *testing.T) {
	_, err := explain.Read("id-1", []string{"/nowhere"})
	NewWithT(t).Expect(err).To(MatchError(ContainSubstring("/nowhere")))
}
