package document_test

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"baobabladder.example/baobabladder/internal/base/document"
)

const validService = `
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

const validFleet = `
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
	parsed, err := document.Parse([]byte(validService))
	g.Expect(err).NotTo(HaveOccurred())
	service := parsed.Service
	g.Expect(service.Route("/orders/status/7").Prefix).To(Equal("/orders/status/"), "the longest prefix wins")
	g.Expect(service.Route("/orders/7").Deadline).To(BeEquivalentTo(3000), "the service's deadline is the default")
	g.Expect(service.Route("/other/")).To(BeNil())
	g.Expect(service.Workspace("glen-herbs").Rate).To(BeEquivalentTo(2500))
	g.Expect(service.Drains).To(Equal([]document.Drain{{Kind: document.DrainDataCentre, Name: "clyde-1"}}))
	g.Expect(service.Moves[0].Deadline - service.Moves[0].Start).To(BeEquivalentTo(3_600_000))
	g.Expect(service.Moves[0].MaxSlowdownPercent).To(Equal(50), "the default")

	parsed, err = document.Parse([]byte(validFleet))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(parsed.Fleet.Link("lothian", "clyde").Mbit).To(Equal(280))
	g.Expect(parsed.Fleet.ClientBlocks).To(HaveLen(2))
}

// errorCases replaces one line of a valid document. wantTexts lists what the
// error must contain.
var errorCases = []struct {
	name, text, old, new string
	wantTexts            []string
}{
	{"number out of range", validService, "slots = 3", "slots = 0", []string{"endpoint orders-0", "slots", `"0"`, "from 1 to"}},
	{"not a number", validService, "burst = 10", "burst = ten", []string{"workspace glen-herbs", "burst", `"ten"`, "whole number"}},
	{"rate of zero", validService, "rate = 2.5", "rate = 0", []string{"workspace glen-herbs", "rate", "above 0"}},
	{"negative rate", validService, "rate = 2.5", "rate = -1", []string{"workspace glen-herbs", "rate", "above 0"}},
	{"too many decimals", validService, "rate = 2.5", "rate = 2.5001", []string{"rate", "three decimals"}},
	{"unknown key", validService, "burst = 10", "burts = 10", []string{"workspace glen-herbs", "burts", "known keys"}},
	{"missing key", validService, "version = v1\n", "", []string{"endpoint orders-01", "version", "required"}},
	{"unknown section", validService, "[drain clyde-1]", "[drane clyde-1]", []string{"drane clyde-1", "known sections"}},
	{"unknown work", validService, "work = order", "work = orders", []string{"route /orders/", "work", "catalogue, order, upload"}},
	{"open order route", validService, "work = order\n", "work = order\nopen = yes\n", []string{"open", "order needs a workspace"}},
	{"prefix without slash", validService, "[route /orders/]", "[route /orders]", []string{"route /orders", "slash"}},
	{"host name as address", validService, "127.0.0.1:9001", "localhost:9001", []string{"address", "IP number and a port"}},
	{"address used twice", validService, "127.0.0.1:9002", "127.0.0.1:9001", []string{"address", "an address of its own"}},
	{"drain of an unknown data centre", validService, "[drain clyde-1]", "[drain clyde-9]", []string{"drain clyde-9", "kind"}},
	{"move to an unknown version", validService, "[move v2]", "[move v3]", []string{"move v3", "an endpoint has"}},
	{"move to itself", validService, "from = v1", "from = v2", []string{"move v2", "other than the target"}},
	{"start after the end", validService, "17:00:00Z", "19:00:00Z", []string{"move v2", "start", "before"}},
	{"not a time", validService, "2026-05-01T18:00:00Z", "tomorrow", []string{"move v2", "by", `"tomorrow"`}},
	{"bad name", validService, "[workspace glen-herbs]", "[workspace Glen]", []string{"workspace Glen", "a-z"}},
	{"key twice", validService, "burst = 10", "burst = 10\nburst = 11", []string{"burst", "twice"}},
	{"section twice", validService, "[drain clyde-1]", "[endpoint orders-01]", []string{"endpoint orders-01", "twice"}},
	{"neither service nor fleet section", validService, "[service]", "[workspace x]", []string{"neither"}},
	{"link to an unknown region", validFleet, "[link clyde lothian]", "[link clyde skye]", []string{"link clyde skye", "two different regions"}},
	{"bits beyond the mask", validFleet, "10.1.0.0/16", "10.1.2.0/16", []string{"clients lothian", "blocks", "10.1.2.0/16", "mask"}},
	{"block twice", validFleet, "2001:db8::/32", "10.1.0.0/16", []string{"clients lothian", "10.1.0.0/16"}},
	{"data centre of two regions", validFleet, "data_centres = clyde-1", "data_centres = lothian-1", []string{"data_centres", "lothian-1"}},
}

func TestParseErrorsNameKeyValueAndAllowedRange(t *testing.T) {
	for _, c := range errorCases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			text := strings.Replace(c.text, c.old, c.new, 1)
			g.Expect(text).NotTo(Equal(c.text))
			parsed, err := document.Parse([]byte(text))
			g.Expect(err).To(HaveOccurred())
			g.Expect(parsed).To(BeNil(), "a document with an error is rejected as a whole")
			for _, word := range c.wantTexts {
				g.Expect(err.Error()).To(ContainSubstring(word))
			}
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add(validService)
	f.Add(validFleet)
	for _, c := range errorCases {
		f.Add(strings.Replace(c.text, c.old, c.new, 1))
	}
	f.Fuzz(func(t *testing.T, text string) {
		parsed, err := document.Parse([]byte(text))
		if err != nil {
			return
		}
		if (parsed.Service == nil) == (parsed.Fleet == nil) {
			t.Fatal("an accepted document must have exactly one of service and fleet")
		}
		if parsed.Service == nil {
			return
		}
		for _, workspace := range parsed.Service.Workspaces {
			if workspace.Rate <= 0 || workspace.Burst <= 0 {
				t.Fatalf("accepted workspace with rate %d and burst %d", workspace.Rate, workspace.Burst)
			}
		}
		for _, endpoint := range parsed.Service.Endpoints {
			if endpoint.Slots <= 0 {
				t.Fatalf("accepted endpoint with %d slots", endpoint.Slots)
			}
		}
	})
}
