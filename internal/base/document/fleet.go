package document

import (
	"net/netip"
	"sort"
	"strings"

	"gopkg.in/ini.v1"

	"baobabladder.example/baobabladder/internal/base/clock"
)

func (r *reader) fleet() *Document {
	r.allowKinds("fleet", "region", "link", "clients")
	r.allowKeys(r.file.Section("fleet"), "name")
	if name := r.text(r.file.Section("fleet"), "name", FleetName, false); name != FleetName {
		r.fail("fleet", "name", name, FleetName)
	}
	fleet := &Fleet{}
	knownRegions := map[string]bool{}
	r.eachSection("region", func(section *ini.Section, name string) {
		r.allowKeys(section, "data_centres")
		r.checkName(section, name)
		knownRegions[name] = true
		fleet.Regions = append(fleet.Regions, Region{Name: name, DataCentres: r.dataCentres(section)})
	})
	r.eachSection("link", func(section *ini.Section, name string) {
		fleet.Links = append(fleet.Links, r.link(section, name, knownRegions))
	})
	r.eachSection("clients", func(section *ini.Section, name string) {
		fleet.ClientBlocks = append(fleet.ClientBlocks, r.blocks(section, name, knownRegions)...)
	})
	r.checkFleet(fleet)
	return &Document{Name: FleetName, Fleet: fleet}
}

func (r *reader) dataCentres(section *ini.Section) []string {
	names := r.list(section, "data_centres")
	for _, name := range names {
		if !namePattern.MatchString(name) {
			r.fail(section.Name(), "data_centres", name, "names of 1 to 63 of a-z, 0-9, dot, dash, underscore")
		}
	}
	sort.Strings(names)
	return names
}

func (r *reader) link(section *ini.Section, name string, knownRegions map[string]bool) Link {
	r.allowKeys(section, "mbit", "latency_ms")
	regions := strings.Fields(name)
	if len(regions) != 2 || regions[0] == regions[1] || !knownRegions[regions[0]] || !knownRegions[regions[1]] {
		r.fail(section.Name(), "(regions)", name, "two different regions that have sections of their own above")
		return Link{}
	}
	sort.Strings(regions)
	return Link{
		A:       regions[0],
		B:       regions[1],
		Mbit:    int(r.integer(section, "mbit", 0, true, 1, maxMbit)),
		Latency: clock.Millis(r.integer(section, "latency_ms", 0, true, 0, int64(maxLatency))),
	}
}

func (r *reader) blocks(section *ini.Section, region string, knownRegions map[string]bool) (blocks []ClientBlock) {
	r.allowKeys(section, "blocks")
	if !knownRegions[region] {
		r.fail(section.Name(), "(region)", region, "a region that has a section of its own above")
	}
	for _, text := range r.list(section, "blocks") {
		prefix, err := netip.ParsePrefix(text)
		if err != nil || prefix != prefix.Masked() {
			r.fail(section.Name(), "blocks", text, "blocks such as 10.1.0.0/16, with no bits beyond the mask")
			return nil
		}
		blocks = append(blocks, ClientBlock{Prefix: prefix, Region: region})
	}
	return blocks
}

func (r *reader) checkFleet(fleet *Fleet) {
	owners := map[string]string{}
	for _, region := range fleet.Regions {
		for _, dataCentre := range region.DataCentres {
			if owner := owners[dataCentre]; owner != "" {
				r.fail("region "+region.Name, "data_centres", dataCentre, "a data centre of one region only, this is "+owner+"'s")
			}
			owners[dataCentre] = region.Name
		}
	}
	if len(fleet.Regions) == 0 {
		r.fail("fleet", "(regions)", "", "at least one [region ...] section")
	}
	links := map[string]bool{}
	for _, link := range fleet.Links {
		if links[link.A+" "+link.B] {
			r.fail("link "+link.A+" "+link.B, "(regions)", link.A+" "+link.B, "one section for a pair of regions")
		}
		links[link.A+" "+link.B] = true
	}
	seen := map[netip.Prefix]string{}
	for _, block := range fleet.ClientBlocks {
		if owner := seen[block.Prefix]; owner != "" {
			r.fail("clients "+block.Region, "blocks", block.Prefix.String(), "a block that stands once, this is "+owner+"'s")
		}
		seen[block.Prefix] = block.Region
	}
	sort.Slice(fleet.Regions, func(i, j int) bool { return fleet.Regions[i].Name < fleet.Regions[j].Name })
	sort.Slice(fleet.Links, func(i, j int) bool {
		return fleet.Links[i].A+" "+fleet.Links[i].B < fleet.Links[j].A+" "+fleet.Links[j].B
	})
	sort.Slice(fleet.ClientBlocks, func(i, j int) bool {
		return fleet.ClientBlocks[i].Prefix.String() < fleet.ClientBlocks[j].Prefix.String()
	})
}
