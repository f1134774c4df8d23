package body_test

import (
	"strings"
	"testing"

	"github.com/joomcode/errorx"
	. "github.com/onsi/gomega"

	"baobabladder.example/baobabladder/internal/wire/body"
)

func TestBodyIsReadUpToItsBound(t *testing.T) {
	g := NewWithT(t)
	content, err := body.ReadAll(strings.NewReader("1234"), 4)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(content)).To(Equal("1234"))
	rest := strings.NewReader("1234567")
	_, err = body.ReadAll(rest, 4)
	g.Expect(errorx.IsOfType(err, body.ErrTooLong)).To(BeTrue())
	g.Expect(rest.Len()).To(Equal(2), "the rest must not be read")
}
