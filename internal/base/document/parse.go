package document

import (
	"fmt"
	"net/netip"
	"regexp"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/joomcode/errorx"
	"gopkg.in/ini.v1"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/fault"
)

var (
	errorNamespace = errorx.NewNamespace("document")
	// ErrInvalid says that a document has a value that is not allowed.
	ErrInvalid = errorNamespace.NewType("invalid")
)

// ReservedPrefix starts the paths that the system answers itself.
const ReservedPrefix = "/-/"

// Limits and defaults of documents.
const (
	// MaxBytes is the largest text of a document.
	MaxBytes = 1 << 19

	defaultDeadline    = 2 * clock.Second
	maxDeadline        = 10 * clock.Minute
	defaultMaxBody     = 1 << 20
	defaultUploadBody  = 4 << 30
	maxMaxBody         = 64 << 30
	maxRatePerSecond   = 1_000_000
	maxBurst           = 1_000_000
	maxSlots           = 10_000
	maxMbit            = 1_000_000
	maxLatency         = 10 * clock.Second
	defaultShiftCap    = 250
	maxShiftCap        = 1000
	defaultSlowPercent = 50
	maxSlowPercent     = 1000
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

// Parse reads and checks a whole document.
func Parse(text []byte) (document *Document, err error) {
	defer fault.Annotate(&err, "checking the document")
	if len(text) > MaxBytes {
		return nil, ErrInvalid.New("the text has %d bytes, at most %d are allowed", len(text), MaxBytes)
	}
	if err := rejectRepeats(text); err != nil {
		return nil, err
	}
	file, err := ini.LoadSources(loadOptions, text)
	if err != nil {
		return nil, ErrInvalid.Wrap(err, "the text is not INI")
	}
	r := &reader{file: file}
	switch {
	case file.HasSection("service"):
		document = r.service()
	case file.HasSection("fleet"):
		document = r.fleet()
	default:
		return nil, ErrInvalid.New("neither a [service] nor a [fleet] section stands in the text")
	}
	if r.err != nil {
		return nil, r.err
	}
	return document, nil
}

// Lines as they may stand in a document. The INI library takes more: it unquotes
// names and cuts comments off headers, by which a section or key could stand
// twice unseen.
var (
	headerPattern = regexp.MustCompile(`^\[([a-z_]+(?: [^\s\[\]"'` + "`" + `;#]+)*)\]$`)
	keyPattern    = regexp.MustCompile(`^[a-z_]+$`)
)

// loadOptions switches off what the INI library does beyond sections and keys: a
// section whose name has a dot would take missing keys from another one, and a
// backslash would join lines.
var loadOptions = ini.LoadOptions{
	SpaceBeforeInlineComment: true,
	IgnoreContinuation:       true,
	KeyValueDelimiters:       "=",
	ChildSectionDelimiter:    "\x00",
}

// rejectRepeats refuses a section or key that stands twice: the INI library
// would merge them and let the last one win without a word.
func rejectRepeats(text []byte) error {
	sections := map[string]bool{}
	keys := map[string]bool{}
	section := ""
	for i, line := range strings.Split(string(text), "\n") {
		line = strings.TrimSpace(line)
		switch {
		case line == "" || line[0] == '#' || line[0] == ';':
		case line[0] == '[':
			header := headerPattern.FindStringSubmatch(line)
			if header == nil {
				return ErrInvalid.New("line %d: %q is not allowed: a section is [kind] or [kind name], with single spaces and no comment behind it", i+1, line)
			}
			section = header[1]
			if sections[section] {
				return ErrInvalid.New("line %d: section [%s] stands twice", i+1, section)
			}
			sections[section] = true
		default:
			key, _, found := strings.Cut(line, "=")
			key = strings.TrimSpace(key)
			if !found || !keyPattern.MatchString(key) {
				return ErrInvalid.New("line %d: %q is neither a section nor key = value", i+1, line)
			}
			if keys[section+"\n"+key] {
				return ErrInvalid.New("line %d: key %s stands twice in [%s]", i+1, key, section)
			}
			keys[section+"\n"+key] = true
		}
	}
	return nil
}

// reader walks a file and keeps the first error.
type reader struct {
	file *ini.File
	err  error
}

// fail records that a value is not allowed; only the first failure is kept.
func (r *reader) fail(section, key, value, allowed string) {
	if r.err == nil {
		r.err = ErrInvalid.New("section [%s], key %s: %q is not allowed: %s", section, key, value, allowed)
	}
}

// only refuses keys of the section that are not in known.
func (r *reader) only(section *ini.Section, known ...string) {
	for _, key := range section.KeyStrings() {
		found := false
		for _, k := range known {
			found = found || k == key
		}
		if !found {
			r.fail(section.Name(), key, section.Key(key).Value(), "known keys are "+strings.Join(known, ", "))
		}
	}
}

func (r *reader) text(section *ini.Section, key, fallback string, required bool) string {
	if !section.HasKey(key) {
		if required {
			r.fail(section.Name(), key, "", "the key is required")
		}
		return fallback
	}
	return section.Key(key).Value()
}

// list reads a value of names parted by commas.
func (r *reader) list(section *ini.Section, key string) (values []string) {
	for _, value := range strings.Split(r.text(section, key, "", true), ",") {
		values = append(values, strings.TrimSpace(value))
	}
	return values
}

func (r *reader) name(section *ini.Section, key string) string {
	value := r.text(section, key, "", true)
	if !namePattern.MatchString(value) {
		r.fail(section.Name(), key, value, "a name of 1 to 63 of a-z, 0-9, dot, dash, underscore")
	}
	return value
}

func (r *reader) choice(section *ini.Section, key, fallback string, required bool, allowed ...string) string {
	value := r.text(section, key, fallback, required)
	for _, a := range allowed {
		if value == a {
			return value
		}
	}
	r.fail(section.Name(), key, value, "one of "+strings.Join(allowed, ", "))
	return value
}

func (r *reader) whole(section *ini.Section, key string, fallback int64, required bool, low, high int64) int64 {
	value := r.text(section, key, strconv.FormatInt(fallback, 10), required)
	number, err := strconv.ParseInt(value, 10, 64)
	if err != nil || number < low || number > high {
		r.fail(section.Name(), key, value, fmt.Sprintf("a whole number from %d to %d", low, high))
		return fallback
	}
	return number
}

// thousandths reads a number with up to three decimals as thousandths.
func (r *reader) thousandths(section *ini.Section, key string, high int64) int64 {
	value := r.text(section, key, "", true)
	whole, decimals, _ := strings.Cut(value, ".")
	allowed := fmt.Sprintf("a number above 0 and up to %d with at most three decimals", high)
	if len(decimals) > 3 {
		r.fail(section.Name(), key, value, allowed)
		return 0
	}
	number, err := strconv.ParseUint(whole+decimals+strings.Repeat("0", 3-len(decimals)), 10, 63)
	if err != nil || number == 0 || int64(number) > high*1000 {
		r.fail(section.Name(), key, value, allowed)
		return 0
	}
	return int64(number)
}

func (r *reader) instant(section *ini.Section, key string, required bool) clock.Millis {
	value := r.text(section, key, "", required)
	if value == "" {
		return 0
	}
	at, err := time.Parse(time.RFC3339, value)
	if err != nil {
		r.fail(section.Name(), key, value, "a time such as 2026-05-01T18:00:00Z")
		return 0
	}
	return clock.Millis(at.UnixMilli())
}

// sections calls read for each section "kind name", in file order.
func (r *reader) sections(kind string, read func(section *ini.Section, name string)) {
	for _, section := range r.file.Sections() {
		first, rest, _ := strings.Cut(section.Name(), " ")
		if first == kind {
			read(section, strings.TrimSpace(rest))
		}
	}
}

// kinds refuses sections whose kind is not known.
func (r *reader) kinds(known ...string) {
	for _, section := range r.file.Sections() {
		kind, _, _ := strings.Cut(section.Name(), " ")
		if kind == ini.DefaultSection && len(section.Keys()) == 0 {
			continue
		}
		found := false
		for _, k := range known {
			found = found || k == kind
		}
		if single := kind == "service" || kind == "fleet"; single && section.Name() != kind {
			found = false
		}
		if !found && r.err == nil {
			r.err = ErrInvalid.New("section [%s] is not allowed: known sections are %s", section.Name(), strings.Join(known, ", "))
		}
	}
}

func (r *reader) service() *Document {
	r.kinds("service", "route", "workspace", "endpoint", "drain", "move")
	head := r.file.Section("service")
	r.only(head, "name", "deadline_ms", "shift_cap_percent")
	service := &Service{
		Name:     r.name(head, "name"),
		Deadline: clock.Millis(r.whole(head, "deadline_ms", int64(defaultDeadline), false, 1, int64(maxDeadline))),
		ShiftCap: 10 * int(r.whole(head, "shift_cap_percent", defaultShiftCap/10, false, 1, maxShiftCap/10)),
	}
	if service.Name == FleetName {
		r.fail("service", "name", service.Name, "any name but that of the fleet document")
	}
	r.sections("route", func(section *ini.Section, prefix string) {
		service.Routes = append(service.Routes, r.route(section, prefix, service.Deadline))
	})
	r.sections("workspace", func(section *ini.Section, name string) {
		service.Workspaces = append(service.Workspaces, r.workspace(section, name))
	})
	r.sections("endpoint", func(section *ini.Section, name string) {
		service.Endpoints = append(service.Endpoints, r.endpoint(section, name))
	})
	r.sections("drain", func(section *ini.Section, name string) {
		service.Drains = append(service.Drains, r.drain(section, name))
	})
	r.sections("move", func(section *ini.Section, version string) {
		service.Moves = append(service.Moves, r.move(section, version))
	})
	r.checkService(service)
	sortService(service)
	return &Document{Name: service.Name, Service: service}
}

func (r *reader) route(section *ini.Section, prefix string, deadline clock.Millis) Route {
	r.only(section, "work", "open", "deadline_ms", "max_body_bytes")
	if !strings.HasPrefix(prefix, "/") || !strings.HasSuffix(prefix, "/") || strings.ContainsAny(prefix, "?#%") {
		r.fail(section.Name(), "(prefix)", prefix, "a path that starts and ends with a slash")
	}
	if strings.HasPrefix(prefix, ReservedPrefix) || strings.Contains(prefix, "//") || strings.Contains(prefix, "/.") {
		r.fail(section.Name(), "(prefix)", prefix, "a path outside "+ReservedPrefix+" without empty parts or parts that start with a dot")
	}
	route := Route{
		Prefix:   prefix,
		Work:     Work(r.choice(section, "work", "", true, string(Catalogue), string(Order), string(Upload))),
		Open:     r.choice(section, "open", "no", false, "yes", "no") == "yes",
		Deadline: clock.Millis(r.whole(section, "deadline_ms", int64(deadline), false, 1, int64(maxDeadline))),
	}
	fallback := int64(defaultMaxBody)
	if route.Work == Upload {
		fallback = defaultUploadBody
	}
	route.MaxBody = r.whole(section, "max_body_bytes", fallback, false, 0, maxMaxBody)
	if route.Open && route.Work == Order {
		r.fail(section.Name(), "open", "yes", "no, since an order needs a workspace")
	}
	return route
}

func (r *reader) workspace(section *ini.Section, name string) Workspace {
	r.only(section, "rate", "burst")
	r.checkName(section, name)
	return Workspace{
		Name:  name,
		Rate:  r.thousandths(section, "rate", maxRatePerSecond),
		Burst: r.whole(section, "burst", 1, true, 1, maxBurst),
	}
}

func (r *reader) endpoint(section *ini.Section, name string) Endpoint {
	r.only(section, "address", "region", "data_centre", "version", "slots")
	r.checkName(section, name)
	endpoint := Endpoint{
		Name:       name,
		Address:    r.text(section, "address", "", true),
		Region:     r.name(section, "region"),
		DataCentre: r.name(section, "data_centre"),
		Version:    r.name(section, "version"),
		Slots:      int(r.whole(section, "slots", 1, true, 1, maxSlots)),
	}
	if _, err := netip.ParseAddrPort(endpoint.Address); err != nil {
		r.fail(section.Name(), "address", endpoint.Address, "an IP number and a port such as 10.1.2.3:8080")
	}
	return endpoint
}

func (r *reader) drain(section *ini.Section, name string) Drain {
	r.only(section, "kind")
	r.checkName(section, name)
	kind := r.choice(section, "kind", "", true, string(DrainEndpoint), string(DrainDataCentre), string(DrainRegion))
	return Drain{Kind: DrainKind(kind), Name: name}
}

func (r *reader) move(section *ini.Section, version string) Move {
	r.only(section, "from", "by", "start", "slow_percent")
	r.checkName(section, version)
	move := Move{
		From:        r.name(section, "from"),
		To:          version,
		By:          r.instant(section, "by", true),
		Start:       r.instant(section, "start", false),
		SlowPercent: int(r.whole(section, "slow_percent", defaultSlowPercent, false, 1, maxSlowPercent)),
	}
	if move.Start != 0 && move.Start >= move.By {
		r.fail(section.Name(), "start", section.Key("start").Value(), "a time before that of the key by")
	}
	return move
}

func (r *reader) checkName(section *ini.Section, name string) {
	if !namePattern.MatchString(name) {
		r.fail(section.Name(), "(name)", name, "a name of 1 to 63 of a-z, 0-9, dot, dash, underscore")
	}
}

// checkService checks what no single section can.
func (r *reader) checkService(service *Service) {
	versions := map[string]bool{}
	places := map[Drain]bool{}
	addresses := map[string]string{}
	for _, endpoint := range service.Endpoints {
		section := "endpoint " + endpoint.Name
		versions[endpoint.Version] = true
		places[Drain{DrainEndpoint, endpoint.Name}] = true
		places[Drain{DrainDataCentre, endpoint.DataCentre}] = true
		places[Drain{DrainRegion, endpoint.Region}] = true
		if other := addresses[endpoint.Address]; other != "" {
			r.fail(section, "address", endpoint.Address, "an address of its own, this is "+other+"'s")
		}
		addresses[endpoint.Address] = endpoint.Name
	}
	for _, drain := range service.Drains {
		if !places[drain] {
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

func (r *reader) fleet() *Document {
	r.kinds("fleet", "region", "link", "clients")
	r.only(r.file.Section("fleet"), "name")
	if name := r.text(r.file.Section("fleet"), "name", FleetName, false); name != FleetName {
		r.fail("fleet", "name", name, FleetName)
	}
	fleet := &Fleet{}
	known := map[string]bool{}
	r.sections("region", func(section *ini.Section, name string) {
		r.only(section, "data_centres")
		r.checkName(section, name)
		known[name] = true
		fleet.Regions = append(fleet.Regions, Region{Name: name, DataCentres: r.dataCentres(section)})
	})
	r.sections("link", func(section *ini.Section, name string) {
		fleet.Links = append(fleet.Links, r.link(section, name, known))
	})
	r.sections("clients", func(section *ini.Section, name string) {
		fleet.Blocks = append(fleet.Blocks, r.blocks(section, name, known)...)
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

func (r *reader) link(section *ini.Section, name string, known map[string]bool) Link {
	r.only(section, "mbit", "latency_ms")
	ends := strings.Fields(name)
	if len(ends) != 2 || ends[0] == ends[1] || !known[ends[0]] || !known[ends[1]] {
		r.fail(section.Name(), "(regions)", name, "two different regions that have sections of their own above")
		return Link{}
	}
	sort.Strings(ends)
	return Link{
		A:       ends[0],
		B:       ends[1],
		Mbit:    int(r.whole(section, "mbit", 0, true, 1, maxMbit)),
		Latency: clock.Millis(r.whole(section, "latency_ms", 0, true, 0, int64(maxLatency))),
	}
}

func (r *reader) blocks(section *ini.Section, region string, known map[string]bool) (blocks []Block) {
	r.only(section, "blocks")
	if !known[region] {
		r.fail(section.Name(), "(region)", region, "a region that has a section of its own above")
	}
	for _, text := range r.list(section, "blocks") {
		prefix, err := netip.ParsePrefix(text)
		if err != nil || prefix != prefix.Masked() {
			r.fail(section.Name(), "blocks", text, "blocks such as 10.1.0.0/16, with no bits beyond the mask")
			return nil
		}
		blocks = append(blocks, Block{Prefix: prefix, Region: region})
	}
	return blocks
}

func (r *reader) checkFleet(fleet *Fleet) {
	owners := map[string]string{}
	for _, region := range fleet.Regions {
		for _, dataCentre := range region.DataCentres {
			if other := owners[dataCentre]; other != "" {
				r.fail("region "+region.Name, "data_centres", dataCentre, "a data centre of one region only, this is "+other+"'s")
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
	for _, block := range fleet.Blocks {
		if other := seen[block.Prefix]; other != "" {
			r.fail("clients "+block.Region, "blocks", block.Prefix.String(), "a block that stands once, this is "+other+"'s")
		}
		seen[block.Prefix] = block.Region
	}
	sort.Slice(fleet.Regions, func(i, j int) bool { return fleet.Regions[i].Name < fleet.Regions[j].Name })
	sort.Slice(fleet.Links, func(i, j int) bool {
		return fleet.Links[i].A+" "+fleet.Links[i].B < fleet.Links[j].A+" "+fleet.Links[j].B
	})
	sort.Slice(fleet.Blocks, func(i, j int) bool {
		return fleet.Blocks[i].Prefix.String() < fleet.Blocks[j].Prefix.String()
	})
}
