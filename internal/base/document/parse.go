package document

import (
	"regexp"
	"strings"

	"github.com/joomcode/errorx"
	"gopkg.in/ini.v1"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/fault"
)

var (
	errorNamespace = errorx.NewNamespace("document")
	// ErrInvalid is the type of errors for an invalid document.
	ErrInvalid = errorNamespace.NewType("invalid")
)

// ReservedPrefix is the prefix of the paths that the system itself serves.
const ReservedPrefix = "/-/"

// Limits and defaults of values in documents. Body sizes are in bytes, shift
// caps in thousandths of the service's traffic.
const (
	// MaxBytes is the maximum size of a document's text, in bytes.
	MaxBytes = 1 << 19

	defaultDeadline           = 2 * clock.Second
	maxDeadline               = 10 * clock.Minute
	defaultMaxBodyBytes       = 1 << 20
	defaultMaxUploadBytes     = 4 << 30
	maxMaxBodyBytes           = 64 << 30
	maxRatePerSecond          = 1_000_000
	maxBurst                  = 1_000_000
	maxSlots                  = 10_000
	maxMbit                   = 1_000_000
	maxLatency                = 10 * clock.Second
	defaultShiftCap           = 250
	maxShiftCap               = 1000
	defaultMaxSlowdownPercent = 50
	maxMaxSlowdownPercent     = 1000
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

// Parse parses and validates a document. Its errors are of type ErrInvalid.
func Parse(text []byte) (document *Document, err error) {
	defer fault.Annotate(&err, "checking the document")
	if len(text) > MaxBytes {
		return nil, ErrInvalid.New("the text has %d bytes, at most %d are allowed", len(text), MaxBytes)
	}
	if err := rejectDuplicates(text); err != nil {
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

// Patterns of the lines that a document may contain. The INI library accepts
// more: it unquotes names and removes comments after headers, so that a
// duplicate section or key could go undetected.
var (
	headerPattern = regexp.MustCompile(`^\[([a-z_]+(?: [^\s\[\]"'` + "`" + `;#]+)*)\]$`)
	keyPattern    = regexp.MustCompile(`^[a-z_]+$`)
)

// loadOptions disables features of the INI library beyond sections and keys: a
// section with a dot in its name would inherit missing keys from another
// section, and a backslash would join lines.
var loadOptions = ini.LoadOptions{
	SpaceBeforeInlineComment: true,
	IgnoreContinuation:       true,
	KeyValueDelimiters:       "=",
	ChildSectionDelimiter:    "\x00",
}

// rejectDuplicates rejects duplicate sections and keys. The INI library would
// merge them silently, with the last one taking precedence.
func rejectDuplicates(text []byte) error {
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
