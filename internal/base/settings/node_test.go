package settings_test

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/settings"
)

const validNodeText = `[vm]
name = front-leith-1
region = lothian
data_centre = leith
store = 10.200.1.7:8382
caller_address = 10.1.0.23:8389
ready_address = 10.1.0.23:8384
lookup_address = 10.1.0.23:8385
peer_address = 10.1.0.23:8383
metrics_address = 10.1.0.23:7460
peers = 10.1.0.23:8383,10.2.0.40:8383
first_start = true
memory_mb = 136.5

[data_centres]
leith = lothian
dyce = grampian

[bounds]
stop_grace = 6s
retry_ratio = 0.2
cold_slack = 5
`

func TestParseNode(t *testing.T) {
	g := NewWithT(t)
	node, err := settings.ParseNode([]byte(validNodeText))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(node.Peers).To(Equal([]string{"10.1.0.23:8383", "10.2.0.40:8383"}))
	g.Expect(node.Regions).To(Equal(map[string]string{"leith": "lothian", "dyce": "grampian"}))
	g.Expect(node.FirstStart).To(BeTrue())
	g.Expect(node.Memory).To(BeEquivalentTo(136<<20 + 512<<10))
	g.Expect(node.ForwardAddress).To(BeEmpty(), "a VM takes no forwarded requests unless it is told to")
	g.Expect(node.Bounds.StopGrace).To(Equal(6 * clock.Second))
	g.Expect(node.Bounds.RetryRatio).To(Equal(0.2))
	g.Expect(node.Bounds.LookupLifetime).To(Equal(5*clock.Second), "an omitted key has its default")
}

func TestParseNodeErrorsNameKeyValueAndAllowedRange(t *testing.T) {
	for name, c := range map[string]struct{ from, to, message string }{
		"missing":         {"store = 10.200.1.7:8382\n", "", `section [vm], key store: "" is not allowed: an IP number and a port`},
		"not an address":  {"10.200.1.7:8382", "somewhere", `key store: "somewhere" is not allowed`},
		"missing unit":    {"stop_grace = 6s", "stop_grace = 6", `key stop_grace: "6" is not allowed: a duration`},
		"negative":        {"retry_ratio = 0.2", "retry_ratio = -1", `key retry_ratio: "-1" is not allowed: a number of 0 or more`},
		"unknown key":     {"cold_slack = 5", "cold_slck = 5", "section [bounds], key cold_slck is not allowed"},
		"unknown section": {"[bounds]", "[bound]", "section [bound] is not allowed"},
		"another region":  {"leith = lothian", "leith = clyde", `section [data_centres], key leith: "clyde" is not allowed: the VM's own region, lothian`},
		"little memory":   {"memory_mb = 136.5", "memory_mb = 8", `key memory_mb: "8" is not allowed: 0, or a number of megabytes from 32`},
		"no amount":       {"memory_mb = 136.5", "memory_mb = NaN", `key memory_mb: "NaN" is not allowed`},
		"not a Boolean":   {"first_start = true", "first_start = maybe", `key first_start: "maybe" is not allowed: true or false`},
		"invalid peer":    {"10.2.0.40:8383", "x", "key peers"},
		"invalid forward": {"first_start = true", "forward_address = x", `key forward_address: "x" is not allowed: an IP number and a port`},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			text := strings.Replace(validNodeText, c.from, c.to, 1)
			g.Expect(text).NotTo(Equal(validNodeText))
			_, err := settings.ParseNode([]byte(text))
			g.Expect(err).To(MatchError(ContainSubstring(c.message)))
		})
	}
}
