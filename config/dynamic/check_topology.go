package dynamic

import (
	"net/netip"
	"slices"
)

func (c *checker) checkTopology() {
	for i, domain := range c.set.FailureDomains {
		o := c.forObject(KindFailureDomain, i, domain.Name)
		o.requireObject("region", KindRegion, domain.Region)
	}
	c.checkLinks()
	c.checkClientBlocks()
}

func (c *checker) checkLinks() {
	seen := map[[2]string]string{}
	for i, link := range c.set.Links {
		o := c.forObject(KindLink, i, link.Name)
		pair := link.Between
		slices.Sort(pair[:])
		known := o.requireObject("between", KindRegion, pair[0])
		known = o.requireObject("between", KindRegion, pair[1]) && known
		if known && pair[0] == pair[1] {
			o.addError("between", "both ends are region %q", pair[0])
		}
		if other, taken := seen[pair]; taken && known {
			o.addError("between", "link %q already joins these regions", other)
		}
		seen[pair] = link.Name
		o.require(link.Bandwidth > 0, "bandwidth", "must be over 0")
	}
}

func (c *checker) checkClientBlocks() {
	seen := map[netip.Prefix]string{}
	for i, block := range c.set.ClientBlocks {
		o := c.forObject(KindClientBlock, i, block.Name)
		o.require(len(block.FailureDomains) > 0, "failure_domains", "missing")
		o.requireObjects("failure_domains", KindFailureDomain, block.FailureDomains)
		prefix, ok := o.parsePrefix(block.Prefix)
		if !ok {
			continue
		}
		if other, taken := seen[prefix]; taken {
			o.addError("prefix", "%s is already the prefix of %q", prefix, other)
		}
		seen[prefix] = block.Name
	}
}

func (o objectChecker) parsePrefix(text string) (netip.Prefix, bool) {
	prefix, err := netip.ParsePrefix(text)
	switch {
	case err != nil:
		o.addError("prefix", "%q is not an IP prefix such as \"192.0.2.0/24\"", text)
	case prefix.Addr().Is4In6():
		o.addError("prefix", "%q is an IPv4 prefix written as IPv6", text)
	case prefix.Masked() != prefix:
		o.addError("prefix", "%q has bits after its length; write \"%s\"", text, prefix.Masked())
	default:
		return prefix, true
	}
	return netip.Prefix{}, false
}
