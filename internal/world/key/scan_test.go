package key_test

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	. "github.com/onsi/gomega"

	"baobabladder.example/baobabladder/internal/world/key"
)

func issue(g *WithT) string {
	_, text, err := key.Issue("glen")
	g.Expect(err).NotTo(HaveOccurred())
	return text
}

// encode percent-encodes every byte of text, the given number of times.
func encode(text string, times int) string {
	for range times {
		var encoded strings.Builder
		for i := range len(text) {
			fmt.Fprintf(&encoded, "%%%02x", text[i])
		}
		text = encoded.String()
	}
	return text
}

func TestContainsFindsAKeyInEveryForm(t *testing.T) {
	g := NewWithT(t)
	text := issue(g)
	for _, form := range []string{
		text, "a" + text + "b", strings.ToUpper(text), strings.ToLower(text), key.Prefix + " " + text, "b_bbk" + text,
		encode(text, 1), encode(text, 2), encode(text, 5), "%6" + text, "%6" + encode(text, 1), text[:30],
	} {
		g.Expect(key.Contains(form, "")).To(BeTrue(), form)
	}
	g.Expect(key.Contains("x"+text[len(key.Prefix):], text)).To(BeTrue())
	for _, other := range []string{"", "bbk_", "/catalogue/thyme", "bbk_short", "100%", "%zz", text[len(key.Prefix):]} {
		g.Expect(key.Contains(other, "")).To(BeFalse(), other)
	}
}

func TestLeakGuardPassesNoPartOfTheKeyForAnyChunking(t *testing.T) {
	g := NewWithT(t)
	text := issue(g)
	found := errors.New("found")
	for name, cut := range map[string]func(io.Reader) io.Reader{
		"bytes": iotest.OneByteReader, "halves": iotest.HalfReader, "data with EOF": iotest.DataErrReader,
	} {
		for _, before := range []string{"", "b", "bb", "bbk", "bbk_bbk_", strings.Repeat("b", 511), strings.Repeat("x", 5000)} {
			guard := &key.LeakGuard{Body: cut(strings.NewReader(before + text + "tail")), Secret: text, Err: found}
			passed, err := io.ReadAll(guard)
			g.Expect(err).To(Equal(found), name)
			g.Expect(string(passed)).To(Equal(before), name)

			// A body that contains only a part of the key passes unchanged.
			body := before + text[:len(text)-1]
			passed, err = io.ReadAll(&key.LeakGuard{Body: cut(strings.NewReader(body)), Secret: text, Err: found})
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(string(passed)).To(Equal(body), name)
		}
	}
}

// Fuzzes Contains with deeply nested percent encodings, which must decode in
// linear time.
func FuzzContains(f *testing.F) {
	const text = "bbk_0123456789012345678901234567890123456789012"
	f.Add("a%25", "62", 1)
	f.Add("%", "", 4)
	f.Add("%2525252525", "b", 2)
	f.Fuzz(func(t *testing.T, before, after string, times int) {
		form := encode(text, max(times, 0)%4)
		if !key.Contains(before+text+after, "") {
			t.Fatalf("not found between %q and %q", before, after)
		}
		if !strings.Contains(before, "%") && !key.Contains(before+form+after, "") {
			t.Fatalf("%q not found between %q and %q", form, before, after)
		}
	})
}
