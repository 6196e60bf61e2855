package lint

import "marigoldwinch.example/marigoldwinch/internal/conf/files"

func organisationID(name, key string) files.ID {
	return files.ID{Section: files.OrganisationSection, Name: name, Key: key}
}

func (c *checker) checkOrganisations() {
	private := 0
	for _, route := range c.conf.Routes {
		if !route.Public {
			private++
		}
	}
	named := map[string]string{} // section of the organisation with a name
	for _, section := range sortedNames(c.conf.Organisations) {
		organisation := c.conf.Organisations[section]
		if len(organisation.Keys) == 0 {
			c.add(Unused, organisationID(section, "key-digests"), "the organisation has no key, so no request is one of it")
		} else if private == 0 && len(c.conf.Routes) > 0 {
			c.add(Unused, organisationID(section, "key-digests"), "no route asks for a key: all are public")
		}
		if organisation.Burst > 0 && organisation.Rate == 0 {
			c.add(NoEffect, organisationID(section, "burst"), "the rate is unlimited")
		}
		if other, taken := named[organisation.Name]; taken {
			c.add(Contradiction, organisationID(section, "name"), "organisation %s has the same name", other)
		}
		named[organisation.Name] = section
		c.addRank(organisation.Priority, organisationID(section, keyPriority))
	}
}
