package settings

import (
	"os"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/fault"
)

// Node holds the settings of a VM in a deployment whose endpoints and VMs
// register themselves in the platform's store.
type Node struct {
	Name       string
	Region     string
	DataCentre string
	// Store is the IP:port of the platform's store.
	Store string
	// CallerAddress, ReadyAddress, LookupAddress, PeerAddress and MetricsAddress
	// are IP:port to listen on: for requests, for the platform's readiness
	// probes, for callers that look up the VMs to use, for other VMs, and for
	// readers of the metrics.
	CallerAddress  string
	ReadyAddress   string
	LookupAddress  string
	PeerAddress    string
	MetricsAddress string
	// ForwardAddress is the IP:port to listen on for requests that other VMs forward; empty
	// if the VM takes none.
	ForwardAddress string
	// Peers holds the peer addresses of some VMs, as IP:port.
	Peers []string
	// FirstStart reports whether the whole system starts for the first time, so
	// that no workspace has used any of its burst yet.
	FirstStart bool
	// Regions maps each data centre to its region.
	Regions map[string]string
	// LogLevel is the name of a logrus level.
	LogLevel string
	// Memory is the number of bytes that the process may use, or 0 for the machine's memory.
	Memory int64
	Bounds Bounds
	Usage  Usage
}

// Usage says how the deployment wants usage to be reported.
type Usage struct {
	// Address is the IP:port of the metering interface; empty if usage is not reported.
	Address string
	// CallsPerSecond is the most calls that the interface takes from all VMs.
	CallsPerSecond float64
	// Window is the length of a window. A window's report is due Due after its end.
	Window, Due clock.Millis
	// Tolerance is the fraction by which the count of a workspace may be wrong.
	Tolerance float64
	// LeaseTime is the lease time of the duty of reporting.
	LeaseTime clock.Millis
}

// Bounds are the limits that the deployment requires the system to keep. In the
// settings file, durations are written with their unit, such as 2500ms or 6s.
type Bounds struct {
	// StopGrace is the time from a SIGTERM until the platform kills the process.
	StopGrace clock.Millis
	// LookupLifetime is the longest time for which callers may use a list of VMs.
	LookupLifetime clock.Millis
	// RetryRatio and RetrySlack bound the retries over all VMs in any window of
	// RetryWindow: as a share of the requests, plus a constant number.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow clock.Millis
	// TrialShare is the maximum share of a service's requests that a version may
	// receive while it is on trial in a version move. TrialSlack is the number of requests
	// that it may receive beyond that, from all VMs together.
	TrialShare float64
	TrialSlack float64
	// ColdOverage and ColdSlack bound the requests that an endpoint receives
	// during its warm-up, per second and from all VMs: its warm-up rate times
	// ColdOverage, plus ColdSlack.
	ColdOverage float64
	ColdSlack   float64
}

// nodeField describes one key of a Node's settings.
type nodeField struct {
	section, key string
	fallback     string
	// read parses and stores the value. It returns "" if the value is valid, and
	// otherwise a description of the allowed values.
	read func(value string) (allowed string)
}

// LoadNode reads and validates the settings file at path.
func LoadNode(path string) (node Node, err error) {
	defer fault.Annotate(&err, "reading the settings file %s", path)
	text, err := os.ReadFile(path)
	if err != nil {
		return Node{}, ErrInvalid.Wrap(err, "the file cannot be read")
	}
	return ParseNode(text)
}

// ParseNode parses and validates the text of a settings file. Its errors are of
// type ErrInvalid.
func ParseNode(text []byte) (node Node, err error) {
	file, err := ini.LoadSources(ini.LoadOptions{SpaceBeforeInlineComment: true, IgnoreContinuation: true, KeyValueDelimiters: "="}, text)
	if err != nil {
		return Node{}, ErrInvalid.Wrap(err, "the text is not INI")
	}
	if err := node.checkKeys(file); err != nil {
		return Node{}, err
	}
	for _, f := range node.fields() {
		value := f.fallback
		if section := file.Section(f.section); section.HasKey(f.key) && section.Key(f.key).Value() != "" {
			value = section.Key(f.key).Value()
		}
		if allowed := f.read(value); allowed != "" {
			return Node{}, ErrInvalid.New("section [%s], key %s: %q is not allowed: %s", f.section, f.key, value, allowed)
		}
	}
	node.Regions = file.Section("data_centres").KeysHash()
	if node.Regions[node.DataCentre] != node.Region {
		return Node{}, ErrInvalid.New("section [data_centres], key %s: %q is not allowed: the VM's own region, %s", node.DataCentre, node.Regions[node.DataCentre], node.Region)
	}
	return node, nil
}

// checkKeys rejects unknown sections and keys.
func (n *Node) checkKeys(file *ini.File) error {
	known := map[string]bool{}
	for _, f := range n.fields() {
		known[f.section+"/"+f.key] = true
	}
	for _, section := range file.Sections() {
		switch section.Name() {
		case "data_centres":
			continue
		case "vm", "bounds", "usage", ini.DefaultSection:
		default:
			return ErrInvalid.New("section [%s] is not allowed: known sections are [vm], [bounds], [usage] and [data_centres]", section.Name())
		}
		for _, key := range section.KeyStrings() {
			if !known[section.Name()+"/"+key] {
				return ErrInvalid.New("section [%s], key %s is not allowed", section.Name(), key)
			}
		}
	}
	return nil
}

// fields returns the keys of [vm], [bounds] and [usage]. A key with an empty fallback is
// required.
func (n *Node) fields() []nodeField {
	text := func(into *string, check func(string) string) func(string) string {
		return func(value string) string {
			*into = value
			return check(value)
		}
	}
	b, u := &n.Bounds, &n.Usage
	return []nodeField{
		{"vm", "name", "", text(&n.Name, checkName)},
		{"vm", "region", "", text(&n.Region, checkName)},
		{"vm", "data_centre", "", text(&n.DataCentre, checkName)},
		{"vm", "store", "", text(&n.Store, checkAddress)},
		{"vm", "caller_address", "", text(&n.CallerAddress, checkAddress)},
		{"vm", "ready_address", "", text(&n.ReadyAddress, checkAddress)},
		{"vm", "lookup_address", "", text(&n.LookupAddress, checkAddress)},
		{"vm", "peer_address", "", text(&n.PeerAddress, checkAddress)},
		{"vm", "metrics_address", "", text(&n.MetricsAddress, checkAddress)},
		{"vm", "forward_address", noForwarding, n.readForwardAddress},
		{"vm", "peers", noPeers, n.readPeers},
		{"vm", "first_start", "false", readBool(&n.FirstStart)},
		{"vm", "memory_mb", "0", readMegabytes(&n.Memory)},
		{"vm", "log_level", "info", text(&n.LogLevel, checkLevel)},
		{"bounds", "stop_grace", "6s", readDuration(&b.StopGrace)},
		{"bounds", "lookup_lifetime", "5s", readDuration(&b.LookupLifetime)},
		{"bounds", "retry_ratio", "0.1", readNumber(&b.RetryRatio)},
		{"bounds", "retry_slack", "10", readNumber(&b.RetrySlack)},
		{"bounds", "retry_window", "10s", readDuration(&b.RetryWindow)},
		{"bounds", "trial_share", "0.1", readNumber(&b.TrialShare)},
		{"bounds", "trial_slack", "0", readNumber(&b.TrialSlack)},
		{"bounds", "cold_overage", "1", readNumber(&b.ColdOverage)},
		{"bounds", "cold_slack", "1", readNumber(&b.ColdSlack)},
		{"usage", "address", noReports, n.readUsageAddress},
		{"usage", "calls_per_second", "50", readNumber(&u.CallsPerSecond)},
		{"usage", "window", "5s", readDuration(&u.Window)},
		{"usage", "due", "10s", readDuration(&u.Due)},
		{"usage", "tolerance", "0.05", readNumber(&u.Tolerance)},
		{"usage", "lease_time", "3s", readDuration(&u.LeaseTime)},
	}
}

// noReports is the address of the metering interface where usage is not reported.
const noReports = "none"

func (n *Node) readUsageAddress(value string) (allowed string) {
	n.Usage.Address = ""
	if value == noReports {
		return ""
	}
	n.Usage.Address = value
	return checkAddress(value)
}

// noForwarding is the forward_address of a VM that takes no forwarded requests.
const noForwarding = "none"

func (n *Node) readForwardAddress(value string) (allowed string) {
	n.ForwardAddress = ""
	if value == noForwarding {
		return ""
	}
	n.ForwardAddress = value
	return checkAddress(value)
}

func (n *Node) readPeers(value string) (allowed string) {
	n.Peers = splitPeers(value)
	return checkPeers(value)
}

func readDuration(into *clock.Millis) func(string) string {
	return func(value string) string {
		parsed, err := time.ParseDuration(value)
		if err != nil || parsed < time.Millisecond {
			return "a duration above 0 with its unit, such as 2500ms or 6s"
		}
		*into = clock.FromDuration(parsed)
		return ""
	}
}

// minMemory is the least memory that a process can be limited to, in MB: an idle VM uses 24 MB.
// maxMemory keeps the number of bytes in range.
const (
	minMemory = 32
	maxMemory = 1 << 24
)

func readMegabytes(into *int64) func(string) string {
	return func(value string) string {
		parsed, err := strconv.ParseFloat(value, 64)
		if err != nil || parsed != 0 && !(parsed >= minMemory && parsed <= maxMemory) {
			return "0, or a number of megabytes from 32 to 16777216"
		}
		*into = int64(parsed * (1 << 20))
		return ""
	}
}

func readBool(into *bool) func(string) string {
	return func(value string) string {
		parsed, err := strconv.ParseBool(value)
		if err != nil {
			return "true or false"
		}
		*into = parsed
		return ""
	}
}

func readNumber(into *float64) func(string) string {
	return func(value string) string {
		parsed, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
		if err != nil || parsed < 0 || parsed != parsed {
			return "a number of 0 or more"
		}
		*into = parsed
		return ""
	}
}
