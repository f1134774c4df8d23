package document_test

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"baobabladder.example/baobabladder/internal/base/document"
)

const goodService = `
[service]
name = orders
deadline_ms = 3000

[route /orders/]
work = order

[route /orders/status/]
work = catalogue
open = yes
deadline_ms = 500

[workspace glen-herbs]
rate = 2.5
burst = 10

[endpoint orders-01]
address = 127.0.0.1:9001
region = lothian
data_centre = lothian-1
version = v1
slots = 3

[endpoint orders-02]
address = 127.0.0.1:9002
region = clyde
data_centre = clyde-1
version = v2
slots = 3

[drain clyde-1]
kind = data_centre

[move v2]
from = v1
start = 2026-05-01T17:00:00Z
by = 2026-05-01T18:00:00Z
`

const goodFleet = `
[fleet]

[region lothian]
data_centres = lothian-1, lothian-2

[region clyde]
data_centres = clyde-1

[link clyde lothian]
mbit = 280
latency_ms = 35

[clients lothian]
blocks = 10.1.0.0/16, 2001:db8::/32
`

func TestParseReadsEveryValue(t *testing.T) {
	g := NewWithT(t)
	parsed, err := document.Parse([]byte(goodService))
	g.Expect(err).NotTo(HaveOccurred())
	service := parsed.Service
	g.Expect(service.Route("/orders/status/7").Prefix).To(Equal("/orders/status/"), "the longest prefix wins")
	g.Expect(service.Route("/orders/7").Deadline).To(BeEquivalentTo(3000), "the service's deadline stands in")
	g.Expect(service.Route("/other/")).To(BeNil())
	g.Expect(service.Workspace("glen-herbs").Rate).To(BeEquivalentTo(2500))
	g.Expect(service.Drains).To(Equal([]document.Drain{{Kind: document.DrainDataCentre, Name: "clyde-1"}}))
	g.Expect(service.Moves[0].Deadline - service.Moves[0].Start).To(BeEquivalentTo(3_600_000))
	g.Expect(service.Moves[0].MaxSlowdownPercent).To(Equal(50), "the default")

	parsed, err = document.Parse([]byte(goodFleet))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(parsed.Fleet.Link("lothian", "clyde").Mbit).To(Equal(280))
	g.Expect(parsed.Fleet.ClientBlocks).To(HaveLen(2))
}

// errorCases change one line of a good document and name what the error must say.
var errorCases = []struct {
	name, text, old, new string
	says                 []string
}{
	{"number out of range", goodService, "slots = 3", "slots = 0", []string{"endpoint orders-0", "slots", `"0"`, "from 1 to"}},
	{"not a number", goodService, "burst = 10", "burst = ten", []string{"workspace glen-herbs", "burst", `"ten"`, "whole number"}},
	{"rate of zero", goodService, "rate = 2.5", "rate = 0", []string{"workspace glen-herbs", "rate", "above 0"}},
	{"negative rate", goodService, "rate = 2.5", "rate = -1", []string{"workspace glen-herbs", "rate", "above 0"}},
	{"too many decimals", goodService, "rate = 2.5", "rate = 2.5001", []string{"rate", "three decimals"}},
	{"unknown key", goodService, "burst = 10", "burts = 10", []string{"workspace glen-herbs", "burts", "known keys"}},
	{"missing key", goodService, "version = v1\n", "", []string{"endpoint orders-01", "version", "required"}},
	{"unknown section", goodService, "[drain clyde-1]", "[drane clyde-1]", []string{"drane clyde-1", "known sections"}},
	{"unknown work", goodService, "work = order", "work = orders", []string{"route /orders/", "work", "catalogue, order, upload"}},
	{"open order route", goodService, "work = order\n", "work = order\nopen = yes\n", []string{"open", "order needs a workspace"}},
	{"prefix without slash", goodService, "[route /orders/]", "[route /orders]", []string{"route /orders", "slash"}},
	{"host name as address", goodService, "127.0.0.1:9001", "localhost:9001", []string{"address", "IP number and a port"}},
	{"address used twice", goodService, "127.0.0.1:9002", "127.0.0.1:9001", []string{"address", "an address of its own"}},
	{"drain of nothing", goodService, "[drain clyde-1]", "[drain clyde-9]", []string{"drain clyde-9", "kind"}},
	{"move to an unknown version", goodService, "[move v2]", "[move v3]", []string{"move v3", "an endpoint has"}},
	{"move to itself", goodService, "from = v1", "from = v2", []string{"move v2", "other than the target"}},
	{"start after the end", goodService, "17:00:00Z", "19:00:00Z", []string{"move v2", "start", "before"}},
	{"not a time", goodService, "2026-05-01T18:00:00Z", "tomorrow", []string{"move v2", "by", `"tomorrow"`}},
	{"bad name", goodService, "[workspace glen-herbs]", "[workspace Glen]", []string{"workspace Glen", "a-z"}},
	{"key twice", goodService, "burst = 10", "burst = 10\nburst = 11", []string{"burst", "twice"}},
	{"section twice", goodService, "[drain clyde-1]", "[endpoint orders-01]", []string{"endpoint orders-01", "twice"}},
	{"no section of a kind", goodService, "[service]", "[workspace x]", []string{"neither"}},
	{"link to an unknown region", goodFleet, "[link clyde lothian]", "[link clyde skye]", []string{"link clyde skye", "two different regions"}},
	{"bits beyond the mask", goodFleet, "10.1.0.0/16", "10.1.2.0/16", []string{"clients lothian", "blocks", "10.1.2.0/16", "mask"}},
	{"block twice", goodFleet, "2001:db8::/32", "10.1.0.0/16", []string{"clients lothian", "10.1.0.0/16"}},
	{"data centre of two regions", goodFleet, "data_centres = clyde-1", "data_centres = lothian-1", []string{"data_centres", "lothian-1"}},
}

func TestParseNamesWhatIsWrong(t *testing.T) {
	for _, c := range errorCases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			text := strings.Replace(c.text, c.old, c.new, 1)
			g.Expect(text).NotTo(Equal(c.text))
			parsed, err := document.Parse([]byte(text))
			g.Expect(err).To(HaveOccurred())
			g.Expect(parsed).To(BeNil(), "a document with an error is refused whole")
			for _, word := range c.says {
				g.Expect(err.Error()).To(ContainSubstring(word))
			}
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add(goodService)
	f.Add(goodFleet)
	for _, c := range errorCases {
		f.Add(strings.Replace(c.text, c.old, c.new, 1))
	}
	f.Fuzz(func(t *testing.T, text string) {
		parsed, err := document.Parse([]byte(text))
		if err != nil {
			return
		}
		if (parsed.Service == nil) == (parsed.Fleet == nil) {
			t.Fatal("an accepted document is of exactly one kind")
		}
		if parsed.Service == nil {
			return
		}
		for _, workspace := range parsed.Service.Workspaces {
			if workspace.Rate <= 0 || workspace.Burst <= 0 {
				t.Fatalf("accepted rate %d, burst %d", workspace.Rate, workspace.Burst)
			}
		}
		for _, endpoint := range parsed.Service.Endpoints {
			if endpoint.Slots <= 0 {
				t.Fatalf("accepted %d slots", endpoint.Slots)
			}
		}
	})
}
