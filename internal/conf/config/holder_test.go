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

// Guards against a daemon that goes back to a replaced configuration when the platform has come back from a copy.
func TestReplacedConfigurationStaysReplaced(t *testing.T) {
	g := NewWithT(t)
	holder := &Holder{}
	set := func(revision, serial uint64, host string, zone ZoneState) *Config {
		route := NewRoute("a")
		route.Host, route.Prefix = host, "/"
		next := &Config{
			Revision: revision, Serial: serial, Routes: map[string]*Route{"a": route},
			Services: map[string]*Service{"known": NewService("known")}, Zones: map[string]ZoneState{"z": zone},
			Rollouts: map[string]*Rollout{"known": NewRollout("known"), "gone": NewRollout("gone")},
		}
		next.Index()
		g.Expect(holder.Set(next)).To(Succeed())
		return holder.Get()
	}
	for _, step := range []struct {
		serial, inForce uint64
		host            string
		zone            ZoneState
	}{
		{7, 7, "seven", ZoneIn},
		{5, 7, "seven", ZoneOut},
		{6, 7, "seven", ZoneIn},
		{7, 7, "again", ZoneIn},
		{9, 9, "nine", ZoneOut},
		{0, 0, "none", ZoneIn},
	} {
		revision := holder.Revision() + 1
		written := step.host
		if step.serial < step.inForce {
			written = "replaced"
		}
		inForce := set(revision, step.serial, written, step.zone)
		g.Expect(inForce.Revision).To(Equal(revision))
		g.Expect(inForce.Serial).To(Equal(step.inForce), "serial %d", step.serial)
		g.Expect(inForce.RouteFor(step.host, "/")).NotTo(BeNil(), "serial %d", step.serial)
		g.Expect(inForce.Zones["z"]).To(Equal(step.zone), "serial %d", step.serial)
		g.Expect(inForce.Rollouts).To(HaveKey("known"))
		g.Expect(inForce.Services).To(HaveKey("known"))
	}
}
