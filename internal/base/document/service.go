package document

import (
	"net/netip"
	"sort"
	"strings"

	"gopkg.in/ini.v1"

	"baobabladder.example/baobabladder/internal/base/clock"
)

func (r *reader) service() *Document {
	r.allowKinds("service", "route", "workspace", "endpoint", "drain", "move")
	serviceSection := r.file.Section("service")
	r.allowKeys(serviceSection, "name", "deadline_ms", "shift_cap_percent")
	service := &Service{
		Name:     r.name(serviceSection, "name"),
		Deadline: clock.Millis(r.integer(serviceSection, "deadline_ms", int64(defaultDeadline), false, 1, int64(maxDeadline))),
		ShiftCap: 10 * int(r.integer(serviceSection, "shift_cap_percent", defaultShiftCap/10, false, 1, maxShiftCap/10)),
	}
	if service.Name == FleetName {
		r.fail("service", "name", service.Name, "any name but that of the fleet document")
	}
	r.eachSection("route", func(section *ini.Section, prefix string) {
		service.Routes = append(service.Routes, r.route(section, prefix, service.Deadline))
	})
	r.eachSection("workspace", func(section *ini.Section, name string) {
		service.Workspaces = append(service.Workspaces, r.workspace(section, name))
	})
	r.eachSection("endpoint", func(section *ini.Section, name string) {
		service.Endpoints = append(service.Endpoints, r.endpoint(section, name))
	})
	r.eachSection("drain", func(section *ini.Section, name string) {
		service.Drains = append(service.Drains, r.drain(section, name))
	})
	r.eachSection("move", func(section *ini.Section, version string) {
		service.Moves = append(service.Moves, r.move(section, version))
	})
	r.checkService(service)
	sortService(service)
	return &Document{Name: service.Name, Service: service}
}

func (r *reader) route(section *ini.Section, prefix string, deadline clock.Millis) Route {
	r.allowKeys(section, "work", "open", "deadline_ms", "max_body_bytes")
	if !strings.HasPrefix(prefix, "/") || !strings.HasSuffix(prefix, "/") || strings.ContainsAny(prefix, "?#%") {
		r.fail(section.Name(), "(prefix)", prefix, "a path that starts and ends with a slash")
	}
	if strings.HasPrefix(prefix, ReservedPrefix) || strings.Contains(prefix, "//") || strings.Contains(prefix, "/.") {
		r.fail(section.Name(), "(prefix)", prefix, "a path outside "+ReservedPrefix+" without empty parts or parts that start with a dot")
	}
	route := Route{
		Prefix:   prefix,
		Work:     Work(r.choice(section, "work", "", true, string(WorkCatalogue), string(WorkOrder), string(WorkUpload))),
		Public:   r.choice(section, "open", "no", false, "yes", "no") == "yes",
		Deadline: clock.Millis(r.integer(section, "deadline_ms", int64(deadline), false, 1, int64(maxDeadline))),
	}
	fallback := int64(defaultMaxBodyBytes)
	if route.Work == WorkUpload {
		fallback = defaultMaxUploadBytes
	}
	route.MaxBody = r.integer(section, "max_body_bytes", fallback, false, 0, maxMaxBodyBytes)
	if route.Public && route.Work == WorkOrder {
		r.fail(section.Name(), "open", "yes", "no, since an order needs a workspace")
	}
	return route
}

func (r *reader) workspace(section *ini.Section, name string) Workspace {
	r.allowKeys(section, "rate", "burst")
	r.checkName(section, name)
	return Workspace{
		Name:  name,
		Rate:  r.thousandths(section, "rate", maxRatePerSecond),
		Burst: r.integer(section, "burst", 1, true, 1, maxBurst),
	}
}

func (r *reader) endpoint(section *ini.Section, name string) Endpoint {
	r.allowKeys(section, "address", "region", "data_centre", "version", "slots")
	r.checkName(section, name)
	endpoint := Endpoint{
		Name:       name,
		Address:    r.text(section, "address", "", true),
		Region:     r.name(section, "region"),
		DataCentre: r.name(section, "data_centre"),
		Version:    r.name(section, "version"),
		Slots:      int(r.integer(section, "slots", 1, true, 1, maxSlots)),
	}
	if _, err := netip.ParseAddrPort(endpoint.Address); err != nil {
		r.fail(section.Name(), "address", endpoint.Address, "an IP number and a port such as 10.1.2.3:8080")
	}
	return endpoint
}

func (r *reader) drain(section *ini.Section, name string) Drain {
	r.allowKeys(section, "kind")
	r.checkName(section, name)
	kind := r.choice(section, "kind", "", true, string(DrainEndpoint), string(DrainDataCentre), string(DrainRegion))
	return Drain{Kind: DrainKind(kind), Name: name}
}

func (r *reader) move(section *ini.Section, version string) Move {
	r.allowKeys(section, "from", "by", "start", "slow_percent")
	r.checkName(section, version)
	move := Move{
		From:               r.name(section, "from"),
		To:                 version,
		Deadline:           r.timestamp(section, "by", true),
		Start:              r.timestamp(section, "start", false),
		MaxSlowdownPercent: int(r.integer(section, "slow_percent", defaultMaxSlowdownPercent, false, 1, maxMaxSlowdownPercent)),
	}
	if move.Start != 0 && move.Start >= move.Deadline {
		r.fail(section.Name(), "start", section.Key("start").Value(), "a time before that of the key by")
	}
	return move
}

// checkService checks the constraints that span several sections.
func (r *reader) checkService(service *Service) {
	versions := map[string]bool{}
	drainable := map[Drain]bool{}
	addresses := map[string]string{}
	for _, endpoint := range service.Endpoints {
		section := "endpoint " + endpoint.Name
		versions[endpoint.Version] = true
		drainable[Drain{DrainEndpoint, endpoint.Name}] = true
		drainable[Drain{DrainDataCentre, endpoint.DataCentre}] = true
		drainable[Drain{DrainRegion, endpoint.Region}] = true
		if other := addresses[endpoint.Address]; other != "" {
			r.fail(section, "address", endpoint.Address, "an address of its own, this is "+other+"'s")
		}
		addresses[endpoint.Address] = endpoint.Name
	}
	for _, drain := range service.Drains {
		if !drainable[drain] {
			r.fail("drain "+drain.Name, "kind", string(drain.Kind), "the kind and name of something that an endpoint section has")
		}
	}
	for _, move := range service.Moves {
		section := "move " + move.To
		if move.From == move.To {
			r.fail(section, "from", move.From, "a version other than the target")
		}
		if !versions[move.From] {
			r.fail(section, "from", move.From, "a version that an endpoint has")
		}
		if !versions[move.To] {
			r.fail(section, "(name)", move.To, "a version that an endpoint has")
		}
	}
	if len(service.Moves) > 1 {
		r.fail("move "+service.Moves[1].To, "(name)", service.Moves[1].To, "one move at a time for a service")
	}
	if len(service.Routes) == 0 {
		r.fail("service", "(routes)", "", "at least one [route ...] section")
	}
}

func sortService(service *Service) {
	sort.Slice(service.Routes, func(i, j int) bool {
		a, b := service.Routes[i].Prefix, service.Routes[j].Prefix
		if len(a) != len(b) {
			return len(a) > len(b)
		}
		return a < b
	})
	sort.Slice(service.Workspaces, func(i, j int) bool { return service.Workspaces[i].Name < service.Workspaces[j].Name })
	sort.Slice(service.Endpoints, func(i, j int) bool { return service.Endpoints[i].Name < service.Endpoints[j].Name })
	sort.Slice(service.Drains, func(i, j int) bool {
		return service.Drains[i].Kind+"/"+DrainKind(service.Drains[i].Name) < service.Drains[j].Kind+"/"+DrainKind(service.Drains[j].Name)
	})
}
