// Package settings reads the settings file of a VM, which holds its location,
// the addresses that it listens on and the limits that it must keep. A file is
// validated as a whole before any port is opened.
package settings

import (
	"net/netip"
	"net/url"
	"os"
	"regexp"
	"strings"

	"github.com/joomcode/errorx"
	"gopkg.in/ini.v1"

	"baobabladder.example/baobabladder/internal/base/fault"
)

var (
	errorNamespace = errorx.NewNamespace("settings")
	// ErrInvalid is the type of errors for a settings file that is missing,
	// unreadable or invalid.
	ErrInvalid = errorNamespace.NewType("invalid")
)

// Settings holds the settings of an entry VM in a deployment that is configured
// by documents; see package document.
type Settings struct {
	// Name is the VM's name in the platform's list.
	Name       string
	Region     string
	DataCentre string
	// Store is the URL of the platform's store, ending with a slash.
	Store string
	// CallerAddress, PeerAddress and OperatorAddress are IP:port to listen on.
	CallerAddress   string
	PeerAddress     string
	OperatorAddress string
	// Peers holds the peer addresses of some entry VMs, as IP:port. The VM
	// contacts them until the store has provided the list of VMs.
	Peers []string
	// LogLevel is the name of a logrus level.
	LogLevel string
	// Memory is the number of bytes that the process may use, or 0 for the machine's memory.
	Memory int64
}

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

// Load reads and validates the settings file at path.
func Load(path string) (settings Settings, err error) {
	defer fault.Annotate(&err, "reading the settings file %s", path)
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, ErrInvalid.Wrap(err, "the file cannot be read")
	}
	return Parse(text)
}

// Parse parses and validates the text of a settings file. Its errors are of
// type ErrInvalid.
func Parse(text []byte) (settings Settings, err error) {
	if err := rejectDuplicates(text); err != nil {
		return Settings{}, err
	}
	file, err := ini.LoadSources(ini.LoadOptions{SpaceBeforeInlineComment: true, IgnoreContinuation: true, KeyValueDelimiters: "="}, text)
	if err != nil {
		return Settings{}, ErrInvalid.Wrap(err, "the text is not INI")
	}
	section := file.Section("vm")
	peers, memory := "", ""
	fields := []field{
		{"name", &settings.Name, "", checkName},
		{"region", &settings.Region, "", checkName},
		{"data_centre", &settings.DataCentre, "", checkName},
		{"store", &settings.Store, "", checkURL},
		{"caller_address", &settings.CallerAddress, "", checkAddress},
		{"peer_address", &settings.PeerAddress, "", checkAddress},
		{"operator_address", &settings.OperatorAddress, "", checkAddress},
		{"peers", &peers, noPeers, checkPeers},
		{"memory_mb", &memory, "0", readMegabytes(&settings.Memory)},
		{"log_level", &settings.LogLevel, "info", checkLevel},
	}
	for _, s := range file.Sections() {
		if s.Name() != "vm" && (s.Name() != ini.DefaultSection || len(s.Keys()) > 0) {
			return Settings{}, ErrInvalid.New("section [%s] is not allowed: the only section is [vm]", s.Name())
		}
	}
	if err := rejectUnknown(section, fields); err != nil {
		return Settings{}, err
	}
	for _, f := range fields {
		if err := f.read(section); err != nil {
			return Settings{}, err
		}
	}
	settings.Peers = splitPeers(peers)
	return settings, settings.checkAddresses()
}

// checkAddresses rejects settings in which two listeners share an address.
func (s *Settings) checkAddresses() error {
	if s.CallerAddress == s.PeerAddress || s.CallerAddress == s.OperatorAddress {
		return ErrInvalid.New("section [vm], key caller_address: %q is not allowed: an address of its own", s.CallerAddress)
	}
	if s.PeerAddress == s.OperatorAddress {
		return ErrInvalid.New("section [vm], key peer_address: %q is not allowed: an address of its own", s.PeerAddress)
	}
	return nil
}

// rejectDuplicates rejects duplicate sections and keys, which the INI library
// would merge silently.
func rejectDuplicates(text []byte) error {
	seen := map[string]bool{}
	for i, line := range strings.Split(string(text), "\n") {
		line = strings.TrimSpace(line)
		if line == "" || line[0] == '#' || line[0] == ';' {
			continue
		}
		key, _, _ := strings.Cut(line, "=")
		key = strings.TrimSpace(key)
		if seen[key] {
			return ErrInvalid.New("line %d: %s stands twice", i+1, key)
		}
		seen[key] = true
	}
	return nil
}

// field describes one key of the [vm] section. A key with an empty fallback is
// required.
type field struct {
	key      string
	into     *string
	fallback string
	// check returns "" if the value is valid, and otherwise a description of the
	// allowed values.
	check func(value string) (allowed string)
}

func (f field) read(section *ini.Section) error {
	*f.into = f.fallback
	if section.HasKey(f.key) {
		*f.into = section.Key(f.key).Value()
	}
	if allowed := f.check(*f.into); allowed != "" {
		return ErrInvalid.New("section [vm], key %s: %q is not allowed: %s", f.key, *f.into, allowed)
	}
	return nil
}

func rejectUnknown(section *ini.Section, fields []field) error {
	known := map[string]bool{}
	names := make([]string, 0, len(fields))
	for _, f := range fields {
		known[f.key] = true
		names = append(names, f.key)
	}
	for _, key := range section.KeyStrings() {
		if !known[key] {
			return ErrInvalid.New("section [vm], key %s is not allowed: known keys are %s", key, strings.Join(names, ", "))
		}
	}
	return nil
}

func checkName(value string) string {
	if namePattern.MatchString(value) {
		return ""
	}
	return "a name of 1 to 63 of a-z, 0-9, dot, dash, underscore"
}

func checkURL(value string) string {
	parsed, err := url.Parse(value)
	if err == nil && parsed.Scheme == "http" && parsed.Host != "" && strings.HasSuffix(parsed.Path, "/") {
		return ""
	}
	return "a URL such as http://10.1.2.3:7000/ with a slash at its end"
}

func checkAddress(value string) string {
	if _, err := netip.ParseAddrPort(value); err == nil {
		return ""
	}
	return "an IP number and a port such as 10.1.2.3:8080"
}

func checkLevel(value string) string {
	switch value {
	case "debug", "info", "warning", "error":
		return ""
	}
	return "one of debug, info, warning, error"
}

// noPeers is the default of the key peers: no peer addresses.
const noPeers = "none"

func splitPeers(value string) (peers []string) {
	if value == noPeers {
		return nil
	}
	for _, peer := range strings.Split(value, ",") {
		peers = append(peers, strings.TrimSpace(peer))
	}
	return peers
}

func checkPeers(value string) string {
	for _, peer := range splitPeers(value) {
		if checkAddress(peer) != "" {
			return "none, or IP numbers and ports such as 10.1.2.3:7002, 10.1.2.4:7002"
		}
	}
	return ""
}
