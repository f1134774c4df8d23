package document

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"baobabladder.example/baobabladder/internal/base/clock"
)

// reader extracts values from an INI file and keeps the first error.
type reader struct {
	file *ini.File
	err  error
}

// fail records that a value is not allowed, unless an earlier failure is
// recorded.
func (r *reader) fail(section, key, value, allowed string) {
	if r.err == nil {
		r.err = ErrInvalid.New("section [%s], key %s: %q is not allowed: %s", section, key, value, allowed)
	}
}

// allowKeys rejects keys of the section that are not in known.
func (r *reader) allowKeys(section *ini.Section, known ...string) {
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

// list returns the elements of a comma-separated value.
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

func (r *reader) integer(section *ini.Section, key string, fallback int64, required bool, low, high int64) int64 {
	value := r.text(section, key, strconv.FormatInt(fallback, 10), required)
	number, err := strconv.ParseInt(value, 10, 64)
	if err != nil || number < low || number > high {
		r.fail(section.Name(), key, value, fmt.Sprintf("a whole number from %d to %d", low, high))
		return fallback
	}
	return number
}

// thousandths parses a number with up to three decimals and returns it in
// thousandths.
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

func (r *reader) timestamp(section *ini.Section, key string, required bool) clock.Millis {
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

// eachSection calls read for each section named "kind name", in file order.
func (r *reader) eachSection(kind string, read func(section *ini.Section, name string)) {
	for _, section := range r.file.Sections() {
		first, rest, _ := strings.Cut(section.Name(), " ")
		if first == kind {
			read(section, strings.TrimSpace(rest))
		}
	}
}

// allowKinds rejects sections of a kind that is not in known.
func (r *reader) allowKinds(known ...string) {
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

func (r *reader) checkName(section *ini.Section, name string) {
	if !namePattern.MatchString(name) {
		r.fail(section.Name(), "(name)", name, "a name of 1 to 63 of a-z, 0-9, dot, dash, underscore")
	}
}
