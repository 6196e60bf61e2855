package config

import (
	"testing"

	. "github.com/onsi/gomega"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
)

// Guards against work without a configuration, and against a refusal of it that tells another reason.
func TestNoConfigurationIsInForceAtFirst(t *testing.T) {
	g := NewWithT(t)
	holder := &Holder{}
	_, err := holder.InForce()
	g.Expect(err).To(HaveOccurred())
	g.Expect(code.Of(err)).To(HaveField("Code", code.NoConfiguration))
	g.Expect(code.Of(err)).To(HaveField("Outcome", code.NotRun))
	first := &Config{Revision: 1}
	g.Expect(holder.Set(first)).To(Succeed())
	g.Expect(holder.InForce()).To(BeIdenticalTo(first))
}
